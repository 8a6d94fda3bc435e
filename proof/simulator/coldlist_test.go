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
func (hunt *hunt) pressLookups(callers int, until time.Time) (wait func()) {
	var pressing sync.WaitGroup
	for caller := range callers {
		pressing.Go(func() {
			random := hunt.cluster.Random(uint64(100 + caller))
			for time.Now().Before(until) {
				hunt.try(random, forwarding.Request{Method: http.MethodGet, Path: fmt.Sprintf("/lookup/%d", random.IntN(50))}, "", time.Second, 0)
				<-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond)
			}
		})
	}
	return pressing.Wait
}

// mostArrivals is the most that came to a runner in one second between two moments.
func (life *runnerLife) mostArrivals(from, to time.Time) int {
	came := slices.DeleteFunc(life.engine.Arrivals(), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	most, first := 0, 0
	for last := range came {
		for came[last].Sub(came[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestAnOldRunnerListLimitsAllRunners lets runners turn cold by themselves while no list is
// read: fronts can't know which, so that each runner gets no more than a cold one once the
// last reading is too old. Before and after, runners get more than that.
func TestAnOldRunnerListLimitsAllRunners(t *testing.T) {
	for name, strike := range map[string]func(hunt *hunt) (mend func()){
		"list fails": func(hunt *hunt) func() {
			hunt.cluster.Roster.Fail(errors.New("the list gives no answer"))
			return func() { hunt.cluster.Roster.Fail(nil) }
		},
		"control nodes lost": func(hunt *hunt) func() {
			for _, control := range hunt.cluster.Controls {
				control.LosePower()
			}
			return func() {
				for _, control := range hunt.cluster.Controls {
					hunt.must(control)
				}
			}
		},
		"control quorum cut off": func(hunt *hunt) func() {
			for _, control := range hunt.cluster.Controls[:2] {
				hunt.cluster.Network.Isolate(control.Host)
			}
			return func() {
				for _, control := range hunt.cluster.Controls[:2] {
					hunt.cluster.Network.Rejoin(control.Host)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, huntShape(), func(t *testing.T, cluster *Cluster) {
				hunt := startHunt(t, cluster)
				hunt.judgeUnreadList(strike)
			})
		})
	}
}

// TestARunnerColdAgainIsReportedByTheNextListOwner lets runners become cold again while the
// owner of the list's assignment is lost: all that the feed says is how long the first
// time was to last, which is over soon after the next owner reads the list.
func TestARunnerColdAgainIsReportedByTheNextListOwner(t *testing.T) {
	simulate(t, huntShape(), func(t *testing.T, cluster *Cluster) {
		hunt := startHunt(t, cluster)
		wait := hunt.pressLookups(24, time.Now().Add(8*time.Second))
		hunt.coolAll()
		<-time.After(huntColdFor - 700*time.Millisecond)
		for _, control := range cluster.Controls {
			if control.Control.IsLeader() {
				control.LosePower()
				defer hunt.must(control)
			}
		}
		<-time.After(200 * time.Millisecond)
		hunt.coolAll()
		wait()
		for _, life := range hunt.runners {
			hunt.judgeCold(life)
		}
	})
}

// coolAll lets all runners become cold, by themselves.
func (hunt *hunt) coolAll() {
	hunt.mutex.Lock()
	for _, life := range hunt.runners {
		life.cold = append(life.cold, coldSpan{time.Now(), time.Now().Add(noticeCold), time.Now().Add(huntColdFor)})
	}
	hunt.mutex.Unlock()
	hunt.list()
}

func (hunt *hunt) judgeUnreadList(strike func(hunt *hunt) func()) {
	const span = 5 * time.Second
	calm := time.Now()
	wait := hunt.pressLookups(24, calm.Add(4*span))
	<-time.After(span)
	mend := strike(hunt)
	struck := time.Now()
	<-time.After(span)
	mended := time.Now()
	mend()
	wait()
	served, before, during, after := 0, 0, 0, 0
	for _, life := range hunt.runners {
		before = max(before, life.mostArrivals(calm, struck))
		during = max(during, life.mostArrivals(struck.Add(noticeCold), mended))
		after = max(after, life.mostArrivals(mended.Add(span), time.Now()))
		for _, at := range life.engine.Arrivals() {
			if at.After(struck.Add(noticeCold)) && at.Before(mended) {
				served++
			}
		}
	}
	hunt.t.Logf("at most %d in a second in calm, %d while no list is read, %d afterwards; %d served while no list is read", before, during, after, served)
	if during > huntColdMost {
		hunt.broken("FAILBACK", "a runner that may be cold got %d in a second", during)
	}
	if before <= 2*huntColdMost || after <= 2*huntColdMost {
		hunt.t.Errorf("runners that are not cold got %d and %d in a second at most", before, after)
	}
	if least := int(huntColdRate); served < 3*least {
		hunt.t.Errorf("only %d queries were served while no list was read", served)
	}
	every(hunt.cluster, standin.NoFault)
}
