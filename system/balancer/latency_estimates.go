package balancer

import (
	"math"
	"time"
)

const (
	// durationWeight and firstEventWeight are the weights of one sample in a runner's excess
	// latency. Durations of plain work vary more than first-event latencies.
	durationWeight   = 0.05
	firstEventWeight = 0.2
	// maxSlowdown bounds one sample, as a multiple of the expected duration.
	maxSlowdown = 8
	// defaultPlainDuration is the expected duration of plain work, in milliseconds, before
	// the first measurement.
	defaultPlainDuration = 100
)

const (
	// regressionDecay is the factor by which each new point lowers the weight of older ones.
	regressionDecay = 0.995
	// minRegressionPoints is the total weight of the points, and minRegressionVariance their
	// variance in tokens squared, that the fit requires.
	minRegressionPoints   = 16
	minRegressionVariance = 1e4
	// Prefill rates are in tokens per millisecond. Measured ones are clamped to
	// minPrefillRate and maxPrefillRate.
	defaultPrefillRate = 38
	minPrefillRate     = 4
	maxPrefillRate     = 400
	// defaultBaseLatency is the assumed first-event latency without prefill, in
	// milliseconds.
	defaultBaseLatency = 40
)

// regression fits a line to the first-event latency as a function of the number of
// uncached prompt tokens, by least squares with exponentially decaying weights.
type regression struct {
	count, x, y, xx, xy float64 // weighted sums
}

// add adds a point: x uncached tokens and y milliseconds.
func (fit *regression) add(x, y float64) {
	fit.count = fit.count*regressionDecay + 1
	fit.x = fit.x*regressionDecay + x
	fit.y = fit.y*regressionDecay + y
	fit.xx = fit.xx*regressionDecay + x*x
	fit.xy = fit.xy*regressionDecay + x*y
}

// rate returns the prefill rate in tokens per millisecond.
func (fit *regression) rate() float64 {
	determinant := fit.count*fit.xx - fit.x*fit.x
	if fit.count < minRegressionPoints || determinant < minRegressionVariance*fit.count*fit.count {
		return defaultPrefillRate
	}
	slope := (fit.count*fit.xy - fit.x*fit.y) / determinant
	if slope <= 0 {
		return defaultPrefillRate
	}
	return math.Min(maxPrefillRate, math.Max(minPrefillRate, 1/slope))
}

// base returns the first-event latency without prefill, in milliseconds.
func (fit *regression) base() float64 {
	if fit.count < minRegressionPoints {
		return defaultBaseLatency
	}
	return math.Max(0, (fit.y-fit.x/fit.rate())/fit.count)
}

// expectedLatency returns the expected latency of the lease's request in milliseconds:
// to the first event for model work, to the end for plain work.
func (lease *Lease) expectedLatency() float64 {
	if lease.Service.Engine != nil {
		return lease.stats.prefill.base() + lease.prefillTokens/lease.stats.prefill.rate()
	}
	return lease.stats.expectedDuration(lease.request.Route.Name)
}

// recordFirstEvent records a first-event latency, in milliseconds.
func (lease *Lease) recordFirstEvent(latency float64, now time.Duration) {
	lease.state.excessLatency.add(latency-lease.expectedLatency(), firstEventWeight, now)
	lease.stats.prefill.add(lease.prefillTokens, latency)
}

// recordDuration records the duration of a completed request, in milliseconds.
func (lease *Lease) recordDuration(duration float64, now time.Duration) {
	lease.stats.duration.add(duration)
	if lease.Service.Engine != nil {
		return
	}
	route := lease.request.Route.Name
	mean, known := lease.stats.routeDurations[route]
	if !known {
		mean = &average{}
		lease.stats.routeDurations[route] = mean
	}
	mean.add(duration)
	lease.state.excessLatency.add(excessFraction(duration, math.Max(1, mean.value)), durationWeight, now)
}

// excessFraction returns the fraction by which a duration exceeds the expected one, at
// most maxSlowdown - 1.
func excessFraction(duration, expected float64) float64 {
	return math.Min(maxSlowdown, duration/expected) - 1
}

// expectedDuration returns the expected duration of a route's requests at the service,
// in milliseconds, at least 1.
func (stats *serviceStats) expectedDuration(route string) float64 {
	if mean, known := stats.routeDurations[route]; known {
		return math.Max(1, mean.valueOr(defaultPlainDuration))
	}
	return math.Max(1, stats.duration.valueOr(defaultPlainDuration))
}
