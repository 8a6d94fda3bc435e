package controlplane

import (
	"maps"
	"slices"
	"testing"

	"yardrock.example/system/querylanguage"
)

// TestEveryTableOfTheQueryLanguageIsServed guards against a table that the parser accepts but
// readTable would panic for, and against one that no query can reach.
func TestEveryTableOfTheQueryLanguageIsServed(t *testing.T) {
	served := append(slices.Collect(maps.Keys(tables)), changesTable)
	for _, name := range querylanguage.Tables {
		if !slices.Contains(served, name) {
			t.Errorf("the query language has table %q, but it is not served", name)
		}
	}
	for _, name := range served {
		if !slices.Contains(querylanguage.Tables, name) {
			t.Errorf("table %q is served, but the query language does not have it", name)
		}
		if name != changesTable && tables[name] == nil {
			t.Errorf("table %q has no function", name)
		}
	}
	if _, found := tables[changesTable]; found {
		t.Errorf("%q is in tables, but readTable serves it separately", changesTable)
	}
	if len(served) != len(querylanguage.Tables) {
		t.Errorf("%d tables served, %d in the query language: one is duplicated", len(served), len(querylanguage.Tables))
	}
}
