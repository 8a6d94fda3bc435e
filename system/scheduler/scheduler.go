// Package scheduler chooses runners for the work of configured kinds, and limits how much
// of it runs at a time.
//
// Every front has one Scheduler. For each request the group of runners is picked from the
// weight table of the work's kind by weighted round-robin (weighted_round_robin.go), and
// in the group the runner with the largest free share. A request that finds no free
// runner waits in a bounded queue by urgency (wait_queue.go).
//
// The guarantees are:
//   - All fronts together send a runner no more requests at a time than its group's
//     concurrency, and while it warms up or has probably restarted, no more than the
//     warm-up concurrency, from which the limit grows linearly (slow_start.go). Each front
//     keeps to its share of the limit (front_shares.go).
//   - A part of each share is reserved for more urgent work.
//   - A full queue rejects the requests of the team that has most in it.
//
// The scheduler owns no goroutines; while requests wait, a timer rechecks the queues. Its
// state is in memory only. Times are of the process's monotonic clock, so that a wrong
// wall clock on a machine has no effect.
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
	"yardrock.example/system/roundrobin"
)

const (
	// noRunnerRetryAfter is the retry delay given if no group of a table has a usable
	// runner, overloadRetryAfter the one given if all runners are busy.
	noRunnerRetryAfter = 2 * time.Second
	overloadRetryAfter = time.Second
	// sameDomainBonus is the score of a runner in this front's domain, on the scale of the
	// free fraction of its share.
	sameDomainBonus = 0.25
	// faultPenalty divides the score of a runner that faulted less than faultBackoff ago.
	faultPenalty = 16
	faultBackoff = time.Second
)

// urgencyLevels is the number of urgencies.
const urgencyLevels = 3

var (
	// urgencies are the urgencies by their names in the configuration, in the order in
	// which they are served.
	urgencies = map[string]int{"urgent": 0, "normal": 1, "bulk": 2}
	// reservedDivisors says by urgency what part of a share is reserved for more urgent
	// work, as its inverse: bulk work leaves one slot of four. 0: none.
	reservedDivisors = [urgencyLevels]int{0, 8, 4}
)

// State is the complete input of the choice apart from what the scheduler measures
// itself. It must not be changed once it was returned to the scheduler.
type State struct {
	View   *feed.View
	Config *config.Config
	// Fronts are the live fronts. Without this front in it, no runner gets work.
	Fronts []placement.Candidate
}

// Scheduler hands out slots on runners for one front. Its methods may be called
// concurrently.
type Scheduler struct {
	front  string // name
	domain string
	state  func() State
	notify func(address string, suspected bool)

	mutex        sync.Mutex // guards all that follows
	frontLists   []frontList
	roundRobin   map[string]roundrobin.Credits // of groups, by table
	runners      map[string]*runnerStats       // by address
	teamInFlight map[string]int                // slots in use
	queues       [urgencyLevels][]*waiter
	recheckTimer *time.Timer // runs while requests wait; nil otherwise
}

// New returns a scheduler for a front in a domain. state returns what is in force; it is
// called with the scheduler locked and must not call back. notify tells the other fronts
// that a runner has probably restarted (true) or answers again (false); it is called with
// the scheduler locked and must not block.
//
//	runners := scheduler.New("front-1", "east", state, notify)
func New(front, domain string, state func() State, notify func(address string, suspected bool)) *Scheduler {
	return &Scheduler{front: front, domain: domain, state: state, notify: notify, roundRobin: map[string]roundrobin.Credits{}, runners: map[string]*runnerStats{}, teamInFlight: map[string]int{}}
}

// Usable reports whether a runner may get new work under a view: it is listed and not
// draining, and its domain is not drained.
//
//	if !scheduler.Usable(view, slot.Runner) { ... }
func Usable(view *feed.View, runner feed.Runner) bool {
	listed := slices.ContainsFunc(view.Runners, func(listed feed.Runner) bool {
		return listed.Address == runner.Address && listed.State != feed.StateDraining
	})
	return listed && !view.DomainDrained(runner.Domain)
}

// Acquire waits for a slot on a runner for a team's work of a kind. The slot must be
// released. The error always is or wraps an *apierror.Error of kind NotRun with a retry delay: the
// kind's table has no usable runner, the queue is full, the request has waited for the
// configured queue timeout or ctx ended.
//
//	slot, err := runners.Acquire(ctx, kind, "depot")
//	if err != nil {
//		return err
//	}
//	defer slot.Release(scheduler.Answered)
func (scheduler *Scheduler) Acquire(ctx context.Context, kind config.WorkKind, team string) (*Slot, error) {
	state := scheduler.state()
	scheduler.mutex.Lock()
	group, found := scheduler.pickGroup(state, kind.Table)
	if !found {
		scheduler.mutex.Unlock()
		return nil, apierror.NewRetryable(apierror.NotRun, "no runner of table "+kind.Table+" takes work now", "ask again later; operators: check the runner list and emptied domains", noRunnerRetryAfter)
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
	waiting := scheduler.enqueue(group, team, urgency)
	scheduler.mutex.Unlock()
	return scheduler.await(ctx, waiting, urgency, time.Duration(state.Config.Limits.QueueTimeout))
}

// overloadError is the error of a request for whose group no runner is free.
func overloadError(group string) error {
	return apierror.NewRetryable(apierror.NotRun, "all runners of group "+group+" are busy", "ask again later", overloadRetryAfter)
}

// freeRunner returns the usable runner of a group with the highest score among those
// that have a slot free for an urgency. The score is the free fraction of the share, and
// prefers the own domain and runners without a recent fault.
func (scheduler *Scheduler) freeRunner(state State, group string, urgency int, now time.Time) (feed.Runner, bool) {
	capacity := state.Config.Groups[group]
	best, bestScore, found := feed.Runner{}, -1.0, false
	for _, runner := range state.View.Runners {
		if runner.Group != group || !Usable(state.View, runner) {
			continue
		}
		stats := scheduler.statsOf(runner.Address)
		share := scheduler.share(runner, stats.limit(runner, capacity, now), state.Fronts, now)
		available := share
		if reservedDivisors[urgency] > 0 {
			available -= share / reservedDivisors[urgency]
		}
		if stats.inFlight >= available {
			continue
		}
		score := float64(share-stats.inFlight) / float64(share)
		if runner.Domain == scheduler.domain {
			score += sameDomainBonus
		}
		if now.Before(stats.avoidUntil) {
			score /= faultPenalty
		}
		if score > bestScore {
			best, bestScore, found = runner, score, true
		}
	}
	return best, found
}

// statsOf returns the measurements of a runner.
func (scheduler *Scheduler) statsOf(address string) *runnerStats {
	stats, found := scheduler.runners[address]
	if !found {
		stats = &runnerStats{}
		scheduler.runners[address] = stats
	}
	return stats
}

// reserve counts a slot as in use by a team.
func (scheduler *Scheduler) reserve(runner feed.Runner, team string) {
	scheduler.statsOf(runner.Address).inFlight++
	scheduler.teamInFlight[team]++
}
