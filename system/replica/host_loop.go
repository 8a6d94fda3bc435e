package replica

import (
	"time"

	"yardrock.example/system/raft"
)

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

func (host *Host) failPending() {
	close(host.diskJobs)
	for _, group := range host.groups {
		for _, waiting := range group.proposals {
			waiting.result <- proposalResult{commandIndex: waiting.commandIndex, err: outcomeUnknown()}
		}
		for _, waiting := range group.reads {
			waiting <- host.notLeader(nil)
		}
	}
}
