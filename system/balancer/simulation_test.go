package balancer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// event is an action at a simulated time.
type event struct {
	at       float64
	sequence int
	action   func()
}

// eventQueue is a heap of events by time, then by the order of scheduling.
type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].sequence < queue[right].sequence
}
func (queue eventQueue) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }
func (queue *eventQueue) Push(item any)       { *queue = append(*queue, item.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// simulation is a discrete-event simulation. Times are in milliseconds.
type simulation struct {
	now      float64
	queue    eventQueue
	sequence int
	random   *rand.Rand
}

func (sim *simulation) schedule(delay float64, action func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{sim.now + delay, sim.sequence, action})
}

func (sim *simulation) run(until float64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.action()
	}
	sim.now = until
}

// logNormal draws from a log-normal distribution with a mean and a shape sigma.
func (sim *simulation) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*sim.random.NormFloat64()-sigma*sigma/2)
}

// clock returns the simulated time as a time.Time.
func (sim *simulation) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(sim.now * float64(time.Millisecond)))
}

// connectionCount counts the connections that must be opened, by front and runner, if idle
// ones are kept for ten seconds.
type connectionCount struct {
	idle   map[string][]float64 // times at which connections became idle, by front and runner
	opened int
}

func newConnectionCount() *connectionCount { return &connectionCount{idle: map[string][]float64{}} }

func (count *connectionCount) acquire(link string, now float64) {
	idle := count.idle[link]
	if last := len(idle) - 1; last >= 0 && now-idle[last] < 10_000 {
		count.idle[link] = idle[:last]
		return
	}
	count.opened++
	count.idle[link] = nil
}

func (count *connectionCount) release(link string, now float64) {
	count.idle[link] = append(count.idle[link], now)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

func quantile(values []float64, fraction float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1))]
}
