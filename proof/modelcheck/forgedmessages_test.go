package modelcheck

import (
	"testing"
	"time"

	"yardrock.example/system/raft"
)

// TestForgedMessagesAreFoundByShortestTraces puts messages in flight that no replica sent,
// and wants the search to find what they break, with nothing in the trace but them.
func TestForgedMessagesAreFoundByShortestTraces(t *testing.T) {
	for _, forged := range []struct {
		name    string
		want    Invariant
		actions int // from the forged messages to the violation
		model   Model
		prepare func(*Script)
	}{
		{
			name: "an acknowledgement", want: CommittedOnMajority, actions: 1, model: instantDisks,
			prepare: func(script *Script) {
				steady(script)
				script.Propose("a")
				script.DropAll()
				last := script.world.replica("a").status
				script.deliverLate(raft.Message{Kind: raft.MessageAppendReply, From: "b", To: "a", Term: last.Term, Index: last.LastIndex})
			},
		},
		{
			name: "a vote for each of two", want: OneLeaderPerTerm, actions: 2, model: coarseClock,
			prepare: func(script *Script) {
				twoCandidates(script)
				for _, name := range []string{"a", "b"} {
					term := script.world.replica(name).status.Term
					script.deliverLate(raft.Message{Kind: raft.MessageVoteReply, From: "c", To: name, Term: term})
				}
			},
		},
	} {
		t.Run(forged.name, func(t *testing.T) {
			begin := 0
			prepare := func(script *Script) {
				forged.prepare(script)
				begin = len(script.lines)
			}
			result := Explore(Scenario{Name: forged.name, Model: forged.model, Prepare: prepare, Limits: Limits{ActionTick: 1}},
				Budget{Depth: 4, States: 1 << 16, Time: time.Minute, Workers: 1})
			if result.Violation == nil || result.Violation.Invariant != forged.want {
				t.Fatalf("found %+v, want %s", result.Violation, forged.want)
			}
			if trace := result.Violation.Trace; len(trace) != begin+forged.actions {
				t.Errorf("the trace has %d actions after the forged messages, want %d: %q", len(trace)-begin, forged.actions, trace[begin:])
			}
		})
	}
}

// TestWalkIsRepeatable replays a walk's actions, which shortening a trace depends on.
func TestWalkIsRepeatable(t *testing.T) {
	walk := newWalker(1)
	walk.run(300)
	broken, kept := replay(&walk.model, walk.actions)
	if broken != nil || len(kept) != len(walk.actions) {
		t.Fatalf("the walk repeats with %d of %d actions and breaks %v", len(kept), len(walk.actions), broken)
	}
}
