// Package scheduling elects runners: weight tables share work among groups,
// each runner bears so much and less while cold, and who must wait does so in a
// bounded queue by urgency.
package scheduling

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
)

const (
	errorBackoff = time.Second
	rampRecheck  = 250 * time.Millisecond
	// frontsSettle is how long a front waits before it takes over the share of one
	// that has left: the others must have heard of the change too.
	frontsSettle = time.Second
	// cooledLongest is how long a front that gets no work for a cooled runner waits
	// to be told that it answers again.
	cooledLongest = 10 * time.Second
	// A first piece is slow if it takes so many times the usual, and at least this.
	slowFactor   = 4
	slowShortest = 500 * time.Millisecond
	usualAfter   = 8
)

// Urgencies from first served to last. Each leaves a part of every runner's share to
// those before it, so that long work of a crowd does not hold up the urgent.
var (
	urgencies = map[string]int{"urgent": 0, "normal": 1, "bulk": 2}
	leaves    = [3]int{0, 8, 4} // one slot of so many
)

// State is what the choice rests on; it is replaced whole.
type State struct {
	View   *feed.View
	Config *config.Config
	Fronts []placement.Candidate
}

// Ending tells how a slot was used.
type Ending int

// The ways in which a slot can end.
const (
	// Unused slots were given back before anything was sent.
	Unused Ending = iota
	// Answered tells that the runner did its work.
	Answered
	// Troubled tells of a broken answer that says nothing about the runner's warmth.
	Troubled
	// Lost tells that the runner refused, was not there, or went away: it may have
	// just started anew, whatever the platform's list says.
	Lost
)

type runnerUse struct {
	out   int
	avoid time.Time
	// cooled is when the runner was last taken for just started; zero if it is not.
	cooled time.Time
	// ramped is when its limit began to grow; zero while it does not.
	ramped time.Time
	usual  time.Duration // to the first piece
	firsts int
}

// waiter waits for a slot; the channel is closed if another team's takes its place.
type waiter struct {
	group  string
	team   string
	chosen chan feed.Runner
}

// Board hands out slots on runners for one front.
type Board struct {
	front   string
	domain  string
	state   func() State
	tell    func(address string, cooled bool)
	mutex   sync.Mutex
	fronts  []frontList
	wheels  map[string]map[string]float64
	uses    map[string]*runnerUse
	outs    map[string]int // slots out, by team
	waiting [3][]*waiter
	recheck *time.Timer // runs while someone waits: ramps and lists go on by themselves
}

// frontList is which fronts were live, until the next list came.
type frontList struct {
	places []placement.Candidate
	until  time.Time
	ranks  map[string]int // of this front, by runner address
}

// rank tells which place this front has among those that share a runner.
func (list frontList) rank(runner string, itself func(placement.Candidate) bool) int {
	rank, known := list.ranks[runner]
	if !known {
		rank = slices.IndexFunc(placement.Rank(runner, list.places), itself)
		list.ranks[runner] = rank
	}
	return rank
}

// Slot is the right to send one query to a runner. Release must be called once.
type Slot struct {
	board  *Board
	Runner feed.Runner
	Group  string
	team   string
	once   sync.Once
}

// NewBoard makes a board for a front; state gives what is in force, and tell lets
// the other fronts know that a runner looks just started, or answers again.
//
//	board := scheduling.NewBoard("front-1", "east", state, tell)
func NewBoard(front, domain string, state func() State, tell func(address string, cooled bool)) *Board {
	return &Board{front: front, domain: domain, state: state, tell: tell, wheels: map[string]map[string]float64{}, uses: map[string]*runnerUse{}, outs: map[string]int{}}
}

// Usable tells whether a runner may get new work under a view.
//
//	if !scheduling.Usable(view, slot.Runner) { ... }
func Usable(view *feed.View, runner feed.Runner) bool {
	listed := slices.ContainsFunc(view.Runners, func(one feed.Runner) bool {
		return one.Address == runner.Address && one.State != feed.StateDraining
	})
	return listed && !view.DomainDrained(runner.Domain)
}

// limit is how many queries a runner bears now, over all fronts. All times are by
// this process's steady clock, so that no machine's wrong wall clock counts.
func (use *runnerUse) limit(runner feed.Runner, bears config.Group, now time.Time) int {
	ramp := time.Duration(bears.SlowStart)
	switch {
	case runner.State == feed.StateWarmingUp:
		use.ramped = time.Time{}
		return bears.WarmUpConcurrency
	case !use.cooled.IsZero() && use.ramped.IsZero() && now.Sub(use.cooled) < cooledLongest:
		return bears.WarmUpConcurrency
	case use.cooled.IsZero() && runner.Warmed:
		return bears.Concurrency
	case use.ramped.IsZero():
		use.ramped = now
	}
	since := now.Sub(use.ramped)
	if since >= ramp || bears.Concurrency <= bears.WarmUpConcurrency {
		use.cooled = time.Time{}
		return bears.Concurrency
	}
	return bears.WarmUpConcurrency + int(float64(bears.Concurrency-bears.WarmUpConcurrency)*float64(since)/float64(ramp))
}

// share cuts a runner's limit by key over the live fronts, so that all fronts
// together keep to it; where it bears less than one a front, some have none. What a
// change of the fronts takes away counts at once, what it gives only after a while.
func (board *Board) share(runner feed.Runner, total int, fronts []placement.Candidate, now time.Time) int {
	if !slices.ContainsFunc(fronts, board.itself) {
		return 0
	}
	board.noteFronts(fronts, now)
	share := total
	for _, list := range board.fronts {
		mine := total / len(list.places)
		if list.rank(runner.Address, board.itself) < total%len(list.places) {
			mine++
		}
		share = min(share, mine)
	}
	return share
}

func (board *Board) itself(place placement.Candidate) bool { return place.Name == board.front }

// noteFronts keeps the list of fronts and those that were replaced a short time ago.
func (board *Board) noteFronts(fronts []placement.Candidate, now time.Time) {
	last := len(board.fronts) - 1
	if last < 0 || !slices.Equal(board.fronts[last].places, fronts) {
		if last >= 0 {
			board.fronts[last].until = now
		}
		board.fronts = append(board.fronts, frontList{places: fronts, ranks: map[string]int{}})
	}
	board.fronts = slices.DeleteFunc(board.fronts, func(list frontList) bool {
		return !list.until.IsZero() && now.Sub(list.until) >= frontsSettle
	})
}

func (board *Board) free(state State, group string, urgency int, now time.Time) (feed.Runner, bool) {
	bears := state.Config.Groups[group]
	best, bestScore, found := feed.Runner{}, -1.0, false
	for _, runner := range state.View.Runners {
		if runner.Group != group || !Usable(state.View, runner) {
			continue
		}
		use := board.use(runner.Address)
		share := board.share(runner, use.limit(runner, bears, now), state.Fronts, now)
		mine := share
		if leaves[urgency] > 0 {
			mine -= share / leaves[urgency]
		}
		if use.out >= mine {
			continue
		}
		score := float64(share-use.out) / float64(share)
		if runner.Domain == board.domain {
			score += 0.25
		}
		if now.Before(use.avoid) {
			score /= 16
		}
		if score > bestScore {
			best, bestScore, found = runner, score, true
		}
	}
	return best, found
}

func (board *Board) use(address string) *runnerUse {
	use, found := board.uses[address]
	if !found {
		use = &runnerUse{}
		board.uses[address] = use
	}
	return use
}

// pick turns the wheel of a weight table over the groups that have usable
// runners: over any window each group's share stays within one of its weight.
func (board *Board) pick(state State, table string) (string, bool) {
	weights := map[string]float64{}
	total := 0.0
	for group, weight := range state.Config.Tables[table] {
		usable := slices.ContainsFunc(state.View.Runners, func(runner feed.Runner) bool {
			return runner.Group == group && Usable(state.View, runner)
		})
		if usable && weight > 0 {
			weights[group] = weight
			total += weight
		}
	}
	wheel, found := board.wheels[table]
	if !found {
		wheel = map[string]float64{}
		board.wheels[table] = wheel
	}
	for group := range wheel {
		if _, still := weights[group]; !still {
			delete(wheel, group)
		}
	}
	best := ""
	for _, group := range slices.Sorted(maps.Keys(weights)) {
		wheel[group] += weights[group] / total
		if best == "" || wheel[group] > wheel[best] {
			best = group
		}
	}
	if best != "" {
		wheel[best]--
	}
	return best, best != ""
}

// Acquire waits for a slot on a runner for a team's work of a kind. A refusal is
// NotRun and tells when to come back.
//
//	slot, err := board.Acquire(ctx, kind, "depot")
//	defer slot.Release(scheduling.Answered)
func (board *Board) Acquire(ctx context.Context, kind config.WorkKind, team string) (*Slot, error) {
	state := board.state()
	board.mutex.Lock()
	group, found := board.pick(state, kind.Table)
	if !found {
		board.mutex.Unlock()
		return nil, apierror.NewRetryable(apierror.NotRun, "no runner of table "+kind.Table+" takes work now", "ask again later; operators: check the runner list and emptied domains", 2*time.Second)
	}
	urgency := urgencies[kind.Urgency]
	if !board.queued(urgency, group) {
		if runner, free := board.free(state, group, urgency, time.Now()); free {
			board.take(runner, team)
			board.mutex.Unlock()
			return &Slot{board: board, Runner: runner, Group: group, team: team}, nil
		}
	}
	if len(board.waiting[urgency]) >= state.Config.Limits.Queue && !board.makeRoom(urgency, team) {
		board.mutex.Unlock()
		return nil, overload(group)
	}
	waiting := &waiter{group: group, team: team, chosen: make(chan feed.Runner, 1)}
	board.waiting[urgency] = append(board.waiting[urgency], waiting)
	if board.recheck == nil {
		board.recheck = time.AfterFunc(rampRecheck, board.lookAgain)
	}
	board.mutex.Unlock()
	return board.await(ctx, waiting, urgency, time.Duration(state.Config.Limits.QueueTimeout))
}

func (board *Board) take(runner feed.Runner, team string) {
	board.use(runner.Address).out++
	board.outs[team]++
}

// makeRoom refuses the newest in a full queue of the team that has most there, if
// that is more than the asking team has: no team's crowd keeps the others out.
func (board *Board) makeRoom(urgency int, team string) bool {
	counts := map[string]int{}
	for _, waiting := range board.waiting[urgency] {
		counts[waiting.team]++
	}
	most := team
	for _, other := range slices.Sorted(maps.Keys(counts)) {
		if counts[other] > counts[most] {
			most = other
		}
	}
	if counts[most] <= counts[team]+1 {
		return false
	}
	queue := board.waiting[urgency]
	for position := len(queue) - 1; position >= 0; position-- {
		if queue[position].team == most {
			close(queue[position].chosen)
			board.waiting[urgency] = slices.Delete(slices.Clone(queue), position, position+1)
			return true
		}
	}
	return false
}

func overload(group string) error {
	return apierror.NewRetryable(apierror.NotRun, "all runners of group "+group+" are busy", "ask again later", time.Second)
}

// queued tells whether someone as urgent already waits for the group.
func (board *Board) queued(urgency int, group string) bool {
	for _, queue := range board.waiting[:urgency+1] {
		if slices.ContainsFunc(queue, func(waiting *waiter) bool { return waiting.group == group }) {
			return true
		}
	}
	return false
}

func (board *Board) await(ctx context.Context, waiting *waiter, urgency int, timeout time.Duration) (*Slot, error) {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	served := func(runner feed.Runner, given bool) (*Slot, error) {
		if !given {
			return nil, overload(waiting.group)
		}
		return &Slot{board: board, Runner: runner, Group: waiting.group, team: waiting.team}, nil
	}
	select {
	case runner, given := <-waiting.chosen:
		return served(runner, given)
	case <-expired.C:
	case <-ctx.Done():
	}
	board.mutex.Lock()
	defer board.mutex.Unlock()
	select {
	case runner, given := <-waiting.chosen:
		return served(runner, given)
	default:
	}
	board.waiting[urgency] = slices.DeleteFunc(board.waiting[urgency], func(one *waiter) bool { return one == waiting })
	return nil, overload(waiting.group)
}

// lookAgain serves those who wait, as long as there are any.
func (board *Board) lookAgain() {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.serveWaiting()
	if len(board.waiting[0])+len(board.waiting[1])+len(board.waiting[2]) == 0 {
		board.recheck = nil
		return
	}
	board.recheck.Reset(rampRecheck)
}

// serveWaiting gives free slots to those who wait: the most urgent first, of these
// the team that has least out, of these who came first.
func (board *Board) serveWaiting() {
	state := board.state()
	now, full := time.Now(), map[string]bool{}
	for urgency := range board.waiting {
		clear(full) // the less urgent have less room, the more urgent had none to leave
		for {
			next := board.next(urgency, full)
			if next < 0 {
				break
			}
			waiting := board.waiting[urgency][next]
			runner, free := board.free(state, waiting.group, urgency, now)
			if !free {
				full[waiting.group] = true
				continue
			}
			board.take(runner, waiting.team)
			waiting.chosen <- runner
			board.waiting[urgency] = slices.Delete(slices.Clone(board.waiting[urgency]), next, next+1)
		}
	}
}

func (board *Board) next(urgency int, full map[string]bool) int {
	best := -1
	for position, waiting := range board.waiting[urgency] {
		if !full[waiting.group] && (best < 0 || board.outs[waiting.team] < board.outs[board.waiting[urgency][best].team]) {
			best = position
		}
	}
	return best
}

// Release gives the slot back and tells how it was used.
//
//	slot.Release(scheduling.Answered)
func (slot *Slot) Release(ending Ending) {
	slot.once.Do(func() {
		board := slot.board
		board.mutex.Lock()
		defer board.mutex.Unlock()
		use := board.use(slot.Runner.Address)
		use.out--
		if board.outs[slot.team]--; board.outs[slot.team] == 0 {
			delete(board.outs, slot.team)
		}
		switch ending {
		case Answered:
			if !use.cooled.IsZero() && use.ramped.IsZero() {
				use.ramped = time.Now()
				board.tell(slot.Runner.Address, false)
			}
		case Troubled:
			use.avoid = time.Now().Add(errorBackoff)
		case Lost:
			use.avoid = time.Now().Add(errorBackoff)
			board.cool(slot.Runner.Address, use)
		}
		board.serveWaiting()
	})
}

// First notes how long the first piece took. Much longer than usual is a sign that
// the runner has just started, or bears too much.
//
//	slot.First(time.Since(began))
func (slot *Slot) First(took time.Duration) {
	board := slot.board
	board.mutex.Lock()
	defer board.mutex.Unlock()
	use := board.use(slot.Runner.Address)
	if use.firsts >= usualAfter && took > slowShortest && took > slowFactor*use.usual {
		use.avoid = time.Now().Add(errorBackoff)
		board.cool(slot.Runner.Address, use)
		return
	}
	use.firsts++
	use.usual += (took - use.usual) / time.Duration(min(use.firsts, 4*usualAfter))
}

// cool takes a runner for just started, here and, if that is news, at the others.
func (board *Board) cool(address string, use *runnerUse) {
	news := use.cooled.IsZero() || !use.ramped.IsZero()
	use.cooled, use.ramped = time.Now(), time.Time{}
	if news {
		board.tell(address, true)
	}
}

// WarmingUp lists the runners that are taken for just started and have not answered
// since, for a front that is new.
//
//	for _, address := range board.WarmingUp() { ... }
func (board *Board) Cooled() []string {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	found := []string{}
	for address, use := range board.uses {
		if !use.cooled.IsZero() {
			found = append(found, address)
		}
	}
	return found
}

// Note takes another front's word that a runner looks just started, or answers
// again.
//
//	board.Note("10.0.3.1:8000", true)
func (board *Board) Note(address string, cooled bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	use := board.use(address)
	switch {
	case cooled:
		use.cooled, use.ramped = time.Now(), time.Time{}
	case !use.cooled.IsZero() && use.ramped.IsZero():
		use.ramped = time.Now()
	}
}

// Demand tells what is out to each runner, and how many queries wait.
//
//	out, waiting := board.Demand()
func (board *Board) Demand() ([]wire.RunnerLoad, uint32) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	out := []wire.RunnerLoad{}
	for _, address := range slices.Sorted(maps.Keys(board.uses)) {
		if use := board.uses[address]; use.out > 0 || !use.cooled.IsZero() {
			out = append(out, wire.RunnerLoad{Address: address, InFlight: uint32(use.out), WarmingUp: !use.cooled.IsZero()})
		}
	}
	return out, uint32(len(board.waiting[0]) + len(board.waiting[1]) + len(board.waiting[2]))
}
