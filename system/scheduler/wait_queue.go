package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"yardrock.example/system/feed"
)

// queueRecheckInterval is how often the queues are checked while requests wait: slots can
// become free without a Release when limits grow or the runner list changes.
const queueRecheckInterval = 250 * time.Millisecond

// waiter is a request waiting for a slot.
type waiter struct {
	group string
	team  string
	// granted receives the runner. It is buffered, so that granting never blocks, and closed
	// if the request is evicted from the queue.
	granted chan feed.Runner
}

// enqueue appends a request to the queue of its urgency.
func (scheduler *Scheduler) enqueue(group, team string, urgency int) *waiter {
	waiting := &waiter{group: group, team: team, granted: make(chan feed.Runner, 1)}
	scheduler.queues[urgency] = append(scheduler.queues[urgency], waiting)
	if scheduler.recheckTimer == nil {
		scheduler.recheckTimer = time.AfterFunc(queueRecheckInterval, scheduler.recheckQueues)
	}
	return waiting
}

// evictForFairness makes room in a full queue for a request of a team: it evicts the newest
// request of the team with the most queued requests, provided that this team has at least
// two more than the given one. It reports whether a request was evicted.
func (scheduler *Scheduler) evictForFairness(urgency int, team string) bool {
	queue, counts := scheduler.queues[urgency], map[string]int{}
	for _, waiting := range queue {
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
	for position := len(queue) - 1; position >= 0; position-- {
		if queue[position].team == largest {
			close(queue[position].granted)
			scheduler.queues[urgency] = slices.Delete(slices.Clone(queue), position, position+1)
			return true
		}
	}
	return false
}

// hasWaiter reports whether a request for the same group with at least the same urgency is
// waiting.
func (scheduler *Scheduler) hasWaiter(urgency int, group string) bool {
	for _, queue := range scheduler.queues[:urgency+1] {
		if slices.ContainsFunc(queue, func(waiting *waiter) bool { return waiting.group == group }) {
			return true
		}
	}
	return false
}

// await waits until the request is granted a slot or evicted, the timeout passes or ctx ends.
func (scheduler *Scheduler) await(ctx context.Context, waiting *waiter, urgency int, timeout time.Duration) (*Slot, error) {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	select {
	case runner, granted := <-waiting.granted:
		return scheduler.slotFor(waiting, runner, granted)
	case <-expired.C:
	case <-ctx.Done():
	}
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	// Use a slot that was granted in the meantime; otherwise it would never be released.
	select {
	case runner, granted := <-waiting.granted:
		return scheduler.slotFor(waiting, runner, granted)
	default:
	}
	scheduler.queues[urgency] = slices.DeleteFunc(scheduler.queues[urgency], func(other *waiter) bool { return other == waiting })
	return nil, overloadError(waiting.group)
}

// slotFor returns the slot of a request whose wait has ended, or an error if the request was
// evicted.
func (scheduler *Scheduler) slotFor(waiting *waiter, runner feed.Runner, granted bool) (*Slot, error) {
	if !granted {
		return nil, overloadError(waiting.group)
	}
	return &Slot{scheduler: scheduler, Runner: runner, Group: waiting.group, team: waiting.team}, nil
}

// recheckQueues serves the queues and reschedules itself until they are empty. It runs in the
// timer's goroutine.
func (scheduler *Scheduler) recheckQueues() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.serveQueues()
	if scheduler.queued() == 0 {
		scheduler.recheckTimer = nil
		return
	}
	scheduler.recheckTimer.Reset(queueRecheckInterval)
}

// queued returns the number of waiting requests.
func (scheduler *Scheduler) queued() int {
	total := 0
	for _, queue := range scheduler.queues {
		total += len(queue)
	}
	return total
}

// serveQueues grants free slots to waiting requests, in the order of urgency, then of the
// team's slots in use, fewest first, then of arrival.
func (scheduler *Scheduler) serveQueues() {
	state := scheduler.state()
	now, full := time.Now(), map[string]bool{}
	for urgency := range scheduler.queues {
		// A group that is full for one urgency is checked again for the next, as the
		// reserved part of the shares differs.
		clear(full)
		for {
			next := scheduler.nextWaiter(urgency, full)
			if next < 0 {
				break
			}
			waiting := scheduler.queues[urgency][next]
			runner, free := scheduler.selectRunner(state, waiting.group, urgency, now)
			if !free {
				full[waiting.group] = true
				continue
			}
			scheduler.takeSlot(runner, waiting.team)
			waiting.granted <- runner
			scheduler.queues[urgency] = slices.Delete(slices.Clone(scheduler.queues[urgency]), next, next+1)
		}
	}
}

// nextWaiter returns the position of the request to serve next in a queue, ignoring those for
// full groups, or -1 if there is none.
func (scheduler *Scheduler) nextWaiter(urgency int, full map[string]bool) int {
	best := -1
	for position, waiting := range scheduler.queues[urgency] {
		if !full[waiting.group] && (best < 0 || scheduler.teamInFlight[waiting.team] < scheduler.teamInFlight[scheduler.queues[urgency][best].team]) {
			best = position
		}
	}
	return best
}
