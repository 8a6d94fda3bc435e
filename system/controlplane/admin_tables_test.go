package controlplane

import (
	"maps"
	"slices"
	"testing"

	"yardrock.example/system/querylanguage"
)

// TestEveryTableOfTheQueryLanguageIsServed ties the names that the parser accepts to the tables
// that this package lists: readTable would panic for a name without a function, and a function
// without a name could never be asked for.
func TestEveryTableOfTheQueryLanguageIsServed(t *testing.T) {
	served := append(slices.Collect(maps.Keys(tables)), changesTable)
	for _, name := range querylanguage.Tables {
		if !slices.Contains(served, name) {
			t.Errorf("the query language has the table %q, which nothing lists", name)
		}
	}
	for _, name := range served {
		if !slices.Contains(querylanguage.Tables, name) {
			t.Errorf("the table %q is listed, but the query language does not have it", name)
		}
		if name != changesTable && tables[name] == nil {
			t.Errorf("the table %q has no function", name)
		}
	}
	if _, shadowed := tables[changesTable]; shadowed {
		t.Errorf("%q is in tables, where readTable does not look for it", changesTable)
	}
	if len(served) != len(querylanguage.Tables) {
		t.Errorf("%d tables are served, %d have names: one stands twice", len(served), len(querylanguage.Tables))
	}
}
