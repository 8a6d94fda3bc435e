package main

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Dimensions of the plot; its height grows with the number of rows.
const (
	plotWidth      = 18 * vg.Centimeter
	plotLineHeight = 0.8 * vg.Centimeter
	plotMargin     = 3 * vg.Centimeter
)

// differencePoints implements gonum's plotter.XYer and plotter.XErrorer, one row per difference.
type differencePoints []difference

// Len returns the number of differences.
func (points differencePoints) Len() int { return len(points) }

// XY returns the mean difference and its vertical position; the first row is at the top.
func (points differencePoints) XY(row int) (x, y float64) {
	return points[row].pairedDifference.mean, float64(len(points) - 1 - row)
}

// XError returns the confidence interval, or an empty one if it is unbounded.
func (points differencePoints) XError(row int) (low, high float64) {
	if math.IsInf(points[row].pairedDifference.halfWidth, 1) {
		return 0, 0
	}
	return -points[row].pairedDifference.halfWidth, points[row].pairedDifference.halfWidth
}

// plotDifferences writes a plot of the differences with their confidence intervals.
func plotDifferences(differences []difference, path string) error {
	chart := plot.New()
	chart.Title.Text = "score of variants minus score of the base"
	points := differencePoints(differences)
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Shape = draw.CircleGlyph{}
	bars, err := plotter.NewXErrorBars(points)
	if err != nil {
		return err
	}
	chart.Add(scatter, bars, plotter.NewGrid())
	labels := make([]string, len(differences))
	for row, diff := range differences {
		labels[len(differences)-1-row] = diff.site + " " + diff.scenario + ": " + diff.variant
	}
	chart.NominalY(labels...)
	return chart.Save(plotWidth, plotMargin+vg.Length(len(differences))*plotLineHeight, path)
}
