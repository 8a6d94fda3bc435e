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
		t.Fatalf("made %+v", steps)
	}
	for _, against := range Dimensions() {
		if steps, err := Steps(DefaultStep(against), against, ""); err != nil || len(steps) < 3 {
			t.Errorf("%s has no steps of its own: %+v, %v", against, steps, err)
		}
	}
}

func TestSlopeIsFittedAndChecked(t *testing.T) {
	sizes := []float64{50, 100, 200, 400}
	values := func(of func(float64) float64) []float64 {
		made := []float64{}
		for _, size := range sizes {
			made = append(made, of(size))
		}
		return made
	}
	for name, judged := range map[string]struct {
		values     []float64
		claim      Growth
		each, base float64
		worse      bool
	}{
		"proportional":                       {values(func(size float64) float64 { return 3 * size }), Linear, 3, 0, false},
		"a line over a base":                 {values(func(size float64) float64 { return 2*size + 700 }), Linear, 2, 700, false},
		"a square said to be linear":         {values(func(size float64) float64 { return size * size }), Linear, 463.0434783, -33695.6522, true},
		"a square beside a base":             {values(func(size float64) float64 { return size*size + 1000 }), Linear, 463.0434783, -32695.6522, true},
		"a square of which nothing was said": {values(func(size float64) float64 { return size * size }), "", 463.0434783, -33695.6522, false},
		"a square over a large base":         {values(func(size float64) float64 { return size*size + 200000 }), Linear, 463.0434783, 166304.3478, true},
		"a line over a large base":           {values(func(size float64) float64 { return 463*size + 200000 }), Linear, 463, 200000, false},
		"a line with a dip at its start":     {[]float64{0.326, 0.316, 0.594, 0.646}, Linear, 0.00100487, 0.2820870, false},
		"a root":                             {values(math.Sqrt), Linear, 0.0358888, 6.0741577, false},
		"flat":                               {values(func(float64) float64 { return 7 }), Flat, 0, 7, false},
		"a line said to be flat":             {values(func(size float64) float64 { return size }), Flat, 1, 0, true},
		"nothing at all":                     {values(func(float64) float64 { return 0 }), Flat, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			slope, err := Fit("cost", "nodes", sizes, judged.values, judged.claim)
			if err != nil {
				t.Fatal(err)
			}
			if math.Abs(slope.PerUnit-judged.each) > 1e-6*max(1, judged.each) || math.Abs(slope.Intercept-judged.base) > 0.01 || slope.Worse != judged.worse {
				t.Errorf("fitted %+v", slope)
			}
			if slope.From != 50 || slope.To != 400 || math.IsNaN(slope.Fit) {
				t.Errorf("range or fit are wrong: %+v", slope)
			}
		})
	}
	var refusal *StepError
	if _, err := Fit("cost", "nodes", []float64{1}, []float64{1}, Linear); !errors.As(err, &refusal) {
		t.Errorf("one step made a slope: %v", err)
	}
	if _, err := Fit("cost", "nodes", sizes, []float64{1, 2}, Linear); !errors.As(err, &refusal) {
		t.Errorf("missing values made a slope: %v", err)
	}
}

func measuredAt(nodes int, figures map[string]float64) Measurement {
	step := DefaultStep("nodes")
	step.Nodes = nodes
	return Measurement{Step: step, Figures: figures}
}

func TestSlopesUseFiguresOfAllSteps(t *testing.T) {
	measured := []Measurement{measuredAt(50, map[string]float64{"hollow.cores": 1, "only.here": 1}), measuredAt(100, map[string]float64{"hollow.cores": 2, "only.there": 1})}
	slopes, err := Slopes("nodes", measured)
	if err != nil || len(slopes) != 1 || slopes[0].Figure != "hollow.cores" || slopes[0].At(400) != 8 {
		t.Fatalf("laid %+v, %v", slopes, err)
	}
	if slopes, err := Slopes("nodes", measured[:1]); err != nil || len(slopes) != 0 {
		t.Fatalf("one step gave %+v, %v", slopes, err)
	}
}

func TestMeasurementsAreDrawn(t *testing.T) {
	figures := map[string]float64{}
	for _, family := range plotted {
		for position, figure := range family {
			figures[figure] = float64(position)
		}
	}
	var picture bytes.Buffer
	if err := Draw(&picture, "nodes", []Measurement{measuredAt(50, figures), measuredAt(100, figures)}); err != nil {
		t.Fatal(err)
	}
	if text := picture.String(); !strings.Contains(text, "<svg") || !strings.Contains(text, "hollow.cores") {
		t.Errorf("drew %.200q", text)
	}
	var refusal *StepError
	if err := Draw(&picture, "nodes", nil); !errors.As(err, &refusal) {
		t.Errorf("nothing was drawn: %v", err)
	}
	if err := Draw(&picture, "nodes", []Measurement{measuredAt(50, nil)}); err == nil {
		t.Error("a step without figures was drawn")
	}
}

func TestUsageRates(t *testing.T) {
	before, err := UsageOf(os.Getpid())
	if err != nil || before.Memory <= 0 || before.Peak < before.Memory {
		t.Fatalf("read %+v, %v", before, err)
	}
	if _, err := UsageOf(1 << 30); err == nil {
		t.Error("a process that can't be was read")
	}
	checkMachineUsage(t, before.Memory)
	before.Seconds = 3
	before.Traffic = []wire.TrafficByKind{{Kind: "follow", QueriesSent: 10, BytesOut: 1000, BytesIn: 500}}
	after := before
	after.At, after.Seconds, after.Memory = before.At.Add(4e9), 5, 64
	after.Traffic = []wire.TrafficByKind{{Kind: "follow", QueriesSent: 30, BytesOut: 5000, BytesIn: 900}, {Kind: "hold", QueriesReceived: 4, BytesIn: 400}}
	rate := RateOf(before, after)
	if rate.Cores != 0.5 || rate.Memory != 64 || rate.Messages != 6 || rate.BytesOut != 1000 || rate.BytesIn != 200 || rate.Kinds["follow"] != 1100 || rate.Kinds["hold"] != 100 {
		t.Errorf("made %+v", rate)
	}
}

// checkMachineUsage reads what the machine has, which is at least a process's memory.
func checkMachineUsage(t *testing.T, processMemory float64) {
	t.Helper()
	if share := (cpuTime{busy: 30, total: 100}).busySince(cpuTime{busy: 10, total: 60}); share != 0.5 {
		t.Errorf("the machine was busy for %f", share)
	}
	if now, err := readCPUTime(); err != nil || now.busy <= 0 || now.busySince(now) != 0 {
		t.Errorf("read %+v, %v", now, err)
	}
	if memory, err := machineMemory(); err != nil || memory < processMemory {
		t.Errorf("the machine has %f MiB, %v", memory, err)
	}
}
