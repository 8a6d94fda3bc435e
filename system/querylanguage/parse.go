// Package querylanguage is the language of one-line queries and commands with which
// operators inspect and change a fleet: its grammar, parser and printer, and the
// filtering, sorting and limiting of the rows of a query's result.
//
// A printed statement parses back to itself, unless a value has a quotation mark or a control
// character: the tokens know no escaped quotation mark. The names of the grammar's types are shown
// in parse errors. The package keeps no state.
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

// tableColumn is where the table of a show query stands: after "show ". It is that of a query
// without further white space, as the grammar keeps no positions.
const tableColumn = "column 6"

// Parse parses one line. The error is an *apierror.Error of kind Invalid that names the
// column and what was expected there, or the nearest table to one that does not exist.
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
		return nil, apierror.Wrap(err, apierror.Invalid, message, "the operators' page lists the queries and commands")
	}
	if statement.Show != nil && !slices.Contains(Tables, statement.Show.What) {
		return nil, apierror.New(apierror.Invalid, tableColumn+": nothing is named "+strconv.Quote(statement.Show.What)+Suggest(statement.Show.What, Tables), "show one of "+strings.Join(Tables, ", "))
	}
	return statement, nil
}

// Path returns the dotted path of the value in the config that the command sets. The error is an
// *apierror.Error of kind Invalid: a weight without a group.
//
//	path, err := set.Path()
func (set *Set) Path() (string, error) {
	switch {
	case set.Weight != nil && set.Weight.Second != "":
		return "tables." + set.Weight.String(), nil
	case set.Weight != nil:
		return "", apierror.New(apierror.Invalid, "a weight needs table and group", "write: set weight TABLE.GROUP NUMBER")
	case set.Quota != nil:
		return "programs." + set.Quota.First + ".allowance", nil
	}
	return "limits." + set.Limit.First, nil
}
