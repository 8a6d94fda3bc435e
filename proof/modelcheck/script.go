package modelcheck

import (
	"fmt"
	"slices"

	"yardrock.example/system/raft"
)

// maxSettleActions bounds Settle; no scenario needs as many actions to become quiescent.
const maxSettleActions = 1000

// Script brings a World to the initial state of a scenario and records its actions.
type Script struct {
	world *World
	lines []string
}

func newScript(model *Model) *Script { return &Script{world: NewWorld(model)} }

// Do applies one action. It panics if the action is not enabled.
func (script *Script) Do(action Action) {
	line := action.describe(script.world)
	if !script.world.Apply(action) {
		panic(fmt.Sprintf("scenario script: action is not enabled: %s", line))
	}
	script.lines = append(script.lines, line)
}

// Settle syncs the disks of the named replicas and delivers the messages between them until
// none are left. Messages from or to others stay in flight.
func (script *Script) Settle(names ...string) {
	for range maxSettleActions {
		if !script.settleOnce(names) {
			return
		}
	}
	panic("scenario script: the group does not become quiescent")
}

func (script *Script) settleOnce(names []string) bool {
	for _, name := range names {
		if len(script.world.replica(name).pending) > 0 {
			script.Do(Action{Kind: ActionSync, Replica: name})
			return true
		}
	}
	for _, p := range script.world.inFlight {
		if slices.Contains(names, p.message.From) && slices.Contains(names, p.message.To) {
			script.Do(Action{Kind: ActionDeliver, Replica: p.message.To, Message: p.key})
			return true
		}
	}
	return false
}

// DropAll drops all messages in flight.
func (script *Script) DropAll() { script.drop(func(*raft.Message) bool { return true }) }

// drop drops the messages in flight that match.
func (script *Script) drop(match func(*raft.Message) bool) {
	for _, p := range slices.Clone(script.world.inFlight) {
		if match(p.message) {
			script.Do(Action{Kind: ActionDrop, Replica: p.message.To, Message: p.key})
		}
	}
}

// appendDelivery returns the action that delivers the append whose first entry is at an
// index.
func (script *Script) appendDelivery(receiver string, index uint64) Action {
	for _, p := range script.world.inFlight {
		entries := p.message.Entries
		if p.message.To == receiver && len(entries) > 0 && entries[0].Index == index {
			return Action{Kind: ActionDeliver, Replica: receiver, Message: p.key}
		}
	}
	panic(fmt.Sprintf("scenario script: no append of index %d to %s is in flight", index, receiver))
}

// requireCommit panics unless a replica's commit index is the one the scenario requires.
func (script *Script) requireCommit(name string, index uint64) {
	if committed := script.world.replica(name).status.CommitIndex; committed != index {
		panic(fmt.Sprintf("scenario script: %s has commit index %d, want %d", name, committed, index))
	}
}

// messagesTo returns all messages of a kind in flight to a replica.
func (script *Script) messagesTo(receiver string, kind raft.MessageKind) []raft.Message {
	found := []raft.Message{}
	for _, p := range script.world.inFlight {
		if p.message.To == receiver && p.message.Kind == kind {
			found = append(found, *p.message)
		}
	}
	return found
}

// addInFlight adds a message as if a copy of it had been in flight since it was sent.
func (script *Script) addInFlight(message raft.Message) {
	script.world.send(message)
	script.lines = append(script.lines, "a copy is still in flight: "+describeMessage(&message))
}

// Tick advances a replica by one tick.
func (script *Script) Tick(name string) { script.Do(Action{Kind: ActionTick, Replica: name}) }

// Propose proposes a command to a leader.
func (script *Script) Propose(name string) { script.Do(Action{Kind: ActionPropose, Replica: name}) }

// Change requests a membership change from a leader.
func (script *Script) Change(name string, change ChangeKind, peer string) {
	script.Do(Action{Kind: ActionChange, Replica: name, Change: change, Peer: peer})
}

// Compact replaces the applied part of a replica's log with a snapshot.
func (script *Script) Compact(name string) { script.Do(Action{Kind: ActionCompact, Replica: name}) }

// Elect makes a replica leader with the votes of voters, whose leader leases expire first.
// It returns as soon as the replica is leader; the messages it then sent are in flight.
func (script *Script) Elect(name string, voters ...string) {
	names := append([]string{name}, voters...)
	for _, member := range names {
		for script.world.replica(member).status.Leading {
			script.Tick(member) // gets no replies, so the quorum check makes it step down
		}
	}
	for _, voter := range voters {
		script.Tick(voter)
	}
	script.DropAll()
	script.Tick(name)
	const attempts = 3 // the first attempt may only make it learn of a later term
	for attempt := 1; !script.world.replica(name).status.Leading; {
		if script.settleOnce(names) {
			continue
		}
		if attempt++; attempt > attempts {
			panic(fmt.Sprintf("scenario script: %s is not elected", name))
		}
		script.Tick(name)
	}
}

// Commit makes a leader commit its whole log by replicating it to followers.
func (script *Script) Commit(name string, followers ...string) {
	names := append([]string{name}, followers...)
	script.Settle(names...)
	script.Tick(name)
	script.Settle(names...)
	status := script.world.replica(name).status
	if status.CommitIndex != status.LastIndex {
		panic(fmt.Sprintf("scenario script: %s has commit index %d, want last index %d", name, status.CommitIndex, status.LastIndex))
	}
}
