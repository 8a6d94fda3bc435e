package modelcheck

import (
	"math"
	"math/rand/v2"
	"time"
)

// WalkOptions configures a run of random walks.
type WalkOptions struct {
	// FirstSeed is the seed of the first walk; later walks use consecutive seeds.
	FirstSeed uint64
	// Count is the maximum number of walks.
	Count int
	// Steps is the maximum number of actions of a walk.
	Steps int
	// Time is the time limit of the run; walks not started by then are skipped.
	Time time.Duration
	// Workers is the number of goroutines.
	Workers int
}

// WalkReport is the result of a run of random walks.
type WalkReport struct {
	FirstSeed uint64            `json:"firstSeed"`
	Walks     int               `json:"walks"`
	Steps     uint64            `json:"steps"`
	Actions   map[string]uint64 `json:"actions"`
	Outcomes  OutcomeCounts     `json:"outcomes"`
	Seconds   float64           `json:"seconds"`
	// ViolationSeed is the seed of the walk that violated an invariant.
	ViolationSeed uint64     `json:"violationSeed,omitempty"`
	Violation     *Violation `json:"violation,omitempty"`
}

// weights are the relative probabilities of the kinds of actions that are enabled.
type weights [actionKindCount]int

// defaultWeights lets a group make progress between faults.
var defaultWeights = weights{
	ActionDeliver: 500, ActionSync: 300, ActionTick: 60, ActionPropose: 40, ActionRead: 30,
	ActionDuplicate: 10, ActionDrop: 10, ActionCompact: 6, ActionChange: 12, ActionTransferLeadership: 4,
	ActionSuspect: 4, ActionCrash: 2, ActionWipe: 1,
}

const (
	// maxInFlight bounds the messages in flight; while it is exceeded, the next action is a drop.
	maxInFlight = 24
	// maxWipes is the limit of wipes in walks that include wipes.
	maxWipes = 2
	// meanPartitionSteps is the mean number of actions between changes of the partition.
	meanPartitionSteps = 50
)

// walker runs one random walk.
type walker struct {
	random  *rand.Rand
	model   Model
	weights weights
	limits  Limits
	world   *World
	actions []Action
	// isolated is the name of the replica that exchanges no messages, or empty.
	isolated string
}

// newWalker returns a walk whose group, weights and limits are drawn from a seed.
func newWalker(seed uint64) *walker {
	random := rand.New(rand.NewPCG(seed, 0))
	walk := &walker{random: random, weights: defaultWeights}
	names := []string{"a", "b", "c", "d", "e", "f"}
	voters := []int{1, 2, 3, 3, 3, 4, 5}[random.IntN(7)]
	learners := random.IntN(2)
	walk.model = Model{
		Voters: names[:voters], Learners: names[voters : voters+learners], Spares: names[voters+learners : min(voters+learners+1, len(names))],
		ElectionTicks: 1 + random.IntN(3), HeartbeatTicks: 1, Seed: seed, SyncWrites: random.IntN(4) == 0,
		SnapshotParts: defaultSnapshotParts + 6*random.IntN(2), // the longer ones have more chunks than are sent at once
	}
	walk.weights[ActionTick] *= walk.model.ElectionTicks
	for kind := range walk.weights {
		switch random.IntN(4) {
		case 0:
			walk.weights[kind] *= 4
		case 1:
			walk.weights[kind] = (walk.weights[kind] + 3) / 4
		}
	}
	walk.limits = Limits{}
	for kind := range actionKindCount {
		walk.limits[kind] = math.MaxUint16 // bounded by the length of the walk
	}
	walk.limits[ActionWipe] = uint16(maxWipes * (random.IntN(4) / 3)) // zero in three of four walks
	walk.world = NewWorld(&walk.model)
	return walk
}

// updatePartition occasionally isolates another replica, preferably a leader, or heals the
// partition.
func (walk *walker) updatePartition() {
	if walk.random.IntN(meanPartitionSteps) > 0 {
		return
	}
	walk.isolated = ""
	if walk.random.IntN(2) == 0 {
		return
	}
	chosen := walk.world.replicas[walk.random.IntN(len(walk.world.replicas))]
	walk.isolated = chosen.name
	if leader := chosen.status.Leader; leader != "" && walk.random.IntN(2) == 0 {
		walk.isolated = leader
	}
}

// blockedByPartition reports whether an action delivers a message from or to the isolated
// replica.
func (walk *walker) blockedByPartition(action Action) bool {
	if walk.isolated == "" || action.Kind != ActionDeliver && action.Kind != ActionDuplicate {
		return false
	}
	at, _ := walk.world.find(action.Message)
	message := walk.world.inFlight[at].message
	return message.From == walk.isolated || message.To == walk.isolated
}

// nextAction chooses an action kind by weight and then one enabled action of that kind.
func (walk *walker) nextAction() Action {
	walk.updatePartition()
	byKind := [actionKindCount][]Action{}
	total := 0
	for _, action := range walk.world.enabled(walk.limits) {
		if walk.blockedByPartition(action) {
			continue
		}
		if len(byKind[action.Kind]) == 0 {
			total += walk.weights[action.Kind]
		}
		byKind[action.Kind] = append(byKind[action.Kind], action)
	}
	if drops := byKind[ActionDrop]; len(walk.world.inFlight) > maxInFlight {
		return drops[walk.random.IntN(len(drops))]
	}
	pick := walk.random.IntN(total)
	for kind, actions := range byKind {
		if len(actions) == 0 {
			continue
		}
		if pick -= walk.weights[kind]; pick < 0 {
			return actions[walk.random.IntN(len(actions))]
		}
	}
	panic("no action was selected")
}

// run applies actions up to a number of steps or the first violation.
func (walk *walker) run(steps int) {
	for len(walk.actions) < steps && walk.world.violation == nil {
		action := walk.nextAction()
		walk.actions = append(walk.actions, action)
		walk.world.Apply(action)
	}
}

// walkResult is the result of one walk.
type walkResult struct {
	seed      uint64
	steps     int
	outcomes  *Outcomes
	violation *Violation
}

func runWalk(seed uint64, steps int) walkResult {
	walk := newWalker(seed)
	walk.run(steps)
	result := walkResult{seed: seed, steps: len(walk.actions), outcomes: walk.world.outcomes}
	if walk.world.violation != nil {
		result.violation = shorten(&walk.model, walk.actions, walk.world.violation)
	}
	return result
}

// Walk runs random walks with consecutive seeds until the first violation, whose trace it
// shortens.
func Walk(walks WalkOptions) WalkReport {
	start := time.Now()
	results := make(chan walkResult)
	seeds := make(chan uint64)
	stop := make(chan struct{})
	go func() {
		defer close(seeds)
		for number := range walks.Count {
			select {
			case seeds <- walks.FirstSeed + uint64(number):
			case <-stop:
				return
			}
		}
	}()
	finished := make(chan struct{})
	workers := max(walks.Workers, 1)
	for range workers {
		go func() {
			for seed := range seeds {
				results <- runWalk(seed, walks.Steps)
			}
			finished <- struct{}{}
		}()
	}
	report := WalkReport{FirstSeed: walks.FirstSeed}
	outcomes := Outcomes{}
	stopped := false
	for running := workers; running > 0; {
		select {
		case result := <-results:
			report.Walks++
			report.Steps += uint64(result.steps)
			outcomes.add(result.outcomes)
			if result.violation != nil && (report.Violation == nil || result.seed < report.ViolationSeed) {
				report.Violation, report.ViolationSeed = result.violation, result.seed
			}
		case <-finished:
			running--
		}
		if done := report.Violation != nil || time.Since(start) > walks.Time; done && !stopped {
			stopped = true
			close(stop)
		}
	}
	report.Actions = outcomes.actionCounts()
	report.Outcomes = outcomes.counts()
	report.Seconds = time.Since(start).Seconds()
	return report
}
