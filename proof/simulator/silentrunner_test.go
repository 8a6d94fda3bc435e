package simulator

import (
	"fmt"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/forwarding"
)

// TestUnansweredLookupIsSentToAnotherRunner guards against idempotent requests that wait for a silent
// runner until the caller's deadline, and against hedging of requests that may run only once.
func TestUnansweredLookupIsSentToAnotherRunner(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for _, test := range []struct {
			path     string
			complete bool
			runs     int
		}{{"/lookup/silent", true, 2}, {"/order/silent", false, 1}} {
			name := test.path[1:]
			setFault(cluster, standin.FaultHang)
			time.AfterFunc(200*time.Millisecond, func() { setFault(cluster, standin.NoFault) })
			began := time.Now()
			answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: name, Path: test.path, Deadline: began.Add(2 * time.Second)})
			if answer.Complete() != test.complete || executionsOf(cluster, name) != test.runs {
				t.Errorf("%s: complete is %t after %s, %d runs: %d %v", test.path, answer.Complete(), time.Since(began), executionsOf(cluster, name), answer.Status, answer.Err)
			}
		}
	})
}

// TestSlowRunnerIsNotDisconnected guards against cancelling the attempt at a slow runner when hedged
// attempts are sent to others. Attempts stay within the route's limit, and the first answer is
// returned to the caller.
func TestSlowRunnerIsNotDisconnected(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		const latency = 1000 * time.Millisecond
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies.PlainAnswer = latency
		}
		for number := range 6 {
			name := fmt.Sprintf("slow-%d", number)
			began := time.Now()
			answer := cluster.Forward(cluster.Fronts[number%2], forwarding.Request{ID: name, Path: "/lookup/" + name, Deadline: began.Add(2 * time.Second)})
			if took := time.Since(began); !answer.Complete() || string(answer.Body) != "done "+name || took > latency+100*time.Millisecond {
				t.Errorf("%s: %d %q %v after %s", name, answer.Status, answer.Body, answer.Err, took)
			}
			if runs := executionsOf(cluster, name); runs > 3 {
				t.Errorf("%s ran %d times, want at most 3", name, runs)
			}
			cluster.Sleep(3 * time.Second)
		}
		for _, machine := range cluster.Engines {
			if cancelled := machine.Engine.Cancelled(); len(cancelled) > 0 {
				t.Errorf("%s: requests %v were cancelled while they ran", machine.Host, cancelled)
			}
		}
	})
}
