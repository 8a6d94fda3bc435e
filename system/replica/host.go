// Package replica is the shell round the agreement core: one host runs all
// groups of a node on one loop, one data folder and one courier.
package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

// StateMachine is the state machine of one group. Apply, Restore and Image are called
// from the host's loop only. What Image gives encodes the content as it is now, and
// may be called at leisure elsewhere.
type StateMachine interface {
	Apply(entry raft.Entry) any
	Snapshot() func() []byte
	Restore(data []byte) error
}

// Settings fix a host's pace.
type Settings struct {
	Tick            time.Duration
	ElectionTicks   int
	HeartbeatTicks  int
	SnapshotEntries uint64
	CompactionBytes int64
	// DiskBytes is the size of the disk that the data folder is on; 0 is not known.
	DiskBytes int64
	Seed      uint64
	// StallTimeout is how long a sync may hang before leadership is handed over.
	StallTimeout time.Duration
}

// DefaultSettings gives the settings that daemons run with.
//
//	settings := replica.DefaultSettings(seed)
func DefaultSettings(seed uint64) Settings {
	return Settings{Tick: 50 * time.Millisecond, ElectionTicks: 14, HeartbeatTicks: 4, SnapshotEntries: 2048, CompactionBytes: 16 << 20, Seed: seed, StallTimeout: time.Second}
}

type raftGroup struct {
	core         *raft.Core
	stateMachine StateMachine
	proposals    map[uint64]proposal
	reads        map[uint64]chan error
	// bytesSinceSnapshot counts the bytes applied since the last checkpoint, pointed the bytes of
	// that checkpoint; imaging tells that the next is being made.
	bytesSinceSnapshot int
	snapshotBytes      int
	snapshotting       bool
}

// Host runs the replicas of one node.
type Host struct {
	settings        Settings
	name            string
	durableLog      *durablelog.Log
	newStateMachine func(group uint32) StateMachine
	transport       *Transport

	actions      chan func()
	diskJobs     chan *diskJob
	finishedJobs chan *diskJob
	stopping     chan struct{}
	stopped      chan struct{}

	groups           map[uint32]*raftGroup
	values           map[uint32][]byte
	pendingRecords   []durablelog.Record
	pendingCallbacks []func()
	runningJob       *diskJob
	outbox           map[string][]raft.Message
	lastReadID       uint64
	ticks            uint64
	removed          map[uint32]bool
	statuses         atomic.Pointer[map[uint32]raft.Status]
	// connections are those on which peers' messages came, with the peer.
	connections sync.Map
}

// Name is the disk's identity.
//
//	name := host.Name()
func (host *Host) Name() string { return host.name }

// runOnLoop runs a function on the loop; false means that the host has stopped.
func (host *Host) runOnLoop(action func()) bool {
	done := make(chan struct{})
	select {
	case host.actions <- func() { action(); close(done) }:
	case <-host.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-host.stopped:
		return false
	}
}

// enqueue has a function run on the loop some time.
func (host *Host) enqueue(action func()) {
	select {
	case host.actions <- action:
	case <-host.stopped:
	}
}

func (host *Host) loop() {
	defer close(host.stopped)
	ticker := time.NewTicker(host.settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case action := <-host.actions:
			action()
			host.runQueuedActions()
		case <-ticker.C:
			host.tick()
		case job := <-host.finishedJobs:
			host.runningJob = nil
			for _, done := range job.callbacks {
				done()
			}
		case <-host.stopping:
			host.failPending()
			return
		}
		host.flush()
	}
}

func (host *Host) runQueuedActions() {
	for range cap(host.actions) {
		select {
		case action := <-host.actions:
			action()
		default:
			return
		}
	}
}

func (host *Host) tick() {
	host.ticks++
	stalled := host.runningJob != nil && time.Since(host.runningJob.started) > host.settings.StallTimeout
	for groupID, group := range host.groups {
		host.step(groupID, raft.Input{Kind: raft.InputTick, Number: host.ticks})
		if _, leading := group.core.Leading(); stalled && leading {
			host.transferLeadership(groupID, group)
		}
	}
	host.publishStatuses()
}

// flush hands the disk its next job and the courier its messages.
func (host *Host) flush() {
	for to, messages := range host.outbox {
		host.transport.Send(to, messages)
	}
	clear(host.outbox)
	if host.runningJob == nil && (len(host.pendingRecords) > 0 || len(host.pendingCallbacks) > 0) {
		job := &diskJob{records: host.pendingRecords, callbacks: host.pendingCallbacks, started: time.Now()}
		if host.durableLog.LogBytes() > host.settings.compactionThreshold(host.durableLog.SnapshotBytes()) {
			job.snapshot, job.records = host.snapshotRecords(), nil
		}
		host.pendingRecords, host.pendingCallbacks, host.runningJob = nil, nil, job
		host.diskJobs <- job
	}
}

func (host *Host) publishStatuses() {
	statuses := make(map[uint32]raft.Status, len(host.groups))
	for groupID, group := range host.groups {
		statuses[groupID] = group.core.Status()
	}
	host.statuses.Store(&statuses)
}

func (host *Host) step(groupID uint32, input raft.Input) raft.Output {
	group := host.groups[groupID]
	output := group.core.Step(input)
	if output.Snapshot != nil {
		group.handleRestored(output.Snapshot)
	}
	if output.SnapshotRejected != nil {
		host.logSnapshotRejection(groupID, output.SnapshotRejected)
	}
	for _, entry := range output.CommittedEntries {
		host.applyEntry(group, entry)
	}
	if output.Write != nil {
		kept := wire.StoredWrite{HardState: output.Write.HardState, Entries: output.Write.Entries}
		if output.Write.Snapshot != nil {
			kept.HasSnapshot, kept.Snapshot = true, *output.Write.Snapshot
		}
		host.pendingRecords = append(host.pendingRecords, encodeWrite(groupID, kept)...)
		written := output.Write.Number
		host.pendingCallbacks = append(host.pendingCallbacks, func() {
			if host.groups[groupID] == group {
				host.step(groupID, raft.Input{Kind: raft.InputSynced, Number: written})
			}
		})
	}
	for _, message := range output.Messages {
		host.outbox[message.To] = append(host.outbox[message.To], message)
	}
	for _, answer := range output.ReadResults {
		waiting := group.reads[answer.Context]
		delete(group.reads, answer.Context)
		if waiting != nil && answer.Rejected {
			waiting <- host.notLeader(group)
		} else if waiting != nil {
			waiting <- nil
		}
	}
	host.maybeSnapshot(groupID, group)
	return output
}

func (host *Host) applyEntry(group *raftGroup, entry raft.Entry) {
	var outcome any
	group.bytesSinceSnapshot += len(entry.Data) + entryOverheadBytes
	if entry.Kind == raft.EntryCommand {
		outcome = group.stateMachine.Apply(entry)
	}
	waiting, found := group.proposals[entry.Index]
	if !found {
		return
	}
	delete(group.proposals, entry.Index)
	answer := proposalResult{commandIndex: waiting.commandIndex, outcome: outcome}
	if waiting.term != entry.Term {
		answer = proposalResult{commandIndex: waiting.commandIndex, err: host.notLeader(group)}
	}
	waiting.result <- answer
}

// isFromLeader tells whether only a leader sends messages of this kind.
func isFromLeader(kind raft.MessageKind) bool {
	return kind == raft.MessageAppend || kind == raft.MessageSnapshot || kind == raft.MessageSnapshotChunk
}

// Receive takes a peer's messages, and does not wait until they are worked off. A
// group that a leader speaks of and that is not here yet starts empty. When the
// connection on which they came ends, the peer may be gone.
//
//	host.Receive(link.Connection(ctx), query.Agreement.Messages)
func (host *Host) Receive(connection context.Context, messages []raft.Message) {
	if len(messages) == 0 {
		return
	}
	peer := messages[0].From
	if _, known := host.connections.LoadOrStore(connection, peer); !known {
		context.AfterFunc(connection, func() {
			host.connections.Delete(connection)
			host.suspect(peer)
		})
	}
	host.enqueue(func() {
		for _, message := range messages {
			if message.To != host.name {
				continue
			}
			if host.groups[message.Group] == nil {
				if !isFromLeader(message.Kind) {
					continue
				}
				if err := host.addGroup(message.Group, raft.PersistentState{}); err != nil {
					continue
				}
				delete(host.removed, message.Group)
			}
			host.step(message.Group, raft.Input{Kind: raft.InputMessage, Message: message})
		}
	})
}

func (host *Host) suspect(peer string) {
	host.enqueue(func() {
		for groupID := range host.groups {
			host.step(groupID, raft.Input{Kind: raft.InputSuspect, Peer: peer})
		}
	})
}

// Statuses gives what every group here believes, as of the last loop.
//
//	for number, status := range host.Statuses() { ... }
func (host *Host) Statuses() map[uint32]raft.Status { return *host.statuses.Load() }

// Status gives what one group here believes right now; false tells that it is not here.
//
//	status, here := host.Status(7)
func (host *Host) Status(groupID uint32) (status raft.Status, here bool) {
	host.runOnLoop(func() {
		if group := host.groups[groupID]; group != nil {
			status, here = group.core.Status(), true
		}
	})
	return status, here
}

// StateMachine gives a group's state machine, or nil.
//
//	machine := host.StateMachine(7)
func (host *Host) StateMachine(groupID uint32) StateMachine {
	var stateMachine StateMachine
	host.runOnLoop(func() {
		if group := host.groups[groupID]; group != nil {
			stateMachine = group.stateMachine
		}
	})
	return stateMachine
}

// Close stops the loop. What was not synced may be lost.
//
//	host.Close()
func (host *Host) Close() {
	close(host.stopping)
	<-host.stopped
	host.transport.Close()
}
