package simulator

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/forwarding"
)

// startLookups starts callers that send lookups one after the other with short random pauses, until
// a deadline. Wait returns once all have ended.
func (chaos *chaosRun) startLookups(callers int, until time.Time) (wait func()) {
	var lookups sync.WaitGroup
	for caller := range callers {
		lookups.Go(func() {
			random := chaos.cluster.Random(uint64(100 + caller))
			for time.Now().Before(until) {
				chaos.attempt(random, forwarding.Request{Method: http.MethodGet, Path: fmt.Sprintf("/lookup/%d", random.IntN(50))}, "", time.Second, 0)
				<-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond)
			}
		})
	}
	return lookups.Wait
}

// maxArrivalsPerSecond returns the maximum number of requests that arrived at the runner within one
// second between two times.
func (life *runnerProcess) maxArrivalsPerSecond(from, to time.Time) int {
	arrivals := slices.DeleteFunc(life.engine.Arrivals(), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	maximum, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) >= time.Second {
			first++
		}
		maximum = max(maximum, last-first+1)
	}
	return maximum
}

// TestOutdatedRunnerListLimitsAllRunners makes the runner list unreadable: runners may restart
// unnoticed meanwhile, so fronts must limit each to the rate of one that is warming up once the
// list is too old. Before and after, runners get more than that.
func TestOutdatedRunnerListLimitsAllRunners(t *testing.T) {
	for name, inject := range map[string]func(chaos *chaosRun) (repair func()){
		"list fails": func(chaos *chaosRun) func() {
			chaos.cluster.RunnerList.Fail(errors.New("the list cannot be read"))
			return func() { chaos.cluster.RunnerList.Fail(nil) }
		},
		"control nodes lost": func(chaos *chaosRun) func() {
			for _, control := range chaos.cluster.Controls {
				control.LosePower()
			}
			return func() {
				for _, control := range chaos.cluster.Controls {
					chaos.mustStart(control)
				}
			}
		},
		"control quorum cut off": func(chaos *chaosRun) func() {
			for _, control := range chaos.cluster.Controls[:2] {
				chaos.cluster.Network.Isolate(control.Host)
			}
			return func() {
				for _, control := range chaos.cluster.Controls[:2] {
					chaos.cluster.Network.Rejoin(control.Host)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, chaosShape(), func(t *testing.T, cluster *Cluster) {
				chaos := startChaos(t, cluster)
				chaos.checkUnreadableList(inject)
			})
		})
	}
}

// TestRestartedRunnerIsReportedByNextListOwner begins a second warm-up of all runners shortly before
// the first ends and while the owner of the runner discovery role is down: the next owner must report
// it, as the feed has only the end of the first.
func TestRestartedRunnerIsReportedByNextListOwner(t *testing.T) {
	simulate(t, chaosShape(), func(t *testing.T, cluster *Cluster) {
		chaos := startChaos(t, cluster)
		wait := chaos.startLookups(24, time.Now().Add(8*time.Second))
		chaos.warmUpAll()
		<-time.After(warmUpTime - 700*time.Millisecond)
		for _, control := range cluster.Controls {
			if control.Control.IsLeader() {
				control.LosePower()
				defer chaos.mustStart(control)
			}
		}
		<-time.After(200 * time.Millisecond)
		chaos.warmUpAll()
		wait()
		for _, life := range chaos.runners {
			chaos.checkWarmUp(life)
		}
	})
}

// warmUpAll begins a new warm-up of all runners, which only the runner list reports.
func (chaos *chaosRun) warmUpAll() {
	chaos.mutex.Lock()
	for _, life := range chaos.runners {
		life.warmingUp = append(life.warmingUp, warmUpSpan{time.Now(), time.Now().Add(warmUpNoticeBound), time.Now().Add(warmUpTime)})
	}
	chaos.mutex.Unlock()
	chaos.publishRunners()
}

func (chaos *chaosRun) checkUnreadableList(inject func(chaos *chaosRun) func()) {
	const span = 5 * time.Second
	began := time.Now()
	wait := chaos.startLookups(24, began.Add(4*span))
	<-time.After(span)
	repair := inject(chaos)
	injected := time.Now()
	<-time.After(span)
	repaired := time.Now()
	repair()
	wait()
	served, before, during, after := 0, 0, 0, 0
	for _, life := range chaos.runners {
		before = max(before, life.maxArrivalsPerSecond(began, injected))
		during = max(during, life.maxArrivalsPerSecond(injected.Add(warmUpNoticeBound), repaired))
		after = max(after, life.maxArrivalsPerSecond(repaired.Add(span), time.Now()))
		for _, at := range life.engine.Arrivals() {
			if at.After(injected.Add(warmUpNoticeBound)) && at.Before(repaired) {
				served++
			}
		}
	}
	chaos.t.Logf("maximum requests per second at a runner: %d before, %d while the list is unreadable, %d afterwards; %d served while the list is unreadable", before, during, after, served)
	if during > warmUpMax {
		chaos.violation("FAILBACK", "a runner that may be warming up got %d requests in a second", during)
	}
	if before <= 2*warmUpMax || after <= 2*warmUpMax {
		chaos.t.Errorf("runners that are warm got at most %d and %d requests in a second", before, after)
	}
	if least := int(warmUpRate); served < 3*least {
		chaos.t.Errorf("only %d queries were served while the list was unreadable", served)
	}
	setFault(chaos.cluster, standin.NoFault)
}
