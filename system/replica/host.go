package replica

import (
	"sync"
	"sync/atomic"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
)

// Host runs the replicas of one node. Its methods may be called from any goroutine but the
// loop, that is, not by a state machine. Those that need the loop wait for their turn on it; the
// loop itself does not wait for the disk or the network.
type Host struct {
	settings        Settings
	name            string
	newStateMachine func(group uint32) StateMachine
	transport       *Transport
	// durableLog belongs to the disk goroutine, except for the sizes: the loop reads them
	// while no job runs.
	durableLog *durablelog.Log

	// actions are functions that are to run on the loop.
	actions chan func()
	// diskJobs and finishedJobs connect the loop and the disk goroutine. At most one job is
	// under way.
	diskJobs     chan *diskJob
	finishedJobs chan *diskJob
	// stopping is closed by Close, stopped by the loop when it ends, and diskStopped by the
	// disk goroutine.
	stopping    chan struct{}
	stopped     chan struct{}
	diskStopped chan struct{}

	// The following fields belong to the loop.

	groups map[uint32]*raftGroup
	// removed are the groups that have moved away from here.
	removed map[uint32]bool
	// values are what StoreValue stored.
	values map[uint32][]byte
	// pendingRecords are to be written with the next disk job, and pendingCallbacks to be
	// called once it is durable.
	pendingRecords   []durablelog.Record
	pendingCallbacks []func()
	// runningJob is the job of the disk goroutine, or nil.
	runningJob *diskJob
	// outbox has the messages of this turn of the loop, by receiver.
	outbox map[string][]raft.Message
	// lastReadID is the context of the last read.
	lastReadID uint64
	ticks      uint64
	// encoding says that a snapshot of a group is being encoded.
	encoding bool

	figures hostFigures
	// statuses is a copy of all groups' statuses, replaced at each tick.
	statuses atomic.Pointer[map[uint32]raft.Status]
	// connections maps the contexts of the connections on which messages came to the peer.
	connections sync.Map
}

// Name returns the name of the data folder, which is this node's name in every group.
func (host *Host) Name() string { return host.name }

// Statuses returns the status of every group here, as of the last tick. The map must not be
// changed.
func (host *Host) Statuses() map[uint32]raft.Status { return *host.statuses.Load() }

// Status returns the present status of a group; found is false if it is not here or the host
// has stopped.
func (host *Host) Status(groupID uint32) (status raft.Status, found bool) {
	host.runOnLoop(func() {
		if group := host.groups[groupID]; group != nil {
			status, found = group.core.Status(), true
		}
	})
	return status, found
}

// StateMachine returns a group's state machine, or nil if the group is not here. The state
// machine itself must allow what its caller does beside the loop.
func (host *Host) StateMachine(groupID uint32) StateMachine {
	var stateMachine StateMachine
	host.runOnLoop(func() {
		if group := host.groups[groupID]; group != nil {
			stateMachine = group.stateMachine
		}
	})
	return stateMachine
}

// Close stops the host and its transport. Proposals and reads that wait fail. It must be called
// once.
//
// Close does not wait for the write that the disk goroutine has begun: a stalled disk would keep
// the process from ending, and a loss of power does not wait either. The write goes on until it
// has succeeded or failed, and then diskStopped is closed; before that nobody else may open or
// remove the data folder in this process. What is not durable yet may be lost.
func (host *Host) Close() {
	close(host.stopping)
	<-host.stopped
	host.transport.Close()
}
