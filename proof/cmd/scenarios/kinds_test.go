package main

import "testing"

func TestParseKindsReadsOnlyTheKinds(t *testing.T) {
	printed := "Each entry has 'at' and 'kind'. for_s: how long (5).\n" +
		"closing = { kind = kill_all }\n\n" +
		"burst: x times the traffic of a zone\n" +
		"\nthese may come too:\n" +
		"core_cut: count (1) counted machines are cut off\n"
	found, err := parseKinds(printed)
	if err != nil {
		t.Fatal(err)
	}
	if len(found) != 2 || found[0].name != "burst" || found[1].name != "core_cut" {
		t.Fatalf("got %v", found)
	}
}

func TestParseKindsRefusesAnUnknownKind(t *testing.T) {
	if _, err := parseKinds("burst: more\nmeteor: a new kind\n"); err == nil {
		t.Fatal("a kind that the table lacks was passed over")
	}
	if _, err := parseKinds("nothing of the sort\n"); err == nil {
		t.Fatal("an empty list was taken")
	}
}

func TestKindNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, described := range allKinds {
		if seen[described.name] {
			t.Errorf("%s stands twice", described.name)
		}
		seen[described.name] = true
	}
}
