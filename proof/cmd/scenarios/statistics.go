package main

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the confidence level of the intervals in a comparison.
const confidence = 0.95

// estimate is a mean with its confidence interval.
type estimate struct {
	count int
	mean  float64
	// halfWidth is half the width of the interval; infinite for fewer than two values.
	halfWidth float64
}

// estimateMean estimates the mean of independent, approximately normal values with Student's
// t-distribution.
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

// conclusive reports whether the interval excludes 0.
func (e estimate) conclusive() bool {
	return math.Abs(e.mean) > e.halfWidth
}
