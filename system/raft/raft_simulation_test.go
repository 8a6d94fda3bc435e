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
		reads += group.confirmedReads
		commits += len(group.committed)
		if group.failure != nil {
			return group.failure.Error()
		}
		if !healed {
			return "the group committed no command after the faults ended"
		}
		return ""
	}, gen.UInt64(), gen.IntRange(3, 5)))
	properties.TestingRun(t)
	if reads < 100 || commits < 1000 {
		t.Fatalf("too little coverage: %d reads, %d commits, want at least 100 and 1000", reads, commits)
	}
}
