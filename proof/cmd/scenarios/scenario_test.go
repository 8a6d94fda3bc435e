package main

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func TestScenariosAreReadBackAsGenerated(t *testing.T) {
	for _, preset := range presets {
		generated := generateTestScenario(t, preset.name, 3, 60)
		text, err := generated.encode()
		if err != nil {
			t.Fatal(err)
		}
		var read scenarioFile
		if err := toml.Unmarshal(text, &read); err != nil {
			t.Fatalf("%s: %v", preset.name, err)
		}
		if len(read.Scenarios) != 1 || len(read.Scenarios[0].Plan) != len(generated.Plan) || len(read.Scenarios[0].Faults) != len(generated.Faults) {
			t.Errorf("%s: read back as %v", preset.name, read)
		}
	}
}

func TestEntriesAreSortedIntoPlanAndFaults(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		for _, preset := range presets {
			generated := generateTestScenario(t, preset.name, seed, 60)
			checkEntries(t, generated.Plan, true)
			checkEntries(t, generated.Faults, false)
		}
	}
}

// checkEntries checks that all entries have a known kind that is planned or not as given, and are
// sorted by time within the scenario's length.
func checkEntries(t *testing.T, entries []entry, planned bool) {
	t.Helper()
	last := 0.0
	for _, entry := range entries {
		kind, ok := findKind(entry.Kind)
		if !ok || kind.planned != planned {
			t.Fatalf("%s is unknown or in the wrong list", entry.Kind)
		}
		if entry.At < last || entry.At > 60 {
			t.Fatalf("%s at %g, previous entry at %g", entry.Kind, entry.At, last)
		}
		last = entry.At
	}
}
