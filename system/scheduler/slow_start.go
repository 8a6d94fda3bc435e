package scheduler

import (
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	// restartSuspicionTimeout is how long the warm-up concurrency applies to a runner that is
	// suspected to have restarted and that no front has reported as responding again.
	restartSuspicionTimeout = 10 * time.Second
	// A first event is slow if its latency exceeds both minSlowFirstEvent and
	// slowFirstEventFactor times the moving mean. The mean is used from minFirstEventSamples
	// on; its window is maxFirstEventSamples.
	slowFirstEventFactor = 4
	minSlowFirstEvent    = 500 * time.Millisecond
	minFirstEventSamples = 8
	maxFirstEventSamples = 4 * minFirstEventSamples
)

// runnerStats is what this front knows about a runner.
type runnerStats struct {
	inFlight   int       // this front's slots in use
	avoidUntil time.Time // end of the score penalty after a failure
	// restartSuspectedAt is when the runner was last suspected to have restarted; zero if it
	// is not suspected.
	restartSuspectedAt time.Time
	// slowStartAt is when the limit began to grow; zero if slow start has not begun.
	slowStartAt       time.Time
	meanFirstEvent    time.Duration
	firstEventSamples int
}

// limit returns the concurrency limit of a runner over all fronts. It is the warm-up
// concurrency while the runner is listed as warming up or is suspected to have restarted,
// and then grows to the full concurrency within the group's slow start time.
func (stats *runnerStats) limit(runner feed.Runner, capacity config.RunnerGroup, now time.Time) int {
	slowStart := time.Duration(capacity.WarmUp)
	switch {
	case runner.State == feed.StateWarmingUp:
		stats.slowStartAt = time.Time{}
		return capacity.WarmUpConcurrency
	case !stats.restartSuspectedAt.IsZero() && stats.slowStartAt.IsZero() && now.Sub(stats.restartSuspectedAt) < restartSuspicionTimeout:
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

// confirmRunning starts the slow start of a suspected runner that responds again. It reports
// whether the state changed.
func (stats *runnerStats) confirmRunning() bool {
	if stats.restartSuspectedAt.IsZero() || !stats.slowStartAt.IsZero() {
		return false
	}
	stats.slowStartAt = time.Now()
	return true
}

// isSlow reports whether the latency of a first event is far above the mean.
func (stats *runnerStats) isSlow(latency time.Duration) bool {
	return stats.firstEventSamples >= minFirstEventSamples && latency > minSlowFirstEvent && latency > slowFirstEventFactor*stats.meanFirstEvent
}

// recordFirstEvent adds the latency of a first event to the mean.
func (stats *runnerStats) recordFirstEvent(latency time.Duration) {
	stats.firstEventSamples++
	stats.meanFirstEvent += (latency - stats.meanFirstEvent) / time.Duration(min(stats.firstEventSamples, maxFirstEventSamples))
}

// suspectRestart marks a runner as suspected to have restarted, and notifies the other fronts
// if that is a change.
func (scheduler *Scheduler) suspectRestart(address string, stats *runnerStats) {
	changed := stats.restartSuspectedAt.IsZero() || !stats.slowStartAt.IsZero()
	stats.restartSuspectedAt, stats.slowStartAt = time.Now(), time.Time{}
	if changed {
		scheduler.notify(address, true)
	}
}

// SuspectedRestarts returns the addresses of the runners that are suspected to have restarted
// and whose slow start is not over, so that they can be reported to a new front.
//
//	for _, address := range runners.SuspectedRestarts() { ... }
func (scheduler *Scheduler) SuspectedRestarts() []string {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	addresses := []string{}
	for address, stats := range scheduler.runners {
		if !stats.restartSuspectedAt.IsZero() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ReportRestart applies another front's report that a runner is suspected to have restarted
// (true) or responds again (false). The other fronts are not notified.
//
//	runners.ReportRestart("10.0.3.1:8000", true)
func (scheduler *Scheduler) ReportRestart(address string, suspected bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	stats := scheduler.statsOf(address)
	if suspected {
		stats.restartSuspectedAt, stats.slowStartAt = time.Now(), time.Time{}
		return
	}
	stats.confirmRunning()
}
