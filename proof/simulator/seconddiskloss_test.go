package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// successorTime is how long after a machine is back, or its successor has started, the
// next one may be lost.
const successorTime = 4300 * time.Millisecond

// lossRun loses machines one after another, each right when the successors of those before
// it need no longer be waited for.
type lossRun struct {
	t       *testing.T
	cluster *Cluster
	// said are the turns that were answered, until they are asked for.
	said    []*StreamedAnswer
	marks   int
	joined  time.Time     // when the last successor started
	slowest time.Duration // from a successor's start until there were full copies again
}

// awaitFull waits until all control nodes vote and all stores hold all their groups, and
// notes how long that took from when the last successor started.
func (run *lossRun) awaitFull() {
	run.t.Helper()
	err := run.cluster.Await(successorTime-time.Since(run.joined), "full copies", func() error {
		if err := run.cluster.wantVoters(len(run.cluster.Controls)); err != nil {
			return err
		}
		return run.cluster.checkReplicasOn(run.cluster.Stores...)
	})
	if err != nil {
		run.t.Error(err)
	}
	run.slowest = max(run.slowest, time.Since(run.joined))
}

// record has an order and some turns acknowledged.
func (run *lossRun) record() {
	run.t.Helper()
	run.marks++
	began := time.Now()
	if err := run.cluster.PutConfig(BasicConfig + run.mark() + "\n"); err != nil {
		run.t.Fatal(err)
	}
	if took := time.Since(began); took > 3*time.Second {
		run.t.Logf("order %d was acknowledged after %s", run.marks, took)
	}
	run.said = append(run.said, run.cluster.startConversations(run.t, 4)...)
}

func (run *lossRun) mark() string { return fmt.Sprintf("// order %d;", run.marks) }

// check wants all that was acknowledged.
func (run *lossRun) check() {
	run.t.Helper()
	run.cluster.wantConfig(run.t, run.mark())
	if err := run.cluster.AwaitServing(12 * time.Second); err != nil {
		run.t.Fatal(err)
	}
	run.followAll()
}

// followAll follows the turns up; they are numbered as dialogues does it.
func (run *lossRun) followAll() {
	run.t.Helper()
	for batch := range slices.Chunk(run.said, 4) {
		run.cluster.followUp(run.t, batch)
	}
	run.said = nil
}

// loseDisks takes machines away with their disks at the earliest time that is allowed.
func (run *lossRun) loseDisks(machines ...*Machine) {
	<-time.After(successorTime - time.Since(run.joined))
	for _, machine := range machines {
		machine.LosePower()
		machine.Wipe()
	}
}

// restore starts empty successors at the same addresses.
func (run *lossRun) restore(machines ...*Machine) {
	run.t.Helper()
	for _, machine := range machines {
		if err := machine.Start(); err != nil {
			run.t.Fatal(err)
		}
	}
	run.joined = time.Now()
}

// controlLeaderFirst puts the machine that leads the control group first.
func (*Cluster) controlLeaderFirst(machines []*Machine) []*Machine {
	ordered := slices.Clone(machines)
	at := slices.IndexFunc(ordered, func(machine *Machine) bool { return machine.Control != nil && machine.Control.IsLeader() })
	if at > 0 {
		ordered[0], ordered[at] = ordered[at], ordered[0]
	}
	return ordered
}

// TestASecondLossRightAfterAReplacement loses each machine of a role with its disk, one
// after another, and each one 4.3 s after the empty successor of the one before started.
func TestASecondLossRightAfterAReplacement(t *testing.T) {
	for _, role := range []string{"controls", "stores", "both"} {
		t.Run(role, func(t *testing.T) {
			shape := autoEnrolShape(3, 3)
			shape.Groups = 8
			simulate(t, shape, func(t *testing.T, cluster *Cluster) {
				random := cluster.Random(71)
				run := &lossRun{t: t, cluster: cluster}
				run.record()
				<-time.After(6 * time.Second) // archived
				stop := cluster.callers(200 * time.Millisecond)
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
					run.restore(lost...)
					complete := make(chan struct{})
					go func() { defer close(complete); run.awaitFull() }()
					run.record()
					<-complete
				}
				t.Logf("full copies at most %s after a successor's start", run.slowest)
				run.check()
			})
		})
	}
}

// cutOff cuts machines off at the earliest time that is allowed, for so long, while orders
// and turns go on.
func (run *lossRun) cutOff(timeout time.Duration, machines ...*Machine) {
	run.t.Helper()
	<-time.After(successorTime - time.Since(run.joined))
	for _, machine := range machines {
		run.cluster.Network.Isolate(machine.Host)
	}
	began := time.Now()
	run.record()
	<-time.After(timeout - time.Since(began))
	for _, machine := range machines {
		run.cluster.Network.Rejoin(machine.Host)
	}
	run.joined = time.Now()
}

// TestTwoLossesRightAfterTwo loses two control nodes and two stores at once, with their
// disks or by a cut that is longer than they are waited for, and the next two of each 4.3 s
// after these are back.
func TestTwoLossesRightAfterTwo(t *testing.T) {
	shape := autoEnrolShape(5, 5)
	shape.Groups, shape.Replicas = 8, 5
	simulate(t, shape, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(72)
		run := &lossRun{t: t, cluster: cluster}
		run.record()
		<-time.After(6 * time.Second) // archived
		stop := cluster.callers(200 * time.Millisecond)
		defer stop()
		for round := range 5 {
			lost := []*Machine{}
			for offset := range 2 {
				at := (2*round + offset) % 5
				lost = append(lost, cluster.Controls[at], cluster.Stores[at])
			}
			if random.IntN(2) == 0 {
				run.cutOff(12*time.Second, lost...)
			} else {
				run.loseDisks(lost...)
				<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
				run.restore(lost...)
			}
			run.record()
		}
		run.check()
	})
}

// TestNoLiveVoterIsRemovedAfterACut cuts three of five control nodes off from all, for
// longer than a node is waited for. Whoever leads afterwards has heard some of the others
// a long time ago, but only because nobody could be heard.
func TestNoLiveVoterIsRemovedAfterACut(t *testing.T) {
	simulate(t, autoEnrolShape(5, 3), func(t *testing.T, cluster *Cluster) {
		if err := cluster.Await(10*time.Second, "five voters", func() error { return cluster.wantVoters(5) }); err != nil {
			t.Fatal(err)
		}
		cut := cluster.Random(73).Perm(5)[:3]
		for _, at := range cut {
			cluster.Network.Isolate(cluster.Controls[at].Host)
		}
		<-time.After(12 * time.Second)
		for _, at := range cut {
			cluster.Network.Rejoin(cluster.Controls[at].Host)
		}
		for began := time.Now(); time.Since(began) < 5*time.Second; <-time.After(10 * time.Millisecond) {
			if err := cluster.wantVoters(5); err != nil {
				t.Fatalf("%s after the cut: %v", time.Since(began), err)
			}
		}
	})
}

// wantVoters wants so many voters in the control group, all of them there, by the word of
// each of its nodes.
func (cluster *Cluster) wantVoters(count int) error {
	for _, machine := range cluster.Controls {
		voters := machine.Control.Voters()
		for _, other := range cluster.Controls {
			if len(voters) != count || !slices.Contains(voters, other.Control.Name()) {
				return fmt.Errorf("%s knows the voters %v", machine.Host, voters)
			}
		}
	}
	return nil
}

// TestReplacementVotesOnceItHasTheLog loses a control node with its disk. What its empty
// successor and the leader send each other arrives late, so that the log takes longer to
// come than the successor to be heard.
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
				t.Fatalf("it does not vote: %v", leader.Control.Voters())
			}
			<-time.After(10 * time.Millisecond)
		}
		t.Logf("it votes %s after its start", time.Since(began))
		if len(lost.Control.Voters()) == 0 {
			t.Fatal("it votes, and holds nothing")
		}
	})
}
