package querylanguage

import (
	"slices"
	"strconv"
	"strings"

	"yardrock.example/system/apierror"
)

// Apply filters, sorts and limits the rows of a table as the query specifies. The given rows are
// not modified. The error is an *apierror.Error of kind Invalid that names a column that does
// not exist.
//
//	rows, err := show.Apply(columns, rows)
func (show *Show) Apply(columns []string, rows [][]string) ([][]string, error) {
	columnIndex := func(field string) (int, error) {
		position := slices.Index(columns, field)
		if position < 0 {
			return 0, apierror.New(apierror.Invalid, show.Table+" has no column "+strconv.Quote(field)+Suggest(field, columns), "use one of "+strings.Join(columns, ", "))
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

// compare compares two texts numerically if both are numbers, otherwise lexically.
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

// comparisons implement the operators of conditions.
var comparisons = map[string]func(have, want string) bool{
	"=":  func(have, want string) bool { return have == want },
	"!=": func(have, want string) bool { return have != want },
	"<":  func(have, want string) bool { return compare(have, want) < 0 },
	">":  func(have, want string) bool { return compare(have, want) > 0 },
	"~":  strings.Contains,
}

// matches reports whether a field satisfies an operator and a value. The operator must be a key of
// comparisons, which has every operator that the grammar of Condition accepts.
func matches(have, operator, want string) bool { return comparisons[operator](have, want) }
