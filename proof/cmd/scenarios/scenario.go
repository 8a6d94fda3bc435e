package main

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// The classes of machines that an entry may affect.
const (
	classFront = "front"
	classStore = "store"
	classCore  = "core" // control nodes
)

// entry is one fault or one piece of planned work of a scenario. Times are in seconds from the
// start of the scenario. Empty fields are omitted, and the bench chooses their values.
type entry struct {
	At           float64 `toml:"at"`
	Kind         string  `toml:"kind"`
	MachineClass string  `toml:"on,omitempty"` // classFront, classStore or classCore
	Zone         string  `toml:"zone,omitempty"`
	ToZone       string  `toml:"to_zone,omitempty"`
	Service      string  `toml:"service,omitempty"`
	RequestClass string  `toml:"class,omitempty"`
	Count        int     `toml:"count,omitempty"`
	Share        float64 `toml:"share,omitempty"` // fraction of the machines or runners
	Strength     float64 `toml:"x,omitempty"`     // meaning and unit depend on the kind
	Duration     float64 `toml:"for_s,omitempty"` // seconds
	Gap          float64 `toml:"gap_s,omitempty"` // seconds between repetitions
	Mode         string  `toml:"how,omitempty"`   // words separated by spaces
}

// finalFault ends a scenario; the machines restart after Down seconds.
type finalFault struct {
	Kind string  `toml:"kind"`
	Down float64 `toml:"down_s"`
	Mode string  `toml:"how,omitempty"`
}

// scenario is one scenario as encoded for the bench, which calls it a day.
type scenario struct {
	Name       string      `toml:"name"`
	Slot       string      `toml:"slot"`
	Seed       uint64      `toml:"seed"`
	FinalFault *finalFault `toml:"closing,omitempty"`
	Plan       []entry     `toml:"plan"`
	Faults     []entry     `toml:"faults"`
}

// scenarioFile is the bench's file format for scenarios.
type scenarioFile struct {
	Scenarios []scenario `toml:"day"`
}

// encode returns the content of a file with only this scenario.
func (scenario scenario) encode() ([]byte, error) {
	file := scenarioFile{}
	file.Scenarios = append(file.Scenarios, scenario)
	return toml.Marshal(file)
}

// add appends an entry to the planned work or to the faults, depending on its kind.
func (scenario *scenario) add(entry entry) {
	// All kinds that presets use are in allKinds; an unknown one would be added as a fault.
	kind, _ := findKind(entry.Kind)
	scenario.limitRemovals(&entry)
	if kind.planned {
		scenario.Plan = append(scenario.Plan, entry)
		return
	}
	scenario.Faults = append(scenario.Faults, entry)
}

// maxRemovedShare limits the share of machines that a scenario removes permanently: a deployment
// without machines of some class cannot serve.
const maxRemovedShare = 0.35

// removeMode is the word in an entry's mode that removes its machines permanently.
const removeMode = "remove"

// removedShare returns the sum of the shares of machines that are removed permanently.
func (scenario *scenario) removedShare() float64 {
	share := 0.0
	for _, entry := range scenario.Plan {
		if slices.Contains(strings.Fields(entry.Mode), removeMode) {
			share += entry.Share
		}
	}
	return share
}

// limitRemovals makes an entry restart its machines instead of removing them if the total would
// exceed maxRemovedShare.
func (scenario *scenario) limitRemovals(entry *entry) {
	words := strings.Fields(entry.Mode)
	if !slices.Contains(words, removeMode) || scenario.removedShare()+entry.Share <= maxRemovedShare {
		return
	}
	words = slices.DeleteFunc(words, func(word string) bool { return word == removeMode })
	entry.Mode = joinWords(words...)
}

// sortByTime sorts the entries by time; entries with equal times keep their order.
func (scenario *scenario) sortByTime() {
	byTime := func(left, right entry) int { return cmp.Compare(left.At, right.At) }
	slices.SortStableFunc(scenario.Plan, byTime)
	slices.SortStableFunc(scenario.Faults, byTime)
}
