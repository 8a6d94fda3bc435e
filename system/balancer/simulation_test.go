package balancer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
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
