package balancer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A discrete-event simulation of programs, fronts and model runners. The runners batch
// requests, process prompts in chunks between generation steps and cache the prompt parts
// used last. Times are in milliseconds.

type event struct {
	at   float64
	rank int
	run  func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(one, other int) bool {
	if queue[one].at != queue[other].at {
		return queue[one].at < queue[other].at
	}
	return queue[one].rank < queue[other].rank
}
func (queue eventQueue) Swap(one, other int) { queue[one], queue[other] = queue[other], queue[one] }
func (queue *eventQueue) Push(one any)       { *queue = append(*queue, one.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

type simulation struct {
	now    float64
	queue  eventQueue
	rank   int
	random *rand.Rand
}

func (sim *simulation) schedule(span float64, do func()) {
	sim.rank++
	heap.Push(&sim.queue, event{sim.now + span, sim.rank, do})
}

func (sim *simulation) run(until float64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// spread draws from a log-normal distribution with a mean.
func (sim *simulation) spread(mean, by float64) float64 {
	return mean * math.Exp(by*sim.random.NormFloat64()-by*by/2)
}

// clock is the simulated time for balancers.
func (sim *simulation) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(sim.now * float64(time.Millisecond)))
}

// connectionCount counts the connections that must be opened if they are kept for ten
// seconds, by front and runner.
type connectionCount struct {
	idle   map[string][]float64 // since when connections are idle
	opened int
}

func newConnectionCount() *connectionCount { return &connectionCount{idle: map[string][]float64{}} }

func (count *connectionCount) take(link string, now float64) {
	idle := count.idle[link]
	if last := len(idle) - 1; last >= 0 && now-idle[last] < 10_000 {
		count.idle[link] = idle[:last]
		return
	}
	count.opened++
	count.idle[link] = nil
}

func (count *connectionCount) putBack(link string, now float64) {
	count.idle[link] = append(count.idle[link], now)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

func quantile(values []float64, part float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}
