package main

import (
	"strings"
	"testing"
)

func TestCutScenarioPartitionsAControlNodeDuringConfigChanges(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		generated := generateTrial(t, "cut", seed, 34)
		cut := generated.Faults[0]
		for _, candidate := range generated.Faults {
			if candidate.Kind == "core_cut" && candidate.For == longCut {
				cut = candidate
			}
		}
		if cut.For != longCut || cut.On != "core" {
			t.Fatalf("seed %d: no long cut of a control machine", seed)
		}
		changes := 0
		for _, planned := range generated.Plan {
			if planned.At >= cut.At && planned.At <= cut.At+cut.For && strings.HasPrefix(planned.Kind, "config_") {
				changes++
			}
		}
		if changes < 5 {
			t.Fatalf("seed %d: only %d changes during the cut", seed, changes)
		}
	}
}

func TestRaceScenarioHasEightConcurrentRequests(t *testing.T) {
	generated := generateTrial(t, "race", 2, 34)
	together := map[float64]int{}
	for _, planned := range generated.Plan {
		together[planned.At]++
	}
	for _, count := range together {
		if count >= parallelRequests {
			return
		}
	}
	t.Fatal("no moment with eight orders")
}

func TestHistoryScenarioNeedsItsLength(t *testing.T) {
	if _, err := generateScenario(trialSite(34), allKinds, scenarioParameters{preset: "history", seed: 1, intensity: 1, closing: finalFaultNone}); err == nil {
		t.Fatal("a scenario too short for its history was generated")
	}
	generated := generateTrial(t, "history", 1, 60)
	changes := 0
	for _, planned := range generated.Plan {
		if planned.Kind == "config_change" {
			changes++
		}
	}
	if changes != historyEntries {
		t.Fatalf("%d changes, want %d", changes, historyEntries)
	}
}
