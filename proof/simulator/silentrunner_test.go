package simulator

import (
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/forwarding"
)

// TestALookupThatARunnerLeavesUnansweredIsAnsweredByAnother within the caller's time; what
// may run only once is sent nowhere else.
func TestALookupThatARunnerLeavesUnansweredIsAnsweredByAnother(t *testing.T) {
	forwardSimulate(t, func(t *testing.T, cluster *Cluster) {
		for _, one := range []struct {
			path     string
			complete bool
			runs     int
		}{{"/lookup/silent", true, 2}, {"/order/silent", false, 1}} {
			name := one.path[1:]
			every(cluster, standin.Hangs)
			time.AfterFunc(200*time.Millisecond, func() { every(cluster, standin.NoFault) })
			began := time.Now()
			answer := cluster.Forward(cluster.Fronts[0], forwarding.Query{Name: name, Path: one.path, Deadline: began.Add(2 * time.Second)})
			if answer.Complete() != one.complete || runsOf(cluster, name) != one.runs {
				t.Errorf("%s: complete is %t after %s, %d runs: %d %v", one.path, answer.Complete(), time.Since(began), runsOf(cluster, name), answer.Status, answer.Err)
			}
		}
	})
}
