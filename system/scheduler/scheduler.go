// Package scheduling elects runners: weight tables share work among groups,
// each runner bears so much and less while cold, and who must wait does so in a
// bounded queue by urgency.
package scheduler

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
	faultBackoff         = time.Second
	queueRecheckInterval = 250 * time.Millisecond
	// shareTakeoverDelay is how long a front waits before it takes over the share of one
	// that has left: the others must have heard of the change too.
	shareTakeoverDelay = time.Second
	// maxRestartSuspicion is how long a front that gets no work for a cooled runner waits
	// to be told that it answers again.
	maxRestartSuspicion = 10 * time.Second
	// A first piece is slow if it takes so many times the usual, and at least this.
	slowFirstEventFactor = 4
	minSlowFirstEvent    = 500 * time.Millisecond
	minFirstEventSamples = 8
)

// Urgencies from first served to last. Each leaves a part of every runner's share to
// those before it, so that long work of a crowd does not hold up the urgent.
var (
	urgencies        = map[string]int{"urgent": 0, "normal": 1, "bulk": 2}
	reservedDivisors = [3]int{0, 8, 4} // one slot of so many
)

// State is what the choice rests on; it is replaced whole.
type State struct {
	View   *feed.View
	Config *config.Config
	Fronts []placement.Candidate
}

// Outcome tells how a slot was used.
type Outcome int

// The ways in which a slot can end.
const (
	// NotSent slots were given back before anything was sent.
	NotSent Outcome = iota
	// Answered tells that the runner did its work.
	Answered
	// Faulted tells of a broken answer that says nothing about the runner's warmth.
	Faulted
	// Lost tells that the runner refused, was not there, or went away: it may have
	// just started anew, whatever the platform's list says.
	Lost
)

type runnerStats struct {
	inFlight   int
	avoidUntil time.Time
	// cooled is when the runner was last taken for just started; zero if it is not.
	restartSuspectedAt time.Time
	// slowStartAt is when its limit began to grow; zero while it does not.
	slowStartAt       time.Time
	meanFirstEvent    time.Duration // to the first piece
	firstEventSamples int
}

// waiter waits for a slot; the channel is closed if another team's takes its place.
type waiter struct {
	group   string
	team    string
	granted chan feed.Runner
}

// Scheduler hands out slots on runners for one front.
type Scheduler struct {
	front        string
	domain       string
	state        func() State
	notify       func(address string, cooled bool)
	mutex        sync.Mutex
	frontLists   []frontList
	roundRobin   map[string]map[string]float64
	runners      map[string]*runnerStats
	teamInFlight map[string]int // slots out, by team
	queues       [3][]*waiter
	recheckTimer *time.Timer // runs while someone waits: ramps and lists go on by themselves
}

// frontList is which fronts were live, until the next list came.
type frontList struct {
	fronts     []placement.Candidate
	replacedAt time.Time
	ranks      map[string]int // of this front, by runner address
}

// rank tells which place this front has among those that share a runner.
func (list frontList) rank(runner string, itself func(placement.Candidate) bool) int {
	rank, known := list.ranks[runner]
	if !known {
		rank = slices.IndexFunc(placement.Rank(runner, list.fronts), itself)
		list.ranks[runner] = rank
	}
	return rank
}

// Slot is the right to send one query to a runner. Release must be called once.
type Slot struct {
	scheduler *Scheduler
	Runner    feed.Runner
	Group     string
	team      string
	once      sync.Once
}

// New makes a board for a front; state gives what is in force, and tell lets
// the other fronts know that a runner looks just started, or answers again.
//
//	board := scheduling.New("front-1", "east", state, tell)
func New(front, domain string, state func() State, notify func(address string, cooled bool)) *Scheduler {
	return &Scheduler{front: front, domain: domain, state: state, notify: notify, roundRobin: map[string]map[string]float64{}, runners: map[string]*runnerStats{}, teamInFlight: map[string]int{}}
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
func (stats *runnerStats) limit(runner feed.Runner, capacity config.Group, now time.Time) int {
	slowStart := time.Duration(capacity.SlowStart)
	switch {
	case runner.State == feed.StateWarmingUp:
		stats.slowStartAt = time.Time{}
		return capacity.WarmUpConcurrency
	case !stats.restartSuspectedAt.IsZero() && stats.slowStartAt.IsZero() && now.Sub(stats.restartSuspectedAt) < maxRestartSuspicion:
		return capacity.WarmUpConcurrency
	case stats.restartSuspectedAt.IsZero() && runner.Warmed:
		return capacity.Concurrency
	case stats.slowStartAt.IsZero():
		stats.slowStartAt = now
	}
	elapsed := now.Sub(stats.slowStartAt)
	if elapsed >= slowStart || capacity.Concurrency <= capacity.WarmUpConcurrency {
		stats.restartSuspectedAt = time.Time{}
		return capacity.Concurrency
	}
	return capacity.WarmUpConcurrency + int(float64(capacity.Concurrency-capacity.WarmUpConcurrency)*float64(elapsed)/float64(slowStart))
}

// share cuts a runner's limit by key over the live fronts, so that all fronts
// together keep to it; where it bears less than one a front, some have none. What a
// change of the fronts takes away counts at once, what it gives only after a while.
func (scheduler *Scheduler) share(runner feed.Runner, total int, fronts []placement.Candidate, now time.Time) int {
	if !slices.ContainsFunc(fronts, scheduler.isSelf) {
		return 0
	}
	scheduler.recordFronts(fronts, now)
	share := total
	for _, list := range scheduler.frontLists {
		mine := total / len(list.fronts)
		if list.rank(runner.Address, scheduler.isSelf) < total%len(list.fronts) {
			mine++
		}
		share = min(share, mine)
	}
	return share
}

func (scheduler *Scheduler) isSelf(place placement.Candidate) bool {
	return place.Name == scheduler.front
}

// recordFronts keeps the list of fronts and those that were replaced a short time ago.
func (scheduler *Scheduler) recordFronts(fronts []placement.Candidate, now time.Time) {
	last := len(scheduler.frontLists) - 1
	if last < 0 || !slices.Equal(scheduler.frontLists[last].fronts, fronts) {
		if last >= 0 {
			scheduler.frontLists[last].replacedAt = now
		}
		scheduler.frontLists = append(scheduler.frontLists, frontList{fronts: fronts, ranks: map[string]int{}})
	}
	scheduler.frontLists = slices.DeleteFunc(scheduler.frontLists, func(list frontList) bool {
		return !list.replacedAt.IsZero() && now.Sub(list.replacedAt) >= shareTakeoverDelay
	})
}

func (scheduler *Scheduler) freeRunner(state State, group string, urgency int, now time.Time) (feed.Runner, bool) {
	capacity := state.Config.Groups[group]
	best, bestScore, found := feed.Runner{}, -1.0, false
	for _, runner := range state.View.Runners {
		if runner.Group != group || !Usable(state.View, runner) {
			continue
		}
		stats := scheduler.statsOf(runner.Address)
		share := scheduler.share(runner, stats.limit(runner, capacity, now), state.Fronts, now)
		mine := share
		if reservedDivisors[urgency] > 0 {
			mine -= share / reservedDivisors[urgency]
		}
		if stats.inFlight >= mine {
			continue
		}
		score := float64(share-stats.inFlight) / float64(share)
		if runner.Domain == scheduler.domain {
			score += 0.25
		}
		if now.Before(stats.avoidUntil) {
			score /= 16
		}
		if score > bestScore {
			best, bestScore, found = runner, score, true
		}
	}
	return best, found
}

func (scheduler *Scheduler) statsOf(address string) *runnerStats {
	stats, found := scheduler.runners[address]
	if !found {
		stats = &runnerStats{}
		scheduler.runners[address] = stats
	}
	return stats
}

// pickGroup turns the wheel of a weight table over the groups that have usable
// runners: over any window each group's share stays within one of its weight.
func (scheduler *Scheduler) pickGroup(state State, table string) (string, bool) {
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
	credits, found := scheduler.roundRobin[table]
	if !found {
		credits = map[string]float64{}
		scheduler.roundRobin[table] = credits
	}
	for group := range credits {
		if _, still := weights[group]; !still {
			delete(credits, group)
		}
	}
	best := ""
	for _, group := range slices.Sorted(maps.Keys(weights)) {
		credits[group] += weights[group] / total
		if best == "" || credits[group] > credits[best] {
			best = group
		}
	}
	if best != "" {
		credits[best]--
	}
	return best, best != ""
}

// Acquire waits for a slot on a runner for a team's work of a kind. A refusal is
// NotRun and tells when to come back.
//
//	slot, err := board.Acquire(ctx, kind, "depot")
//	defer slot.Release(scheduling.Answered)
func (scheduler *Scheduler) Acquire(ctx context.Context, kind config.WorkKind, team string) (*Slot, error) {
	state := scheduler.state()
	scheduler.mutex.Lock()
	group, found := scheduler.pickGroup(state, kind.Table)
	if !found {
		scheduler.mutex.Unlock()
		return nil, apierror.NewRetryable(apierror.NotRun, "no runner of table "+kind.Table+" takes work now", "ask again later; operators: check the runner list and emptied domains", 2*time.Second)
	}
	urgency := urgencies[kind.Urgency]
	if !scheduler.hasWaiter(urgency, group) {
		if runner, free := scheduler.freeRunner(state, group, urgency, time.Now()); free {
			scheduler.reserve(runner, team)
			scheduler.mutex.Unlock()
			return &Slot{scheduler: scheduler, Runner: runner, Group: group, team: team}, nil
		}
	}
	if len(scheduler.queues[urgency]) >= state.Config.Limits.Queue && !scheduler.evictForFairness(urgency, team) {
		scheduler.mutex.Unlock()
		return nil, overloadError(group)
	}
	waiting := &waiter{group: group, team: team, granted: make(chan feed.Runner, 1)}
	scheduler.queues[urgency] = append(scheduler.queues[urgency], waiting)
	if scheduler.recheckTimer == nil {
		scheduler.recheckTimer = time.AfterFunc(queueRecheckInterval, scheduler.recheckQueues)
	}
	scheduler.mutex.Unlock()
	return scheduler.await(ctx, waiting, urgency, time.Duration(state.Config.Limits.QueueTimeout))
}

func (scheduler *Scheduler) reserve(runner feed.Runner, team string) {
	scheduler.statsOf(runner.Address).inFlight++
	scheduler.teamInFlight[team]++
}

// evictForFairness refuses the newest in a full queue of the team that has most there, if
// that is more than the asking team has: no team's crowd keeps the others out.
func (scheduler *Scheduler) evictForFairness(urgency int, team string) bool {
	counts := map[string]int{}
	for _, waiting := range scheduler.queues[urgency] {
		counts[waiting.team]++
	}
	largest := team
	for _, other := range slices.Sorted(maps.Keys(counts)) {
		if counts[other] > counts[largest] {
			largest = other
		}
	}
	if counts[largest] <= counts[team]+1 {
		return false
	}
	queue := scheduler.queues[urgency]
	for position := len(queue) - 1; position >= 0; position-- {
		if queue[position].team == largest {
			close(queue[position].granted)
			scheduler.queues[urgency] = slices.Delete(slices.Clone(queue), position, position+1)
			return true
		}
	}
	return false
}

func overloadError(group string) error {
	return apierror.NewRetryable(apierror.NotRun, "all runners of group "+group+" are busy", "ask again later", time.Second)
}

// hasWaiter tells whether someone as urgent already waits for the group.
func (scheduler *Scheduler) hasWaiter(urgency int, group string) bool {
	for _, queue := range scheduler.queues[:urgency+1] {
		if slices.ContainsFunc(queue, func(waiting *waiter) bool { return waiting.group == group }) {
			return true
		}
	}
	return false
}

func (scheduler *Scheduler) await(ctx context.Context, waiting *waiter, urgency int, timeout time.Duration) (*Slot, error) {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	served := func(runner feed.Runner, given bool) (*Slot, error) {
		if !given {
			return nil, overloadError(waiting.group)
		}
		return &Slot{scheduler: scheduler, Runner: runner, Group: waiting.group, team: waiting.team}, nil
	}
	select {
	case runner, given := <-waiting.granted:
		return served(runner, given)
	case <-expired.C:
	case <-ctx.Done():
	}
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	select {
	case runner, given := <-waiting.granted:
		return served(runner, given)
	default:
	}
	scheduler.queues[urgency] = slices.DeleteFunc(scheduler.queues[urgency], func(one *waiter) bool { return one == waiting })
	return nil, overloadError(waiting.group)
}

// recheckQueues serves those who wait, as long as there are any.
func (scheduler *Scheduler) recheckQueues() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.serveQueues()
	if len(scheduler.queues[0])+len(scheduler.queues[1])+len(scheduler.queues[2]) == 0 {
		scheduler.recheckTimer = nil
		return
	}
	scheduler.recheckTimer.Reset(queueRecheckInterval)
}

// serveQueues gives free slots to those who wait: the most urgent first, of these
// the team that has least out, of these who came first.
func (scheduler *Scheduler) serveQueues() {
	state := scheduler.state()
	now, full := time.Now(), map[string]bool{}
	for urgency := range scheduler.queues {
		clear(full) // the less urgent have less room, the more urgent had none to leave
		for {
			next := scheduler.nextWaiter(urgency, full)
			if next < 0 {
				break
			}
			waiting := scheduler.queues[urgency][next]
			runner, free := scheduler.freeRunner(state, waiting.group, urgency, now)
			if !free {
				full[waiting.group] = true
				continue
			}
			scheduler.reserve(runner, waiting.team)
			waiting.granted <- runner
			scheduler.queues[urgency] = slices.Delete(slices.Clone(scheduler.queues[urgency]), next, next+1)
		}
	}
}

func (scheduler *Scheduler) nextWaiter(urgency int, full map[string]bool) int {
	best := -1
	for position, waiting := range scheduler.queues[urgency] {
		if !full[waiting.group] && (best < 0 || scheduler.teamInFlight[waiting.team] < scheduler.teamInFlight[scheduler.queues[urgency][best].team]) {
			best = position
		}
	}
	return best
}

// Release gives the slot back and tells how it was used.
//
//	slot.Release(scheduling.Answered)
func (slot *Slot) Release(outcome Outcome) {
	slot.once.Do(func() {
		scheduler := slot.scheduler
		scheduler.mutex.Lock()
		defer scheduler.mutex.Unlock()
		stats := scheduler.statsOf(slot.Runner.Address)
		stats.inFlight--
		if scheduler.teamInFlight[slot.team]--; scheduler.teamInFlight[slot.team] == 0 {
			delete(scheduler.teamInFlight, slot.team)
		}
		switch outcome {
		case Answered:
			if !stats.restartSuspectedAt.IsZero() && stats.slowStartAt.IsZero() {
				stats.slowStartAt = time.Now()
				scheduler.notify(slot.Runner.Address, false)
			}
		case Faulted:
			stats.avoidUntil = time.Now().Add(faultBackoff)
		case Lost:
			stats.avoidUntil = time.Now().Add(faultBackoff)
			scheduler.suspectRestart(slot.Runner.Address, stats)
		}
		scheduler.serveQueues()
	})
}

// FirstEvent notes how long the first piece took. Much longer than usual is a sign that
// the runner has just started, or bears too much.
//
//	slot.FirstEvent(time.Since(began))
func (slot *Slot) FirstEvent(took time.Duration) {
	scheduler := slot.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	stats := scheduler.statsOf(slot.Runner.Address)
	if stats.firstEventSamples >= minFirstEventSamples && took > minSlowFirstEvent && took > slowFirstEventFactor*stats.meanFirstEvent {
		stats.avoidUntil = time.Now().Add(faultBackoff)
		scheduler.suspectRestart(slot.Runner.Address, stats)
		return
	}
	stats.firstEventSamples++
	stats.meanFirstEvent += (took - stats.meanFirstEvent) / time.Duration(min(stats.firstEventSamples, 4*minFirstEventSamples))
}

// suspectRestart takes a runner for just started, here and, if that is news, at the others.
func (scheduler *Scheduler) suspectRestart(address string, stats *runnerStats) {
	changed := stats.restartSuspectedAt.IsZero() || !stats.slowStartAt.IsZero()
	stats.restartSuspectedAt, stats.slowStartAt = time.Now(), time.Time{}
	if changed {
		scheduler.notify(address, true)
	}
}

// WarmingUp lists the runners that are taken for just started and have not answered
// since, for a front that is new.
//
//	for _, address := range board.WarmingUp() { ... }
func (scheduler *Scheduler) SuspectedRestarts() []string {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	found := []string{}
	for address, stats := range scheduler.runners {
		if !stats.restartSuspectedAt.IsZero() {
			found = append(found, address)
		}
	}
	return found
}

// ReportRestart takes another front's word that a runner looks just started, or answers
// again.
//
//	board.ReportRestart("10.0.3.1:8000", true)
func (scheduler *Scheduler) ReportRestart(address string, suspected bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	stats := scheduler.statsOf(address)
	switch {
	case suspected:
		stats.restartSuspectedAt, stats.slowStartAt = time.Now(), time.Time{}
	case !stats.restartSuspectedAt.IsZero() && stats.slowStartAt.IsZero():
		stats.slowStartAt = time.Now()
	}
}

// Status tells what is out to each runner, and how many queries wait.
//
//	out, waiting := board.Status()
func (scheduler *Scheduler) Status() ([]wire.RunnerLoad, uint32) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	out := []wire.RunnerLoad{}
	for _, address := range slices.Sorted(maps.Keys(scheduler.runners)) {
		if stats := scheduler.runners[address]; stats.inFlight > 0 || !stats.restartSuspectedAt.IsZero() {
			out = append(out, wire.RunnerLoad{Address: address, InFlight: uint32(stats.inFlight), WarmingUp: !stats.restartSuspectedAt.IsZero()})
		}
	}
	return out, uint32(len(scheduler.queues[0]) + len(scheduler.queues[1]) + len(scheduler.queues[2]))
}
