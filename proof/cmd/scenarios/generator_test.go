package main

import (
	"bytes"
	"testing"
)

// testSite returns a site with every element that scenarios refer to.
func testSite(length float64) site {
	site := site{
		Name:     "trial",
		Length:   length,
		Zones:    []namedElement{{"north"}, {"south"}},
		Services: []namedElement{{"model"}, {"tools"}},
		Classes:  []namedElement{{"talk"}, {"lookup"}},
	}
	site.Timing.CatchUp = 4
	return site
}

// generateTestScenario generates a scenario for testSite.
func generateTestScenario(t *testing.T, preset string, seed uint64, length float64) scenario {
	t.Helper()
	generated, err := generateScenario(testSite(length), allKinds, scenarioParameters{preset: preset, seed: seed, intensity: 1, finalFault: finalFaultAny})
	if err != nil {
		t.Fatal(err)
	}
	return generated
}

func TestSameSeedGivesTheSameScenario(t *testing.T) {
	for _, preset := range presets {
		first, err := generateTestScenario(t, preset.name, 7, 60).encode()
		if err != nil {
			t.Fatal(err)
		}
		second, err := generateTestScenario(t, preset.name, 7, 60).encode()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, second) {
			t.Errorf("%s: the same seed generated different scenarios", preset.name)
		}
		other, err := generateTestScenario(t, preset.name, 8, 60).encode()
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Equal(first, other) {
			t.Errorf("%s: different seeds generated the same scenario", preset.name)
		}
	}
}

func TestRandomScenariosCoverEveryKind(t *testing.T) {
	seen := map[string]bool{}
	for seed := uint64(1); seed <= 60; seed++ {
		generated := generateTestScenario(t, "random", seed, 60)
		for _, entry := range append(generated.Plan, generated.Faults...) {
			seen[entry.Kind] = true
		}
	}
	for _, kind := range allKinds {
		if !seen[kind.name] {
			t.Errorf("%s is never generated", kind.name)
		}
	}
}

func TestFinalFaultIsTheRequestedOne(t *testing.T) {
	for _, requested := range []string{"power_off_all", "wipe_after_ack", "kill_all"} {
		generated, err := generateScenario(testSite(34), allKinds, scenarioParameters{preset: "cut", seed: 1, intensity: 1, finalFault: requested})
		if err != nil {
			t.Fatal(err)
		}
		if generated.FinalFault == nil || generated.FinalFault.Kind != requested {
			t.Errorf("requested %s, got %v", requested, generated.FinalFault)
		}
	}
}

func TestUnknownPresetAndFinalFaultAreRejected(t *testing.T) {
	if _, err := generateScenario(testSite(34), allKinds, scenarioParameters{preset: "calm", seed: 1, intensity: 1, finalFault: finalFaultNone}); err == nil {
		t.Error("an unknown preset was accepted")
	}
	if _, err := generateScenario(testSite(34), allKinds, scenarioParameters{preset: "cut", seed: 1, intensity: 1, finalFault: "flood"}); err == nil {
		t.Error("an unknown final fault was accepted")
	}
}

// TestRemovedShareOfMachinesIsBounded guards against scenarios that leave a deployment unable to
// serve because no machine of a class remains.
func TestRemovedShareOfMachinesIsBounded(t *testing.T) {
	removed := false
	for _, preset := range presets {
		for seed := range uint64(200) {
			generated := generateTestScenario(t, preset.name, seed, 60)
			share := generated.removedShare()
			removed = removed || share > 0
			if share > maxRemovedShare {
				t.Fatalf("%s, seed %d: a share of %.2f is removed permanently", preset.name, seed, share)
			}
		}
	}
	if !removed {
		t.Error("no machine is ever removed")
	}
}
