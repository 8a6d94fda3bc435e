package scheduler

import (
	"sync"
	"time"

	"yardrock.example/system/feed"
)

// Outcome tells how a slot was used.
type Outcome int

// The ways in which a slot can end.
const (
	// NotSent slots were given back before anything was sent.
	NotSent Outcome = iota
	// Answered tells that the runner did its work.
	Answered
	// Faulted tells of a broken answer that says nothing about the runner's warmth.
	Faulted
	// Lost tells that the runner refused, was not there, or went away: it may have
	// just started anew, whatever the platform's list says.
	Lost
)

// Slot is the right to send one query to a runner. Release must be called once.
type Slot struct {
	scheduler *Scheduler
	Runner    feed.Runner
	Group     string
	team      string
	once      sync.Once
}

// Release gives the slot back and tells how it was used.
//
//	slot.Release(scheduling.Answered)
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
			if !stats.restartSuspectedAt.IsZero() && stats.slowStartAt.IsZero() {
				stats.slowStartAt = time.Now()
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

// FirstEvent notes how long the first piece took. Much longer than usual is a sign that
// the runner has just started, or bears too much.
//
//	slot.FirstEvent(time.Since(began))
func (slot *Slot) FirstEvent(took time.Duration) {
	scheduler := slot.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	stats := scheduler.statsOf(slot.Runner.Address)
	if stats.firstEventSamples >= minFirstEventSamples && took > minSlowFirstEvent && took > slowFirstEventFactor*stats.meanFirstEvent {
		stats.avoidUntil = time.Now().Add(faultBackoff)
		scheduler.suspectRestart(slot.Runner.Address, stats)
		return
	}
	stats.firstEventSamples++
	stats.meanFirstEvent += (took - stats.meanFirstEvent) / time.Duration(min(stats.firstEventSamples, 4*minFirstEventSamples))
}
