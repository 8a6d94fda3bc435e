package modelcheck

import (
	"math"
	"sync"
	"time"
)

// Scenario is the initial state and the limits of an exhaustive search.
type Scenario struct {
	Name string
	// Purpose describes the situation that the scenario covers.
	Purpose string
	Model   Model
	Limits  Limits
	// Depth is the search depth used by the package's tests.
	Depth int
	// Prepare brings a new group to the initial state of the search.
	Prepare func(*Script)
}

// Budget limits a search.
type Budget struct {
	// Depth is the maximum number of actions after the preparation.
	Depth int
	// States is the maximum number of states held in memory.
	States int
	// Time is the time limit of the search.
	Time time.Duration
	// Workers is the number of goroutines.
	Workers int
}

// Exploration is the result of an exhaustive search.
type Exploration struct {
	Scenario string `json:"scenario"`
	Purpose  string `json:"purpose"`
	// Depth is the number of actions up to which the search is complete.
	Depth int `json:"depth"`
	// Exhausted reports that a greater depth would reach no new states.
	Exhausted   bool              `json:"exhausted"`
	States      int               `json:"states"`
	Transitions uint64            `json:"transitions"`
	Actions     map[string]uint64 `json:"actions"`
	Outcomes    OutcomeCounts     `json:"outcomes"`
	Seconds     float64           `json:"seconds"`
	Violation   *Violation        `json:"violation,omitempty"`
}

// node is a visited state, stored as its parent node and the index of the action taken
// among those enabled in the parent.
type node struct {
	parent      int32
	actionIndex uint16
}

const noParent = -1

// explorer runs one exhaustive breadth-first search.
type explorer struct {
	scenario   Scenario
	budget     Budget
	initial    *World
	setupTrace []string
	nodes      []node
	visited    visitedSet
	deadline   time.Time

	mutex       sync.Mutex
	next        []node
	transitions uint64
	outcomes    Outcomes
	violation   *Violation
	stopped     bool
}

// Explore visits every state of a scenario up to the budget's depth in breadth-first
// order. It stops at the first violation, so the trace has the minimal number of actions.
func Explore(scenario Scenario, budget Budget) Exploration {
	start := time.Now()
	scenario.Model.Replayable = true
	script := newScript(&scenario.Model)
	if scenario.Prepare != nil {
		scenario.Prepare(script)
	}
	search := &explorer{scenario: scenario, budget: budget, initial: script.world, setupTrace: script.lines, deadline: start.Add(budget.Time)}
	search.initial.performed = [actionKindCount]uint16{}
	result := Exploration{Scenario: scenario.Name, Purpose: scenario.Purpose}
	if violation := script.world.violation; violation != nil {
		violation.Trace = script.lines
		search.violation = violation
	} else {
		result.Depth, result.Exhausted = search.run()
	}
	result.States = len(search.nodes)
	result.Transitions = search.transitions
	result.Actions = search.outcomes.actionCounts()
	result.Outcomes = search.outcomes.counts()
	result.Violation = search.violation
	result.Seconds = time.Since(start).Seconds()
	return result
}

// run expands level by level and returns the depth of the last complete level.
func (search *explorer) run() (depth int, exhausted bool) {
	search.visited.add(search.initial.fingerprint())
	search.nodes = []node{{parent: noParent}}
	levelStart := 0 // index of the first node of the newest level
	for depth < search.budget.Depth {
		end := len(search.nodes)
		search.expandLevel(levelStart, end)
		if search.violation != nil || search.stopped {
			return depth, false
		}
		depth++
		if len(search.next) == 0 {
			return depth, true
		}
		search.nodes = append(search.nodes, search.next...)
		search.next = nil
		levelStart = end
	}
	return depth, false
}

// expandLevel expands the nodes in [begin, end).
func (search *explorer) expandLevel(begin, end int) {
	const batchSize = 16 // nodes that a worker claims at a time
	var workers sync.WaitGroup
	next := begin
	nextBatch := func() (from, to int) {
		search.mutex.Lock()
		defer search.mutex.Unlock()
		full := len(search.nodes)+len(search.next) >= search.budget.States
		if full || search.violation != nil || time.Now().After(search.deadline) {
			search.stopped = search.stopped || next < end
			return end, end
		}
		from = next
		next = min(next+batchSize, end)
		return from, next
	}
	for range max(search.budget.Workers, 1) {
		workers.Go(func() {
			for from, to := nextBatch(); from < to; from, to = nextBatch() {
				for position := from; position < to; position++ {
					search.expand(int32(position))
				}
			}
		})
	}
	workers.Wait()
}

// expand collects the unvisited successors of a node.
func (search *explorer) expand(position int32) {
	world, _ := search.rebuild(position, false)
	found := []node{}
	outcomes := Outcomes{}
	transitions := uint64(0)
	for i, action := range world.enabled(search.scenario.Limits) {
		after := world.fork()
		after.Apply(action)
		outcomes.add(after.outcomes)
		transitions++
		if after.violation != nil {
			search.report(position, action, after.violation)
			return
		}
		if i <= math.MaxUint16 && search.visited.add(after.fingerprint()) {
			found = append(found, node{parent: position, actionIndex: uint16(i)})
		}
	}
	search.mutex.Lock()
	defer search.mutex.Unlock()
	search.next = append(search.next, found...)
	search.outcomes.add(&outcomes)
	search.transitions += transitions
}

// rebuild replays the path to a node and returns its state. If describe is set, it also
// returns descriptions of the actions.
func (search *explorer) rebuild(target int32, describe bool) (*World, []string) {
	path := []uint16{}
	for at := target; search.nodes[at].parent != noParent; at = search.nodes[at].parent {
		path = append(path, search.nodes[at].actionIndex)
	}
	world := search.initial.fork()
	lines := []string{}
	for step := len(path) - 1; step >= 0; step-- {
		action := world.enabled(search.scenario.Limits)[path[step]]
		if describe {
			lines = append(lines, action.describe(world))
		}
		world.Apply(action)
	}
	return world, lines
}

func (search *explorer) report(position int32, last Action, violation *Violation) {
	world, lines := search.rebuild(position, true)
	search.mutex.Lock()
	defer search.mutex.Unlock()
	if search.violation == nil {
		violation.Trace = append(append(append([]string{}, search.setupTrace...), lines...), last.describe(world))
		search.violation = violation
	}
}

// visitedSet is the set of visited states. It is safe for concurrent use.
type visitedSet struct {
	shards [64]struct {
		mutex sync.Mutex
		seen  map[fingerprint]struct{}
	}
}

// add inserts a state and reports whether it was new.
func (set *visitedSet) add(state fingerprint) bool {
	shard := &set.shards[state[0]%64]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.seen == nil {
		shard.seen = map[fingerprint]struct{}{}
	}
	if _, known := shard.seen[state]; known {
		return false
	}
	shard.seen[state] = struct{}{}
	return true
}
