package main

import (
	"bytes"
	"testing"
)

// trialSite is a site with all that scenarios name.
func trialSite(length float64) site {
	trial := site{
		Name:     "trial",
		Length:   length,
		Zones:    []named{{"north"}, {"south"}},
		Services: []named{{"model"}, {"tools"}},
		Classes:  []named{{"talk"}, {"lookup"}},
	}
	trial.Timing.CatchUp = 4
	return trial
}

// generateTrial generates a scenario of the trial site.
func generateTrial(t *testing.T, preset string, seed uint64, length float64) scenario {
	t.Helper()
	generated, err := generateScenario(trialSite(length), allKinds, scenarioParameters{preset: preset, seed: seed, intensity: 1, closing: finalFaultAny})
	if err != nil {
		t.Fatal(err)
	}
	return generated
}

func TestSameSeedGivesTheSameScenario(t *testing.T) {
	for _, known := range presets {
		first, err := generateTrial(t, known.name, 7, 60).encode()
		if err != nil {
			t.Fatal(err)
		}
		second, err := generateTrial(t, known.name, 7, 60).encode()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, second) {
			t.Errorf("%s: one seed gave two scenarios", known.name)
		}
		other, err := generateTrial(t, known.name, 8, 60).encode()
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Equal(first, other) {
			t.Errorf("%s: two seeds gave one scenario", known.name)
		}
	}
}

func TestRandomScenariosCoverEveryKind(t *testing.T) {
	seen := map[string]bool{}
	for seed := uint64(1); seed <= 60; seed++ {
		generated := generateTrial(t, "random", seed, 60)
		for _, found := range append(generated.Plan, generated.Faults...) {
			seen[found.Kind] = true
		}
	}
	for _, described := range allKinds {
		if !seen[described.name] {
			t.Errorf("%s is never generated", described.name)
		}
	}
}

func TestFinalFaultIsTheRequestedOne(t *testing.T) {
	for _, wanted := range []string{"power_off_all", "wipe_after_ack", "kill_all"} {
		generated, err := generateScenario(trialSite(34), allKinds, scenarioParameters{preset: "cut", seed: 1, intensity: 1, closing: wanted})
		if err != nil {
			t.Fatal(err)
		}
		if generated.Closing == nil || generated.Closing.Kind != wanted {
			t.Errorf("wanted %s, got %v", wanted, generated.Closing)
		}
	}
}

func TestUnknownPresetAndFinalFaultAreRejected(t *testing.T) {
	if _, err := generateScenario(trialSite(34), allKinds, scenarioParameters{preset: "calm", seed: 1, intensity: 1, closing: finalFaultNone}); err == nil {
		t.Error("an unknown preset was generated")
	}
	if _, err := generateScenario(trialSite(34), allKinds, scenarioParameters{preset: "cut", seed: 1, intensity: 1, closing: "flood"}); err == nil {
		t.Error("an unknown closing fault was passed over")
	}
}

// A deployment without fronts cannot serve, whatever it does.
func TestRemovedShareOfMachinesIsBounded(t *testing.T) {
	left := false
	for _, known := range presets {
		for seed := range uint64(200) {
			generated := generateTrial(t, known.name, seed, 60)
			share := generated.removedShare()
			left = left || share > 0
			if share > maxRemovedShare {
				t.Fatalf("%s, seed %d: a share of %.2f is removed for good", known.name, seed, share)
			}
		}
	}
	if !left {
		t.Error("no machine is ever removed")
	}
}
