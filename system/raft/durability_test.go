package raft

import "testing"

// A voter that needs no other vote loses its power before the write of its term is durable.
// Entries of that term that had been sent would be replaced by others of the same index and
// term after its restart.
func TestSingleVoterPersistsItsTermBeforeSendingEntries(t *testing.T) {
	bootstrap := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []string{"a"}, Learners: []string{"b"}}}}
	settings := Settings{Name: "a", ElectionTicks: 1, HeartbeatTicks: 1}
	core := New(settings, bootstrap)
	output := core.Step(Input{Kind: InputTick})
	if term, leading := core.Leading(); !leading || term != 2 {
		t.Fatalf("the single voter leads: %v, in term %d", leading, term)
	}
	sent := output.Messages
	sent = append(sent, core.Step(Input{Kind: InputPropose, Data: []byte("lost with the power supply")}).Messages...)
	if len(sent) > 0 {
		t.Fatalf("%d messages left before the term was stored, the first with %d entries", len(sent), len(sent[0].Entries))
	}
	sent = core.Step(Input{Kind: InputSynced, Number: output.Write.Number}).Messages
	if len(sent) == 0 || sent[0].Kind != MessageAppend {
		t.Fatalf("the entries did not leave once the term was stored: %v", sent)
	}
}
