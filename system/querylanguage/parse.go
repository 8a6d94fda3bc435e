// Package querylanguage parses and prints the one-line queries and commands that
// operators drive a fleet with.
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

// Parse reads one line. A failure names the column and what was expected.
//
//	statement, err := querylanguage.Parse("set weight talk.small 3 expect 12")
func Parse(text string) (*Statement, error) {
	statement, err := parser.ParseString("", text)
	if err != nil {
		var failed participle.Error
		if errors.As(err, &failed) {
			return nil, apierror.New(apierror.Invalid, fmt.Sprintf("column %d: %s", failed.Position().Column, failed.Message()), "the operators' page lists the queries and commands")
		}
		return nil, apierror.New(apierror.Invalid, err.Error(), "the operators' page lists the queries and commands")
	}
	if statement.Show != nil && !slices.Contains(Tables, statement.Show.What) {
		return nil, apierror.New(apierror.Invalid, "column 6: nothing is named "+strconv.Quote(statement.Show.What)+Suggest(statement.Show.What, Tables), "show one of "+strings.Join(Tables, ", "))
	}
	return statement, nil
}

// Path tells which value of the config is set.
//
//	path, err := set.Path()
func (set *Set) Path() (string, error) {
	switch {
	case set.Weight != nil && set.Weight.Second != "":
		return "tables." + set.Weight.String(), nil
	case set.Weight != nil:
		return "", apierror.New(apierror.Invalid, "a weight needs table and group", "write: set weight TABLE.GROUP NUMBER")
	case set.Allowance != nil:
		return "programs." + set.Allowance.First + ".allowance", nil
	}
	return "limits." + set.Limit.First, nil
}
