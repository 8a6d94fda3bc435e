// Package querylanguage implements the language of one-line queries and commands with which
// operators inspect and change a fleet: grammar, parser, printer, and the filtering, sorting
// and limiting of result rows.
//
// A printed statement parses back to itself, unless a value contains a quotation mark or a control
// character: the language has no escape sequences. Parse errors contain the names of the grammar's
// types. The package keeps no state.
package querylanguage

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"

	"yardrock.example/system/apierror"
)

// tableColumn is the position of the table name in a show query, after "show ". It assumes no
// additional white space, as the grammar does not record positions.
const tableColumn = "column 6"

// Parse parses one line. The error is an *apierror.Error of kind Invalid that names the
// column and what was expected there, or suggests a table with a similar name.
//
//	statement, err := querylanguage.Parse("set weight talk.small 3 expect 12")
func Parse(text string) (*Statement, error) {
	statement, err := parser.ParseString("", text)
	if err != nil {
		message := err.Error()
		var failed participle.Error
		if errors.As(err, &failed) {
			message = fmt.Sprintf("column %d: %s", failed.Position().Column, failed.Message())
		}
		return nil, apierror.Wrap(err, apierror.Invalid, message, "see docs/operators.md for the queries and commands")
	}
	if statement.Show != nil && !slices.Contains(Tables, statement.Show.Table) {
		return nil, apierror.New(apierror.Invalid, tableColumn+": no table is named "+strconv.Quote(statement.Show.Table)+Suggest(statement.Show.Table, Tables), "show one of "+strings.Join(Tables, ", "))
	}
	return statement, nil
}

// Path returns the dotted path of the config value that the command sets. The error is an
// *apierror.Error of kind Invalid if a weight has no group.
//
//	path, err := set.Path()
func (set *Set) Path() (string, error) {
	switch {
	case set.Weight != nil && set.Weight.Second != "":
		return "tables." + set.Weight.String(), nil
	case set.Weight != nil:
		return "", apierror.New(apierror.Invalid, "a weight needs a table and a group", "use: set weight TABLE.GROUP NUMBER")
	case set.Quota != nil:
		return "programs." + set.Quota.First + ".allowance", nil
	}
	return "limits." + set.Limit.First, nil
}
