package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/feed"
)

// list publishes the runners. The caller holds no lock.
func (hunt *hunt) list() {
	hunt.mutex.Lock()
	listed := []feed.Runner{}
	for _, life := range hunt.runners {
		if !life.listed {
			continue
		}
		runner := feed.Runner{Life: life.engine.Life, Address: life.machine.Host + ":8000", Group: life.group, Domain: life.machine.Domain, State: feed.StateServing, Slots: 32}
		if len(life.cold) > 0 {
			if left := time.Until(life.cold[len(life.cold)-1].until); left > 0 {
				runner.State, runner.WarmUpLeft = feed.StateWarmingUp, left
			}
		}
		if !life.leavingAt.IsZero() {
			runner.State, runner.WarmUpLeft = feed.StateDraining, 0
		}
		listed = append(listed, runner)
	}
	for _, machine := range hunt.cluster.Runners {
		group := "small"
		if strings.HasPrefix(machine.Host, "10.0.4.") {
			group = "application"
		}
		listed = append(listed, feed.Runner{Address: machine.Host + ":8000", Group: group, Domain: machine.Domain, State: feed.StateServing})
	}
	hunt.mutex.Unlock()
	hunt.cluster.Roster.Put(listed)
}

// startRunner starts a runner, at a host that was used before or "" for a new one.
func (hunt *hunt) startRunner(host, group, domain string, cold time.Duration) *runnerLife {
	hunt.mutex.Lock()
	if hunt.hosts++; host == "" {
		host = fmt.Sprintf("10.0.6.%d", hunt.hosts)
	}
	machine := &EngineMachine{Host: host, Domain: domain, Group: group}
	name := fmt.Sprintf("life-%d", hunt.hosts)
	hunt.mutex.Unlock()
	if err := machine.Return(hunt.cluster, name); err != nil {
		hunt.t.Errorf("a runner does not start: %v", err)
		return nil
	}
	life := &runnerLife{machine: machine, engine: machine.Engine, group: group, listed: true, listedAt: time.Now()}
	if cold > 0 {
		life.cold = []coldSpan{{time.Now(), time.Now(), time.Now().Add(cold)}}
	}
	hunt.mutex.Lock()
	hunt.runners = append(hunt.runners, life)
	hunt.cluster.Engines = append(hunt.cluster.Engines, machine)
	hunt.mutex.Unlock()
	hunt.list()
	return life
}

func (hunt *hunt) endRunner(life *runnerLife) {
	hunt.mutex.Lock()
	life.endedAt = time.Now()
	hunt.mutex.Unlock()
	life.machine.Leave()
}

// some gives a serving runner of a group that has enough of them.
func (hunt *hunt) some(random *rand.Rand, least int) *runnerLife {
	hunt.mutex.Lock()
	defer hunt.mutex.Unlock()
	groups := map[string][]*runnerLife{}
	for _, life := range hunt.runners {
		if life.listed && life.leavingAt.IsZero() && life.endedAt.IsZero() {
			groups[life.group] = append(groups[life.group], life)
		}
	}
	fit := []*runnerLife{}
	for _, group := range []string{"engines", "tools", "others"} {
		if len(groups[group]) >= least {
			fit = append(fit, groups[group]...)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[random.IntN(len(fit))]
}

// troubleRunners releases runners one after another, crashes some, and turns some cold.
func (hunt *hunt) troubleRunners(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		<-time.After(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		switch random.IntN(4) {
		case 0, 1:
			hunt.release(random)
		case 2:
			if life := hunt.some(random, 3); life != nil { // it stays on the list for a while
				hunt.endRunner(life)
				<-time.After(time.Duration(500+random.IntN(2500)) * time.Millisecond)
				hunt.startRunner("", life.group, life.machine.Domain, huntColdFor)
				hunt.mutex.Lock()
				life.listed = false
				hunt.mutex.Unlock()
				hunt.list()
			}
		case 3:
			if life := hunt.some(random, 2); life != nil {
				hunt.mutex.Lock()
				life.cold = append(life.cold, coldSpan{time.Now(), time.Now().Add(noticeCold), time.Now().Add(huntColdFor)})
				hunt.mutex.Unlock()
				hunt.list()
				<-time.After(huntColdFor)
			}
		}
	}
}

// release lets a runner's next life come, the runner leave, and a runner of another
// service take its address.
func (hunt *hunt) release(random *rand.Rand) {
	old := hunt.some(random, 1)
	if old == nil {
		return
	}
	hunt.startRunner("", old.group, old.machine.Domain, huntColdFor)
	<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
	hunt.mutex.Lock()
	old.leavingAt = time.Now()
	hunt.mutex.Unlock()
	hunt.list()
	<-time.After(drainBound + time.Duration(200+random.IntN(800))*time.Millisecond)
	hunt.endRunner(old)
	if random.IntN(2) == 0 {
		hunt.mutex.Lock()
		old.listed = false
		hunt.mutex.Unlock()
		hunt.list()
	}
	<-time.After(2 * time.Second)
	hunt.mutex.Lock()
	old.listed = false
	hunt.mutex.Unlock()
	hunt.list()
	if group := map[string]string{"tools": "others", "others": "engines", "engines": "tools"}[old.group]; random.IntN(2) == 0 {
		hunt.startRunner(old.machine.Host, group, old.machine.Domain, huntColdFor)
	}
}

// troubleAnswers makes single answers go wrong.
func (hunt *hunt) troubleAnswers(random *rand.Rand, until time.Time) {
	faults := []standin.Fault{standin.Refuses, standin.Loses, standin.Breaks, standin.Fails, standin.Unvouched, standin.Foreign, standin.Extra, standin.Garbles, standin.Hangs, standin.Plain, standin.Rejects, standin.Repeats}
	for time.Now().Before(until) {
		<-time.After(time.Duration(50+random.IntN(400)) * time.Millisecond)
		if life := hunt.some(random, 1); life != nil {
			life.engine.Next(faults[random.IntN(len(faults))])
		}
	}
}
