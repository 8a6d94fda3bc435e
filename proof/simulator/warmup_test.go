package simulator

import (
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
)

func TestWarmingUpRunnerIsNotFlooded(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 2, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		stop := cluster.startLoad(12 * time.Millisecond)
		defer stop()
		<-time.After(2 * time.Second)
		cold := cluster.Runners[0]
		cluster.listRunners(func(runner *standin.ListedRunner) {
			if runner.Address == cold.Host+":8000" {
				runner.State = "cold"
			}
		})
		<-time.After(2 * time.Second)
		before := cold.Runner.TakeMaxInFlight()
		<-time.After(3 * time.Second)
		maximum := cold.Runner.TakeMaxInFlight()
		t.Logf("maximum in flight: %d warm, %d cold", before, maximum)
		if before < 3 {
			t.Fatalf("only %d requests in flight while warm: the runner had too little load", before)
		}
		if maximum > 2 {
			t.Fatalf("a cold runner with a limit of 2 had %d requests in flight", maximum)
		}
	})
}

// TestRestartedRunnerWarmsUpWithoutFlood guards against full load on a runner that restarts while the
// platform's list still reports it as serving, also when a front restarts. Rejections and lost
// connections alone must lower its limit at every front.
func TestRestartedRunnerWarmsUpWithoutFlood(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 4, Models: 2, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		const ramp, warmLimit, coldLimit = 4 * time.Second, 6, 1
		if err := cluster.PutConfig(strings.ReplaceAll(BasicConfig, `small: {concurrency: 16, cold_concurrency: 2, ramp: "1s"}`, `small: {concurrency: 6, cold_concurrency: 1, ramp: "4s"}`)); err != nil {
			t.Fatal(err)
		}
		<-time.After(6 * time.Second)
		stop := cluster.startLoad(15 * time.Millisecond)
		defer stop()
		<-time.After(3 * time.Second)
		runner, random := cluster.Runners[0], cluster.Random(17)
		if before := runner.Runner.TakeMaxInFlight(); before < warmLimit/2 || before > warmLimit {
			t.Fatalf("%d requests in flight before, limit %d: nothing is tested", before, warmLimit)
		}
		for round := range 2 {
			runner.Stop()
			<-time.After(time.Duration(300+random.IntN(1500)) * time.Millisecond)
			runner.Runner.TakeMaxInFlight()
			if err := runner.Start(cluster); err != nil {
				t.Fatal(err)
			}
			if round > 0 {
				front := cluster.Fronts[random.IntN(3)]
				front.Kill()
				if err := front.Start(); err != nil {
					t.Fatal(err)
				}
			}
			for step := range 10 {
				<-time.After(ramp / 20)
				maximum := runner.Runner.TakeMaxInFlight()
				bound := coldLimit + (warmLimit-coldLimit)*(step+1)/20 + 1 // the ramp starts with the first answer
				if maximum > bound {
					t.Fatalf("round %d: %d requests in flight %s after the restart, limit %d", round, maximum, time.Duration(step+1)*ramp/20, bound)
				}
			}
			<-time.After(ramp)
			if maximum := runner.Runner.TakeMaxInFlight(); maximum < warmLimit/2 || maximum > warmLimit {
				t.Fatalf("round %d: %d requests in flight after the ramp, limit %d", round, maximum, warmLimit)
			}
		}
	})
}
