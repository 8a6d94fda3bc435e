package raft

import "testing"

// partitionedGroup is a group of three replicas, one of which can be isolated: messages to and
// from it are delayed. All other messages are delivered, and all writes synced, within the step.
type partitionedGroup struct {
	cores           map[string]*Core
	isolated        string
	delayedMessages []Message
	// sentBytes is the total size of the entries sent to c.
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
		if message.To == group.isolated || message.From == group.isolated {
			group.delayedMessages = append(group.delayedMessages, message)
			continue
		}
		group.step(message.To, Input{Kind: InputMessage, Message: message})
	}
}

// reconnect ends the partition and delivers the delayed messages to c; those from c are lost.
func (group *partitionedGroup) reconnect() {
	delayed := group.delayedMessages
	group.isolated, group.delayedMessages = "", nil
	for _, message := range delayed {
		if message.To == "c" {
			group.deliver([]Message{message})
		}
	}
}

// Rejections of appends that were delayed by a partition must not cause the missed entries to be
// sent repeatedly.
func TestReconnectedPeerReceivesMissedEntriesOnce(t *testing.T) {
	group := newPartitionedGroup()
	leader := group.cores["a"]
	for ticks := 0; ticks < 40 && !leader.Status().Leading; ticks++ {
		group.step("a", Input{Kind: InputTick})
	}
	if !leader.Status().Leading {
		t.Fatal("a was not elected")
	}
	group.isolated = "c"
	loggedBytes := 0
	for range 300 {
		data := make([]byte, 1000)
		loggedBytes += len(data)
		group.step("a", Input{Kind: InputPropose, Data: data})
		group.step("a", Input{Kind: InputTick})
		group.step("b", Input{Kind: InputTick})
	}
	sentBefore := group.sentBytes
	group.reconnect()
	for range 30 {
		group.step("a", Input{Kind: InputTick})
	}
	if matched, last := leader.Status().MatchIndex["c"], leader.Status().LastIndex; matched != last {
		t.Fatalf("c matches the leader's log up to index %d of %d", matched, last)
	}
	if group.sentBytes > 2*loggedBytes || sentBefore > loggedBytes/4 {
		t.Fatalf("%d bytes were sent to c, %d of them while it was isolated, for a log of %d bytes", group.sentBytes, sentBefore, loggedBytes)
	}
}
