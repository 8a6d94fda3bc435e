package replica

import (
	"time"

	"yardrock.example/system/raft"
)

// loop runs the goroutine that owns the host's state, until stopping is closed.
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
			for _, callback := range job.callbacks {
				callback()
			}
		case <-host.stopping:
			host.failPending()
			return
		}
		host.flush()
	}
}

// runQueuedActions runs the actions that are already queued, so that one flush serves them all.
// Their number is bounded so that ticks are not delayed.
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

// runOnLoop runs a function on the loop and waits for it to return. It returns false if the host
// has stopped, in which case the function may or may not have run. It must not be called from
// the loop.
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

// enqueue queues a function for the loop without waiting for it to run. It blocks while the
// queue is full.
func (host *Host) enqueue(action func()) {
	select {
	case host.actions <- action:
	case <-host.stopped:
	}
}

// tick advances all groups by one tick. A node whose disk has stalled transfers its leadership,
// since a leader that cannot write delays every commit of its groups.
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

func (host *Host) publishStatuses() {
	statuses, logBytes := make(map[uint32]raft.Status, len(host.groups)), 0
	for groupID, group := range host.groups {
		statuses[groupID] = group.core.Status()
		logBytes += group.bytesSinceSnapshot
	}
	host.stats.logMemoryBytes.Store(int64(logBytes))
	host.statuses.Store(&statuses)
}

// flush hands over the results of a loop iteration: messages to the transport, and records to
// the disk goroutine.
func (host *Host) flush() {
	for to, messages := range host.outbox {
		host.transport.Send(to, messages)
	}
	clear(host.outbox)
	if host.runningJob == nil && (len(host.pendingRecords) > 0 || len(host.pendingCallbacks) > 0) {
		host.startDiskJob()
	}
}

// startDiskJob passes all pending records to the disk goroutine, which must be idle. If they
// would make the log exceed the compaction threshold, the job is instead a snapshot of the
// complete state, which includes them.
func (host *Host) startDiskJob() {
	job := &diskJob{records: host.pendingRecords, callbacks: host.pendingCallbacks, started: time.Now()}
	// Pending records count, since a single job may contain a large entry and a group's snapshot.
	logBytes := host.durableLog.LogBytes() + dataBytes(job.records)
	if logBytes > host.settings.compactionThreshold(host.durableLog.SnapshotBytes()) {
		job.snapshot, job.records = host.snapshotRecords(), nil
	}
	host.pendingRecords, host.pendingCallbacks, host.runningJob = nil, nil, job
	host.diskJobs <- job // the disk goroutine is idle, so this does not block
}

// failPending stops the disk goroutine and fails all pending proposals and reads.
func (host *Host) failPending() {
	close(host.diskJobs)
	for _, group := range host.groups {
		for _, pending := range group.proposals {
			pending.result <- proposalResult{commandIndex: pending.commandIndex, err: outcomeUnknownError()}
		}
		for _, result := range group.reads {
			result <- notLeaderError(nil)
		}
	}
}
