package main

import "testing"

func TestParseKindsIgnoresOtherLines(t *testing.T) {
	listing := "Each entry has 'at' and 'kind'. for_s: how long (5).\n" +
		"closing = { kind = kill_all }\n\n" +
		"burst: x times the traffic of a zone\n" +
		"\nthese may come too:\n" +
		"core_cut: count (1) counted machines are cut off\n"
	kinds, err := parseKinds(listing)
	if err != nil {
		t.Fatal(err)
	}
	if len(kinds) != 2 || kinds[0].name != "burst" || kinds[1].name != "core_cut" {
		t.Fatalf("got %v", kinds)
	}
}

func TestParseKindsRejectsAnUnknownKind(t *testing.T) {
	if _, err := parseKinds("burst: more\nmeteor: a new kind\n"); err == nil {
		t.Fatal("a kind missing from allKinds was ignored")
	}
	if _, err := parseKinds("nothing of the sort\n"); err == nil {
		t.Fatal("a listing without kinds was accepted")
	}
}

func TestKindNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range allKinds {
		if seen[kind.name] {
			t.Errorf("%s is listed twice", kind.name)
		}
		seen[kind.name] = true
	}
}
