package simulator

import (
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/controlplane"
)

// TestServiceResumesSoonAfterTotalOutage stops every process at once, right after an
// acknowledgement: by a kill, a power loss, or a power loss in which one domain also loses its
// disks. All machines start again within 1.5 s.
func TestServiceResumesSoonAfterTotalOutage(t *testing.T) {
	shape := Shape{Controls: 5, Stores: 3, Fronts: 3, Models: 3, Applications: 3, Groups: 32, AutoEnrol: true}
	simulate(t, shape, func(t *testing.T, cluster *Cluster) {
		cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) { settings.JoinExisting = true }
		random := cluster.Random(41)
		for round := range 5 {
			answers := cluster.startConversations(t, 6)
			configMarker := fmt.Sprintf("before outage %d", round)
			if err := cluster.PutConfig(BasicConfig + "// " + configMarker + "\n"); err != nil {
				t.Fatal(err)
			}
			cluster.stopAll(round, domain(random.IntN(3)))
			restarted := startWithin(t, random, cluster.Machines(), 1500*time.Millisecond)
			if err := cluster.Await(6*time.Second, "control leader", cluster.checkControlLeader); err != nil {
				t.Fatal(err)
			}
			controlRecovery := time.Since(restarted)
			if err := cluster.AwaitServing(6 * time.Second); err != nil {
				t.Fatalf("round %d: %v", round, err)
			}
			t.Logf("round %d: control leader elected %s, every front serves %s after the restart", round, controlRecovery, time.Since(restarted))
			cluster.wantConfig(t, configMarker)
			cluster.followUp(t, answers)
			if took := time.Since(restarted); took > 9*time.Second {
				t.Fatalf("round %d: earlier turns were only followed up %s after the restart", round, took)
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

// stopAll stops every process: by a kill in round 0, by a power loss in later rounds. From round 2 on
// one domain is wiped; round 3 spares its control nodes.
func (cluster *Cluster) stopAll(round int, wipedDomain string) {
	for _, machine := range cluster.Machines() {
		if round == 0 {
			machine.Kill()
			continue
		}
		machine.LosePower()
		if round >= 2 && machine.Domain == wipedDomain && (round != 3 || machine.Disk == nil || machine.Archive != nil) {
			machine.Wipe()
		}
	}
}

// checkControlLeader returns an error unless a control node is the leader.
func (cluster *Cluster) checkControlLeader() error {
	for _, machine := range cluster.Controls {
		if machine.Control.IsLeader() {
			return nil
		}
	}
	return fmt.Errorf("no control node is the leader")
}
