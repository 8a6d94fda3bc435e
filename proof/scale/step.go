// Package scale measures how the resource usage and latency of a fleet grow with its size. The fleet
// has a few real processes of each role, and hollow nodes that share a process. Hollow nodes keep
// sessions with the control plane and follow the feed with the production client (package
// feedclient), but serve no requests. A run varies one dimension in steps, fits the growth of each
// figure and compares it with the growth that docs/CAPACITY.md claims.
package scale

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Step is the set of sizes that a fleet is measured at, one for each dimension.
type Step struct {
	Nodes   int `json:"nodes"`   // hollow nodes
	Runners int `json:"runners"` // entries of the platform's runner list
	Routes  int `json:"routes"`  // routes of the config
	Changes int `json:"changes"` // changes in one burst
	Groups  int `json:"groups"`  // replication groups of sessions
	// Turns is the number of turns per second.
	Turns int `json:"turns"`
	// Programs is the number of programs; each has a history of History KiB that its turns
	// continue.
	Programs int `json:"programs"`
	History  int `json:"history"`
}

// DefaultStep returns the default sizes for a run that varies the given dimension. A run that loads
// the stores has few nodes, runners and routes, so that little else uses the machine.
//
//	step := scale.DefaultStep("history")
func DefaultStep(dimension string) Step {
	step := Step{Nodes: 50, Runners: 600, Routes: 100, Changes: 20, Groups: 32, Turns: 20, Programs: 40, History: 4}
	if dimensions[dimension].loadsStores {
		step.Nodes, step.Runners, step.Routes = 3, 30, 10
	}
	return step
}

// dimensionSpec describes a size of a step that can be varied.
type dimensionSpec struct {
	max          int
	loadsStores  bool // loads the stores instead of the control plane
	limitReason  string
	defaultSizes []int
	set          func(*Step, int)
	get          func(Step) int
}

var dimensions = map[string]dimensionSpec{
	"nodes": {max: 800, limitReason: "their sessions would use more than half of the machine", defaultSizes: []int{50, 100, 200, 400},
		set: func(step *Step, size int) { step.Nodes = size }, get: func(step Step) int { return step.Nodes }},
	"runners": {max: 5200, limitReason: "this is twice the size that docs/CAPACITY.md covers", defaultSizes: []int{600, 1200, 2600},
		set: func(step *Step, size int) { step.Runners = size }, get: func(step Step) int { return step.Runners }},
	"routes": {max: 8000, limitReason: "a larger config would exceed the body size limit of the admin API", defaultSizes: []int{100, 1000, 2000, 4000},
		set: func(step *Step, size int) { step.Routes = size }, get: func(step Step) int { return step.Routes }},
	"changes": {max: 400, limitReason: "the control group retains 512 changes; more would be merged into views", defaultSizes: []int{10, 20, 40, 80},
		set: func(step *Step, size int) { step.Changes = size }, get: func(step Step) int { return step.Changes }},
	"turns": {max: 800, loadsStores: true, limitReason: "three stores and their clients would saturate the machine", defaultSizes: []int{20, 40, 80, 160},
		set: func(step *Step, size int) { step.Turns = size }, get: func(step Step) int { return step.Turns }},
	"programs": {max: 20000, loadsStores: true, limitReason: "creating them would take too long", defaultSizes: []int{500, 1000, 2000, 4000},
		set: func(step *Step, size int) { step.Programs = size }, get: func(step Step) int { return step.Programs }},
	"history": {max: 4096, loadsStores: true, limitReason: "this is twice the longest history that docs/CAPACITY.md covers", defaultSizes: []int{16, 64, 256, 1024},
		set: func(step *Step, size int) { step.History = size }, get: func(step Step) int { return step.History }},
	"groups": {max: 512, loadsStores: true, limitReason: "heartbeats of three stores would saturate the machine", defaultSizes: []int{16, 32, 64, 128},
		set: func(step *Step, size int) { step.Groups = size }, get: func(step Step) int { return step.Groups }},
}

// StepError reports a step or an option that cannot be measured, with the remedy.
type StepError struct{ Message, Remedy string }

func (e *StepError) Error() string { return e.Message + "; " + e.Remedy }

// Dimensions returns the sorted names of the sizes that can be varied.
//
//	strings.Join(scale.Dimensions(), ", ")
func Dimensions() []string { return slices.Sorted(maps.Keys(dimensions)) }

// Steps returns the steps of a run: base with one dimension varied. The sizes are comma-separated
// integers in ascending order; an empty string selects the dimension's default sizes.
//
//	steps, err := scale.Steps(scale.DefaultStep("nodes"), "nodes", "50,100,200,400")
func Steps(base Step, dimension, sizes string) ([]Step, error) {
	spec, known := dimensions[dimension]
	if !known {
		return nil, &StepError{fmt.Sprintf("unknown dimension %q", dimension), "name one of " + strings.Join(Dimensions(), ", ")}
	}
	values := spec.defaultSizes
	if sizes != "" {
		values = nil
		for _, text := range strings.Split(sizes, ",") {
			size, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil {
				return nil, &StepError{fmt.Sprintf("step %q is not an integer", text), "write whole numbers separated by commas, such as 50,100,200"}
			}
			values = append(values, size)
		}
	}
	steps := []Step{}
	for _, size := range values {
		step := base
		spec.set(&step, size)
		if len(steps) > 0 && size <= spec.get(steps[len(steps)-1]) {
			return nil, &StepError{fmt.Sprintf("step %d is not larger than the one before it", size), "write each step once, in ascending order"}
		}
		steps = append(steps, step)
	}
	for _, step := range steps {
		if err := step.check(); err != nil {
			return nil, err
		}
	}
	return steps, nil
}

// check returns an error if a size is out of range.
func (step Step) check() error {
	for _, name := range Dimensions() {
		spec := dimensions[name]
		switch size := spec.get(step); {
		case size < 1:
			return &StepError{fmt.Sprintf("%d %s are too few", size, name), "use at least 1"}
		case size > spec.max:
			return &StepError{fmt.Sprintf("%d %s are too many: %s", size, name, spec.limitReason), fmt.Sprintf("use at most %d and extrapolate the slope", spec.max)}
		}
	}
	return nil
}

// Size returns the step's size in one dimension.
//
//	size := step.Size("nodes")
func (step Step) Size(dimension string) int { return dimensions[dimension].get(step) }

// LoadsStores reports whether varying a dimension loads the stores instead of the control plane.
//
//	settings.LoadsStores = scale.LoadsStores("history")
func LoadsStores(dimension string) bool { return dimensions[dimension].loadsStores }
