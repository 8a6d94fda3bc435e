// Package scheduler chooses runners for requests of the work API, by the configured kinds of
// work, and limits the concurrency per runner. For forwarded requests, package balancer does.
//
// Every front has one Scheduler. For each request, a group of runners is picked from the
// weight table of the kind by weighted round-robin (weighted_round_robin.go), and within the
// group the runner with the highest score (selectRunner). If no runner has a free slot, the
// request waits in a bounded queue per urgency (wait_queue.go).
//
// Guarantees:
//   - The concurrent requests of all fronts to a runner do not exceed the concurrency of its
//     group. While the runner warms up or is suspected to have restarted, they do not exceed
//     the warm-up concurrency, from which the limit then grows linearly (slow_start.go).
//     Each front stays within its share of the limit (front_shares.go).
//   - A part of each share is reserved for more urgent work.
//   - A full queue rejects requests of the team that has the most requests in it.
//
// The scheduler owns no goroutines; while requests wait, a timer rechecks the queues. Its
// state is in memory only. It uses the monotonic clock, so that wall clock changes have no
// effect.
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
	// noRunnerRetryAfter is the retry delay if no group of the table has a usable runner,
	// overloadRetryAfter the one if all runners are busy.
	noRunnerRetryAfter = 2 * time.Second
	overloadRetryAfter = time.Second
	// sameDomainBonus is added to the score of a runner in this front's own domain. The
	// score without it is the free fraction of the share.
	sameDomainBonus = 0.25
	// failurePenalty divides the score of a runner whose last failure is less than failureBackoff
	// ago.
	failurePenalty = 16
	failureBackoff = time.Second
)

// urgencyLevels is the number of urgency levels.
const urgencyLevels = 3

var (
	// urgencies maps the urgency names of the configuration to levels; lower levels are
	// served first.
	urgencies = map[string]int{"urgent": 0, "normal": 1, "bulk": 2}
	// reservedDivisors is, by urgency level, the inverse of the fraction of a share that is
	// reserved for more urgent work: bulk work leaves one slot in four free. 0 reserves
	// nothing.
	reservedDivisors = [urgencyLevels]int{0, 8, 4}
)

// State is the input of the scheduler's choices, besides its own measurements. It must not be
// modified after it has been passed to the scheduler.
type State struct {
	View   *feed.View
	Config *config.Config
	// Fronts are the live fronts. If this front is not among them, it sends no requests.
	Fronts []placement.Candidate
}

// Scheduler assigns slots on runners to the requests of one front. It is safe for concurrent
// use.
type Scheduler struct {
	front  string // name
	domain string
	state  func() State
	notify func(address string, suspected bool)

	mutex        sync.Mutex // guards all that follows
	frontLists   []frontList
	roundRobin   map[string]roundrobin.Credits // credits of the groups, by table
	runners      map[string]*runnerStats       // by address
	teamInFlight map[string]int                // slots in use, by team
	queues       [urgencyLevels][]*waiter
	recheckTimer *time.Timer // set while requests wait
}

// New returns a scheduler for a front in a domain. state returns the current state; it may be
// called with the scheduler locked and must not call the scheduler. notify informs the other
// fronts that a runner is suspected to have restarted (true) or responds again (false); it
// is called with the scheduler locked and must not block.
//
//	runners := scheduler.New("front-1", "east", state, notify)
func New(front, domain string, state func() State, notify func(address string, suspected bool)) *Scheduler {
	return &Scheduler{front: front, domain: domain, state: state, notify: notify, roundRobin: map[string]roundrobin.Credits{}, runners: map[string]*runnerStats{}, teamInFlight: map[string]int{}}
}

// Usable reports whether a runner may get new requests: the view lists it as not draining,
// and its domain is not drained.
//
//	if !scheduler.Usable(view, slot.Runner) { ... }
func Usable(view *feed.View, runner feed.Runner) bool {
	listed := slices.ContainsFunc(view.Runners, func(listed feed.Runner) bool {
		return listed.Address == runner.Address && listed.State != feed.StateDraining
	})
	return listed && !view.DomainDrained(runner.Domain)
}

// Acquire waits for a slot on a runner for a request of a team. The slot must be released. An
// error always is or wraps an *apierror.Error of kind NotRun with a retry delay: the kind's
// table has no usable runner, the queue is full, the configured queue timeout has passed or
// ctx ended.
//
//	slot, err := runners.Acquire(ctx, kind, "team-a")
//	if err != nil {
//		return err
//	}
//	defer slot.Release(scheduler.Answered)
func (scheduler *Scheduler) Acquire(ctx context.Context, kind config.WorkKind, team string) (*Slot, error) {
	state := scheduler.state()
	scheduler.mutex.Lock()
	group, found := scheduler.pickGroup(state, kind.WeightTable)
	if !found {
		scheduler.mutex.Unlock()
		return nil, apierror.NewRetryable(apierror.NotRun, "no runner of table "+kind.WeightTable+" is usable", "retry later; operators: check the runner list and for drained domains", noRunnerRetryAfter)
	}
	urgency := urgencies[kind.Urgency]
	if !scheduler.hasWaiter(urgency, group) {
		if runner, free := scheduler.selectRunner(state, group, urgency, time.Now()); free {
			scheduler.takeSlot(runner, team)
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

// overloadError is the error for a request that got no slot in its group.
func overloadError(group string) error {
	return apierror.NewRetryable(apierror.NotRun, "all runners of group "+group+" are busy", "retry later", overloadRetryAfter)
}

// selectRunner returns the usable runner of a group with the highest score among those with a
// free slot for an urgency. The score is the free fraction of the share, raised for runners
// in this front's domain and lowered for those with a recent failure.
func (scheduler *Scheduler) selectRunner(state State, group string, urgency int, now time.Time) (feed.Runner, bool) {
	capacity := state.Config.RunnerGroups[group]
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
			score /= failurePenalty
		}
		if score > bestScore {
			best, bestScore, found = runner, score, true
		}
	}
	return best, found
}

// statsOf returns the statistics of a runner, creating them on first use.
func (scheduler *Scheduler) statsOf(address string) *runnerStats {
	stats, found := scheduler.runners[address]
	if !found {
		stats = &runnerStats{}
		scheduler.runners[address] = stats
	}
	return stats
}

// takeSlot marks a slot of a runner as in use by a team.
func (scheduler *Scheduler) takeSlot(runner feed.Runner, team string) {
	scheduler.statsOf(runner.Address).inFlight++
	scheduler.teamInFlight[team]++
}
