package scale

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Growth is an upper bound on how fast a figure grows with a dimension.
type Growth string

// Growth bounds.
const (
	Flat   Growth = "flat"   // independent of the size
	Linear Growth = "linear" // at most proportional to the size
)

// maxExponents are the largest fitted exponents that are accepted for a growth. The margin above 0
// and 1 tolerates noise in fits over few steps.
var maxExponents = map[Growth]float64{Flat: 0.25, Linear: 1.25}

// Slope is a least-squares line through one figure's values over the steps.
type Slope struct {
	Figure    string  `json:"figure"`
	Dimension string  `json:"per"`  // the dimension that was varied
	PerUnit   float64 `json:"each"` // increase of the figure per unit of the dimension
	Intercept float64 `json:"base"` // value of the line at size 0
	From      int     `json:"from"` // smallest size measured
	To        int     `json:"to"`   // largest size measured
	RSquared  float64 `json:"fit"`  // coefficient of determination (R squared)
	// Exponent is the power of the size that the figure grows with, from a log-log fit: 0 is
	// constant, 1 proportional, 2 quadratic.
	Exponent     float64 `json:"exponent"`
	Claim        Growth  `json:"claim,omitempty"` // growth that docs/CAPACITY.md claims
	ExceedsClaim bool    `json:"worse,omitempty"` // grows faster than claimed
}

// At returns the value of the line at a size.
//
//	at430 := slope.At(430)
func (slope Slope) At(size float64) float64 { return slope.Intercept + slope.PerUnit*size }

// Fit fits a line to the values of a figure at the given sizes. A claim, unless empty, is checked
// against the exponent; a linear claim also against the curvature.
//
//	slope, err := scale.Fit("control.leader.cores", "nodes", []float64{50, 100, 200}, []float64{0.1, 0.2, 0.4}, scale.Linear)
func Fit(figure, dimension string, sizes, values []float64, claim Growth) (Slope, error) {
	if len(sizes) != len(values) || len(sizes) < 2 {
		return Slope{}, &StepError{fmt.Sprintf("%s has %d values for %d steps", figure, len(values), len(sizes)), "measure at least two steps"}
	}
	intercept, perUnit := stat.LinearRegression(sizes, values, nil, false)
	slope := Slope{Figure: figure, Dimension: dimension, PerUnit: perUnit, Intercept: intercept, From: int(slices.Min(sizes)), To: int(slices.Max(sizes)), Claim: claim}
	if slope.RSquared = stat.RSquared(sizes, values, nil, intercept, perUnit); math.IsNaN(slope.RSquared) || math.IsInf(slope.RSquared, 0) {
		slope.RSquared = 1 // R squared is undefined for equal values, which a line fits exactly
	}
	logSizes, logValues := []float64{}, []float64{}
	for position, value := range values {
		if value > 0 && sizes[position] > 0 {
			logSizes = append(logSizes, math.Log(sizes[position]))
			logValues = append(logValues, math.Log(value))
		}
	}
	if len(logSizes) >= 2 {
		_, slope.Exponent = stat.LinearRegression(logSizes, logValues, nil, false)
	}
	slope.ExceedsClaim = claim != "" && (slope.Exponent > maxExponents[claim] || claim == Linear && slope.RSquared < minLinearRSquared && isConvex(sizes, values))
	return slope, nil
}

const (
	// minLinearRSquared is the R squared from which a figure counts as linear. A quadratic figure
	// over sizes that double three times has 0.962, whatever its intercept.
	minLinearRSquared = 0.97
	// A figure is convex if the gradient between its last two steps exceeds the gradient between the
	// first two and the mean gradient by the first two factors, and its last value exceeds the first
	// by the third.
	minGradientRatioToFirst, minGradientRatioToMean, minValueRatio = 2, 1.2, 1.5
)

// isConvex reports whether a figure grows faster at its end than at its beginning. It detects
// superlinear growth on top of a large intercept, for which the fitted exponent is small.
func isConvex(sizes, values []float64) bool {
	last := len(sizes) - 1
	gradient := func(from, to int) float64 { return (values[to] - values[from]) / (sizes[to] - sizes[from]) }
	return values[last] > minValueRatio*values[0] && gradient(last-1, last) > minGradientRatioToFirst*gradient(0, 1) && gradient(last-1, last) > minGradientRatioToMean*gradient(0, last)
}

// Slopes fits a line to every figure that all steps have, and checks the figures in ClaimedGrowth.
// It returns no slopes for fewer than two measurements.
//
//	slopes, err := scale.Slopes("nodes", measurements)
func Slopes(dimension string, measurements []Measurement) ([]Slope, error) {
	if len(measurements) < 2 {
		return nil, nil
	}
	slopes := []Slope{}
	for _, figure := range slices.Sorted(maps.Keys(measurements[0].Figures)) {
		sizes, values := []float64{}, []float64{}
		for _, step := range measurements {
			if value, found := step.Figures[figure]; found {
				sizes, values = append(sizes, float64(step.Step.Size(dimension))), append(values, value)
			}
		}
		if len(sizes) < len(measurements) {
			continue
		}
		slope, err := Fit(figure, dimension, sizes, values, ClaimedGrowth[dimension][figure])
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}
