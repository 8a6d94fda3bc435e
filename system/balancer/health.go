package balancer

import (
	"math"
	"time"

	"github.com/apex/log"
)

const (
	failureHalf = 4 * time.Second
	// A runner is ejected when this much of its late work failed, and at least so many.
	ejectPart  = 0.35
	ejectLeast = 2.5
	ejectFirst = time.Second
	ejectMost  = 16 * time.Second
	// ejectedMost is the part of a service's runners that may be ejected at a time.
	ejectedMost = 1.0 / 3
	// ejectFill is how much of the other runners' slots may be taken by the demand.
	ejectFill = 0.8
	// A runner that lost a query is avoided for this long, if it did well before; if it
	// did not, for longer each time.
	lostOnce      = 250 * time.Millisecond
	lostAvoid     = time.Second
	lostAvoidMost = 8 * time.Second
	fullAvoid     = 150 * time.Millisecond
	// trialsNeeded is how many queries must go well, one after another, before a
	// runner that was ejected gets its full part again.
	trialsNeeded = 3
	// failureCost is what a failure costs beside time, in milliseconds.
	failureCost = 400
	// failureDoubt is how many answers must have come before few failures count much.
	failureDoubt = 10
	// How much one answer counts for the slowness of a runner: plain work varies more
	// than what is said of first events.
	slownessWeight = 0.05
	firstWeight    = 0.2
	// Silence is counted against a runner once it is this many times what is usual.
	silenceFactor = 4
	silenceLeast  = 500 * time.Millisecond
)

// health is what the endings of queries tell of a runner.
type health struct {
	failed, ended float64 // both fade
	at            time.Duration
	until         time.Duration // until when it is avoided
	full          time.Duration // until when it is thought to be full
	span          time.Duration // of the last ejection
	trials        int           // that must go well
	trying        int           // out now
	losses        int           // one after another
	lostAt        time.Duration // when the last of them was noticed
}

func (state *health) fade(now time.Duration) {
	left := fading(now-state.at, failureHalf)
	state.failed, state.ended, state.at = state.failed*left, state.ended*left, now
}

// chance is how likely the next query fails.
func (state *health) chance(now time.Duration) float64 {
	if state.failed == 0 {
		return 0
	}
	left := fading(now-state.at, failureHalf)
	return state.failed * left / (state.ended*left + failureDoubt)
}

func (state *health) ejected(now time.Duration) bool { return now < state.until }

// opens tells in how long a query may be sent: an ejected runner gets none, then one
// at a time until enough of them went well.
func (state *health) opens(now time.Duration) time.Duration {
	wait := max(0, state.until-now, state.full-now)
	if wait == 0 && state.trials > 0 && state.trying > 0 {
		return ejectFirst
	}
	return wait
}

func (state *health) take(now time.Duration) bool {
	if state.trials == 0 {
		return false
	}
	state.trying++
	return true
}

// well notes an answer.
func (state *health) well(now time.Duration) {
	state.fade(now)
	state.ended++
	state.losses = 0
	if state.trials > 0 && now >= state.until {
		state.trials--
		if state.trials == 0 {
			state.span, state.failed = 0, math.Min(state.failed, 0.5)
		}
	}
}

// ill notes a failure of some weight and tells whether the runner should be ejected.
func (state *health) ill(weight float64, now time.Duration) bool {
	state.fade(now)
	state.failed += weight
	state.ended += weight
	trialFailed := state.trials > 0 && now >= state.until
	return trialFailed || state.failed >= ejectLeast && state.failed >= ejectPart*(state.ended+1)
}

// eject keeps work away for a while that doubles.
func (state *health) eject(now time.Duration) {
	state.span = min(ejectMost, max(ejectFirst, 2*state.span))
	state.until, state.trials = now+state.span, trialsNeeded
}

// lost keeps work away at once, for longer with each loss in a row; queries that were
// out together when the runner went away count as one loss.
func (state *health) lost(taken, now time.Duration) {
	if state.losses > 0 && taken <= state.lostAt {
		return
	}
	span := lostOnce
	if state.losses > 0 || state.failed > ejectPart*(state.ended+1) {
		span = min(lostAvoidMost, lostAvoid<<min(state.losses, 4))
	}
	state.losses++
	state.lostAt = now
	state.until, state.trials = max(state.until, now+span), max(state.trials, 1)
}

// learn takes the ending of a lease into account.
func (lease *Lease) learn(ending Ending, now time.Duration) {
	state := lease.state
	if lease.trial {
		state.health.trying--
	}
	switch ending {
	case Answered:
		state.health.well(now)
		lease.learnDuration(milliseconds(now-lease.taken), now)
	case Failed:
		lease.ill(1, now)
	case Lost:
		lease.ill(1, now)
		state.health.lost(lease.taken, now)
	case Refused:
		state.health.full = now + fullAvoid
	case Misdirected:
		if lease.Runner.Life == "" {
			state.health.lost(lease.taken, now)
			break
		}
		state.misdirected = true
		lease.note("runner_misdirected", nil)
		lease.balancer.withdraw(state)
	case Unused:
		if lease.fromCold {
			state.cold.giveBack()
		}
	case Abandoned:
		lease.learnSilence(now)
	}
}

// ill counts a failure, and ejects the runner unless too many are ejected already.
func (lease *Lease) ill(weight float64, now time.Duration) {
	if lease.state.health.ill(weight, now) && !lease.state.health.ejected(now) && lease.balancer.mayEject(lease.Service.Name, lease.state, now) {
		lease.state.health.eject(now)
		lease.note("runner_ejected", log.Fields{"span": lease.state.health.span})
	}
}

// note logs what befell the lease's runner.
func (lease *Lease) note(event string, more log.Fields) {
	log.WithFields(log.Fields{"runner": lease.Runner.Life, "address": lease.Runner.Address, "service": lease.Service.Name}).WithFields(more).Warn(event)
}

// mayEject tells whether the service can do without one more runner.
func (balancer *Balancer) mayEject(service string, state *runnerState, now time.Duration) bool {
	current := balancer.table.Load()
	from := current.groups[service]
	if from == nil {
		return false
	}
	ejected, slots := 1, 0
	for _, one := range from.candidates {
		switch {
		case one.state == state:
		case one.state.health.ejected(now):
			ejected++
		default:
			slots += one.slots
		}
	}
	demand := from.state.load.now(float64(from.state.out), now) * float64(current.fronts)
	return float64(ejected) <= ejectedMost*float64(len(from.candidates)) && demand <= ejectFill*float64(slots)
}

// withdraw takes a runner out of the table: its address belongs to another one now.
func (balancer *Balancer) withdraw(state *runnerState) {
	current := balancer.table.Load()
	next := &table{groups: map[string]*group{}, routes: current.routes, usable: map[*runnerState]bool{}, fronts: current.fronts}
	for one := range current.usable {
		if one != state {
			next.usable[one] = true
		}
	}
	for name, one := range current.groups {
		left := *one
		left.candidates, left.slots = nil, 0
		for _, candidate := range one.candidates {
			if candidate.state != state {
				left.candidates = append(left.candidates, candidate)
				left.slots += candidate.slots
			}
		}
		next.groups[name] = &left
	}
	balancer.table.Store(next)
}

// usual is how many milliseconds queries like this one take.
func (lease *Lease) usual() float64 {
	if lease.Service.Engine != nil {
		return lease.group.reading.base() + lease.toRead/lease.group.reading.rate()
	}
	return lease.group.usual(lease.need.Route.Name)
}

// learnSilence counts it against a runner that it was given up without having said
// anything for much longer than usual.
func (lease *Lease) learnSilence(now time.Duration) {
	usual, silent := lease.usual(), milliseconds(now-lease.taken)
	if lease.first || silent < max(milliseconds(silenceLeast), silenceFactor*usual) {
		return
	}
	lease.ill(0.5, now)
	if lease.Service.Engine != nil {
		lease.state.slowness.add(silent-usual, firstWeight, now)
	} else {
		lease.state.slowness.add(math.Min(8, silent/usual)-1, slownessWeight, now)
	}
}

// learnFirst takes the time to a first event into account.
func (lease *Lease) learnFirst(took float64, now time.Duration) {
	over := took - lease.usual()
	lease.state.slowness.add(over, firstWeight, now)
	lease.group.reading.add(lease.toRead, took)
}

// learnDuration takes the time that a whole answer took into account.
func (lease *Lease) learnDuration(took float64, now time.Duration) {
	lease.group.duration.add(took)
	if lease.Service.Engine != nil {
		return
	}
	name := lease.need.Route.Name
	mean, known := lease.group.routes[name]
	if !known {
		mean = &average{}
		lease.group.routes[name] = mean
	}
	mean.add(took)
	lease.state.slowness.add(math.Min(8, took/math.Max(1, mean.value))-1, slownessWeight, now)
}

// usual is how many milliseconds queries of a route take at a service.
func (learned *groupState) usual(route string) float64 {
	if mean, known := learned.routes[route]; known {
		return math.Max(1, mean.or(100))
	}
	return math.Max(1, learned.duration.or(100))
}
