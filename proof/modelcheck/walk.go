package modelcheck

import (
	"math"
	"math/rand/v2"
	"time"
)

// Walks bounds a run of random walks.
type Walks struct {
	// FirstSeed is the seed of the first walk; the next ones follow it.
	FirstSeed uint64
	// Count is how many walks there are.
	Count int
	// Steps is how many actions a walk has.
	Steps int
	// Time ends the run when it is over, whatever is left.
	Time time.Duration
	// Workers is how many goroutines walk.
	Workers int
}

// WalkReport tells what random walks went through.
type WalkReport struct {
	FirstSeed uint64            `json:"firstSeed"`
	Walks     int               `json:"walks"`
	Steps     uint64            `json:"steps"`
	Actions   map[string]uint64 `json:"actions"`
	Outcomes  OutcomeCounts     `json:"outcomes"`
	Seconds   float64           `json:"seconds"`
	// ViolationSeed is the seed of the walk that broke an invariant.
	ViolationSeed uint64     `json:"violationSeed,omitempty"`
	Violation     *Violation `json:"violation,omitempty"`
}

// weights tell how often each kind of action is drawn, of those that are possible.
type weights [actionKinds]int

// defaultWeights let a group make progress between its troubles.
var defaultWeights = weights{
	ActionDeliver: 500, ActionSync: 300, ActionTick: 60, ActionPropose: 40, ActionRead: 30,
	ActionDuplicate: 10, ActionDrop: 10, ActionCompact: 6, ActionChange: 12, ActionTransferLeadership: 4,
	ActionSuspect: 4, ActionCrash: 2, ActionWipe: 1,
}

const (
	// maxInFlight bounds the messages in flight: beyond it one is lost before the next action.
	maxInFlight = 24
	// maxWipes bounds the disks that a walk loses, if it loses any.
	maxWipes = 2
	// stepsPerCut is how many actions a replica is cut off, or none is, in the mean.
	stepsPerCut = 50
)

// walker holds one random walk.
type walker struct {
	random  *rand.Rand
	model   Model
	weights weights
	limits  Limits
	world   *World
	actions []Action
	// cutOff is the replica that no message reaches or leaves, if any.
	cutOff string
}

// newWalker draws the group and the troubles of the walk of a seed.
func newWalker(seed uint64) *walker {
	random := rand.New(rand.NewPCG(seed, 0))
	walk := &walker{random: random, weights: defaultWeights}
	names := []string{"a", "b", "c", "d", "e", "f"}
	voters := []int{1, 2, 3, 3, 3, 4, 5}[random.IntN(7)]
	learners := random.IntN(2)
	walk.model = Model{
		Voters: names[:voters], Learners: names[voters : voters+learners], Spares: names[voters+learners : min(voters+learners+1, len(names))],
		ElectionTicks: 1 + random.IntN(3), HeartbeatTicks: 1, Seed: seed, SyncWrites: random.IntN(4) == 0,
		SnapshotParts: defaultSnapshotParts + 6*random.IntN(2), // the longer ones are more chunks than go out at once
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
	for kind := range actionKinds {
		walk.limits[kind] = math.MaxUint16 // the length of the walk bounds it
	}
	walk.limits[ActionWipe] = uint16(maxWipes * (random.IntN(4) / 3)) // none in three walks of four
	walk.world = NewWorld(&walk.model)
	return walk
}

// switchPartition cuts off another replica now and then, or none, mostly a leader.
func (walk *walker) switchPartition() {
	if walk.random.IntN(stepsPerCut) > 0 {
		return
	}
	walk.cutOff = ""
	if walk.random.IntN(2) == 0 {
		return
	}
	chosen := walk.world.replicas[walk.random.IntN(len(walk.world.replicas))]
	walk.cutOff = chosen.name
	if leader := chosen.status.Leader; leader != "" && walk.random.IntN(2) == 0 {
		walk.cutOff = leader
	}
}

// isCut reports whether an action needs a message to pass a cut.
func (walk *walker) isCut(action Action) bool {
	if walk.cutOff == "" || action.Kind != ActionDeliver && action.Kind != ActionDuplicate {
		return false
	}
	at, _ := walk.world.find(action.Message)
	message := walk.world.inFlight[at].message
	return message.From == walk.cutOff || message.To == walk.cutOff
}

// draw chooses the next action: first its kind by weight, then one of that kind.
func (walk *walker) draw() Action {
	walk.switchPartition()
	byKind := [actionKinds][]Action{}
	total := 0
	for _, action := range walk.world.enabled(walk.limits) {
		if walk.isCut(action) {
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
	chance := walk.random.IntN(total)
	for kind, actions := range byKind {
		if len(actions) == 0 {
			continue
		}
		if chance -= walk.weights[kind]; chance < 0 {
			return actions[walk.random.IntN(len(actions))]
		}
	}
	panic("no action was drawn")
}

// run walks up to a number of steps, or up to the first violation.
func (walk *walker) run(steps int) {
	for len(walk.actions) < steps && walk.world.violation == nil {
		action := walk.draw()
		walk.actions = append(walk.actions, action)
		walk.world.Apply(action)
	}
}

// walkResult is what one walk gave.
type walkResult struct {
	seed      uint64
	steps     int
	outcomes  *Outcomes
	violation *Violation
}

func walkOnce(seed uint64, steps int) walkResult {
	walk := newWalker(seed)
	walk.run(steps)
	result := walkResult{seed: seed, steps: len(walk.actions), outcomes: walk.world.outcomes}
	if walk.world.violation != nil {
		result.violation = shorten(&walk.model, walk.actions, walk.world.violation)
	}
	return result
}

// Walk runs random walks, each from a seed of its own, up to the first violation, whose
// trace it shortens.
func Walk(walks Walks) WalkReport {
	began := time.Now()
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
				results <- walkOnce(seed, walks.Steps)
			}
			finished <- struct{}{}
		}()
	}
	report := WalkReport{FirstSeed: walks.FirstSeed}
	outcomes := Outcomes{}
	stopped := false
	for working := workers; working > 0; {
		select {
		case result := <-results:
			report.Walks++
			report.Steps += uint64(result.steps)
			outcomes.add(result.outcomes)
			if result.violation != nil && (report.Violation == nil || result.seed < report.ViolationSeed) {
				report.Violation, report.ViolationSeed = result.violation, result.seed
			}
		case <-finished:
			working--
		}
		if over := report.Violation != nil || time.Since(began) > walks.Time; over && !stopped {
			stopped = true
			close(stop)
		}
	}
	report.Actions = outcomes.actionCounts()
	report.Outcomes = outcomes.counts()
	report.Seconds = time.Since(began).Seconds()
	return report
}
