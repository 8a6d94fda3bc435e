package simulator

import (
	"fmt"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/forwarding"
)

// TestALookupThatARunnerLeavesUnansweredIsAnsweredByAnother within the caller's time; what
// may run only once is sent nowhere else.
func TestALookupThatARunnerLeavesUnansweredIsAnsweredByAnother(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for _, one := range []struct {
			path     string
			complete bool
			runs     int
		}{{"/lookup/silent", true, 2}, {"/order/silent", false, 1}} {
			name := one.path[1:]
			setFault(cluster, standin.FaultHang)
			time.AfterFunc(200*time.Millisecond, func() { setFault(cluster, standin.NoFault) })
			began := time.Now()
			answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: name, Path: one.path, Deadline: began.Add(2 * time.Second)})
			if answer.Complete() != one.complete || executionsOf(cluster, name) != one.runs {
				t.Errorf("%s: complete is %t after %s, %d runs: %d %v", one.path, answer.Complete(), time.Since(began), executionsOf(cluster, name), answer.Status, answer.Err)
			}
		}
	})
}

// TestSlowRunnerIsNotDisconnected: a runner that works on a lookup for most of its time is
// silent until then. Others are asked as well, within the route's tries; the first answer
// goes to the caller, and no runner at work is broken off.
func TestSlowRunnerIsNotDisconnected(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		const works = 1000 * time.Millisecond
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies.PlainAnswer = works
		}
		for number := range 6 {
			name := fmt.Sprintf("slow-%d", number)
			began := time.Now()
			answer := cluster.Forward(cluster.Fronts[number%2], forwarding.Request{Name: name, Path: "/lookup/" + name, Deadline: began.Add(2 * time.Second)})
			if took := time.Since(began); !answer.Complete() || string(answer.Body) != "done "+name || took > works+100*time.Millisecond {
				t.Errorf("%s: %d %q %v after %s", name, answer.Status, answer.Body, answer.Err, took)
			}
			if runs := executionsOf(cluster, name); runs > 3 {
				t.Errorf("%s ran %d times with three tries", name, runs)
			}
			cluster.Sleep(3 * time.Second)
		}
		for _, machine := range cluster.Engines {
			if broken := machine.Engine.Cancelled(); len(broken) > 0 {
				t.Errorf("%s was broken off while it worked on %v", machine.Host, broken)
			}
		}
	})
}
