package scale

import (
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// plotted are the figures that are drawn, in one row for each family; families without a
// measurement are left out.
var plotted = [][]string{
	{"control.leader.cores", "control.other.cores", "store.cores", "front.cores", "hollow.cores"},
	{"control.leader.memory_mib", "control.other.memory_mib", "store.memory_mib", "front.memory_mib", "hollow.memory_mib"},
	{"hollow.bytes_in_per_s", "hollow.bytes_out_per_s", "store.bytes_in_per_s", "front.bytes_in_per_s"},
	{"small_change.in_force_most_s", "config.in_force_most_s", "runner_leaves.in_force_most_s", "failover.in_force_most_s"},
	{"turn.begin_median_s", "turn.end_median_s"},
	{"turn.stores_processor_ms"},
	{"programs.store_memory_mib"},
}

// Draw writes an SVG with one graph for each family of figures over the size that was varied.
//
//	err := scale.Draw(file, "nodes", measured)
func Draw(target io.Writer, against string, measured []Measurement) error {
	if len(measured) == 0 {
		return &StepError{"nothing was measured that could be drawn", "measure a step first"}
	}
	rows := [][]*plot.Plot{}
	for _, family := range plotted {
		made, err := graph(against, family, measured)
		if err != nil {
			return err
		}
		if made != nil {
			rows = append(rows, []*plot.Plot{made})
		}
	}
	if len(rows) == 0 {
		return &StepError{"no step has a figure that is drawn", "measure whole steps"}
	}
	const width, height = 16 * vg.Centimeter, 9 * vg.Centimeter
	canvas := vgsvg.New(width, height*vg.Length(len(rows)))
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadTop: vg.Points(6), PadBottom: vg.Points(6), PadLeft: vg.Points(6), PadRight: vg.Points(6)}
	for row, canvases := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[row][0].Draw(canvases[0])
	}
	_, err := canvas.WriteTo(target)
	return err
}

// graph returns the graph of a family, or nil if no step has a figure of it.
func graph(against string, family []string, measured []Measurement) (*plot.Plot, error) {
	made := plot.New()
	made.X.Label.Text = against
	made.Y.Label.Text = family[0][strings.LastIndex(family[0], ".")+1:]
	made.X.Min, made.Y.Min = 0, 0
	made.Legend.Top, made.Legend.Left = true, true
	lines := []any{}
	for _, figure := range family {
		points := plotter.XYs{}
		for _, step := range measured {
			if value, found := step.Figures[figure]; found {
				points = append(points, plotter.XY{X: float64(step.Step.Size(against)), Y: value})
			}
		}
		if len(points) > 0 {
			lines = append(lines, figure, points)
		}
	}
	if len(lines) == 0 {
		return nil, nil
	}
	return made, plotutil.AddLinePoints(made, lines...)
}
