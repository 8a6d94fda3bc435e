package simulator

import (
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/controlplane"
)

// TestAFleetServesSoonAfterATotalOutage ends every process at once: killed, without power,
// or without power and one zone with its disks lost, right after an acknowledgement. All
// return within a second and a half.
func TestAFleetServesSoonAfterATotalOutage(t *testing.T) {
	shape := Shape{Controls: 5, Stores: 3, Fronts: 3, Models: 3, Applications: 3, Groups: 32, AutoEnrol: true}
	simulate(t, shape, func(t *testing.T, cluster *Cluster) {
		cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) { settings.JoinExisting = true }
		random := cluster.Random(41)
		for round := range 5 {
			said := cluster.startConversations(t, 6)
			mark := fmt.Sprintf("before outage %d", round)
			if err := cluster.PutConfig(BasicConfig + "// " + mark + "\n"); err != nil {
				t.Fatal(err)
			}
			cluster.endAll(round, domain(random.IntN(3)))
			returned := startWithin(t, random, cluster.Machines(), 1500*time.Millisecond)
			if err := cluster.Await(6*time.Second, "leader of the control nodes", cluster.controlsAreLed); err != nil {
				t.Fatal(err)
			}
			controls := time.Since(returned)
			if err := cluster.AwaitServing(6 * time.Second); err != nil {
				t.Fatalf("round %d: %v", round, err)
			}
			t.Logf("round %d: control leader %s, every front serves %s after the return", round, controls, time.Since(returned))
			cluster.wantConfig(t, mark)
			cluster.followUp(t, said)
			if took := time.Since(returned); took > 9*time.Second {
				t.Fatalf("round %d: turns from before were followed up only %s after the return", round, took)
			}
			if err := cluster.Await(8*time.Second, "healed fleet", func() error { return cluster.checkReplicasOn(cluster.Stores...) }); err != nil {
				t.Fatal(err)
			}
			if err := cluster.Await(8*time.Second, "five voters", func() error {
				if voting := cluster.votingControls(); len(voting) != 5 {
					return fmt.Errorf("voting: %v", voting)
				}
				return nil
			}); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// endAll ends every process: killed in round 0, without power in later rounds, from round 2
// on with the disks of one zone lost; round 3 leaves control nodes' disks.
func (cluster *Cluster) endAll(round int, wiped string) {
	for _, machine := range cluster.Machines() {
		if round == 0 {
			machine.Kill()
			continue
		}
		machine.LosePower()
		if round >= 2 && machine.Domain == wiped && (round != 3 || machine.Disk == nil || machine.Archive != nil) {
			machine.Wipe()
		}
	}
}

// controlsAreLed returns an error while no control node leads.
func (cluster *Cluster) controlsAreLed() error {
	for _, machine := range cluster.Controls {
		if machine.Control.IsLeader() {
			return nil
		}
	}
	return fmt.Errorf("nobody leads")
}
