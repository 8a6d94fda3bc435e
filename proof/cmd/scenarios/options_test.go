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
	for _, invalid := range []string{"", "9-3", "a", "1-"} {
		if _, _, err := parseSeeds(invalid); err == nil {
			t.Errorf("seeds %q were accepted", invalid)
		}
	}
}

func TestBenchSitesAndOutputDirectoryAreRequired(t *testing.T) {
	complete := []string{"--bench", "bench", "--sites", "a.toml", "--out", "b"}
	if _, err := parseOptions("play", complete); err != nil {
		t.Error(err)
	}
	for index := 0; index < len(complete); index += 2 {
		if _, err := parseOptions("play", slices.Delete(slices.Clone(complete), index, index+2)); err == nil {
			t.Errorf("options without %s were accepted", complete[index])
		}
	}
	if _, err := parseOptions("play", append(complete, "--jobs", "0")); err == nil {
		t.Error("--jobs 0 was accepted")
	}
}
