// Package scheduling elects runners: weight tables share work among groups,
// each runner bears so much and less while cold, and who must wait does so in a
// bounded queue by urgency.
package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
)

const (
	faultBackoff = time.Second
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
