package querylanguage

import (
	"fmt"
	"strconv"
)

// String returns the statement as text that parses back to it.
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

// String formats the pair in the syntax of the language.
//
//	path := "tables." + pair.String()
func (pair *Pair) String() string {
	if pair.Second == "" {
		return pair.First
	}
	return pair.First + "." + pair.Second
}

// String formats the command in the syntax of the language.
//
//	fmt.Println(set)
func (set *Set) String() string {
	kind, pair := "weight", set.Weight
	switch {
	case set.Quota != nil:
		kind, pair = "allowance", set.Quota
	case set.Limit != nil:
		kind, pair = "limit", set.Limit
	}
	return "set " + kind + " " + pair.String() + " " + set.Value
}

// String formats the query in the syntax of the language, with all values quoted.
//
//	fmt.Println(show)
func (show *Show) String() string {
	text := "show " + show.Table
	for position, condition := range show.Where {
		connector := " where "
		if position > 0 {
			connector = " and "
		}
		text += connector + condition.Field + " " + condition.Operator + " " + strconv.Quote(condition.Value)
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
