package main

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// The size of the plot, and the height of one of its lines.
const (
	plotWidth      = 18 * vg.Centimeter
	plotLineHeight = 0.8 * vg.Centimeter
	plotMargin     = 3 * vg.Centimeter
)

// differencePoints are the differences as points with error bars, one line each.
type differencePoints []difference

// Len, XY and XError implement the interfaces of gonum's plotters.
func (points differencePoints) Len() int { return len(points) }

// XY returns a difference and its line.
func (points differencePoints) XY(line int) (x, y float64) {
	return points[line].paired.mean, float64(len(points) - 1 - line)
}

// XError returns the interval; none if it is unbounded.
func (points differencePoints) XError(line int) (low, high float64) {
	if math.IsInf(points[line].paired.halfWidth, 1) {
		return 0, 0
	}
	return -points[line].paired.halfWidth, points[line].paired.halfWidth
}

// plotDifferences draws each difference with its interval.
func plotDifferences(differences []difference, path string) error {
	drawn := plot.New()
	drawn.Title.Text = "worth of variants less that of the base"
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
	drawn.Add(scatter, bars, plotter.NewGrid())
	labels := make([]string, len(differences))
	for line, made := range differences {
		labels[len(differences)-1-line] = made.site + " " + made.day + ": " + made.version
	}
	drawn.NominalY(labels...)
	return drawn.Save(plotWidth, plotMargin+vg.Length(len(differences))*plotLineHeight, path)
}
