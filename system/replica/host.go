package replica

import (
	"sync"
	"sync/atomic"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
)

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

// Syncs counts the synced frames of this node.
//
//	syncs := host.Syncs()
func (host *Host) Syncs() uint64 { return host.durableLog.Syncs() }

// Close stops the loop. What was not synced may be lost.
//
//	host.Close()
func (host *Host) Close() {
	close(host.stopping)
	<-host.stopped
	host.transport.Close()
}
