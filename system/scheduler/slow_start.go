package scheduler

import (
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	// maxRestartSuspicion is how long a front that gets no work for a cooled runner waits
	// to be told that it answers again.
	maxRestartSuspicion = 10 * time.Second
	// A first piece is slow if it takes so many times the usual, and at least this.
	slowFirstEventFactor = 4
	minSlowFirstEvent    = 500 * time.Millisecond
	minFirstEventSamples = 8
)

type runnerStats struct {
	inFlight   int
	avoidUntil time.Time
	// cooled is when the runner was last taken for just started; zero if it is not.
	restartSuspectedAt time.Time
	// slowStartAt is when its limit began to grow; zero while it does not.
	slowStartAt       time.Time
	meanFirstEvent    time.Duration // to the first piece
	firstEventSamples int
}

// limit is how many queries a runner bears now, over all fronts. All times are by
// this process's steady clock, so that no machine's wrong wall clock counts.
func (stats *runnerStats) limit(runner feed.Runner, capacity config.Group, now time.Time) int {
	slowStart := time.Duration(capacity.SlowStart)
	switch {
	case runner.State == feed.StateWarmingUp:
		stats.slowStartAt = time.Time{}
		return capacity.WarmUpConcurrency
	case !stats.restartSuspectedAt.IsZero() && stats.slowStartAt.IsZero() && now.Sub(stats.restartSuspectedAt) < maxRestartSuspicion:
		return capacity.WarmUpConcurrency
	case stats.restartSuspectedAt.IsZero() && runner.Warmed:
		return capacity.Concurrency
	case stats.slowStartAt.IsZero():
		stats.slowStartAt = now
	}
	elapsed := now.Sub(stats.slowStartAt)
	if elapsed >= slowStart || capacity.Concurrency <= capacity.WarmUpConcurrency {
		stats.restartSuspectedAt = time.Time{}
		return capacity.Concurrency
	}
	return capacity.WarmUpConcurrency + int(float64(capacity.Concurrency-capacity.WarmUpConcurrency)*float64(elapsed)/float64(slowStart))
}

// suspectRestart takes a runner for just started, here and, if that is news, at the others.
func (scheduler *Scheduler) suspectRestart(address string, stats *runnerStats) {
	changed := stats.restartSuspectedAt.IsZero() || !stats.slowStartAt.IsZero()
	stats.restartSuspectedAt, stats.slowStartAt = time.Now(), time.Time{}
	if changed {
		scheduler.notify(address, true)
	}
}

// Cooled lists the runners that are taken for just started and have not answered
// since, for a front that is new.
//
//	for _, address := range board.Cooled() { ... }
func (scheduler *Scheduler) SuspectedRestarts() []string {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	found := []string{}
	for address, stats := range scheduler.runners {
		if !stats.restartSuspectedAt.IsZero() {
			found = append(found, address)
		}
	}
	return found
}

// ReportRestart takes another front's word that a runner looks just started, or answers
// again.
//
//	board.ReportRestart("10.0.3.1:8000", true)
func (scheduler *Scheduler) ReportRestart(address string, suspected bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	stats := scheduler.statsOf(address)
	switch {
	case suspected:
		stats.restartSuspectedAt, stats.slowStartAt = time.Now(), time.Time{}
	case !stats.restartSuspectedAt.IsZero() && stats.slowStartAt.IsZero():
		stats.slowStartAt = time.Now()
	}
}
