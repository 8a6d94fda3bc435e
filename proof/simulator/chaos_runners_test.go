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
func (chaos *chaosRun) list() {
	chaos.mutex.Lock()
	listed := []feed.Runner{}
	for _, life := range chaos.runners {
		if !life.listed {
			continue
		}
		runner := feed.Runner{Incarnation: life.engine.Incarnation, Address: life.machine.Host + ":8000", Group: life.group, Domain: life.machine.Domain, State: feed.StateServing, Slots: 32}
		if len(life.warmingUp) > 0 {
			if left := time.Until(life.warmingUp[len(life.warmingUp)-1].until); left > 0 {
				runner.State, runner.WarmUpLeft = feed.StateWarmingUp, left
			}
		}
		if !life.leavingAt.IsZero() {
			runner.State, runner.WarmUpLeft = feed.StateDraining, 0
		}
		listed = append(listed, runner)
	}
	for _, machine := range chaos.cluster.Runners {
		group := "small"
		if strings.HasPrefix(machine.Host, "10.0.4.") {
			group = "application"
		}
		listed = append(listed, feed.Runner{Address: machine.Host + ":8000", Group: group, Domain: machine.Domain, State: feed.StateServing})
	}
	chaos.mutex.Unlock()
	chaos.cluster.RunnerList.Put(listed)
}

// startRunner starts a runner, at a host that was used before or "" for a new one.
func (chaos *chaosRun) startRunner(host, group, domain string, cold time.Duration) *runnerLife {
	chaos.mutex.Lock()
	if chaos.hosts++; host == "" {
		host = fmt.Sprintf("10.0.6.%d", chaos.hosts)
	}
	machine := &EngineMachine{Host: host, Domain: domain, Group: group}
	name := fmt.Sprintf("life-%d", chaos.hosts)
	chaos.mutex.Unlock()
	if err := machine.Start(chaos.cluster, name); err != nil {
		chaos.t.Errorf("a runner does not start: %v", err)
		return nil
	}
	life := &runnerLife{machine: machine, engine: machine.Engine, group: group, listed: true, listedAt: time.Now()}
	if cold > 0 {
		life.warmingUp = []warmUpSpan{{time.Now(), time.Now(), time.Now().Add(cold)}}
	}
	chaos.mutex.Lock()
	chaos.runners = append(chaos.runners, life)
	chaos.cluster.Engines = append(chaos.cluster.Engines, machine)
	chaos.mutex.Unlock()
	chaos.list()
	return life
}

func (chaos *chaosRun) endRunner(life *runnerLife) {
	chaos.mutex.Lock()
	life.endedAt = time.Now()
	chaos.mutex.Unlock()
	life.machine.Stop()
}

// some returns a serving runner of a group that has at least so many, or nil.
func (chaos *chaosRun) some(random *rand.Rand, least int) *runnerLife {
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	groups := map[string][]*runnerLife{}
	for _, life := range chaos.runners {
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

// runnerFaults replaces runners one after the other, crashes some, and lets some warm up again.
func (chaos *chaosRun) runnerFaults(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		<-time.After(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		switch random.IntN(4) {
		case 0, 1:
			chaos.release(random)
		case 2:
			if life := chaos.some(random, 3); life != nil { // it stays on the list for a while
				chaos.endRunner(life)
				<-time.After(time.Duration(500+random.IntN(2500)) * time.Millisecond)
				chaos.startRunner("", life.group, life.machine.Domain, warmUpTime)
				chaos.mutex.Lock()
				life.listed = false
				chaos.mutex.Unlock()
				chaos.list()
			}
		case 3:
			if life := chaos.some(random, 2); life != nil {
				chaos.mutex.Lock()
				life.warmingUp = append(life.warmingUp, warmUpSpan{time.Now(), time.Now().Add(warmUpNoticeBound), time.Now().Add(warmUpTime)})
				chaos.mutex.Unlock()
				chaos.list()
				<-time.After(warmUpTime)
			}
		}
	}
}

// release replaces a runner: its next life starts, it drains, and a runner of another service
// takes its address.
func (chaos *chaosRun) release(random *rand.Rand) {
	old := chaos.some(random, 1)
	if old == nil {
		return
	}
	chaos.startRunner("", old.group, old.machine.Domain, warmUpTime)
	<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
	chaos.mutex.Lock()
	old.leavingAt = time.Now()
	chaos.mutex.Unlock()
	chaos.list()
	<-time.After(drainBound + time.Duration(200+random.IntN(800))*time.Millisecond)
	chaos.endRunner(old)
	if random.IntN(2) == 0 {
		chaos.mutex.Lock()
		old.listed = false
		chaos.mutex.Unlock()
		chaos.list()
	}
	<-time.After(2 * time.Second)
	chaos.mutex.Lock()
	old.listed = false
	chaos.mutex.Unlock()
	chaos.list()
	if group := map[string]string{"tools": "others", "others": "engines", "engines": "tools"}[old.group]; random.IntN(2) == 0 {
		chaos.startRunner(old.machine.Host, group, old.machine.Domain, warmUpTime)
	}
}

// answerFaults injects faults into single answers.
func (chaos *chaosRun) answerFaults(random *rand.Rand, until time.Time) {
	faults := []standin.Fault{standin.FaultNotRun, standin.FaultLoseAnswer, standin.FaultBreakStream, standin.FaultServerError, standin.FaultUnavailable, standin.FaultWrongID, standin.FaultExtraAnswer, standin.FaultGarbledAnswer, standin.FaultHang, standin.FaultPlainAnswer, standin.FaultUnprocessable, standin.FaultRestartStream}
	for time.Now().Before(until) {
		<-time.After(time.Duration(50+random.IntN(400)) * time.Millisecond)
		if life := chaos.some(random, 1); life != nil {
			life.engine.InjectFaults(faults[random.IntN(len(faults))])
		}
	}
}
