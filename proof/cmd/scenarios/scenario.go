package main

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// The classes of machines that an entry may strike.
const (
	classFront = "front"
	classStore = "store"
	classCore  = "core" // control nodes
)

// entry is one fault or one piece of planned work of a scenario, with the fields that the bench
// reads. Times are seconds from the begin of the scenario; an empty field is left out, and the
// bench chooses.
type entry struct {
	At      float64 `toml:"at"`
	Kind    string  `toml:"kind"`
	On      string  `toml:"on,omitempty"` // class of machines: classFront, classStore or classCore
	Zone    string  `toml:"zone,omitempty"`
	ToZone  string  `toml:"to_zone,omitempty"`
	Service string  `toml:"service,omitempty"`
	Class   string  `toml:"class,omitempty"` // kind of request
	Count   int     `toml:"count,omitempty"`
	Share   float64 `toml:"share,omitempty"` // of the machines or runners
	X       float64 `toml:"x,omitempty"`     // strength; its meaning depends on the kind
	For     float64 `toml:"for_s,omitempty"` // duration in seconds
	Gap     float64 `toml:"gap_s,omitempty"` // seconds between repetitions
	How     string  `toml:"how,omitempty"`   // variant, words joined by spaces
}

// finalFault ends a scenario; the machines return Down seconds later.
type finalFault struct {
	Kind string  `toml:"kind"`
	Down float64 `toml:"down_s"`
	How  string  `toml:"how,omitempty"`
}

// scenario is one day of the bench.
type scenario struct {
	Name    string      `toml:"name"`
	Slot    string      `toml:"slot"`
	Seed    uint64      `toml:"seed"`
	Closing *finalFault `toml:"closing,omitempty"`
	Plan    []entry     `toml:"plan"`
	Faults  []entry     `toml:"faults"`
}

// scenarioFile is a file of days as the bench reads it.
type scenarioFile struct {
	Scenarios []scenario `toml:"day"`
}

// encode returns the content of a file with this scenario alone.
func (scenario scenario) encode() ([]byte, error) {
	file := scenarioFile{}
	file.Scenarios = append(file.Scenarios, scenario)
	return toml.Marshal(file)
}

// add appends an entry to the planned work or to the faults, by its kind.
func (scenario *scenario) add(added entry) {
	// The kinds that presets name stand in allKinds; one that did not would count as a fault.
	described, _ := findKind(added.Kind)
	scenario.limitRemovals(&added)
	if described.planned {
		scenario.Plan = append(scenario.Plan, added)
		return
	}
	scenario.Faults = append(scenario.Faults, added)
}

// maxRemovedShare is the share of machines that a scenario may remove for good: a deployment
// that has lost all machines of a class cannot serve, whatever it does.
const maxRemovedShare = 0.35

// removeWord is the word in an entry's variant by which its machines are removed for good.
const removeWord = "remove"

// removedShare adds up the shares of machines that are removed for good.
func (scenario *scenario) removedShare() float64 {
	share := 0.0
	for _, planned := range scenario.Plan {
		if slices.Contains(strings.Fields(planned.How), removeWord) {
			share += planned.Share
		}
	}
	return share
}

// limitRemovals has an entry's machines start again instead of being removed, once too many
// would be removed.
func (scenario *scenario) limitRemovals(added *entry) {
	words := strings.Fields(added.How)
	if !slices.Contains(words, removeWord) || scenario.removedShare()+added.Share <= maxRemovedShare {
		return
	}
	words = slices.DeleteFunc(words, func(word string) bool { return word == removeWord })
	added.How = joinWords(words...)
}

// sortByTime sorts the entries by their time; entries of one time keep their order.
func (scenario *scenario) sortByTime() {
	byTime := func(left, right entry) int { return cmp.Compare(left.At, right.At) }
	slices.SortStableFunc(scenario.Plan, byTime)
	slices.SortStableFunc(scenario.Faults, byTime)
}
