package scale

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Growth is how fast a figure may grow with a size.
type Growth string

// The growths that a figure may have.
const (
	Flat   Growth = "flat"   // it stays, whatever the size
	Linear Growth = "linear" // it grows in proportion at most
)

// exponents are the steepest powers of the size that still pass as a growth. A fit
// over few and noisy steps needs the room above 0 and 1.
var exponents = map[Growth]float64{Flat: 0.25, Linear: 1.25}

// Slope is a least-squares line through one figure's values over the steps.
type Slope struct {
	Figure    string  `json:"figure"`
	Per       string  `json:"per"`  // the size that was varied
	PerUnit   float64 `json:"each"` // growth of the figure for one more of it
	Intercept float64 `json:"base"` // the line at size 0
	From      int     `json:"from"` // smallest size measured
	To        int     `json:"to"`   // largest size measured
	Fit       float64 `json:"fit"`  // share of the variance that the line explains
	// Exponent is the power of the size that the figure grows with, fitted over the
	// logarithms; 0 is flat, 1 proportional, 2 square.
	Exponent float64 `json:"exponent"`
	Claim    Growth  `json:"claim,omitempty"` // what the capacity page says
	Worse    bool    `json:"worse,omitempty"` // it grows faster than the page says
}

// At returns the value of the line at a size.
//
//	at430 := slope.At(430)
func (slope Slope) At(size float64) float64 { return slope.Intercept + slope.PerUnit*size }

// Fit fits a line to the values of a figure at some sizes. The claim, if any, is checked against
// the exponent.
//
//	slope, err := scale.Fit("control.leader.cores", "nodes", []float64{50, 100, 200}, []float64{0.1, 0.2, 0.4}, scale.Linear)
func Fit(figure, per string, sizes, values []float64, claim Growth) (Slope, error) {
	if len(sizes) != len(values) || len(sizes) < 2 {
		return Slope{}, &StepError{fmt.Sprintf("%s has %d values over %d steps", figure, len(values), len(sizes)), "measure two steps at least"}
	}
	base, each := stat.LinearRegression(sizes, values, nil, false)
	slope := Slope{Figure: figure, Per: per, PerUnit: each, Intercept: base, From: int(slices.Min(sizes)), To: int(slices.Max(sizes)), Claim: claim}
	if slope.Fit = stat.RSquared(sizes, values, nil, base, each); math.IsNaN(slope.Fit) || math.IsInf(slope.Fit, 0) {
		slope.Fit = 1 // all values are the same, and on the line
	}
	logarithmSizes, logarithmValues := []float64{}, []float64{}
	for position, value := range values {
		if value > 0 && sizes[position] > 0 {
			logarithmSizes = append(logarithmSizes, math.Log(sizes[position]))
			logarithmValues = append(logarithmValues, math.Log(value))
		}
	}
	if len(logarithmSizes) >= 2 {
		_, slope.Exponent = stat.LinearRegression(logarithmSizes, logarithmValues, nil, false)
	}
	slope.Worse = claim != "" && (slope.Exponent > exponents[claim] || claim == Linear && slope.Fit < straight && bendsUp(sizes, values))
	return slope, nil
}

const (
	// straight is how much of the variance a line explains at least. A square over
	// sizes that double three times has 0.962, however large a base it stands on.
	straight = 0.97
	// bend is how much steeper the last part of a bent figure is than the first, lead how
	// much than the whole, and growth how much larger its last value is.
	bend, lead, growth = 2, 1.2, 1.5
)

// bendsUp reports whether a figure grows faster at its end than at its beginning: a power on a
// large base has a small exponent, and is detected by this.
func bendsUp(sizes, values []float64) bool {
	last := len(sizes) - 1
	steepness := func(from, to int) float64 { return (values[to] - values[from]) / (sizes[to] - sizes[from]) }
	return values[last] > growth*values[0] && steepness(last-1, last) > bend*steepness(0, 1) && steepness(last-1, last) > lead*steepness(0, last)
}

// Slopes fits a line to every figure that all steps have, and checks those that the capacity page
// makes a claim on.
//
//	slopes, err := scale.Slopes("nodes", measured)
func Slopes(against string, measured []Measurement) ([]Slope, error) {
	if len(measured) < 2 {
		return nil, nil
	}
	slopes := []Slope{}
	for _, figure := range slices.Sorted(maps.Keys(measured[0].Figures)) {
		sizes, values := []float64{}, []float64{}
		for _, step := range measured {
			if value, found := step.Figures[figure]; found {
				sizes, values = append(sizes, float64(step.Step.Size(against))), append(values, value)
			}
		}
		if len(sizes) < len(measured) {
			continue
		}
		slope, err := Fit(figure, against, sizes, values, ClaimedGrowth[against][figure])
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}
