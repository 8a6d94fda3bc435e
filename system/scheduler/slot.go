package scheduler

import (
	"sync"
	"time"

	"yardrock.example/system/feed"
)

// Outcome is how a slot was used, as far as it says something about the runner.
type Outcome int

// The outcomes of a slot.
const (
	// NotSent: no byte of the request was sent.
	NotSent Outcome = iota
	// Answered: the runner completed the work.
	Answered
	// Faulted: the response was broken, in a way that does not suggest a restart.
	Faulted
	// Lost: the runner refused the connection, was not there or went away. It may have
	// restarted, whatever the platform's runner list says.
	Lost
)

// Slot is the permission to send one request to one runner. It must be released.
type Slot struct {
	scheduler *Scheduler
	Runner    feed.Runner
	Group     string // of the runner
	team      string
	once      sync.Once // of Release
}

// Release ends the use of a slot and reports the outcome. Only the first call counts.
// Waiting requests may be served.
//
//	slot.Release(scheduler.Answered)
func (slot *Slot) Release(outcome Outcome) {
	slot.once.Do(func() {
		scheduler := slot.scheduler
		scheduler.mutex.Lock()
		defer scheduler.mutex.Unlock()
		stats := scheduler.statsOf(slot.Runner.Address)
		stats.inFlight--
		if scheduler.teamInFlight[slot.team]--; scheduler.teamInFlight[slot.team] == 0 {
			delete(scheduler.teamInFlight, slot.team)
		}
		switch outcome {
		case Answered:
			if stats.confirmRunning() {
				scheduler.notify(slot.Runner.Address, false)
			}
		case Faulted:
			stats.avoidUntil = time.Now().Add(faultBackoff)
		case Lost:
			stats.avoidUntil = time.Now().Add(faultBackoff)
			scheduler.suspectRestart(slot.Runner.Address, stats)
		}
		scheduler.serveQueues()
	})
}

// FirstEvent reports the time from sending the request to the first part of the
// response. Much longer than usual suggests that the runner has restarted or is
// overloaded.
//
//	slot.FirstEvent(time.Since(sent))
func (slot *Slot) FirstEvent(latency time.Duration) {
	scheduler := slot.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	stats := scheduler.statsOf(slot.Runner.Address)
	if stats.isSlow(latency) {
		stats.avoidUntil = time.Now().Add(faultBackoff)
		scheduler.suspectRestart(slot.Runner.Address, stats)
		return
	}
	stats.recordFirstEvent(latency)
}
