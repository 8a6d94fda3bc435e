package scale

import (
	"bytes"
	"errors"
	"math"
	"os"
	"strings"
	"testing"

	"yardrock.example/system/wire"
)

func TestStepsVaryOneSize(t *testing.T) {
	steps, err := Steps(DefaultStep("routes"), "routes", " 10, 200 ")
	if err != nil {
		t.Fatal(err)
	}
	first, second := DefaultStep("routes"), DefaultStep("routes")
	first.Routes, second.Routes = 10, 200
	if len(steps) != 2 || steps[0] != first || steps[1] != second {
		t.Fatalf("got steps %+v", steps)
	}
	for _, dimension := range Dimensions() {
		if steps, err := Steps(DefaultStep(dimension), dimension, ""); err != nil || len(steps) < 3 {
			t.Errorf("%s lacks default steps: %+v, %v", dimension, steps, err)
		}
	}
}

func TestSlopeIsFittedAndChecked(t *testing.T) {
	sizes := []float64{50, 100, 200, 400}
	values := func(function func(float64) float64) []float64 {
		values := []float64{}
		for _, size := range sizes {
			values = append(values, function(size))
		}
		return values
	}
	for name, test := range map[string]struct {
		values             []float64
		claim              Growth
		perUnit, intercept float64
		exceedsClaim       bool
	}{
		"proportional":                                 {values(func(size float64) float64 { return 3 * size }), Linear, 3, 0, false},
		"line with an intercept":                       {values(func(size float64) float64 { return 2*size + 700 }), Linear, 2, 700, false},
		"square claimed linear":                        {values(func(size float64) float64 { return size * size }), Linear, 463.0434783, -33695.6522, true},
		"square with an intercept claimed linear":      {values(func(size float64) float64 { return size*size + 1000 }), Linear, 463.0434783, -32695.6522, true},
		"square without a claim":                       {values(func(size float64) float64 { return size * size }), "", 463.0434783, -33695.6522, false},
		"square with a large intercept claimed linear": {values(func(size float64) float64 { return size*size + 200000 }), Linear, 463.0434783, 166304.3478, true},
		"line with a large intercept":                  {values(func(size float64) float64 { return 463*size + 200000 }), Linear, 463, 200000, false},
		"line with a dip at its start":                 {[]float64{0.326, 0.316, 0.594, 0.646}, Linear, 0.00100487, 0.2820870, false},
		"square root":                                  {values(math.Sqrt), Linear, 0.0358888, 6.0741577, false},
		"flat":                                         {values(func(float64) float64 { return 7 }), Flat, 0, 7, false},
		"line claimed flat":                            {values(func(size float64) float64 { return size }), Flat, 1, 0, true},
		"all zero":                                     {values(func(float64) float64 { return 0 }), Flat, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			slope, err := Fit("cost", "nodes", sizes, test.values, test.claim)
			if err != nil {
				t.Fatal(err)
			}
			if math.Abs(slope.PerUnit-test.perUnit) > 1e-6*max(1, test.perUnit) || math.Abs(slope.Intercept-test.intercept) > 0.01 || slope.ExceedsClaim != test.exceedsClaim {
				t.Errorf("got slope %+v", slope)
			}
			if slope.From != 50 || slope.To != 400 || math.IsNaN(slope.RSquared) {
				t.Errorf("wrong range or fit: %+v", slope)
			}
		})
	}
	var stepErr *StepError
	if _, err := Fit("cost", "nodes", []float64{1}, []float64{1}, Linear); !errors.As(err, &stepErr) {
		t.Errorf("Fit of a single step returned %v, want a StepError", err)
	}
	if _, err := Fit("cost", "nodes", sizes, []float64{1, 2}, Linear); !errors.As(err, &stepErr) {
		t.Errorf("Fit with missing values returned %v, want a StepError", err)
	}
}

func measurementAt(nodes int, figures map[string]float64) Measurement {
	step := DefaultStep("nodes")
	step.Nodes = nodes
	return Measurement{Step: step, Figures: figures}
}

func TestSlopesUseFiguresOfAllSteps(t *testing.T) {
	measurements := []Measurement{measurementAt(50, map[string]float64{"hollow.cores": 1, "only.here": 1}), measurementAt(100, map[string]float64{"hollow.cores": 2, "only.there": 1})}
	slopes, err := Slopes("nodes", measurements)
	if err != nil || len(slopes) != 1 || slopes[0].Figure != "hollow.cores" || slopes[0].At(400) != 8 {
		t.Fatalf("got slopes %+v, %v", slopes, err)
	}
	if slopes, err := Slopes("nodes", measurements[:1]); err != nil || len(slopes) != 0 {
		t.Fatalf("a single step returned %+v, %v", slopes, err)
	}
}

func TestMeasurementsAreDrawn(t *testing.T) {
	figures := map[string]float64{}
	for _, family := range plottedFigures {
		for position, figure := range family {
			figures[figure] = float64(position)
		}
	}
	var svg bytes.Buffer
	if err := Draw(&svg, "nodes", []Measurement{measurementAt(50, figures), measurementAt(100, figures)}); err != nil {
		t.Fatal(err)
	}
	if text := svg.String(); !strings.Contains(text, "<svg") || !strings.Contains(text, "hollow.cores") {
		t.Errorf("got SVG %.200q", text)
	}
	var stepErr *StepError
	if err := Draw(&svg, "nodes", nil); !errors.As(err, &stepErr) {
		t.Errorf("Draw without measurements returned %v, want a StepError", err)
	}
	if err := Draw(&svg, "nodes", []Measurement{measurementAt(50, nil)}); err == nil {
		t.Error("Draw accepted a step without figures")
	}
}

func TestUsageRates(t *testing.T) {
	before, err := UsageOf(os.Getpid())
	if err != nil || before.Memory <= 0 || before.Peak < before.Memory {
		t.Fatalf("got usage %+v, %v", before, err)
	}
	if _, err := UsageOf(1 << 30); err == nil {
		t.Error("UsageOf accepted a PID that cannot exist")
	}
	checkMachineUsage(t, before.Memory)
	before.CPUSeconds = 3
	before.Traffic = []wire.TrafficByKind{{Kind: "follow", QueriesSent: 10, BytesOut: 1000, BytesIn: 500}}
	after := before
	after.At, after.CPUSeconds, after.Memory = before.At.Add(4e9), 5, 64
	after.Traffic = []wire.TrafficByKind{{Kind: "follow", QueriesSent: 30, BytesOut: 5000, BytesIn: 900}, {Kind: "hold", QueriesReceived: 4, BytesIn: 400}}
	rate := RateOf(before, after)
	if rate.Cores != 0.5 || rate.Memory != 64 || rate.Messages != 6 || rate.BytesOut != 1000 || rate.BytesIn != 200 || rate.BytesByKind["follow"] != 1100 || rate.BytesByKind["hold"] != 100 {
		t.Errorf("got rate %+v", rate)
	}
}

// checkMachineUsage checks the readings of the machine's processor time and memory; the memory has to
// be at least that of one process.
func checkMachineUsage(t *testing.T, processMemory float64) {
	t.Helper()
	if share := (cpuTime{busy: 30, total: 100}).busySince(cpuTime{busy: 10, total: 60}); share != 0.5 {
		t.Errorf("got busy share %f, want 0.5", share)
	}
	if now, err := readCPUTime(); err != nil || now.busy <= 0 || now.busySince(now) != 0 {
		t.Errorf("got CPU time %+v, %v", now, err)
	}
	if memory, err := machineMemory(); err != nil || memory < processMemory {
		t.Errorf("got machine memory of %f MiB, %v", memory, err)
	}
}
