package raft

import "testing"

// A single voter that sends entries before its term is durable could, after a power loss, lead
// the same term again and send different entries with the same index and term.
func TestSingleVoterPersistsItsTermBeforeSendingEntries(t *testing.T) {
	bootstrap := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []string{"a"}, Learners: []string{"b"}}}}
	settings := Settings{Name: "a", ElectionTicks: 1, HeartbeatTicks: 1}
	core := New(settings, bootstrap)
	output := core.Step(Input{Kind: InputTick})
	if term, leading := core.Leading(); !leading || term != 2 {
		t.Fatalf("leading = %v in term %d, want true in term 2", leading, term)
	}
	sent := output.Messages
	sent = append(sent, core.Step(Input{Kind: InputPropose, Data: []byte("lost with the power supply")}).Messages...)
	if len(sent) > 0 {
		t.Fatalf("%d messages were sent before the term was durable, the first with %d entries", len(sent), len(sent[0].Entries))
	}
	sent = core.Step(Input{Kind: InputSynced, Number: output.Write.Number}).Messages
	if len(sent) == 0 || sent[0].Kind != MessageAppend {
		t.Fatalf("the entries were not sent once the term was durable: %v", sent)
	}
}
