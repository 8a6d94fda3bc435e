package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// recoveryTime is how long after a lost machine is back, or its replacement has started, the next
// machine may be lost without loss of data.
const recoveryTime = 4300 * time.Millisecond

// lossRun loses machines one after another, each recoveryTime after the replacement of the one
// before it started.
type lossRun struct {
	t       *testing.T
	cluster *Cluster
	// answers are those of the turns that were not followed up yet.
	answers         []*StreamedAnswer
	writes          int
	restarted       time.Time     // when the last replacement started
	slowestRecovery time.Duration // from a replacement's start until all copies were complete
}

// awaitFullReplication waits until all control nodes vote and all stores hold all their groups, and
// records how long after the start of the last replacement that was.
func (run *lossRun) awaitFullReplication() {
	run.t.Helper()
	err := run.cluster.Await(recoveryTime-time.Since(run.restarted), "complete copies", func() error {
		if err := run.cluster.checkVoters(len(run.cluster.Controls)); err != nil {
			return err
		}
		return run.cluster.checkReplicasOn(run.cluster.Stores...)
	})
	if err != nil {
		run.t.Error(err)
	}
	run.slowestRecovery = max(run.slowestRecovery, time.Since(run.restarted))
}

// writeData writes a config and some turns, all of which are acknowledged.
func (run *lossRun) writeData() {
	run.t.Helper()
	run.writes++
	began := time.Now()
	if err := run.cluster.PutConfig(BasicConfig + run.configMarker() + "\n"); err != nil {
		run.t.Fatal(err)
	}
	if took := time.Since(began); took > 3*time.Second {
		run.t.Logf("config %d was acknowledged after %s", run.writes, took)
	}
	run.answers = append(run.answers, run.cluster.startConversations(run.t, 4)...)
}

func (run *lossRun) configMarker() string { return fmt.Sprintf("// order %d;", run.writes) }

// checkData checks that every acknowledged write is readable.
func (run *lossRun) checkData() {
	run.t.Helper()
	run.cluster.wantConfig(run.t, run.configMarker())
	if err := run.cluster.AwaitServing(12 * time.Second); err != nil {
		run.t.Fatal(err)
	}
	run.followUpAll()
}

// followUpAll follows up the turns in the batches in which writeData started them.
func (run *lossRun) followUpAll() {
	run.t.Helper()
	for batch := range slices.Chunk(run.answers, 4) {
		run.cluster.followUp(run.t, batch)
	}
	run.answers = nil
}

// loseDisks cuts the power of machines and wipes them at the earliest time allowed.
func (run *lossRun) loseDisks(machines ...*Machine) {
	<-time.After(recoveryTime - time.Since(run.restarted))
	for _, machine := range machines {
		machine.LosePower()
		machine.Wipe()
	}
}

// startReplacements starts empty replacements at the same addresses.
func (run *lossRun) startReplacements(machines ...*Machine) {
	run.t.Helper()
	for _, machine := range machines {
		if err := machine.Start(); err != nil {
			run.t.Fatal(err)
		}
	}
	run.restarted = time.Now()
}

// controlLeaderFirst returns the machines with the control leader moved to the front.
func (*Cluster) controlLeaderFirst(machines []*Machine) []*Machine {
	ordered := slices.Clone(machines)
	index := slices.IndexFunc(ordered, func(machine *Machine) bool { return machine.Control != nil && machine.Control.IsLeader() })
	if index > 0 {
		ordered[0], ordered[index] = ordered[index], ordered[0]
	}
	return ordered
}

// TestSecondLossAfterReplacement loses the machines of a role with their disks one after another,
// each recoveryTime after the empty replacement of the one before it started.
func TestSecondLossAfterReplacement(t *testing.T) {
	for _, role := range []string{"controls", "stores", "both"} {
		t.Run(role, func(t *testing.T) {
			shape := autoEnrolShape(3, 3)
			shape.Groups = 8
			simulate(t, shape, func(t *testing.T, cluster *Cluster) {
				random := cluster.Random(71)
				run := &lossRun{t: t, cluster: cluster}
				run.writeData()
				<-time.After(6 * time.Second) // archived
				stop := cluster.startLoad(200 * time.Millisecond)
				defer stop()
				for round := range 6 {
					controls := cluster.controlLeaderFirst(cluster.Controls)
					lost := []*Machine{}
					if role != "stores" {
						lost = append(lost, controls[round%3])
					}
					if role != "controls" {
						lost = append(lost, cluster.Stores[round%3])
					}
					run.loseDisks(lost...)
					<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
					run.startReplacements(lost...)
					recovered := make(chan struct{})
					go func() { defer close(recovered); run.awaitFullReplication() }()
					run.writeData()
					<-recovered
				}
				t.Logf("all copies were complete at most %s after a replacement's start", run.slowestRecovery)
				run.checkData()
			})
		})
	}
}

// isolate isolates machines at the earliest time allowed and for a duration, in which writes
// continue.
func (run *lossRun) isolate(duration time.Duration, machines ...*Machine) {
	run.t.Helper()
	<-time.After(recoveryTime - time.Since(run.restarted))
	for _, machine := range machines {
		run.cluster.Network.Isolate(machine.Host)
	}
	began := time.Now()
	run.writeData()
	<-time.After(duration - time.Since(began))
	for _, machine := range machines {
		run.cluster.Network.Rejoin(machine.Host)
	}
	run.restarted = time.Now()
}

// TestRepeatedLossOfTwoNodes loses two control nodes and two stores at once, with their disks or by an
// isolation longer than the timeout after which they are replaced, and the next two of each
// recoveryTime after these are back.
func TestRepeatedLossOfTwoNodes(t *testing.T) {
	shape := autoEnrolShape(5, 5)
	shape.Groups, shape.Replicas = 8, 5
	simulate(t, shape, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(72)
		run := &lossRun{t: t, cluster: cluster}
		run.writeData()
		<-time.After(6 * time.Second) // archived
		stop := cluster.startLoad(200 * time.Millisecond)
		defer stop()
		for round := range 5 {
			lost := []*Machine{}
			for offset := range 2 {
				index := (2*round + offset) % 5
				lost = append(lost, cluster.Controls[index], cluster.Stores[index])
			}
			if random.IntN(2) == 0 {
				run.isolate(12*time.Second, lost...)
			} else {
				run.loseDisks(lost...)
				<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
				run.startReplacements(lost...)
			}
			run.writeData()
		}
		run.checkData()
	})
}

// TestPartitionDoesNotRemoveLiveVoters isolates three of five control nodes for longer than
// the timeout after which a node is replaced. The leader elected afterwards must not take the voters
// that it could not hear from in the meantime for lost.
func TestPartitionDoesNotRemoveLiveVoters(t *testing.T) {
	simulate(t, autoEnrolShape(5, 3), func(t *testing.T, cluster *Cluster) {
		if err := cluster.Await(10*time.Second, "five voters", func() error { return cluster.checkVoters(5) }); err != nil {
			t.Fatal(err)
		}
		isolated := cluster.Random(73).Perm(5)[:3]
		for _, index := range isolated {
			cluster.Network.Isolate(cluster.Controls[index].Host)
		}
		<-time.After(12 * time.Second)
		for _, index := range isolated {
			cluster.Network.Rejoin(cluster.Controls[index].Host)
		}
		for began := time.Now(); time.Since(began) < 5*time.Second; <-time.After(10 * time.Millisecond) {
			if err := cluster.checkVoters(5); err != nil {
				t.Fatalf("%s after the partition healed: %v", time.Since(began), err)
			}
		}
	})
}

// checkVoters returns an error unless every control node knows count voters, which include all
// control nodes.
func (cluster *Cluster) checkVoters(count int) error {
	for _, machine := range cluster.Controls {
		voters := machine.Control.Voters()
		for _, other := range cluster.Controls {
			if len(voters) != count || !slices.Contains(voters, other.Control.Name()) {
				return fmt.Errorf("%s reports the voters %v", machine.Host, voters)
			}
		}
	}
	return nil
}

// TestReplacementVotesOnceItHasTheLog loses a control node with its disk. The connection
// between its empty replacement and the leader is slow, so that the leader hears from the
// replacement before the log has arrived there.
func TestReplacementVotesOnceItHasTheLog(t *testing.T) {
	simulate(t, autoEnrolShape(3, 3), func(t *testing.T, cluster *Cluster) {
		ordered := cluster.controlLeaderFirst(cluster.Controls)
		leader, lost := ordered[0], ordered[1+cluster.Random(74).IntN(2)]
		lost.LosePower()
		lost.Wipe()
		cluster.Network.Slow(leader.Host, lost.Host, 600*time.Millisecond)
		if err := lost.Start(); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		for !slices.Contains(leader.Control.Voters(), lost.Control.Name()) {
			if time.Since(began) > 15*time.Second {
				t.Fatalf("the replacement does not vote: %v", leader.Control.Voters())
			}
			<-time.After(10 * time.Millisecond)
		}
		t.Logf("the replacement votes %s after its start", time.Since(began))
		if len(lost.Control.Voters()) == 0 {
			t.Fatal("the replacement votes without the log")
		}
	})
}
