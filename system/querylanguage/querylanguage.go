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
	"github.com/alecthomas/participle/v2/lexer"

	"yardrock.example/system/apierror"
)

// Statement is one query or command. Exactly one of its parts is filled.
type Statement struct {
	Show    *Show    `parser:"(  'show' @@"`
	Set     *Set     `parser:" | 'set' @@"`
	Empty   *Empty   `parser:" | 'empty' 'domain' @@"`
	Refill  *Name    `parser:" | 'refill' 'domain' @@"`
	Enrol   *Name    `parser:" | 'enrol' 'store' @@"`
	Retire  *Name    `parser:" | 'retire' 'store' @@"`
	Restore *Restore `parser:" | 'restore' 'config' @@ )"`
	Expect  *uint64  `parser:"( 'expect' @Number )?"`
	DryRun  bool     `parser:"@( 'dry' 'run' )?"`
}

// Name is what a command is about.
type Name struct {
	Name string `parser:"@(Word|Number)"`
}

// Empty empties a domain; Force does so even to the last one that serves.
type Empty struct {
	Name  string `parser:"@(Word|Number)"`
	Force bool   `parser:"@'force'?"`
}

// Restore brings an earlier config back as a new number.
type Restore struct {
	Number uint64 `parser:"@Number"`
}

// Set changes one value of the config.
type Set struct {
	Weight    *Pair  `parser:"(  'weight' @@"`
	Allowance *Pair  `parser:" | 'allowance' @@"`
	Limit     *Pair  `parser:" | 'limit' @@ )"`
	Value     string `parser:"@(Number|Word)"`
}

// Pair is a name, or two joined by a dot.
type Pair struct {
	First  string `parser:"@Word"`
	Second string `parser:"( '.' @Word )?"`
}

// Show asks what is in force.
type Show struct {
	What  string       `parser:"@Word"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order       `parser:"( 'order' 'by' @@ )?"`
	Limit *uint64      `parser:"( 'limit' @Number )?"`
}

// Condition keeps rows whose field compares so.
type Condition struct {
	Field    string `parser:"@Word"`
	Operator string `parser:"@( '=' | '!' '=' | '<' | '>' | '~' )"`
	Value    string `parser:"@(Word|Number|Text)"`
}

// Order sorts rows by a field.
type Order struct {
	Field      string `parser:"@Word"`
	Descending bool   `parser:"@'desc'?"`
}

var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Text", Pattern: `"[^"]*"`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m|h)?\b`},
	{Name: "Word", Pattern: `[a-zA-Z_][a-zA-Z0-9_:-]*`},
	{Name: "Sign", Pattern: `[.=!<>~]`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](participle.Lexer(tokenRules), participle.Unquote("Text"), participle.UseLookahead(4))

// Tables are what can be shown.
var Tables = []string{"changes", "config", "controls", "demand", "domains", "assignments", "groups", "nodes", "openings", "programs", "routes", "runners", "services", "stores", "tallies", "weights"}

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

// Suggest suggests the known name that is nearest to a wrong one.
//
//	message += querylanguage.Suggest("wieghts", names)
func Suggest(wrong string, known []string) string {
	best, bestDistance := "", 4
	for _, name := range known {
		if far := editDistance(wrong, name); far < bestDistance {
			best, bestDistance = name, far
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance counts the edits between two words.
func editDistance(left, right string) int {
	row := make([]int, len(right)+1)
	for position := range row {
		row[position] = position
	}
	for line := range len(left) {
		before := row[0]
		row[0]++
		for column := range len(right) {
			cost := before
			if left[line] != right[column] {
				cost = min(before, row[column], row[column+1]) + 1
			}
			before, row[column+1] = row[column+1], cost
		}
	}
	return row[len(right)]
}

// String prints the statement so that it parses back to itself.
//
//	fmt.Println(statement)
func (statement *Statement) String() string {
	text := ""
	switch {
	case statement.Show != nil:
		text = statement.Show.String()
	case statement.Set != nil:
		text = statement.Set.String()
	case statement.Empty != nil:
		text = "empty domain " + statement.Empty.Name
		if statement.Empty.Force {
			text += " force"
		}
	case statement.Refill != nil:
		text = "refill domain " + statement.Refill.Name
	case statement.Enrol != nil:
		text = "enrol store " + statement.Enrol.Name
	case statement.Retire != nil:
		text = "retire store " + statement.Retire.Name
	case statement.Restore != nil:
		text = fmt.Sprintf("restore config %d", statement.Restore.Number)
	}
	if statement.Expect != nil {
		text += fmt.Sprintf(" expect %d", *statement.Expect)
	}
	if statement.DryRun {
		text += " dry run"
	}
	return text
}

// String prints the pair with its dot.
//
//	path := "tables." + pair.String()
func (pair *Pair) String() string {
	if pair.Second == "" {
		return pair.First
	}
	return pair.First + "." + pair.Second
}

// String prints the command.
//
//	fmt.Println(set)
func (set *Set) String() string {
	for kind, pair := range map[string]*Pair{"weight": set.Weight, "allowance": set.Allowance, "limit": set.Limit} {
		if pair != nil {
			return "set " + kind + " " + pair.String() + " " + set.Value
		}
	}
	return ""
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

// String prints the query.
//
//	fmt.Println(show)
func (show *Show) String() string {
	text := "show " + show.What
	for position, condition := range show.Where {
		joint := " where "
		if position > 0 {
			joint = " and "
		}
		text += joint + condition.Field + " " + condition.Operator + " " + strconv.Quote(condition.Value)
	}
	if show.Order != nil {
		text += " order by " + show.Order.Field
		if show.Order.Descending {
			text += " desc"
		}
	}
	if show.Limit != nil {
		text += fmt.Sprintf(" limit %d", *show.Limit)
	}
	return text
}

// Apply keeps, sorts and limits rows. Fields are named by columns.
//
//	rows, err := show.Apply(columns, rows)
func (show *Show) Apply(columns []string, rows [][]string) ([][]string, error) {
	columnIndex := func(field string) (int, error) {
		position := slices.Index(columns, field)
		if position < 0 {
			return 0, apierror.New(apierror.Invalid, show.What+" has no field "+strconv.Quote(field)+Suggest(field, columns), "name one of "+strings.Join(columns, ", "))
		}
		return position, nil
	}
	for _, condition := range show.Where {
		position, err := columnIndex(condition.Field)
		if err != nil {
			return nil, err
		}
		rows = slices.DeleteFunc(slices.Clone(rows), func(row []string) bool { return !matches(row[position], condition.Operator, condition.Value) })
	}
	if show.Order != nil {
		position, err := columnIndex(show.Order.Field)
		if err != nil {
			return nil, err
		}
		rows = slices.Clone(rows)
		slices.SortStableFunc(rows, func(left, right []string) int {
			if show.Order.Descending {
				left, right = right, left
			}
			return compare(left[position], right[position])
		})
	}
	if show.Limit != nil && uint64(len(rows)) > *show.Limit {
		rows = rows[:*show.Limit]
	}
	return rows, nil
}

// compare orders numbers as numbers and all else as text.
func compare(left, right string) int {
	leftNumber, leftErr := strconv.ParseFloat(left, 64)
	rightNumber, rightErr := strconv.ParseFloat(right, 64)
	if leftErr == nil && rightErr == nil && leftNumber != rightNumber {
		if leftNumber < rightNumber {
			return -1
		}
		return 1
	}
	return strings.Compare(left, right)
}

var comparisons = map[string]func(have, want string) bool{
	"=":  func(have, want string) bool { return have == want },
	"!=": func(have, want string) bool { return have != want },
	"<":  func(have, want string) bool { return compare(have, want) < 0 },
	">":  func(have, want string) bool { return compare(have, want) > 0 },
	"~":  strings.Contains,
}

func matches(have, operator, want string) bool { return comparisons[operator](have, want) }
