package main

import (
	"slices"
	"testing"
)

func TestParseSeeds(t *testing.T) {
	first, last, err := parseSeeds("3-9")
	if err != nil || first != 3 || last != 9 {
		t.Errorf("got %d, %d, %v", first, last, err)
	}
	for _, wrong := range []string{"", "9-3", "a", "1-"} {
		if _, _, err := parseSeeds(wrong); err == nil {
			t.Errorf("seeds %q were taken", wrong)
		}
	}
}

func TestBenchSitesAndOutputFolderAreRequired(t *testing.T) {
	complete := []string{"--bench", "bench", "--sites", "a.toml", "--out", "b"}
	if _, err := parseOptions("play", complete); err != nil {
		t.Error(err)
	}
	for position := 0; position < len(complete); position += 2 {
		if _, err := parseOptions("play", slices.Delete(slices.Clone(complete), position, position+2)); err == nil {
			t.Errorf("nothing is missing without %s", complete[position])
		}
	}
	if _, err := parseOptions("play", append(complete, "--jobs", "0")); err == nil {
		t.Error("no jobs were taken")
	}
}
