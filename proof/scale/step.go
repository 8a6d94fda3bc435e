// Package scale measures the cost of a fleet as it grows: a few real processes of each role beside
// hollow nodes, many of which share a process. Hollow nodes keep sessions with the control plane
// and follow the feed with the product's own client (package feedclient); they serve no requests.
// A run varies one size in steps, fits how each figure grows and compares that with the growth
// that docs/CAPACITY.md claims.
package scale

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Step is the sizes that a fleet is measured at.
type Step struct {
	Nodes   int `json:"nodes"`   // hollow nodes
	Runners int `json:"runners"` // entries of the platform's list
	Routes  int `json:"routes"`  // of the config
	Changes int `json:"changes"` // in one burst
	Groups  int `json:"groups"`  // of sessions
	// Turns is how many turns begin and end in a second.
	Turns int `json:"turns"`
	// Programs is how many programs run; each has a history of History KiB that its turns
	// follow.
	Programs int `json:"programs"`
	History  int `json:"history"`
}

// DefaultStep returns the sizes that are constant while the named one is varied. The load of the
// stores is measured beside few nodes, so that little else uses the machine.
//
//	step := scale.DefaultStep("history")
func DefaultStep(against string) Step {
	step := Step{Nodes: 50, Runners: 600, Routes: 100, Changes: 20, Groups: 32, Turns: 20, Programs: 40, History: 4}
	if dimensions[against].loadsStores {
		step.Nodes, step.Runners, step.Routes = 3, 30, 10
	}
	return step
}

// dimension is one size of a step that can be varied.
type dimension struct {
	max         int
	loadsStores bool // the stores bear the load, not the control plane
	why         string
	steps       []int
	set         func(*Step, int)
	get         func(Step) int
}

var dimensions = map[string]dimension{
	"nodes": {max: 800, why: "its sessions would take more than half of the machine", steps: []int{50, 100, 200, 400},
		set: func(step *Step, size int) { step.Nodes = size }, get: func(step Step) int { return step.Nodes }},
	"runners": {max: 5200, why: "twice the size that the capacity page is for", steps: []int{600, 1200, 2600},
		set: func(step *Step, size int) { step.Runners = size }, get: func(step Step) int { return step.Runners }},
	"routes": {max: 8000, why: "a config of more would pass the administration's bound on a body", steps: []int{100, 1000, 2000, 4000},
		set: func(step *Step, size int) { step.Routes = size }, get: func(step Step) int { return step.Routes }},
	"changes": {max: 400, why: "the control group keeps 512 changes, and later ones would be folded into views", steps: []int{10, 20, 40, 80},
		set: func(step *Step, size int) { step.Changes = size }, get: func(step Step) int { return step.Changes }},
	"turns": {max: 800, loadsStores: true, why: "three stores beside their callers would spend the machine", steps: []int{20, 40, 80, 160},
		set: func(step *Step, size int) { step.Turns = size }, get: func(step Step) int { return step.Turns }},
	"programs": {max: 20000, loadsStores: true, why: "they would take too long to make", steps: []int{500, 1000, 2000, 4000},
		set: func(step *Step, size int) { step.Programs = size }, get: func(step Step) int { return step.Programs }},
	"history": {max: 4096, loadsStores: true, why: "twice the longest history that the capacity page is for", steps: []int{16, 64, 256, 1024},
		set: func(step *Step, size int) { step.History = size }, get: func(step Step) int { return step.History }},
	"groups": {max: 512, loadsStores: true, why: "three stores would spend the machine on heartbeats", steps: []int{16, 32, 64, 128},
		set: func(step *Step, size int) { step.Groups = size }, get: func(step Step) int { return step.Groups }},
}

// StepError is the error for a step or an option that cannot be measured, with the remedy.
type StepError struct{ Message, Remedy string }

func (refusal *StepError) Error() string { return refusal.Message + "; " + refusal.Remedy }

// Dimensions lists the names of the sizes that can be varied.
//
//	strings.Join(scale.Dimensions(), ", ")
func Dimensions() []string { return slices.Sorted(maps.Keys(dimensions)) }

// Steps returns the steps of a run: a base step with one size varied. The sizes are integers
// separated by commas; an empty text stands for the dimension's default sizes.
//
//	steps, err := scale.Steps(scale.DefaultStep, "nodes", "50,100,200,400")
func Steps(base Step, against, sizes string) ([]Step, error) {
	varied, known := dimensions[against]
	if !known {
		return nil, &StepError{fmt.Sprintf("nothing can be measured against %q", against), "name one of " + strings.Join(Dimensions(), ", ")}
	}
	wanted := varied.steps
	if sizes != "" {
		wanted = nil
		for _, text := range strings.Split(sizes, ",") {
			size, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil {
				return nil, &StepError{fmt.Sprintf("%q is no step", text), "write whole numbers joined by commas, like 50,100,200"}
			}
			wanted = append(wanted, size)
		}
	}
	steps := []Step{}
	for _, size := range wanted {
		step := base
		varied.set(&step, size)
		if len(steps) > 0 && size <= varied.get(steps[len(steps)-1]) {
			return nil, &StepError{fmt.Sprintf("step %d does not follow a smaller one", size), "write the steps in rising order, each once"}
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
		checked := dimensions[name]
		switch size := checked.get(step); {
		case size < 1:
			return &StepError{fmt.Sprintf("%d %s are too few", size, name), "use 1 at least"}
		case size > checked.max:
			return &StepError{fmt.Sprintf("%d %s are too many: %s", size, name, checked.why), fmt.Sprintf("use %d at most, and stretch the slope", checked.max)}
		}
	}
	return nil
}

// Size is the step's size in one dimension.
//
//	size := step.Size("nodes")
func (step Step) Size(against string) int { return dimensions[against].get(step) }

// LoadsStores reports whether the stores bear the load of a size.
//
//	settings.LoadsStores = scale.LoadsStores("history")
func LoadsStores(against string) bool { return dimensions[against].loadsStores }
