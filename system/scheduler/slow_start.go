package scheduler

import (
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	// maxRestartSuspicion is how long a front that gets no work for a runner keeps to the
	// warm-up concurrency while it waits to hear that the runner answers again.
	maxRestartSuspicion = 10 * time.Second
	// A first event is slow if it takes slowFirstEventFactor times the mean and more than
	// minSlowFirstEvent. The mean counts after minFirstEventSamples and is then taken over
	// maxFirstEventSamples.
	slowFirstEventFactor = 4
	minSlowFirstEvent    = 500 * time.Millisecond
	minFirstEventSamples = 8
	maxFirstEventSamples = 4 * minFirstEventSamples
)

// runnerStats is what this front knows of a runner.
type runnerStats struct {
	inFlight   int       // this front's slots in use
	avoidUntil time.Time // after a fault it is chosen only if others are nearly full
	// restartSuspectedAt is when the runner was last suspected to have restarted; zero if
	// it is not suspected.
	restartSuspectedAt time.Time
	// slowStartAt is when its limit began to grow; zero while the limit does not grow.
	slowStartAt       time.Time
	meanFirstEvent    time.Duration
	firstEventSamples int
}

// limit returns how many requests a runner may have at a time, over all fronts: the
// warm-up concurrency while the list says that it warms up or it is suspected to have
// restarted, then growing to the full concurrency within the group's slow start.
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

// confirmRunning begins the slow start of a runner that was suspected to have restarted
// and answers; it reports whether that is news.
func (stats *runnerStats) confirmRunning() bool {
	if stats.restartSuspectedAt.IsZero() || !stats.slowStartAt.IsZero() {
		return false
	}
	stats.slowStartAt = time.Now()
	return true
}

// isSlow reports whether a first event came much later than usual.
func (stats *runnerStats) isSlow(latency time.Duration) bool {
	return stats.firstEventSamples >= minFirstEventSamples && latency > minSlowFirstEvent && latency > slowFirstEventFactor*stats.meanFirstEvent
}

// recordFirstEvent takes the latency of a first event into the mean.
func (stats *runnerStats) recordFirstEvent(latency time.Duration) {
	stats.firstEventSamples++
	stats.meanFirstEvent += (latency - stats.meanFirstEvent) / time.Duration(min(stats.firstEventSamples, maxFirstEventSamples))
}

// suspectRestart notes that a runner has probably restarted, and notifies the other
// fronts if that is news.
func (scheduler *Scheduler) suspectRestart(address string, stats *runnerStats) {
	changed := stats.restartSuspectedAt.IsZero() || !stats.slowStartAt.IsZero()
	stats.restartSuspectedAt, stats.slowStartAt = time.Now(), time.Time{}
	if changed {
		scheduler.notify(address, true)
	}
}

// SuspectedRestarts returns the addresses of the runners that have probably restarted and
// whose slow start is not over, so that they can be reported to a new front.
//
//	for _, address := range runners.SuspectedRestarts() { ... }
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

// ReportRestart takes over from another front that a runner has probably restarted, or
// answers again. The other fronts are not notified.
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
