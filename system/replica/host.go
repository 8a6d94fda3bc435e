package replica

import (
	"sync"
	"sync/atomic"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
)

// Host runs the replicas of one node. Its methods may be called from any goroutine except the
// loop, so not by a state machine. Methods that access the state wait for the loop; the loop
// itself never waits for the disk or the network.
type Host struct {
	settings        Settings
	name            string
	newStateMachine func(group uint32) StateMachine
	transport       *Transport
	// durableLog is owned by the disk goroutine. The loop reads its sizes while no job runs.
	durableLog *durablelog.Log

	// actions are functions to be run on the loop.
	actions chan func()
	// diskJobs and finishedJobs connect the loop and the disk goroutine. At most one job is in
	// progress.
	diskJobs     chan *diskJob
	finishedJobs chan *diskJob
	// stopping is closed by Close, stopped by the loop when it ends, and diskStopped by the
	// disk goroutine.
	stopping    chan struct{}
	stopped     chan struct{}
	diskStopped chan struct{}

	// The following fields are owned by the loop.

	groups map[uint32]*raftGroup
	// deletedReplicas is the set of groups whose replica on this node was deleted.
	deletedReplicas map[uint32]bool
	// values are the values stored by StoreValue, by key.
	values map[uint32][]byte
	// pendingRecords are written with the next disk job, and pendingCallbacks called once it is
	// durable.
	pendingRecords   []durablelog.Record
	pendingCallbacks []func()
	// runningJob is the job in progress on the disk goroutine, or nil.
	runningJob *diskJob
	// outbox contains the messages of the current loop iteration, by receiver.
	outbox map[string][]raft.Message
	// lastReadID is the read context of the most recent read.
	lastReadID uint64
	ticks      uint64
	// encodingSnapshot is true while a snapshot of any group is being encoded.
	encodingSnapshot bool

	stats hostStats
	// statuses is a copy of the statuses of all groups, replaced at each tick.
	statuses atomic.Pointer[map[uint32]raft.Status]
	// connections maps the context of each incoming connection to the name of its peer.
	connections sync.Map
}

// Name returns the name of the data directory, which is this node's name in every group.
func (host *Host) Name() string { return host.name }

// Statuses returns the status of every group on this node as of the last tick. The map must not
// be modified.
func (host *Host) Statuses() map[uint32]raft.Status { return *host.statuses.Load() }

// Status returns the current status of a group. found is false if the group is not on this node
// or the host has stopped.
func (host *Host) Status(groupID uint32) (status raft.Status, found bool) {
	host.runOnLoop(func() {
		if group := host.groups[groupID]; group != nil {
			status, found = group.core.Status(), true
		}
	})
	return status, found
}

// StateMachine returns the state machine of a group, or nil if the group is not on this node.
// The state machine is responsible for synchronizing calls from outside the loop.
func (host *Host) StateMachine(groupID uint32) StateMachine {
	var stateMachine StateMachine
	host.runOnLoop(func() {
		if group := host.groups[groupID]; group != nil {
			stateMachine = group.stateMachine
		}
	})
	return stateMachine
}

// Close stops the host and its transport, and fails pending proposals and reads. It must be
// called exactly once.
//
// Close does not wait for a write in progress, since a stalled disk would keep the process from
// exiting. The write continues until it succeeds or fails, and then diskStopped is closed; until
// then the data directory must not be opened again or removed in this process. Writes that are
// not durable yet may be lost.
func (host *Host) Close() {
	close(host.stopping)
	<-host.stopped
	host.transport.Close()
}
