package simulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"yardrock.example/proof/standin"
)

// TestWarmingUpRunnersAreNotFloodedWhileNodesFail presses on runners that stay
// cold, from four fronts, while control nodes and fronts are killed, cut off, wiped and
// all lost at once: what one front may send depends on who the others are.
func TestWarmingUpRunnersAreNotFloodedWhileNodesFail(t *testing.T) {
	simulate(t, chaosShape(), func(t *testing.T, cluster *Cluster) {
		chaos := startChaos(t, cluster)
		const length = 40 * time.Second
		for range 2 {
			chaos.startRunner("", "tools", "east", length+20*time.Second)
			chaos.startRunner("", "others", "west", length+20*time.Second)
		}
		until := time.Now().Add(length)
		wait := chaos.pressLookups(24, until)
		random := cluster.Random(99)
		strikes := []func(*rand.Rand){chaos.killControl, chaos.isolateControl, chaos.cutControl, chaos.wipeControl, chaos.replaceControl, chaos.loseControls, chaos.killFront, chaos.isolateFront, chaos.freezeFront}
		for time.Now().Before(until) {
			strikes[random.IntN(len(strikes))](random)
			while(random, 100*time.Millisecond, 2*time.Second)
		}
		wait()
		maximum := 0
		for _, life := range chaos.runners {
			chaos.checkWarmUp(life)
			if len(life.warmingUp) > 0 {
				maximum = max(maximum, len(life.engine.Arrivals()))
			}
		}
		t.Logf("%d tries; a cold runner got %d at most", len(chaos.sent), maximum)
		if maximum < 30 {
			t.Errorf("a cold runner got only %d queries", maximum)
		}
		setFault(cluster, standin.NoFault)
	})
}
