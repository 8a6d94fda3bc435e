package raft

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestRandomSchedulesElectOneLeaderPerTermAndLoseNoCommittedEntry(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260101)
	parameters.MinSuccessfulTests = 1500
	properties := gopter.NewProperties(parameters)
	reads, commits := 0, 0
	properties.Property("safe under faults, live after them", prop.ForAll(func(seed uint64, size int) string {
		group := newSimulatedGroup(seed, size)
		for event := 0; event < 6000 && group.failure == nil; event++ {
			group.randomEvent(event < 5000)
		}
		healed := group.heal()
		reads += group.readsSeen
		commits += len(group.committed)
		if group.failure != nil {
			return group.failure.Error()
		}
		if !healed {
			return "the healed group never committed again"
		}
		return ""
	}, gen.UInt64(), gen.IntRange(3, 5)))
	properties.TestingRun(t)
	if reads < 100 || commits < 1000 {
		t.Fatalf("the schedules hardly did anything: %d reads, %d commits", reads, commits)
	}
}
