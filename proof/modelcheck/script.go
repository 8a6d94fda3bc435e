package modelcheck

import (
	"fmt"
	"slices"

	"yardrock.example/system/raft"
)

// settleLimit is more actions than any group of a scenario needs to become quiet.
const settleLimit = 1000

// Script brings a World to where a scenario begins, and keeps what it did.
type Script struct {
	world *World
	lines []string
}

func newScript(model *Model) *Script { return &Script{world: NewWorld(model)} }

// Do does one action, which must be possible.
func (script *Script) Do(action Action) {
	line := action.describe(script.world)
	if !script.world.Apply(action) {
		panic(fmt.Sprintf("the scenario's script cannot %s", line))
	}
	script.lines = append(script.lines, line)
}

// Settle delivers all messages between the named replicas, and lets their disks write,
// until nothing is left to do. Messages from or to others stay in flight.
func (script *Script) Settle(names ...string) {
	for range settleLimit {
		if !script.settleOnce(names) {
			return
		}
	}
	panic("the scenario's script never settles")
}

func (script *Script) settleOnce(names []string) bool {
	for _, name := range names {
		if len(script.world.replica(name).pending) > 0 {
			script.Do(Action{Kind: ActionSync, Replica: name})
			return true
		}
	}
	for _, sent := range script.world.inFlight {
		if slices.Contains(names, sent.message.From) && slices.Contains(names, sent.message.To) {
			script.Do(Action{Kind: ActionDeliver, Replica: sent.message.To, Message: sent.key})
			return true
		}
	}
	return false
}

// DropAll loses all messages in flight.
func (script *Script) DropAll() { script.drop(func(*raft.Message) bool { return true }) }

// drop loses the messages in flight that are chosen.
func (script *Script) drop(chosen func(*raft.Message) bool) {
	for _, sent := range slices.Clone(script.world.inFlight) {
		if chosen(sent.message) {
			script.Do(Action{Kind: ActionDrop, Replica: sent.message.To, Message: sent.key})
		}
	}
}

// appendAt returns the delivery of the append whose first entry is at an index.
func (script *Script) appendAt(receiver string, index uint64) Action {
	for _, sent := range script.world.inFlight {
		entries := sent.message.Entries
		if sent.message.To == receiver && len(entries) > 0 && entries[0].Index == index {
			return Action{Kind: ActionDeliver, Replica: receiver, Message: sent.key}
		}
	}
	panic(fmt.Sprintf("the scenario's script finds no append of %d on its way to %s", index, receiver))
}

// requireCommit makes sure that a replica has come as far as the scenario needs it.
func (script *Script) requireCommit(name string, index uint64) {
	if reached := script.world.replica(name).status.CommitIndex; reached != index {
		panic(fmt.Sprintf("the scenario's script has %s commit %d, not %d", name, reached, index))
	}
}

// messagesOf returns all messages of a kind that are on their way to a replica.
func (script *Script) messagesOf(receiver string, kind raft.MessageKind) []raft.Message {
	found := []raft.Message{}
	for _, sent := range script.world.inFlight {
		if sent.message.To == receiver && sent.message.Kind == kind {
			found = append(found, *sent.message)
		}
	}
	return found
}

// deliverLate puts a copy of an earlier message in flight, as if it had been there since.
func (script *Script) deliverLate(message raft.Message) {
	script.world.send(message)
	script.lines = append(script.lines, "a copy is still in flight: "+describeMessage(&message))
}

// Tick lets one tick go by at a replica.
func (script *Script) Tick(name string) { script.Do(Action{Kind: ActionTick, Replica: name}) }

// Propose appends a command at a leader.
func (script *Script) Propose(name string) { script.Do(Action{Kind: ActionPropose, Replica: name}) }

// Change changes a leader's membership.
func (script *Script) Change(name string, change ChangeKind, peer string) {
	script.Do(Action{Kind: ActionChange, Replica: name, Change: change, Peer: peer})
}

// Compact replaces a replica's applied log by a snapshot.
func (script *Script) Compact(name string) { script.Do(Action{Kind: ActionCompact, Replica: name}) }

// Win has a replica elected by itself and its supporters, whose leases end first. It
// stops when the replica leads: what it sends as a leader is in flight.
func (script *Script) Win(name string, supporters ...string) {
	among := append([]string{name}, supporters...)
	for _, one := range among {
		for script.world.replica(one).status.Leading {
			script.Tick(one) // nobody answers, so its quorum check ends its lead
		}
	}
	for _, supporter := range supporters {
		script.Tick(supporter)
	}
	script.DropAll()
	script.Tick(name)
	const attempts = 3 // the first may only tell it of a later term
	for attempt := 1; !script.world.replica(name).status.Leading; {
		if script.settleOnce(among) {
			continue
		}
		if attempt++; attempt > attempts {
			panic(fmt.Sprintf("the scenario's script cannot have %s elected", name))
		}
		script.Tick(name)
	}
}

// Commit has a leader commit all that it has with the help of others.
func (script *Script) Commit(name string, helpers ...string) {
	among := append([]string{name}, helpers...)
	script.Settle(among...)
	script.Tick(name)
	script.Settle(among...)
	status := script.world.replica(name).status
	if status.CommitIndex != status.LastIndex {
		panic(fmt.Sprintf("the scenario's script has %s commit %d of %d", name, status.CommitIndex, status.LastIndex))
	}
}
