package simulator

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/forwarding"
	"yardrock.example/system/front"
)

const (
	// drainOutage is how long the runner list cannot be read.
	drainOutage = 9 * time.Second
	// lookupInterval is the time between two lookups through one front.
	lookupInterval = 25 * time.Millisecond
)

// TestDrainingRunnerGetsNoRequestsWhileTheRunnerListCannotBeRead guards against fronts that act on a
// runner list of any age.
func TestDrainingRunnerGetsNoRequestsWhileTheRunnerListCannotBeRead(t *testing.T) {
	for name, inject := range map[string]func(cluster *Cluster){
		"list fails": func(cluster *Cluster) { cluster.RunnerList.Fail(errors.New("the list cannot be read")) },
		"control nodes lost": func(cluster *Cluster) {
			for _, control := range cluster.Controls {
				control.LosePower()
			}
		},
		"control quorum cut off": func(cluster *Cluster) {
			for _, control := range cluster.Controls[:2] {
				cluster.Network.Isolate(control.Host)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulateRouted(t, func(t *testing.T, cluster *Cluster) { checkUnnoticedDrain(t, cluster, inject) })
		})
	}
}

// checkUnnoticedDrain has one runner drain right after an injected fault, sends lookups through all
// fronts, and checks when the runner gets its last one and that the other runners serve on.
func checkUnnoticedDrain(t *testing.T, cluster *Cluster, inject func(cluster *Cluster)) {
	sendLookups(cluster, "before", 2*time.Second)
	inject(cluster)
	leaving := slices.MaxFunc(cluster.Engines, func(left, right *EngineMachine) int {
		return len(left.Engine.Arrivals()) - len(right.Engine.Arrivals())
	})
	leaving.Engine.Drain()
	began := time.Now()
	complete, sent := sendLookups(cluster, "during", drainOutage)
	arrivals := leaving.Engine.Arrivals()
	if last := arrivals[len(arrivals)-1].Sub(began); last > front.DefaultDrainTimeout {
		t.Errorf("the draining runner got a request %s after it was listed as draining", last)
	}
	if complete < sent*9/10 {
		t.Errorf("%d of %d lookups were answered", complete, sent)
	}
}

// sendLookups sends lookups through all fronts for a while and counts those that were answered.
func sendLookups(cluster *Cluster, phase string, duration time.Duration) (complete, sent int) {
	results := make(chan bool)
	for began := time.Now(); time.Since(began) < duration; cluster.Sleep(lookupInterval) {
		for number, machine := range cluster.Fronts {
			name := fmt.Sprintf("%s-%d-%d", phase, sent, number)
			sent++
			go func() {
				results <- cluster.Forward(machine, forwarding.Request{ID: name, Path: "/lookup/" + name, Deadline: time.Now().Add(2 * time.Second)}).Complete()
			}()
		}
	}
	for range sent {
		if <-results {
			complete++
		}
	}
	return complete, sent
}
