package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"yardrock.example/system/feed"
)

// queueRecheckInterval is how often the queues are checked while requests wait: limits
// grow and lists change without a Release.
const queueRecheckInterval = 250 * time.Millisecond

// waiter is a request that waits for a slot.
type waiter struct {
	group string
	team  string
	// granted receives the runner; it has room for it, so that granting never blocks. It is
	// closed if the request is evicted from the queue.
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

// evictForFairness makes room in a full queue for a team: it evicts the newest request of
// the team with the most requests there, provided that this team still has more than the
// other one afterwards. It reports whether it did.
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

// hasWaiter reports whether a request of the same group waits that is at least as urgent.
func (scheduler *Scheduler) hasWaiter(urgency int, group string) bool {
	for _, queue := range scheduler.queues[:urgency+1] {
		if slices.ContainsFunc(queue, func(waiting *waiter) bool { return waiting.group == group }) {
			return true
		}
	}
	return false
}

// await waits until a slot is granted, the request is evicted, the timeout passes or ctx
// ends.
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
	// A slot that was granted in the meantime is used: nobody else would release it.
	select {
	case runner, granted := <-waiting.granted:
		return scheduler.slotFor(waiting, runner, granted)
	default:
	}
	scheduler.queues[urgency] = slices.DeleteFunc(scheduler.queues[urgency], func(other *waiter) bool { return other == waiting })
	return nil, overloadError(waiting.group)
}

// slotFor returns the slot of a request whose wait has ended, or the error if it was
// evicted.
func (scheduler *Scheduler) slotFor(waiting *waiter, runner feed.Runner, granted bool) (*Slot, error) {
	if !granted {
		return nil, overloadError(waiting.group)
	}
	return &Slot{scheduler: scheduler, Runner: runner, Group: waiting.group, team: waiting.team}, nil
}

// recheckQueues serves the queues, and schedules itself again until they are empty. It
// runs on the timer's goroutine.
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

// serveQueues grants free slots to waiting requests: the most urgent first, among them
// those of the team with the fewest slots in use, among them the oldest.
func (scheduler *Scheduler) serveQueues() {
	state := scheduler.state()
	now, full := time.Now(), map[string]bool{}
	for urgency := range scheduler.queues {
		// A group that is full for one urgency is checked again for the next: the limits
		// that the slots are counted against differ.
		clear(full)
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

// nextWaiter returns the position of the request in a queue that is served next, leaving
// out full groups; -1: none.
func (scheduler *Scheduler) nextWaiter(urgency int, full map[string]bool) int {
	best := -1
	for position, waiting := range scheduler.queues[urgency] {
		if !full[waiting.group] && (best < 0 || scheduler.teamInFlight[waiting.team] < scheduler.teamInFlight[scheduler.queues[urgency][best].team]) {
			best = position
		}
	}
	return best
}
