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

// plottedFigures has one row for each graph; graphs without a measured figure are omitted.
var plottedFigures = [][]string{
	{"control.leader.cores", "control.other.cores", "store.cores", "front.cores", "hollow.cores"},
	{"control.leader.memory_mib", "control.other.memory_mib", "store.memory_mib", "front.memory_mib", "hollow.memory_mib"},
	{"hollow.bytes_in_per_s", "hollow.bytes_out_per_s", "store.bytes_in_per_s", "front.bytes_in_per_s"},
	{"small_change.in_force_most_s", "config.in_force_most_s", "runner_leaves.in_force_most_s", "failover.in_force_most_s"},
	{"turn.begin_median_s", "turn.end_median_s"},
	{"turn.stores_processor_ms"},
	{"programs.store_memory_mib"},
}

// Draw writes an SVG with one graph for each family of figures, plotted over the varied dimension.
//
//	err := scale.Draw(file, "nodes", measurements)
func Draw(target io.Writer, dimension string, measurements []Measurement) error {
	if len(measurements) == 0 {
		return &StepError{"there is no measurement to plot", "measure a step first"}
	}
	rows := [][]*plot.Plot{}
	for _, family := range plottedFigures {
		graph, err := plotFamily(dimension, family, measurements)
		if err != nil {
			return err
		}
		if graph != nil {
			rows = append(rows, []*plot.Plot{graph})
		}
	}
	if len(rows) == 0 {
		return &StepError{"the measurements have no figure to plot", "measure complete steps"}
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

// plotFamily returns the graph of a family of figures, or nil if no step has any of them.
func plotFamily(dimension string, family []string, measurements []Measurement) (*plot.Plot, error) {
	graph := plot.New()
	graph.X.Label.Text = dimension
	graph.Y.Label.Text = family[0][strings.LastIndex(family[0], ".")+1:]
	graph.X.Min, graph.Y.Min = 0, 0
	graph.Legend.Top, graph.Legend.Left = true, true
	lines := []any{}
	for _, figure := range family {
		points := plotter.XYs{}
		for _, step := range measurements {
			if value, found := step.Figures[figure]; found {
				points = append(points, plotter.XY{X: float64(step.Step.Size(dimension)), Y: value})
			}
		}
		if len(points) > 0 {
			lines = append(lines, figure, points)
		}
	}
	if len(lines) == 0 {
		return nil, nil
	}
	return graph, plotutil.AddLinePoints(graph, lines...)
}
