package main

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func TestScenariosAreReadBackAsGenerated(t *testing.T) {
	for _, known := range presets {
		generated := generateTrial(t, known.name, 3, 60)
		text, err := generated.encode()
		if err != nil {
			t.Fatal(err)
		}
		var read scenarioFile
		if err := toml.Unmarshal(text, &read); err != nil {
			t.Fatalf("%s: %v", known.name, err)
		}
		if len(read.Scenarios) != 1 || len(read.Scenarios[0].Plan) != len(generated.Plan) || len(read.Scenarios[0].Faults) != len(generated.Faults) {
			t.Errorf("%s: read back as %v", known.name, read)
		}
	}
}

func TestEntriesAreSortedIntoPlanAndFaults(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		for _, known := range presets {
			generated := generateTrial(t, known.name, seed, 60)
			checkEntries(t, generated.Plan, true)
			checkEntries(t, generated.Faults, false)
		}
	}
}

// checkEntries demands known kinds of one sort, in order of time and within the scenario.
func checkEntries(t *testing.T, entries []entry, planned bool) {
	t.Helper()
	last := 0.0
	for _, generated := range entries {
		described, ok := findKind(generated.Kind)
		if !ok || described.planned != planned {
			t.Fatalf("%s stands at the wrong place", generated.Kind)
		}
		if generated.At < last || generated.At > 60 {
			t.Fatalf("%s at %g, after %g", generated.Kind, generated.At, last)
		}
		last = generated.At
	}
}
