package modelcheck

import (
	"testing"
	"time"

	"yardrock.example/system/raft"
)

// TestForgedMessagesAreFoundByShortestTraces injects messages that no replica sent and
// checks that the search reports the resulting violation with a minimal trace.
func TestForgedMessagesAreFoundByShortestTraces(t *testing.T) {
	for _, forged := range []struct {
		name    string
		want    Invariant
		actions int // from the initial state to the violation
		model   Model
		prepare func(*Script)
	}{
		{
			name: "an acknowledgement", want: CommittedOnMajority, actions: 1, model: syncWritesModel,
			prepare: func(script *Script) {
				steadyLeader(script)
				script.Propose("a")
				script.DropAll()
				last := script.world.replica("a").status
				script.addInFlight(raft.Message{Kind: raft.MessageAppendReply, From: "b", To: "a", Term: last.Term, Index: last.LastIndex})
			},
		},
		{
			name: "a vote for each of two candidates", want: OneLeaderPerTerm, actions: 2, model: threeVoterModel,
			prepare: func(script *Script) {
				twoCandidates(script)
				for _, name := range []string{"a", "b"} {
					term := script.world.replica(name).status.Term
					script.addInFlight(raft.Message{Kind: raft.MessageVoteReply, From: "c", To: name, Term: term})
				}
			},
		},
	} {
		t.Run(forged.name, func(t *testing.T) {
			setupLength := 0
			prepare := func(script *Script) {
				forged.prepare(script)
				setupLength = len(script.lines)
			}
			result := Explore(Scenario{Name: forged.name, Model: forged.model, Prepare: prepare, Limits: Limits{ActionTick: 1}},
				Budget{Depth: 4, States: 1 << 16, Time: time.Minute, Workers: 1})
			if result.Violation == nil || result.Violation.Invariant != forged.want {
				t.Fatalf("violation %+v, want %s", result.Violation, forged.want)
			}
			if trace := result.Violation.Trace; len(trace) != setupLength+forged.actions {
				t.Errorf("trace has %d actions after the forged messages, want %d: %q", len(trace)-setupLength, forged.actions, trace[setupLength:])
			}
		})
	}
}

// TestWalkIsRepeatable checks that replaying a walk applies all its actions, which trace
// shortening relies on.
func TestWalkIsRepeatable(t *testing.T) {
	walk := newWalker(1)
	walk.run(300)
	violation, kept := replay(&walk.model, walk.actions)
	if violation != nil || len(kept) != len(walk.actions) {
		t.Fatalf("replay applied %d of %d actions with violation %v", len(kept), len(walk.actions), violation)
	}
}
