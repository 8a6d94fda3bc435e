package raft

import "testing"

// A peer that comes back after a cut gets what it missed about once, though every
// append that waited for it is refused.
func TestReconnectedPeerReceivesMissedEntriesOnce(t *testing.T) {
	names := []string{"a", "b", "c"}
	cores := map[string]*Core{}
	waiting := map[string][]Message{} // for peers that are cut off
	cut := map[string]bool{}
	sent := 0 // bytes of entries to c
	var deliver func(messages []Message)
	step := func(name string, input Input) Output {
		output := cores[name].Step(input)
		for output.Write != nil || len(output.Messages) > 0 {
			messages := output.Messages
			if output.Write != nil {
				next := cores[name].Step(Input{Kind: InputSynced, Number: output.Write.Number})
				messages = append(messages, next.Messages...)
				output = Output{Write: next.Write}
			} else {
				output = Output{}
			}
			deliver(messages)
		}
		return output
	}
	deliver = func(messages []Message) {
		for _, message := range messages {
			if message.To == "c" {
				for _, entry := range message.Entries {
					sent += len(entry.Data)
				}
			}
			if cut[message.To] || cut[message.From] {
				waiting[message.To] = append(waiting[message.To], message)
				continue
			}
			step(message.To, Input{Kind: InputMessage, Message: message})
		}
	}
	for position, name := range names {
		cores[name] = New(Settings{Name: name, ElectionTicks: 10, HeartbeatTicks: 2, Seed: uint64(position)}, PersistentState{
			Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: names}}, HardState: HardState{Term: 1}})
	}
	for range 40 {
		step("a", Input{Kind: InputTick})
		if cores["a"].Status().Leading {
			break
		}
	}
	if !cores["a"].Status().Leading {
		t.Fatal("a was not elected")
	}
	cut["c"] = true
	logged := 0
	for range 300 {
		data := make([]byte, 1000)
		logged += len(data)
		step("a", Input{Kind: InputPropose, Data: data})
		step("a", Input{Kind: InputTick})
		step("b", Input{Kind: InputTick})
	}
	before := sent
	cut["c"] = false
	late := waiting["c"]
	waiting["c"] = nil
	deliver(late)
	for range 30 {
		step("a", Input{Kind: InputTick})
	}
	if matched, last := cores["a"].Status().MatchIndex["c"], cores["a"].Status().LastIndex; matched != last {
		t.Fatalf("c holds the log up to %d of %d", matched, last)
	}
	if sent > 2*logged || before > logged/4 {
		t.Fatalf("%d bytes were sent for c, %d of them while it was cut off, for a log of %d", sent, before, logged)
	}
}
