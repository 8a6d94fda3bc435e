package balancer

import (
	"math"
	"time"
)

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

// average is a mean that follows newer values: the first ones count equally.
type average struct {
	value float64
	count float64
}

const averageWindow = 32

func (mean *average) add(value float64) {
	mean.count = math.Min(mean.count+1, averageWindow)
	mean.value += (value - mean.value) / mean.count
}

func (mean *average) valueOr(unknown float64) float64 {
	if mean.count == 0 {
		return unknown
	}
	return mean.value
}

const (
	maxHalfLives     = 16 // after so many half-lives nothing is left
	stepsPerHalfLife = 16 // points of the curve in one half-life
)

// decayCurve are points of the curve of halving, between which fading goes straight: it is
// asked for several times for each runner and query.
var decayCurve = func() (points [maxHalfLives*stepsPerHalfLife + 2]float64) {
	for at := range points {
		points[at] = math.Exp2(-float64(at) / stepsPerHalfLife)
	}
	return points
}()

// decayFactor is what is left of a value after a while, by its half-life.
func decayFactor(since, halfLife time.Duration) float64 {
	if since <= 0 {
		return 1
	}
	steps := float64(since) / float64(halfLife) * stepsPerHalfLife
	if steps >= maxHalfLives*stepsPerHalfLife {
		return 0
	}
	at := int(steps)
	return decayCurve[at] + (decayCurve[at+1]-decayCurve[at])*(steps-float64(at))
}

// rateCounter counts what came in about the last second.
type rateCounter struct {
	value float64
	at    time.Duration
}

const rateHalfLife = 700 * time.Millisecond

// A counter that fades by half in 700 ms settles at about one second of a steady rate.
func (count *rateCounter) add(value float64, now time.Duration) {
	count.value = count.now(now) + value
	count.at = now
}

func (count *rateCounter) now(now time.Duration) float64 {
	if count.value == 0 {
		return 0
	}
	return count.value * decayFactor(now-count.at, rateHalfLife)
}

// connectionEstimate is how many connections to a runner this front is thought to have open:
// as many as it used at a time, but one less for each while that they were not needed.
type connectionEstimate struct {
	peak int
	at   time.Duration
}

const connectionIdleTime = 4 * time.Second

func (open *connectionEstimate) now(now time.Duration) int {
	return open.peak - int((now-open.at)/connectionIdleTime)
}

func (open *connectionEstimate) observe(used int, now time.Duration) {
	if used >= open.now(now) {
		open.peak, open.at = used, now
	}
}

// timeWeightedMean is the mean of a number over the last while, each value weighed by how long
// it held.
type timeWeightedMean struct {
	value float64
	at    time.Duration
}

const timeWeightedMeanHalfLife = 500 * time.Millisecond

// now gives the mean, if the number was the same since the last time.
func (mean *timeWeightedMean) now(number float64, now time.Duration) float64 {
	mean.value += (number - mean.value) * (1 - decayFactor(now-mean.at, timeWeightedMeanHalfLife))
	mean.at = now
	return mean.value
}

// decayingMean is a value that fades to nothing unless it is renewed.
type decayingMean struct {
	value float64
	at    time.Duration
}

const decayingMeanHalfLife = 5 * time.Second

func (value *decayingMean) add(sample, weight float64, now time.Duration) {
	value.value = value.now(now)
	value.value += (sample - value.value) * weight
	value.at = now
}

func (value *decayingMean) now(now time.Duration) float64 {
	if value.value == 0 {
		return 0
	}
	return value.value * decayFactor(now-value.at, decayingMeanHalfLife)
}

const (
	minRegressionPoints = 16 // points before the line is believed
	defaultPrefillRate  = 38 // tokens read in a millisecond
	minPrefillRate      = 4
	maxPrefillRate      = 400
	defaultBaseLatency  = 40 // milliseconds to a first event with nothing to read
)
