package balancer

import (
	"math"
	"time"
)

// milliseconds returns a duration in milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// average is a moving average: the arithmetic mean of the first averageWindow values,
// exponentially weighted from then on.
type average struct {
	value float64
	count float64
}

// averageWindow is the number of values after which an average becomes exponential.
const averageWindow = 32

// add includes a value.
func (mean *average) add(value float64) {
	mean.count = math.Min(mean.count+1, averageWindow)
	mean.value += (value - mean.value) / mean.count
}

// valueOr returns the mean, or the fallback before the first value.
func (mean *average) valueOr(fallback float64) float64 {
	if mean.count == 0 {
		return fallback
	}
	return mean.value
}

const (
	maxHalfLives     = 16 // after these the remainder counts as 0
	stepsPerHalfLife = 16 // points of decayCurve in one half-life
)

// decayCurve tabulates exponential decay. decayFactor interpolates between its points
// instead of computing powers, because it runs several times for each runner and request.
var decayCurve = func() (points [maxHalfLives*stepsPerHalfLife + 2]float64) {
	for index := range points {
		points[index] = math.Exp2(-float64(index) / stepsPerHalfLife)
	}
	return points
}()

// decayFactor returns the fraction that remains of a value after the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	steps := float64(elapsed) / float64(halfLife) * stepsPerHalfLife
	if steps >= maxHalfLives*stepsPerHalfLife {
		return 0
	}
	index := int(steps)
	return decayCurve[index] + (decayCurve[index+1]-decayCurve[index])*(steps-float64(index))
}

// rateCounter measures a rate per second over about the last second.
type rateCounter struct {
	value     float64
	updatedAt time.Duration
}

// rateHalfLife makes a rateCounter converge to the amount of about one second of a steady
// rate: the integral of an exponential decay is its half-life divided by ln 2.
const rateHalfLife = 700 * time.Millisecond

// add counts an amount.
func (counter *rateCounter) add(amount float64, now time.Duration) {
	counter.value = counter.rateAt(now) + amount
	counter.updatedAt = now
}

// rateAt returns the rate per second.
func (counter *rateCounter) rateAt(now time.Duration) float64 {
	if counter.value == 0 {
		return 0
	}
	return counter.value * decayFactor(now-counter.updatedAt, rateHalfLife)
}

// connectionEstimate estimates how many connections to a runner this front has open: the
// peak of the requests in flight, minus one for each connectionIdleTime since the peak.
type connectionEstimate struct {
	peak   int
	peakAt time.Duration
}

// connectionIdleTime is the default idle timeout of package runnerpool.
const connectionIdleTime = 4 * time.Second

// countAt returns the estimate, which may be negative.
func (estimate *connectionEstimate) countAt(now time.Duration) int {
	return estimate.peak - int((now-estimate.peakAt)/connectionIdleTime)
}

// observe records how many requests are in flight.
func (estimate *connectionEstimate) observe(inFlight int, now time.Duration) {
	if inFlight >= estimate.countAt(now) {
		estimate.peak, estimate.peakAt = inFlight, now
	}
}

// timeWeightedMean is the recent mean of a quantity that changes in steps, each value
// weighted by its duration.
type timeWeightedMean struct {
	value     float64
	updatedAt time.Duration
}

const timeWeightedMeanHalfLife = 500 * time.Millisecond

// update returns the mean, given the quantity's value since the last call. It must be
// called before each change of the quantity.
func (mean *timeWeightedMean) update(current float64, now time.Duration) float64 {
	mean.value += (current - mean.value) * (1 - decayFactor(now-mean.updatedAt, timeWeightedMeanHalfLife))
	mean.updatedAt = now
	return mean.value
}

// decayingMean is an exponentially weighted mean that decays to 0 without new samples.
type decayingMean struct {
	value     float64
	updatedAt time.Duration
}

const decayingMeanHalfLife = 5 * time.Second

// add adds a sample with a weight between 0 and 1.
func (mean *decayingMean) add(sample, weight float64, now time.Duration) {
	mean.value = mean.valueAt(now)
	mean.value += (sample - mean.value) * weight
	mean.updatedAt = now
}

// valueAt returns the decayed mean.
func (mean *decayingMean) valueAt(now time.Duration) float64 {
	if mean.value == 0 {
		return 0
	}
	return mean.value * decayFactor(now-mean.updatedAt, decayingMeanHalfLife)
}
