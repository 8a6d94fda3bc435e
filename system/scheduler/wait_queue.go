package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

const (
	queueRecheckInterval = 250 * time.Millisecond
)

// waiter waits for a slot; the channel is closed if another team's takes its place.
type waiter struct {
	group   string
	team    string
	granted chan feed.Runner
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
