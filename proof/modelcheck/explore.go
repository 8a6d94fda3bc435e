package modelcheck

import (
	"math"
	"sync"
	"time"
)

// Scenario is where an exhaustive search begins and how far it may go.
type Scenario struct {
	Name string
	// Purpose tells what the scenario is there to find.
	Purpose string
	Model   Model
	Limits  Limits
	// Depth is how many actions the search of a test goes, which may take a second.
	Depth int
	// Prepare brings a founded group to where the search begins.
	Prepare func(*Script)
}

// Budget bounds a search.
type Budget struct {
	// Depth is the greatest number of actions after the preparation.
	Depth int
	// States ends the search before it holds more.
	States int
	// Time ends the search when it is over.
	Time time.Duration
	// Workers is how many goroutines search.
	Workers int
}

// Exploration tells what an exhaustive search went through.
type Exploration struct {
	Scenario string `json:"scenario"`
	Purpose  string `json:"purpose"`
	// Depth is how many actions every run was followed for, in every order.
	Depth int `json:"depth"`
	// Exhausted reports that no new state was left: a greater depth would find none.
	Exhausted   bool              `json:"exhausted"`
	States      int               `json:"states"`
	Transitions uint64            `json:"transitions"`
	Actions     map[string]uint64 `json:"actions"`
	Outcomes    OutcomeCounts     `json:"outcomes"`
	Seconds     float64           `json:"seconds"`
	Violation   *Violation        `json:"violation,omitempty"`
}

// node is a state that was found, as the way to it: the state before, and which of the
// actions that were possible there came next.
type node struct {
	before int32
	chosen uint16
}

const noNode = -1

// explorer holds one exhaustive search, level by level.
type explorer struct {
	scenario Scenario
	budget   Budget
	prepared *World
	prefix   []string
	nodes    []node
	visited  visitedSet
	deadline time.Time

	mutex       sync.Mutex
	next        []node
	transitions uint64
	outcomes    Outcomes
	violation   *Violation
	stopped     bool
}

// Explore visits every state of a scenario up to the budget's depth, the nearest first,
// and stops at the first violation: its trace is a shortest one.
func Explore(scenario Scenario, budget Budget) Exploration {
	began := time.Now()
	scenario.Model.Replayable = true
	script := newScript(&scenario.Model)
	if scenario.Prepare != nil {
		scenario.Prepare(script)
	}
	search := &explorer{scenario: scenario, budget: budget, prepared: script.world, prefix: script.lines, deadline: began.Add(budget.Time)}
	search.prepared.spent = [actionKinds]uint16{}
	result := Exploration{Scenario: scenario.Name, Purpose: scenario.Purpose}
	if broken := script.world.violation; broken != nil {
		broken.Trace = script.lines
		search.violation = broken
	} else {
		result.Depth, result.Exhausted = search.run()
	}
	result.States = len(search.nodes)
	result.Transitions = search.transitions
	result.Actions = search.outcomes.actionCounts()
	result.Outcomes = search.outcomes.counts()
	result.Violation = search.violation
	result.Seconds = time.Since(began).Seconds()
	return result
}

// run goes on level by level and tells the depth of the last whole one.
func (search *explorer) run() (depth int, exhausted bool) {
	search.visited.add(search.prepared.fingerprint())
	search.nodes = []node{{before: noNode}}
	level := 0 // where the newest level begins
	for depth < search.budget.Depth {
		end := len(search.nodes)
		search.expandLevel(level, end)
		if search.violation != nil || search.stopped {
			return depth, false
		}
		depth++
		if len(search.next) == 0 {
			return depth, true
		}
		search.nodes = append(search.nodes, search.next...)
		search.next = nil
		level = end
	}
	return depth, false
}

// expandLevel finds all states that are one action after the nodes from begin to end.
func (search *explorer) expandLevel(begin, end int) {
	const share = 16 // nodes that a worker takes at a time
	var working sync.WaitGroup
	next := begin
	take := func() (from, to int) {
		search.mutex.Lock()
		defer search.mutex.Unlock()
		full := len(search.nodes)+len(search.next) >= search.budget.States
		if full || search.violation != nil || time.Now().After(search.deadline) {
			search.stopped = search.stopped || next < end
			return end, end
		}
		from = next
		next = min(next+share, end)
		return from, next
	}
	for range max(search.budget.Workers, 1) {
		working.Go(func() {
			for from, to := take(); from < to; from, to = take() {
				for position := from; position < to; position++ {
					search.expand(int32(position))
				}
			}
		})
	}
	working.Wait()
}

// expand finds the states that are one action after a node.
func (search *explorer) expand(position int32) {
	world, _ := search.rebuild(position, false)
	found := []node{}
	outcomes := Outcomes{}
	transitions := uint64(0)
	for chosen, action := range world.enabled(search.scenario.Limits) {
		after := world.fork()
		after.Apply(action)
		outcomes.add(after.outcomes)
		transitions++
		if after.violation != nil {
			search.report(position, action, after.violation)
			return
		}
		if chosen <= math.MaxUint16 && search.visited.add(after.fingerprint()) {
			found = append(found, node{before: position, chosen: uint16(chosen)})
		}
	}
	search.mutex.Lock()
	defer search.mutex.Unlock()
	search.next = append(search.next, found...)
	search.outcomes.add(&outcomes)
	search.transitions += transitions
}

// rebuild replays the way to a node; with tell it describes the actions, too.
func (search *explorer) rebuild(position int32, tell bool) (*World, []string) {
	way := []uint16{}
	for at := position; search.nodes[at].before != noNode; at = search.nodes[at].before {
		way = append(way, search.nodes[at].chosen)
	}
	world := search.prepared.fork()
	lines := []string{}
	for step := len(way) - 1; step >= 0; step-- {
		action := world.enabled(search.scenario.Limits)[way[step]]
		if tell {
			lines = append(lines, action.describe(world))
		}
		world.Apply(action)
	}
	return world, lines
}

func (search *explorer) report(position int32, last Action, broken *Violation) {
	world, lines := search.rebuild(position, true)
	search.mutex.Lock()
	defer search.mutex.Unlock()
	if search.violation == nil {
		broken.Trace = append(append(append([]string{}, search.prefix...), lines...), last.describe(world))
		search.violation = broken
	}
}

// visitedSet holds the states that were found. It is safe for concurrent use.
type visitedSet struct {
	parts [64]struct {
		mutex sync.Mutex
		known map[fingerprint]struct{}
	}
}

// add reports whether a state is new.
func (set *visitedSet) add(state fingerprint) bool {
	part := &set.parts[state[0]%64]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	if part.known == nil {
		part.known = map[fingerprint]struct{}{}
	}
	if _, known := part.known[state]; known {
		return false
	}
	part.known[state] = struct{}{}
	return true
}
