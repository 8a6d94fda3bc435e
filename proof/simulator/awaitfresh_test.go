package simulator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"yardrock.example/system/forwarding"
)

// startWithin starts machines at random times within a span, and returns the time at which the last
// one had started.
func startWithin(t *testing.T, random *rand.Rand, machines []*Machine, span time.Duration) time.Time {
	t.Helper()
	var starting sync.WaitGroup
	for _, machine := range machines {
		after := time.Duration(random.Int64N(int64(span)))
		starting.Go(func() {
			<-time.After(after)
			if err := machine.Start(); err != nil {
				t.Error(err)
			}
		})
	}
	starting.Wait()
	return time.Now()
}

// TestRequestsRightAfterTotalOutageAreServed checks that a front that has just started delays
// requests until it has a fresh view instead of rejecting them.
func TestRequestsRightAfterTotalOutageAreServed(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(43)
		for round := range 4 {
			for _, machine := range cluster.Machines() {
				if round%2 == 0 {
					machine.Kill()
				} else {
					machine.LosePower()
				}
			}
			restarted := startWithin(t, random, cluster.Machines(), 400*time.Millisecond)
			var requests sync.WaitGroup
			for _, machine := range cluster.Fronts {
				for number := range 4 {
					requests.Go(func() {
						name := fmt.Sprintf("early-%d-%s-%d", round, machine.Host, number)
						path := []string{"/lookup/", "/talk/kept/"}[number%2] + name
						answer := cluster.Forward(machine, forwarding.Request{ID: name, Path: path, Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
						if took := time.Since(restarted); !answer.Complete() || took > 2*time.Second {
							t.Errorf("round %d: %s got %d %v %s after the restart", round, path, answer.Status, answer.Err, took)
						}
					})
				}
			}
			requests.Wait()
			t.Logf("round %d: all requests were answered %s after the restart", round, time.Since(restarted))
			cluster.Sleep(3 * time.Second)
		}
	})
}

// TestLongIsolatedFrontRejectsAtOnce checks that a front without a fresh view rejects requests
// without delay, so that callers can retry at another.
func TestLongIsolatedFrontRejectsAtOnce(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		cluster.Network.Isolate(front.Host)
		cluster.Sleep(4 * time.Second)
		began := time.Now()
		answer := cluster.Forward(front, forwarding.Request{ID: "cut-1", Path: "/lookup/cut-1"})
		if took := time.Since(began); !answer.Rejected() || took > 0 {
			t.Fatalf("the isolated front, after %s: %d %v", took, answer.Status, answer.Err)
		}
		cluster.Network.Rejoin(front.Host)
		if answer := cluster.Forward(cluster.Fronts[1], forwarding.Request{ID: "cut-2", Path: "/lookup/cut-2"}); !answer.Complete() {
			t.Fatalf("the other front: %d %v", answer.Status, answer.Err)
		}
	})
}
