package balancer

import (
	"cmp"
	"math"
	"time"
)

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

func compareText(one, other string) int { return cmp.Compare(one, other) }

// hashOf gives the same number for a text at every front.
func hashOf(text string) uint64 {
	hash := uint64(14695981039346656037)
	for at := range len(text) {
		hash = (hash ^ uint64(text[at])) * 1099511628211
	}
	return mixed(hash)
}

// mixed spreads a number over all its bits.
func mixed(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// average is a mean that follows newer values: the first ones count equally.
type average struct {
	value float64
	count float64
}

const averageOver = 32

func (mean *average) add(value float64) {
	mean.count = math.Min(mean.count+1, averageOver)
	mean.value += (value - mean.value) / mean.count
}

func (mean *average) or(unknown float64) float64 {
	if mean.count == 0 {
		return unknown
	}
	return mean.value
}

const (
	halvesMost  = 16 // after so many half-lives nothing is left
	halvesSteps = 16 // points of the curve in one half-life
)

// halves are points of the curve of halving, between which fading goes straight: it is
// asked for several times for each runner and query.
var halves = func() (points [halvesMost*halvesSteps + 2]float64) {
	for at := range points {
		points[at] = math.Exp2(-float64(at) / halvesSteps)
	}
	return points
}()

// fading is what is left of a value after a while, by its half-life.
func fading(since, half time.Duration) float64 {
	if since <= 0 {
		return 1
	}
	steps := float64(since) / float64(half) * halvesSteps
	if steps >= halvesMost*halvesSteps {
		return 0
	}
	at := int(steps)
	return halves[at] + (halves[at+1]-halves[at])*(steps-float64(at))
}

// counter counts what came in about the last second.
type counter struct {
	value float64
	at    time.Duration
}

const counterHalf = 700 * time.Millisecond

// A counter that fades by half in 700 ms settles at about one second of a steady rate.
func (count *counter) add(value float64, now time.Duration) {
	count.value = count.now(now) + value
	count.at = now
}

func (count *counter) now(now time.Duration) float64 {
	if count.value == 0 {
		return 0
	}
	return count.value * fading(now-count.at, counterHalf)
}

// connections is how many connections to a runner this front is thought to have open:
// as many as it used at a time, but one less for each while that they were not needed.
type connections struct {
	most int
	at   time.Duration
}

const connectionIdle = 4 * time.Second

func (open *connections) now(now time.Duration) int {
	return open.most - int((now-open.at)/connectionIdle)
}

func (open *connections) note(used int, now time.Duration) {
	if used >= open.now(now) {
		open.most, open.at = used, now
	}
}

// smoothed is the mean of a number over the last while, each value weighed by how long
// it held.
type smoothed struct {
	value float64
	at    time.Duration
}

const smoothedHalf = 500 * time.Millisecond

// now gives the mean, if the number was the same since the last time.
func (mean *smoothed) now(number float64, now time.Duration) float64 {
	mean.value += (number - mean.value) * (1 - fading(now-mean.at, smoothedHalf))
	mean.at = now
	return mean.value
}

// decaying is a value that fades to nothing unless it is renewed.
type decaying struct {
	value float64
	at    time.Duration
}

const decayingHalf = 5 * time.Second

func (value *decaying) add(sample, weight float64, now time.Duration) {
	value.value = value.now(now)
	value.value += (sample - value.value) * weight
	value.at = now
}

func (value *decaying) now(now time.Duration) float64 {
	if value.value == 0 {
		return 0
	}
	return value.value * fading(now-value.at, decayingHalf)
}

// regression fits a line through points, of which newer ones count more.
type regression struct {
	count, x, y, xx, xy float64
}

const (
	regressionFade  = 0.995
	regressionLeast = 16 // points before the line is believed
	rateAssumed     = 38 // tokens read in a millisecond
	rateLeast       = 4
	rateMost        = 400
	baseAssumed     = 40 // milliseconds to a first event with nothing to read
)

func (line *regression) add(x, y float64) {
	line.count = line.count*regressionFade + 1
	line.x = line.x*regressionFade + x
	line.y = line.y*regressionFade + y
	line.xx = line.xx*regressionFade + x*x
	line.xy = line.xy*regressionFade + x*y
}

// rate is how many tokens are read in a millisecond, and base how many milliseconds
// pass to the first event when there is nothing to read.
func (line *regression) rate() float64 {
	spread := line.count*line.xx - line.x*line.x
	if line.count < regressionLeast || spread < 1e4*line.count*line.count {
		return rateAssumed
	}
	slope := (line.count*line.xy - line.x*line.y) / spread
	if slope <= 0 {
		return rateAssumed
	}
	return math.Min(rateMost, math.Max(rateLeast, 1/slope))
}

func (line *regression) base() float64 {
	if line.count < regressionLeast {
		return baseAssumed
	}
	return math.Max(0, (line.y-line.x/line.rate())/line.count)
}
