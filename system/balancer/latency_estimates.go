package balancer

import (
	"math"
	"time"
)

// regression fits a line through points, of which newer ones count more.
type regression struct {
	count, x, y, xx, xy float64
}

const (
	regressionDecay = 0.995
)

func (fit *regression) add(x, y float64) {
	fit.count = fit.count*regressionDecay + 1
	fit.x = fit.x*regressionDecay + x
	fit.y = fit.y*regressionDecay + y
	fit.xx = fit.xx*regressionDecay + x*x
	fit.xy = fit.xy*regressionDecay + x*y
}

// rate is how many tokens are read in a millisecond, and base how many milliseconds
// pass to the first event when there is nothing to read.
func (fit *regression) rate() float64 {
	spread := fit.count*fit.xx - fit.x*fit.x
	if fit.count < minRegressionPoints || spread < 1e4*fit.count*fit.count {
		return defaultPrefillRate
	}
	slope := (fit.count*fit.xy - fit.x*fit.y) / spread
	if slope <= 0 {
		return defaultPrefillRate
	}
	return math.Min(maxPrefillRate, math.Max(minPrefillRate, 1/slope))
}

func (fit *regression) base() float64 {
	if fit.count < minRegressionPoints {
		return defaultBaseLatency
	}
	return math.Max(0, (fit.y-fit.x/fit.rate())/fit.count)
}

// usual is how many milliseconds queries like this one take.
func (lease *Lease) expectedLatency() float64 {
	if lease.Service.Engine != nil {
		return lease.stats.prefill.base() + lease.prefillTokens/lease.stats.prefill.rate()
	}
	return lease.stats.expectedDuration(lease.request.Route.Name)
}

// recordFirstEvent takes the time to a first event into account.
func (lease *Lease) recordFirstEvent(latency float64, now time.Duration) {
	over := latency - lease.expectedLatency()
	lease.state.excessLatency.add(over, firstEventWeight, now)
	lease.stats.prefill.add(lease.prefillTokens, latency)
}

// recordDuration takes the time that a whole answer took into account.
func (lease *Lease) recordDuration(latency float64, now time.Duration) {
	lease.stats.duration.add(latency)
	if lease.Service.Engine != nil {
		return
	}
	name := lease.request.Route.Name
	mean, known := lease.stats.routeDurations[name]
	if !known {
		mean = &average{}
		lease.stats.routeDurations[name] = mean
	}
	mean.add(latency)
	lease.state.excessLatency.add(math.Min(8, latency/math.Max(1, mean.value))-1, durationWeight, now)
}

// usual is how many milliseconds queries of a route take at a service.
func (stats *serviceStats) expectedDuration(route string) float64 {
	if mean, known := stats.routeDurations[route]; known {
		return math.Max(1, mean.valueOr(100))
	}
	return math.Max(1, stats.duration.valueOr(100))
}
