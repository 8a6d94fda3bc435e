package scheduler

import (
	"sync"
	"time"

	"yardrock.example/system/feed"
)

// Outcome is the result of using a slot, as evidence about the runner.
type Outcome int

// The outcomes of a slot.
const (
	// NotSent: no byte of the request was sent. It is also reported if the result says
	// nothing about the runner.
	NotSent Outcome = iota
	// Answered: the runner completed the request.
	Answered
	// Failed: the request failed in a way that does not suggest a restart.
	Failed
	// Lost: the runner was unreachable, closed the connection or was overloaded. It may have
	// restarted even if the platform's runner list does not show that.
	Lost
)

// Slot permits sending one request to one runner. It must be released.
type Slot struct {
	scheduler *Scheduler
	Runner    feed.Runner
	Group     string // the runner's group
	team      string
	once      sync.Once // guards Release
}

// Release frees the slot and reports the outcome. Calls after the first have no effect.
// Waiting requests may be granted the slot.
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
		case Failed:
			stats.avoidUntil = time.Now().Add(failureBackoff)
		case Lost:
			stats.avoidUntil = time.Now().Add(failureBackoff)
			scheduler.suspectRestart(slot.Runner.Address, stats)
		}
		scheduler.serveQueues()
	})
}

// FirstEvent reports the time from sending the request to the first part of the response. A
// latency far above the mean suggests that the runner has restarted or is overloaded.
//
//	slot.FirstEvent(time.Since(sent))
func (slot *Slot) FirstEvent(latency time.Duration) {
	scheduler := slot.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	stats := scheduler.statsOf(slot.Runner.Address)
	if stats.isSlow(latency) {
		stats.avoidUntil = time.Now().Add(failureBackoff)
		scheduler.suspectRestart(slot.Runner.Address, stats)
		return
	}
	stats.recordFirstEvent(latency)
}
