package main

import (
	"strings"
	"testing"
)

func TestCutScenarioPartitionsAControlNodeDuringConfigChanges(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		generated := generateTestScenario(t, "cut", seed, 34)
		partition := generated.Faults[0]
		for _, candidate := range generated.Faults {
			if candidate.Kind == "core_cut" && candidate.Duration == longPartition {
				partition = candidate
			}
		}
		if partition.Duration != longPartition || partition.MachineClass != "core" {
			t.Fatalf("seed %d: no long partition of a control node", seed)
		}
		changes := 0
		for _, entry := range generated.Plan {
			if entry.At >= partition.At && entry.At <= partition.At+partition.Duration && strings.HasPrefix(entry.Kind, "config_") {
				changes++
			}
		}
		if changes < 5 {
			t.Fatalf("seed %d: only %d changes during the partition", seed, changes)
		}
	}
}

func TestRaceScenarioHasEightConcurrentRequests(t *testing.T) {
	generated := generateTestScenario(t, "race", 2, 34)
	together := map[float64]int{}
	for _, entry := range generated.Plan {
		together[entry.At]++
	}
	for _, count := range together {
		if count >= parallelRequests {
			return
		}
	}
	t.Fatal("fewer than eight concurrent requests at any time")
}

func TestHistoryScenarioRequiresMinimumLength(t *testing.T) {
	if _, err := generateScenario(testSite(34), allKinds, scenarioParameters{preset: "history", seed: 1, intensity: 1, finalFault: finalFaultNone}); err == nil {
		t.Fatal("a site shorter than the minimum length was accepted")
	}
	generated := generateTestScenario(t, "history", 1, 60)
	changes := 0
	for _, entry := range generated.Plan {
		if entry.Kind == "config_change" {
			changes++
		}
	}
	if changes != historyChanges {
		t.Fatalf("%d changes, want %d", changes, historyChanges)
	}
}
