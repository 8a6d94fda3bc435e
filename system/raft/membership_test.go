package raft

import "testing"

// With duplicate names, one replica could form a majority by itself, or be both a voter and a
// learner.
func TestMembershipChangeWithDuplicateNamesIsRejected(t *testing.T) {
	bootstrap := Membership{Voters: []string{"a"}}
	core := New(Settings{Name: "a", ElectionTicks: 1, HeartbeatTicks: 1}, PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: bootstrap}})
	output := core.Step(Input{Kind: InputTick})
	core.Step(Input{Kind: InputSynced, Number: output.Write.Number})
	for _, next := range []Membership{
		{Voters: []string{"a", "a"}},
		{Voters: []string{"a", "b", "b"}},
		{Voters: []string{"a"}, Learners: []string{"a"}},
		{Voters: []string{"a"}, Learners: []string{"b", "b"}},
	} {
		if output := core.Step(Input{Kind: InputChangeMembership, Membership: next}); output.ProposedIndex != 0 {
			t.Errorf("%v was accepted", next)
		}
	}
	if output := core.Step(Input{Kind: InputChangeMembership, Membership: Membership{Voters: []string{"a", "b"}}}); output.ProposedIndex == 0 {
		t.Error("a membership without duplicates was rejected")
	}
}
