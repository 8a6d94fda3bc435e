package simulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"yardrock.example/proof/standin"
)

// TestWarmingUpRunnersAreNotOverloadedWhileNodesFail guards against fronts that together exceed the
// warm-up rate of a runner while control nodes and fronts fail: the share of each front depends on
// the number of fronts it knows.
func TestWarmingUpRunnersAreNotOverloadedWhileNodesFail(t *testing.T) {
	simulate(t, chaosShape(), func(t *testing.T, cluster *Cluster) {
		chaos := startChaos(t, cluster)
		const duration = 40 * time.Second
		for range 2 {
			chaos.startRunner("", "tools", "east", duration+20*time.Second)
			chaos.startRunner("", "others", "west", duration+20*time.Second)
		}
		until := time.Now().Add(duration)
		wait := chaos.startLookups(24, until)
		random := cluster.Random(99)
		faults := []func(*rand.Rand){chaos.killControl, chaos.isolateControl, chaos.cutControl, chaos.wipeControl, chaos.replaceControl, chaos.loseControls, chaos.killFront, chaos.isolateFront, chaos.freezeFront}
		for time.Now().Before(until) {
			faults[random.IntN(len(faults))](random)
			sleepBetween(random, 100*time.Millisecond, 2*time.Second)
		}
		wait()
		maximum := 0
		for _, process := range chaos.runners {
			chaos.checkWarmUp(process)
			if len(process.warmingUp) > 0 {
				maximum = max(maximum, len(process.engine.Arrivals()))
			}
		}
		t.Logf("%d requests; a runner got at most %d while warming up", len(chaos.sent), maximum)
		if maximum < 30 {
			t.Errorf("a runner that is warming up got only %d requests", maximum)
		}
		setFault(cluster, standin.NoFault)
	})
}
