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

// pressLookups has callers ask for lookups, each for the next as soon as it has an
// answer or a little later, until a moment.
func (chaos *chaosRun) pressLookups(callers int, until time.Time) (wait func()) {
	var pressing sync.WaitGroup
	for caller := range callers {
		pressing.Go(func() {
			random := chaos.cluster.Random(uint64(100 + caller))
			for time.Now().Before(until) {
				chaos.attempt(random, forwarding.Request{Method: http.MethodGet, Path: fmt.Sprintf("/lookup/%d", random.IntN(50))}, "", time.Second, 0)
				<-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond)
			}
		})
	}
	return pressing.Wait
}

// maxArrivalsPerSecond is the most that came to a runner in one second between two moments.
func (life *runnerProcess) maxArrivalsPerSecond(from, to time.Time) int {
	came := slices.DeleteFunc(life.engine.Arrivals(), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	maximum, first := 0, 0
	for last := range came {
		for came[last].Sub(came[first]) >= time.Second {
			first++
		}
		maximum = max(maximum, last-first+1)
	}
	return maximum
}

// TestOutdatedRunnerListLimitsAllRunners lets runners turn cold by themselves while no list is
// read: fronts can't know which, so that each runner gets no more than a cold one once the
// last reading is too old. Before and after, runners get more than that.
func TestOutdatedRunnerListLimitsAllRunners(t *testing.T) {
	for name, strike := range map[string]func(chaos *chaosRun) (repair func()){
		"list fails": func(chaos *chaosRun) func() {
			chaos.cluster.RunnerList.Fail(errors.New("the list gives no answer"))
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
				chaos.checkUnreadList(strike)
			})
		})
	}
}

// TestRestartedRunnerIsReportedByNextListOwner lets runners become cold again while the
// owner of the list's assignment is lost: all that the feed says is how long the first
// time was to last, which is over soon after the next owner reads the list.
func TestRestartedRunnerIsReportedByNextListOwner(t *testing.T) {
	simulate(t, chaosShape(), func(t *testing.T, cluster *Cluster) {
		chaos := startChaos(t, cluster)
		wait := chaos.pressLookups(24, time.Now().Add(8*time.Second))
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

// warmUpAll lets all runners become cold, by themselves.
func (chaos *chaosRun) warmUpAll() {
	chaos.mutex.Lock()
	for _, life := range chaos.runners {
		life.warmingUp = append(life.warmingUp, warmUpSpan{time.Now(), time.Now().Add(warmUpNoticeBound), time.Now().Add(warmUpTime)})
	}
	chaos.mutex.Unlock()
	chaos.publishRunners()
}

func (chaos *chaosRun) checkUnreadList(strike func(chaos *chaosRun) func()) {
	const span = 5 * time.Second
	calm := time.Now()
	wait := chaos.pressLookups(24, calm.Add(4*span))
	<-time.After(span)
	repair := strike(chaos)
	struck := time.Now()
	<-time.After(span)
	repaired := time.Now()
	repair()
	wait()
	served, before, during, after := 0, 0, 0, 0
	for _, life := range chaos.runners {
		before = max(before, life.maxArrivalsPerSecond(calm, struck))
		during = max(during, life.maxArrivalsPerSecond(struck.Add(warmUpNoticeBound), repaired))
		after = max(after, life.maxArrivalsPerSecond(repaired.Add(span), time.Now()))
		for _, at := range life.engine.Arrivals() {
			if at.After(struck.Add(warmUpNoticeBound)) && at.Before(repaired) {
				served++
			}
		}
	}
	chaos.t.Logf("at most %d in a second in calm, %d while no list is read, %d afterwards; %d served while no list is read", before, during, after, served)
	if during > warmUpMax {
		chaos.violation("FAILBACK", "a runner that may be cold got %d in a second", during)
	}
	if before <= 2*warmUpMax || after <= 2*warmUpMax {
		chaos.t.Errorf("runners that are not cold got %d and %d in a second at most", before, after)
	}
	if least := int(warmUpRate); served < 3*least {
		chaos.t.Errorf("only %d queries were served while no list was read", served)
	}
	setFault(chaos.cluster, standin.NoFault)
}
