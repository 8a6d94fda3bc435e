package balancer

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/config"
)

// A small world of programs, fronts and model runners that batch, read prompts between
// steps and keep the parts used last. Times are milliseconds.

type happening struct {
	at   float64
	rank int
	do   func()
}

type happenings []happening

func (queue happenings) Len() int { return len(queue) }
func (queue happenings) Less(one, other int) bool {
	if queue[one].at != queue[other].at {
		return queue[one].at < queue[other].at
	}
	return queue[one].rank < queue[other].rank
}
func (queue happenings) Swap(one, other int) { queue[one], queue[other] = queue[other], queue[one] }
func (queue *happenings) Push(one any)       { *queue = append(*queue, one.(happening)) }
func (queue *happenings) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

type world struct {
	now    float64
	queue  happenings
	rank   int
	random *rand.Rand
}

func (world *world) after(span float64, do func()) {
	world.rank++
	heap.Push(&world.queue, happening{world.now + span, world.rank, do})
}

func (world *world) run(until float64) {
	for len(world.queue) > 0 && world.queue[0].at <= until {
		next := heap.Pop(&world.queue).(happening)
		world.now = next.at
		next.do()
	}
	world.now = until
}

// spread gives a value around a mean, log-normally.
func (world *world) spread(mean, by float64) float64 {
	return mean * math.Exp(by*world.random.NormFloat64()-by*by/2)
}

// engine is a model runner.
type engine struct {
	world                        *world
	slots, chunk                 int
	stepTime, perSlot, rate, add float64
	cache, used                  int
	kept                         map[string]*keptTokens
	running, waiting             []*turn
	stepping                     bool
	slow                         float64 // how many times slower than the others
}

type keptTokens struct {
	tokens int
	at     float64
}

type turn struct {
	parts       []Part
	toRead, out int
	asked       float64
	first, done func()
	sent        bool
}

func (runner *engine) take(one *turn) {
	runner.waiting = append(runner.waiting, one)
	if !runner.stepping {
		runner.stepping = true
		runner.step()
	}
}

func (runner *engine) step() {
	for len(runner.running) < runner.slots && len(runner.waiting) > 0 {
		one := runner.waiting[0]
		runner.waiting = runner.waiting[1:]
		one.toRead = 0
		reading := false
		for _, part := range one.parts {
			known := runner.kept[part.Name]
			if reading = reading || known == nil || known.tokens < part.Tokens; reading {
				one.toRead += part.Tokens
			} else {
				known.at = runner.world.now
			}
		}
		runner.running = append(runner.running, one)
	}
	if len(runner.running) == 0 {
		runner.stepping = false
		return
	}
	took, left := runner.stepTime+runner.perSlot*float64(len(runner.running)), runner.chunk
	for _, one := range runner.running {
		read := min(left, one.toRead)
		one.toRead, left = one.toRead-read, left-read
		took += float64(read) / runner.rate
	}
	runner.world.after(took*runner.slow, func() {
		runner.running = slices.DeleteFunc(runner.running, func(one *turn) bool {
			if one.toRead > 0 {
				return false
			}
			if !one.sent {
				one.sent = true
				runner.keep(one.parts)
				runner.world.after(runner.add, one.first)
			}
			if one.out--; one.out > 0 {
				return false
			}
			runner.world.after(runner.add, one.done)
			return true
		})
		runner.step()
	})
}

func (runner *engine) keep(parts []Part) {
	for _, part := range parts {
		if known := runner.kept[part.Name]; known != nil {
			known.at = runner.world.now
			continue
		}
		runner.kept[part.Name] = &keptTokens{part.Tokens, runner.world.now}
		runner.used += part.Tokens
	}
	for runner.used > runner.cache {
		oldest := ""
		for name, known := range runner.kept {
			if oldest == "" || known.at < runner.kept[oldest].at {
				oldest = name
			}
		}
		runner.used -= runner.kept[oldest].tokens
		delete(runner.kept, oldest)
	}
}

// deployment is what a run of the world is made of.
type deployment struct {
	name                          string
	runners, slots, cache, fronts int
	stepTime, perSlot, first      float64
	programs                      float64 // a second
	turns, think, newTokens       float64
	helpers                       float64
	stays                         float64 // part of the turns that come through the program's first front
	slowRunner                    float64
	random                        bool // choose at random
	seconds                       float64
}

type outcome struct {
	turns, refused, far   int
	toRead, tokens        int // beyond what nobody can have kept
	firsts, ratios        []float64
	most                  int // arrivals at one runner in one second
	perRunner             map[string]int
	arrivals              map[string][]time.Time
	slowTurns, shouldRead int
	opened                int // connections
}

func (result *outcome) first() float64 { return mean(result.firsts) }

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

func (result *outcome) String() string {
	return fmt.Sprintf("turns %d refused %d far %.2f kept %.3f first mean %.1f p90 %.1f p99 %.1f program mean %.3f p90 %.3f most %d slow %d connections %d",
		result.turns, result.refused, float64(result.far)/float64(result.turns), 1-float64(result.toRead-result.shouldRead)/float64(max(1, result.tokens-result.shouldRead)),
		result.first(), quantile(result.firsts, 0.9), quantile(result.firsts, 0.99), mean(result.ratios), quantile(result.ratios, 0.9), result.most, result.slowTurns, result.opened)
}

// play runs a deployment.
func play(seed uint64, setup deployment) *outcome {
	world := &world{random: rand.New(rand.NewPCG(seed, 3))}
	began := time.Unix(1_000_000, 0)
	clock := func() time.Time { return began.Add(time.Duration(world.now * float64(time.Millisecond))) }
	service := modelService(19)
	service.Engine.Slots, service.Engine.CacheTokens = setup.slots, uint64(setup.cache)
	route := routeTo(config.WeightedService{Service: "model", Weight: 1})
	listed := runnersOf("model", setup.runners, setup.slots)
	engines := map[string]*engine{}
	for at, runner := range listed {
		engines[runner.Life] = &engine{
			world: world, slots: setup.slots, chunk: 2048, stepTime: setup.stepTime, perSlot: setup.perSlot, rate: 38,
			add: setup.first, cache: setup.cache, kept: map[string]*keptTokens{}, slow: 1,
		}
		if at == 1 && setup.slowRunner > 0 {
			engines[runner.Life].slow = setup.slowRunner
		}
	}
	balancers, homes := []*Balancer{}, map[string][]int{}
	state := stateOf([]config.Service{service}, route, listed, setup.fronts)
	for at := range setup.fronts {
		domain := domains[at%3]
		choices := New(domain, uint64(at), clock)
		choices.Update(state)
		balancers = append(balancers, choices)
		homes[domain] = append(homes[domain], at)
	}
	result := &outcome{perRunner: map[string]int{}, arrivals: map[string][]time.Time{}}
	openings := make([]float64, 16)
	for at := range openings {
		openings[at] = math.Pow(float64(at/2+1), -0.7)
	}
	idle := map[string][]float64{} // since when connections are, by front and runner
	var take func(program, session string, front int, home []int, parts []Part, left int, done func())
	take = func(program, session string, front int, home []int, parts []Part, left int, done func()) {
		if left == 0 {
			done()
			return
		}
		fresh := min(5140, int(world.spread(setup.newTokens, 0.7)))
		parts = append(slices.Clone(parts), Part{fmt.Sprintf("%s/%d", session, left), fresh})
		at := front
		if world.random.Float64() >= setup.stays {
			at = home[world.random.IntN(len(home))]
		}
		choices := balancers[at]
		lease, err := choices.Acquire(context.Background(), Need{Route: &route, Program: program, Session: session, Parts: parts, Deadline: clock()})
		if err != nil {
			result.refused++
			world.after(200, func() { take(program, session, front, home, parts[:len(parts)-1], left, done) })
			return
		}
		chosen := lease.Runner
		if setup.random {
			lease.Release(Unused, nil)
			chosen = listed[world.random.IntN(len(listed))]
		}
		way := 0.2
		if chosen.Domain != domains[at%3] {
			way = 0.9
			result.far++
		}
		result.turns++
		line := fmt.Sprint(at, chosen.Life)
		if last := len(idle[line]) - 1; last >= 0 && world.now-idle[line][last] < 10_000 {
			idle[line] = idle[line][:last]
		} else {
			result.opened++
			idle[line] = nil
		}
		asked := world.now
		result.perRunner[chosen.Life]++
		result.arrivals[chosen.Life] = append(result.arrivals[chosen.Life], clock())
		runner := engines[chosen.Life]
		if runner.slow > 1 {
			result.slowTurns++
		}
		one := &turn{parts: parts, out: 2 + int(world.spread(32, 0.8)), asked: asked}
		tokens, reading := 0, false
		for _, part := range parts {
			tokens += part.Tokens
			known := runner.kept[part.Name]
			if reading = reading || known == nil; reading {
				result.toRead += part.Tokens
			}
		}
		result.tokens += tokens
		result.shouldRead += fresh
		one.first = func() {
			world.after(way, func() {
				result.firsts = append(result.firsts, world.now-asked)
				if !setup.random {
					lease.First(time.Duration((world.now - asked) * float64(time.Millisecond)))
				}
			})
		}
		one.done = func() {
			world.after(way, func() {
				idle[line] = append(idle[line], world.now)
				if !setup.random {
					lease.Release(Answered, nil)
				}
				if left > 1 && world.random.Float64() < setup.helpers {
					open := 3
					for helper := range open {
						take(program, fmt.Sprintf("%s.%d.%d", session, left, helper), front, home, parts, 2, func() {
							if open--; open == 0 {
								take(program, session, front, home, parts, left-1, done)
							}
						})
					}
					return
				}
				world.after(world.spread(setup.think, 0.6), func() { take(program, session, front, home, parts, left-1, done) })
			})
		}
		world.after(way, func() { runner.take(one) })
	}
	program := 0
	var arrive func()
	arrive = func() {
		world.after(world.random.ExpFloat64()*1000/setup.programs, arrive)
		program++
		name, home := fmt.Sprint("program-", program), homes[domains[world.random.IntN(3)]]
		pick, opening := world.random.Float64()*sum(openings), 0
		for pick > openings[opening] {
			pick -= openings[opening]
			opening++
		}
		turns, started := max(1, int(world.spread(setup.turns, 0.4))), world.now
		take(name, name, home[world.random.IntN(len(home))], home, []Part{{fmt.Sprint("opening-", opening), 2560}}, turns, func() {
			idle := float64(turns) * (setup.think + setup.first + setup.newTokens/38 + 34*(setup.stepTime+setup.perSlot))
			result.ratios = append(result.ratios, (world.now-started)/idle)
		})
	}
	arrive()
	world.run(setup.seconds * 1000)
	for _, arrivals := range result.arrivals {
		result.most = max(result.most, mostInOneSecond(arrivals))
	}
	return result
}

func sum(values []float64) float64 { return mean(values) * float64(len(values)) }

var deployments = []deployment{
	{name: "twelve runners", runners: 12, slots: 32, cache: 197_627, fronts: 6, stepTime: 4.73, perSlot: 0.0138, first: 20, programs: 18, turns: 5.6, think: 250, newTokens: 800, helpers: 0.03, stays: 0.9, seconds: 20},
	{name: "eighteen runners", runners: 18, slots: 64, cache: 219_089, fronts: 6, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 27, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0.9, seconds: 20},
	{name: "eighteen runners, fronts by chance", runners: 18, slots: 64, cache: 219_089, fronts: 6, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 27, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0, seconds: 20},
	{name: "eighteen runners, twice the programs", runners: 18, slots: 64, cache: 219_089, fronts: 6, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 54, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0.9, seconds: 15},
	{name: "small caches", runners: 18, slots: 64, cache: 40_000, fronts: 6, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 27, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0.9, seconds: 15},
	{name: "one slow runner", runners: 12, slots: 32, cache: 197_627, fronts: 6, stepTime: 4.73, perSlot: 0.0138, first: 20, programs: 18, turns: 5.6, think: 250, newTokens: 800, helpers: 0.03, stays: 0.9, slowRunner: 5, seconds: 20},
	{name: "many fronts", runners: 72, slots: 12, cache: 171_035, fronts: 48, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 87, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0.9, seconds: 10},
}

func TestChoicesKeepPromptsAndSpreadLoad(t *testing.T) {
	for _, setup := range deployments {
		t.Run(setup.name, func(t *testing.T) {
			chosen := play(5, setup)
			setup.random = true
			byChance := play(5, setup)
			t.Logf("chosen:    %v", chosen)
			t.Logf("by chance: %v", byChance)
			if chosen.first() > 0.8*byChance.first() || mean(chosen.ratios) > mean(byChance.ratios) {
				t.Errorf("choosing does not help")
			}
			if chosen.refused > 0 {
				t.Errorf("%d turns were refused", chosen.refused)
			}
		})
	}
}
