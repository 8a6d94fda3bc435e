package querylanguage

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/apierror"
)

// generateStatement builds a statement from random numbers.
func generateStatement(kind, first, second int, flag bool) *Statement {
	name := []string{"east", "store-1f", "talk", "a_b", "z9"}[first%5]
	other := []string{"small", "large", "x-y"}[second%3]
	number := uint64(second)
	statement := &Statement{}
	switch kind % 8 {
	case 0:
		statement.Show = &Show{Table: Tables[first%len(Tables)], Limit: &number}
	case 1:
		statement.Show = &Show{Table: "runners", Where: []*Condition{{"domain", "=", name}, {"state", "!=", "two words"}}, Order: &Order{other, flag}}
	case 2:
		statement.Set = &Set{Weight: &Pair{name, other}, Value: fmt.Sprint(second)}
	case 3:
		statement.Set = &Set{Quota: &Pair{First: name}, Value: fmt.Sprint(second)}
	case 4:
		statement.Empty = &Empty{name, flag}
	case 5:
		statement.Refill = &Name{name}
	case 6:
		statement.Retire = &Name{name}
	case 7:
		statement.Restore = &Restore{number}
	}
	if flag {
		statement.Expect = &number
	}
	statement.DryRun = first%2 == 0
	return statement
}

func TestPrintedStatementsParseBack(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260104)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("parse(print(s)) = s", prop.ForAll(func(kind, first, second int, flag bool) string {
		statement := generateStatement(kind, first, second, flag)
		reparsed, err := Parse(statement.String())
		if err != nil {
			return statement.String() + ": " + err.Error()
		}
		if !reflect.DeepEqual(statement, reparsed) {
			return statement.String() + " was parsed as " + reparsed.String()
		}
		return ""
	}, gen.IntRange(0, 1000), gen.IntRange(0, 1000), gen.IntRange(0, 1000), gen.Bool()))
	properties.TestingRun(t)
}

func TestParseErrorsNameColumn(t *testing.T) {
	for text, wanted := range map[string]string{
		"shwo nodes":              "column 1",
		"show wieghts":            "did you mean weights?",
		"set weight talk.small":   "column",
		"empty domain":            "column",
		"show nodes where = east": "column 18",
		"":                        "column",
	} {
		_, err := Parse(text)
		if !apierror.Is(err, apierror.Invalid) || !strings.Contains(err.Error(), wanted) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestApplyFiltersSortsAndLimits(t *testing.T) {
	columns := []string{"name", "load"}
	rows := [][]string{{"a", "10"}, {"b", "9"}, {"c", "100"}, {"d", "1"}}
	statement, err := Parse(`show runners where load > 1 order by load desc limit 2`)
	if err != nil {
		t.Fatal(err)
	}
	result, err := statement.Show.Apply(columns, rows)
	if err != nil || !slices.EqualFunc(result, [][]string{{"c", "100"}, {"a", "10"}}, slices.Equal) {
		t.Fatalf("%v %v", result, err)
	}
	statement, _ = Parse(`show runners where laod > 1`)
	if _, err := statement.Show.Apply(columns, rows); !strings.Contains(fmt.Sprint(err), "did you mean load?") {
		t.Fatal(err)
	}
}

// TestOperatorsPageExamplesParse guards against examples in docs/operators.md that the parser
// rejects.
func TestOperatorsPageExamplesParse(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	parsed := 0
	for example := range strings.Lines(string(page)) {
		text, isExample := strings.CutPrefix(example, "    ")
		if !isExample {
			continue
		}
		text, _, _ = strings.Cut(strings.TrimSpace(text), "#")
		text = strings.ReplaceAll(strings.TrimSpace(text), "store-…", "store-1f")
		lines := []string{text}
		if verb, tables, isList := strings.Cut(text, " "); isList && strings.Contains(tables, " | ") {
			lines = nil
			for _, table := range strings.Split(tables, " | ") {
				lines = append(lines, verb+" "+table)
			}
		}
		for _, line := range lines {
			if _, err := Parse(line); err != nil {
				t.Errorf("%q: %v", line, err)
			}
			parsed++
		}
	}
	if parsed < 15 {
		t.Fatalf("only %d examples were found", parsed)
	}
}
