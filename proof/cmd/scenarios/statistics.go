package main

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is that of the intervals in a comparison.
const confidence = 0.95

// estimate is a mean with its confidence interval.
type estimate struct {
	count int
	mean  float64
	// halfWidth is half of the interval's width; infinite for fewer than two values.
	halfWidth float64
}

// estimateMean estimates the mean of values that are independent and roughly normal, by
// Student's t distribution.
func estimateMean(values []float64) estimate {
	count := len(values)
	if count == 0 {
		return estimate{mean: math.NaN(), halfWidth: math.Inf(1)}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	if count < 2 {
		return estimate{count: count, mean: mean, halfWidth: math.Inf(1)}
	}
	student := distuv.StudentsT{Sigma: 1, Nu: float64(count - 1)}
	return estimate{count: count, mean: mean, halfWidth: student.Quantile((1+confidence)/2) * deviation / math.Sqrt(float64(count))}
}

// conclusive reports whether the interval does not contain 0.
func (estimated estimate) conclusive() bool {
	return math.Abs(estimated.mean) > estimated.halfWidth
}
