package raft

import "testing"

// partitionedGroup is a group of three replicas, of which one may be cut off: messages to and
// from it wait. All other messages arrive, and all disks sync, within the step.
type partitionedGroup struct {
	cores   map[string]*Core
	cut     string
	waiting []Message
	// sentBytes counts the bytes of entries that were sent to c.
	sentBytes int
}

func newPartitionedGroup() *partitionedGroup {
	group := &partitionedGroup{cores: map[string]*Core{}}
	names := []string{"a", "b", "c"}
	for position, name := range names {
		group.cores[name] = New(Settings{Name: name, ElectionTicks: 10, HeartbeatTicks: 2, Seed: uint64(position)}, PersistentState{
			Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: names}}, HardState: HardState{Term: 1}})
	}
	return group
}

func (group *partitionedGroup) step(name string, input Input) {
	output := group.cores[name].Step(input)
	for output.Write != nil || len(output.Messages) > 0 {
		messages := output.Messages
		if output.Write != nil {
			next := group.cores[name].Step(Input{Kind: InputSynced, Number: output.Write.Number})
			messages = append(messages, next.Messages...)
			output = Output{Write: next.Write}
		} else {
			output = Output{}
		}
		group.deliver(messages)
	}
}

func (group *partitionedGroup) deliver(messages []Message) {
	for _, message := range messages {
		if message.To == "c" {
			for _, entry := range message.Entries {
				group.sentBytes += len(entry.Data)
			}
		}
		if message.To == group.cut || message.From == group.cut {
			group.waiting = append(group.waiting, message)
			continue
		}
		group.step(message.To, Input{Kind: InputMessage, Message: message})
	}
}

// reconnect ends the partition and delivers the messages to c that waited; those from it are
// lost.
func (group *partitionedGroup) reconnect() {
	late := group.waiting
	group.cut, group.waiting = "", nil
	for _, message := range late {
		if message.To == "c" {
			group.deliver([]Message{message})
		}
	}
}

// A peer that reconnects gets what it missed about once, though every append that waited for
// it is rejected.
func TestReconnectedPeerReceivesMissedEntriesOnce(t *testing.T) {
	group := newPartitionedGroup()
	leader := group.cores["a"]
	for ticks := 0; ticks < 40 && !leader.Status().Leading; ticks++ {
		group.step("a", Input{Kind: InputTick})
	}
	if !leader.Status().Leading {
		t.Fatal("a was not elected")
	}
	group.cut = "c"
	logged := 0
	for range 300 {
		data := make([]byte, 1000)
		logged += len(data)
		group.step("a", Input{Kind: InputPropose, Data: data})
		group.step("a", Input{Kind: InputTick})
		group.step("b", Input{Kind: InputTick})
	}
	before := group.sentBytes
	group.reconnect()
	for range 30 {
		group.step("a", Input{Kind: InputTick})
	}
	if matched, last := leader.Status().MatchIndex["c"], leader.Status().LastIndex; matched != last {
		t.Fatalf("c has the log up to %d of %d", matched, last)
	}
	if group.sentBytes > 2*logged || before > logged/4 {
		t.Fatalf("%d bytes were sent to c, %d of them while it was cut off, for a log of %d", group.sentBytes, before, logged)
	}
}
