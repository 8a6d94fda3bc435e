package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/feed"
)

// publishRunners publishes the runners in the runner list. The caller must not hold the mutex.
func (chaos *chaosRun) publishRunners() {
	chaos.mutex.Lock()
	listed := []feed.Runner{}
	for _, process := range chaos.runners {
		if !process.listed {
			continue
		}
		runner := feed.Runner{Incarnation: process.engine.Incarnation, Address: process.machine.Host + ":8000", Group: process.group, Domain: process.machine.Domain, State: feed.StateServing, Slots: 32}
		if len(process.warmingUp) > 0 {
			if remaining := time.Until(process.warmingUp[len(process.warmingUp)-1].until); remaining > 0 {
				runner.State, runner.WarmUpLeft = feed.StateWarmingUp, remaining
			}
		}
		if !process.drainingSince.IsZero() {
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

// startRunner starts a runner with a warm-up time. The host is one that was used before, or "" for
// a new one.
func (chaos *chaosRun) startRunner(host, group, domain string, warmUp time.Duration) *runnerProcess {
	chaos.mutex.Lock()
	if chaos.lastHost++; host == "" {
		host = fmt.Sprintf("10.0.6.%d", chaos.lastHost)
	}
	machine := &EngineMachine{Host: host, Domain: domain, Group: group}
	incarnation := fmt.Sprintf("life-%d", chaos.lastHost)
	chaos.mutex.Unlock()
	if err := machine.Start(chaos.cluster, incarnation); err != nil {
		chaos.t.Errorf("starting a runner: %v", err)
		return nil
	}
	process := &runnerProcess{machine: machine, engine: machine.Engine, group: group, listed: true, listedAt: time.Now()}
	if warmUp > 0 {
		process.warmingUp = []warmUpSpan{{time.Now(), time.Now(), time.Now().Add(warmUp)}}
	}
	chaos.mutex.Lock()
	chaos.runners = append(chaos.runners, process)
	chaos.cluster.Engines = append(chaos.cluster.Engines, machine)
	chaos.mutex.Unlock()
	chaos.publishRunners()
	return process
}

func (chaos *chaosRun) stopRunner(process *runnerProcess) {
	chaos.mutex.Lock()
	process.stoppedAt = time.Now()
	chaos.mutex.Unlock()
	process.machine.Stop()
}

// randomRunner returns a serving runner of a group with at least minimum serving runners, or nil.
func (chaos *chaosRun) randomRunner(random *rand.Rand, minimum int) *runnerProcess {
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	groups := map[string][]*runnerProcess{}
	for _, process := range chaos.runners {
		if process.listed && process.drainingSince.IsZero() && process.stoppedAt.IsZero() {
			groups[process.group] = append(groups[process.group], process)
		}
	}
	candidates := []*runnerProcess{}
	for _, group := range []string{"engines", "tools", "others"} {
		if len(groups[group]) >= minimum {
			candidates = append(candidates, groups[group]...)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[random.IntN(len(candidates))]
}

// runnerFaults replaces runners one after the other, crashes some and restarts the warm-up of some.
func (chaos *chaosRun) runnerFaults(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		<-time.After(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		switch random.IntN(4) {
		case 0, 1:
			chaos.replaceRunner(random)
		case 2:
			if process := chaos.randomRunner(random, 3); process != nil { // a crashed runner stays listed for a while
				chaos.stopRunner(process)
				<-time.After(time.Duration(500+random.IntN(2500)) * time.Millisecond)
				chaos.startRunner("", process.group, process.machine.Domain, warmUpTime)
				chaos.mutex.Lock()
				process.listed = false
				chaos.mutex.Unlock()
				chaos.publishRunners()
			}
		case 3:
			if process := chaos.randomRunner(random, 2); process != nil {
				chaos.mutex.Lock()
				process.warmingUp = append(process.warmingUp, warmUpSpan{time.Now(), time.Now().Add(warmUpNoticeBound), time.Now().Add(warmUpTime)})
				chaos.mutex.Unlock()
				chaos.publishRunners()
				<-time.After(warmUpTime)
			}
		}
	}
}

// replaceRunner starts a replacement and drains the old runner; sometimes a runner of another
// service then takes its address.
func (chaos *chaosRun) replaceRunner(random *rand.Rand) {
	old := chaos.randomRunner(random, 1)
	if old == nil {
		return
	}
	chaos.startRunner("", old.group, old.machine.Domain, warmUpTime)
	<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
	chaos.mutex.Lock()
	old.drainingSince = time.Now()
	chaos.mutex.Unlock()
	chaos.publishRunners()
	<-time.After(drainBound + time.Duration(200+random.IntN(800))*time.Millisecond)
	chaos.stopRunner(old)
	if random.IntN(2) == 0 {
		chaos.mutex.Lock()
		old.listed = false
		chaos.mutex.Unlock()
		chaos.publishRunners()
	}
	<-time.After(2 * time.Second)
	chaos.mutex.Lock()
	old.listed = false
	chaos.mutex.Unlock()
	chaos.publishRunners()
	if group := map[string]string{"tools": "others", "others": "engines", "engines": "tools"}[old.group]; random.IntN(2) == 0 {
		chaos.startRunner(old.machine.Host, group, old.machine.Domain, warmUpTime)
	}
}

// answerFaults injects faults into the answers of random runners.
func (chaos *chaosRun) answerFaults(random *rand.Rand, until time.Time) {
	faults := []standin.Fault{standin.FaultNotRun, standin.FaultLoseAnswer, standin.FaultBreakStream, standin.FaultServerError, standin.FaultUnavailable, standin.FaultWrongID, standin.FaultExtraAnswer, standin.FaultGarbledAnswer, standin.FaultHang, standin.FaultPlainAnswer, standin.FaultUnprocessable, standin.FaultRestartStream}
	for time.Now().Before(until) {
		<-time.After(time.Duration(50+random.IntN(400)) * time.Millisecond)
		if process := chaos.randomRunner(random, 1); process != nil {
			process.engine.InjectFaults(faults[random.IntN(len(faults))])
		}
	}
}
