package raft_test

import (
	"fmt"

	"yardrock.example/system/raft"
)

// A driver passes inputs to each core, makes writes durable, reports them as synced, and delivers
// messages. This example does all of it synchronously and in memory.
func Example() {
	names := []string{"a", "b", "c"}
	bootstrap := raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{Index: 1, Term: 1, Membership: raft.Membership{Voters: names}}}
	cores := map[string]*raft.Core{}
	for _, name := range names {
		cores[name] = raft.New(raft.Settings{Name: name, ElectionTicks: 10, HeartbeatTicks: 2}, bootstrap)
	}
	var step func(name string, input raft.Input) raft.Output
	step = func(name string, input raft.Input) raft.Output {
		output := cores[name].Step(input)
		for _, entry := range output.CommittedEntries {
			if entry.Kind == raft.EntryCommand && name == "a" {
				fmt.Printf("%s applies %q\n", name, entry.Data)
			}
		}
		if output.Write != nil { // a real driver makes it durable first
			step(name, raft.Input{Kind: raft.InputSynced, Number: output.Write.Number})
		}
		for _, message := range output.Messages {
			step(message.To, raft.Input{Kind: raft.InputMessage, Message: message})
		}
		return output
	}
	for !cores["a"].Status().Leading {
		step("a", raft.Input{Kind: raft.InputTick})
	}
	output := step("a", raft.Input{Kind: raft.InputPropose, Data: []byte("put x 1")})
	fmt.Println("proposed:", output.ProposedIndex > 0)
	// Output:
	// a applies "put x 1"
	// proposed: true
}
