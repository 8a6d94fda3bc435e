package simulator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
	"yardrock.example/system/feedclient"
	"yardrock.example/system/link"
	"yardrock.example/system/sessionlog"
)

// watch follows the feed from some hosts, as fronts do.
func (cluster *Cluster) watch(t *testing.T, count int) []*feedclient.Client {
	watching := []*feedclient.Client{}
	for position := range count {
		host := fmt.Sprintf("10.8.1.%d", position+1)
		caller := link.NewClient(cluster.Network.At(host))
		following := feedclient.Start(caller, feed.Member{Name: host, Role: feed.RoleFront, Address: host + ":1"}, cluster.seeds, nil, func(*feed.View) error { return nil })
		t.Cleanup(func() { following.Stop(); caller.Close() })
		watching = append(watching, following)
	}
	return watching
}

// until waits, step by step, until all that watch may act on a view that fits; it tells how
// long that took.
func until(t *testing.T, timeout time.Duration, watching []*feedclient.Client, what string, fits func(view *feed.View) bool) time.Duration {
	t.Helper()
	began := time.Now()
	behind := func(one *feedclient.Client) bool {
		view, err := one.Fresh()
		return err != nil || !fits(view)
	}
	for slices.ContainsFunc(watching, behind) {
		if time.Since(began) > timeout {
			t.Fatalf("%s does not reach all fronts within %s", what, timeout)
		}
		<-time.After(10 * time.Millisecond)
	}
	return time.Since(began)
}

func stateOf(view *feed.View, life string) string {
	for _, runner := range view.Runners {
		if runner.Incarnation == life {
			return runner.State
		}
	}
	return ""
}

func TestTheListOfRunnersReachesAllFrontsSoon(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 2, Applications: 2, Engines: 1}, func(t *testing.T, cluster *Cluster) {
		source := cluster.RunnerList
		const soon = 1300 * time.Millisecond // a poll, a commit and a round of the fronts
		runner := func(life, state string, cold time.Duration) feed.Runner {
			return feed.Runner{Incarnation: life, Address: "10.0.3.1:8000", Group: "small", Domain: "east", State: state, WarmUpLeft: cold, Slots: 4}
		}
		other := feed.Runner{Incarnation: "other", Address: "10.0.3.2:8000", Group: "small", Domain: "west", State: feed.StateServing}
		watching := cluster.watch(t, 6)
		source.Put([]feed.Runner{other, runner("one", feed.StateWarmingUp, 4*time.Second)})
		until(t, soon, watching, "a cold runner", func(view *feed.View) bool {
			return stateOf(view, "one") == feed.StateWarmingUp && stateOf(view, "other") != ""
		})
		number, asks := cluster.Controls[0].Control.View().Number, source.Polls()
		<-time.After(2 * time.Second)
		if now := cluster.Controls[0].Control.View().Number; now != number {
			t.Fatalf("the feed went from %d to %d while a runner only stayed cold", number, now)
		}
		if asks = source.Polls() - asks; asks < 3 || asks > 5 {
			t.Fatalf("the list was asked for %d times in 2 s", asks)
		}
		source.Put([]feed.Runner{other, runner("one", feed.StateWarmingUp, 6*time.Second)}) // colder than it was
		until(t, soon, watching, "a runner that is cold for longer", func(view *feed.View) bool {
			return slices.ContainsFunc(view.Runners, func(runner feed.Runner) bool { return runner.WarmUpLeft > 5*time.Second })
		})
		<-time.After(4500 * time.Millisecond)
		until(t, soon+500*time.Millisecond, watching, "a runner that is warm", func(view *feed.View) bool { return stateOf(view, "one") == feed.StateServing })
		// Nobody waits for the stores, nor for their majority.
		for _, store := range cluster.Stores[:2] {
			cluster.Network.Isolate(store.Host)
		}
		source.Put([]feed.Runner{other, runner("one", feed.StateDraining, 0)})
		t.Logf("leaving without stores: %s", until(t, soon, watching, "a leaving runner", func(view *feed.View) bool { return stateOf(view, "one") == feed.StateDraining }))
		source.Put([]feed.Runner{runner("two", feed.StateServing, 0), other})
		until(t, soon, watching, "another life at the same address", func(view *feed.View) bool {
			return stateOf(view, "one") == "" && stateOf(view, "two") == feed.StateServing
		})
		for _, store := range cluster.Stores[:2] {
			cluster.Network.Rejoin(store.Host)
		}
		// A platform that is down, or wants to be left alone, takes no runner away.
		source.Fail(apierror.NewRetryable(apierror.Unavailable, "too often", "later", 5*time.Second))
		<-time.After(time.Second)
		asks = source.Polls()
		<-time.After(3 * time.Second)
		if source.Polls() != asks || stateOf(cluster.Controls[0].Control.View(), "two") != feed.StateServing {
			t.Fatalf("asked %d times in spite of the refusal, or the list is gone: %+v", source.Polls()-asks, cluster.Controls[0].Control.View().Runners)
		}
		source.Fail(nil)
		<-time.After(5 * time.Second)
		// The owner of the assignment dies as the list changes.
		for round := range 3 {
			buffered := cluster.Controls[0].Control.View().RoleLeaseOf(controlplane.RunnerDiscoveryRole)
			at := slices.IndexFunc(cluster.Controls, func(machine *Machine) bool { return machine.Control.Name() == buffered.Holder })
			owner := cluster.Controls[at]
			if round == 0 {
				owner.Kill()
			} else {
				cluster.Network.Isolate(owner.Host)
			}
			life := fmt.Sprintf("after-%d", round)
			source.Put([]feed.Runner{runner(life, feed.StateDraining, 0)})
			t.Logf("round %d: leaving after the owner's end: %s", round, until(t, 2700*time.Millisecond, watching, "a change as the assignment's owner ends", func(view *feed.View) bool { return stateOf(view, life) == feed.StateDraining }))
			if round == 0 {
				if err := owner.Start(); err != nil {
					t.Fatal(err)
				}
			} else {
				cluster.Network.Rejoin(owner.Host)
			}
			<-time.After(5 * time.Second)
		}
	})
}

// byThemselves is the shape of a fleet that nobody enrols machines in.
func byThemselves(controls, stores int) Shape {
	return Shape{Controls: controls, Stores: stores, Fronts: 2, Models: 2, Applications: 2, Groups: 32, AutoEnrol: true}
}

// viewReplicasAre tells, at all stores, which hold a full part of every group: nil if those given
// hold all of them and nobody else does.
func (cluster *Cluster) viewReplicasAre(machines ...*Machine) error {
	names, led := []string{}, 0
	for _, machine := range machines {
		names = append(names, machine.Store.Name())
	}
	for _, machine := range cluster.Stores {
		if machine.Store == nil {
			continue
		}
		for group, status := range machine.Store.Host().Statuses() {
			if !status.CommittedInTerm {
				continue
			}
			led++
			if status.MembershipChangePending || len(status.Membership.Learners) > 0 || len(status.Membership.Voters) != 3 {
				return fmt.Errorf("group %d has %v, changing: %v", group, status.Membership, status.MembershipChangePending)
			}
			for _, voter := range status.Membership.Voters {
				if !slices.Contains(names, voter) {
					return fmt.Errorf("group %d, led by %s in term %d, is kept by %s of %v", group, machine.Host, status.Term, voter, status.Membership)
				}
			}
		}
	}
	if led != int(cluster.groups) {
		return fmt.Errorf("%d groups are led", led)
	}
	return nil
}

// TestStoresComeAndGoByThemselves exchanges one store after another: by a machine at
// another address, by a lost disk at the same one, and by one more and one less. A store
// is lost as soon as the one before has been made up for.
func TestStoresComeAndGoByThemselves(t *testing.T) {
	simulate(t, byThemselves(3, 3), func(t *testing.T, cluster *Cluster) {
		said := cluster.dialogues(t, 8)
		<-time.After(6 * time.Second) // archived
		stop := cluster.callers(100 * time.Millisecond)
		defer stop()
		random := cluster.Random(31)
		await := func(timeout time.Duration, what string, machines ...*Machine) {
			t.Helper()
			began := time.Now()
			if err := cluster.Await(timeout, what, func() error { return cluster.viewReplicasAre(machines...) }); err != nil {
				t.Fatal(err)
			}
			t.Logf("%s: %s", what, time.Since(began))
		}
		for round := range 4 {
			at := random.IntN(3)
			lost := cluster.Stores[at]
			lost.LosePower()
			<-time.After(time.Duration(random.IntN(3000)) * time.Millisecond)
			fresh := cluster.AddStore(3 + 3*round + at) // the same domain
			if round%2 == 1 {
				fresh = lost
				fresh.Wipe()
			}
			cluster.Stores[at] = fresh
			if err := fresh.Start(); err != nil {
				t.Fatal(err)
			}
			await(4500*time.Millisecond, fmt.Sprintf("round %d: all groups on the new store", round), cluster.Stores...)
		}
		// One more: it gets its share. One less: the others make up for it.
		more := cluster.AddStore(30)
		if err := more.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Stores = append(cluster.Stores, more)
		if err := cluster.Await(3*time.Second, "share for the fourth store", func() error {
			if len(more.Store.Host().Statuses()) < 8 {
				return fmt.Errorf("it has %d groups", len(more.Store.Host().Statuses()))
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		await(6*time.Second, "one store more", cluster.Stores...)
		cluster.Stores[1].LosePower()
		left := slices.Delete(slices.Clone(cluster.Stores), 1, 2)
		cluster.Stores = left
		await(16*time.Second, "one store less", left...)
		// The last copies are never given up.
		left[2].LosePower()
		<-time.After(20 * time.Second)
		reported, err := cluster.fleet()
		if err != nil || len(reported.Stores) != 3 {
			t.Fatalf("stores: %v (%v)", reported.Stores, err)
		}
		if err := left[2].Start(); err != nil {
			t.Fatal(err)
		}
		await(6*time.Second, "the third store is back", left...)
		if err := cluster.AwaitServing(6 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, said)
	})
}

// votingControls returns the control nodes that vote, by the leader's word.
func (cluster *Cluster) votingControls() []string {
	for _, machine := range cluster.Controls {
		if machine.Control != nil && machine.Control.IsLeader() {
			view := machine.Control.View()
			hosts := []string{}
			for _, member := range view.Controls {
				hosts = append(hosts, hostOf(member.Address)+" "+member.Name)
			}
			return hosts
		}
	}
	return nil
}

// TestControlNodesAreReplacedOneAfterAnother loses a control node for good, lets an empty
// one come at another address or the same, and loses the next as soon as that one votes.
func TestControlNodesAreReplacedOneAfterAnother(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("of-%d", size), func(t *testing.T) {
			shape := byThemselves(size, 3)
			shape.Adjust = func(_ *Cluster, settings *controlplane.Settings) {
				settings.MaxControls = size
			}
			simulate(t, shape, func(t *testing.T, cluster *Cluster) {
				joins := false
				cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) {
					settings.MaxControls, settings.JoinExisting = size, joins
				}
				joins = true
				random := cluster.Random(33)
				for round := range 5 {
					mark := fmt.Sprintf("round %d", round)
					if err := cluster.PutConfig(BasicConfig + "// " + mark + "\n"); err != nil {
						t.Fatal(err)
					}
					at := random.IntN(size)
					if round == 1 { // the leader
						at = slices.IndexFunc(cluster.Controls, func(machine *Machine) bool { return machine.Control.IsLeader() })
					}
					lost := cluster.Controls[at]
					lost.LosePower()
					<-time.After(time.Duration(random.IntN(1500)) * time.Millisecond)
					fresh := cluster.AddControl(size + round)
					if round%2 == 1 {
						fresh = lost
						fresh.Wipe()
					}
					cluster.Controls[at] = fresh
					if lost != fresh {
						for seed, address := range cluster.seeds {
							if hostOf(address) == lost.Host {
								cluster.seeds = slices.Clone(cluster.seeds)
								cluster.seeds[seed] = fresh.Host + ":7000"
							}
						}
					}
					if err := fresh.Start(); err != nil {
						t.Fatal(err)
					}
					began := time.Now()
					if err := cluster.Await(4500*time.Millisecond, "new voter", func() error {
						voting := cluster.votingControls()
						if len(voting) != size || !slices.Contains(voting, fresh.Host+" "+fresh.Control.Name()) {
							return fmt.Errorf("voting: %v", voting)
						}
						return nil
					}); err != nil {
						t.Fatalf("round %d: %v", round, err)
					}
					t.Logf("round %d: the new control node votes after %s", round, time.Since(began))
					cluster.wantConfig(t, mark)
				}
			})
		})
	}
}

// TestTurnsAreNeverUnknownWhileStoresAreReplaced has programs take turn after turn, and
// others go on from them, while one store after another loses its disk.
func TestTurnsAreNeverUnknownWhileStoresAreReplaced(t *testing.T) {
	simulate(t, byThemselves(3, 3), func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		turn := func(program, name, follows, history string) bool {
			limited, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			wanted := programTurn(program, name, follows)
			wanted.HasTokenQuota = false
			begun, err := client.BeginTurn(limited, wanted)
			if apierror.Is(err, apierror.NotFound) {
				t.Errorf("%s: turn %s goes on from %s, which was answered whole: %v", program, name, follows, err)
			}
			if err != nil {
				return false
			}
			if string(begun.History) != history {
				t.Errorf("%s: turn %s has the history %q, not %q", program, name, begun.History, history)
			}
			return client.EndTurn(limited, programTurnEnd(program, name, sessionlog.OutcomeComplete, begun.Seq, 10)) == nil
		}
		var taking sync.WaitGroup
		taken := atomic.Int64{}
		for number := range 6 {
			taking.Go(func() {
				program, follows, history := fmt.Sprintf("p%d", number), "", ""
				for step := 0; ctx.Err() == nil; step++ {
					name := fmt.Sprintf("%d-%d", number, step)
					if !turn(program, name, follows, history) {
						continue
					}
					follows, history = name, history+complete(name)
					taken.Add(1)
					if step%5 == 0 { // another program goes on from it
						turn(fmt.Sprintf("%s-%d", program, step), name+"-other", follows, history)
					}
					if len(history) > 2000 {
						program, follows, history = fmt.Sprintf("%s-%d-on", program, step), "", ""
					}
					<-time.After(100 * time.Millisecond)
				}
			})
		}
		random := cluster.Random(43)
		for range 4 {
			<-time.After(time.Duration(3000+random.IntN(3000)) * time.Millisecond)
			lost := cluster.Stores[random.IntN(3)]
			lost.LosePower()
			lost.Wipe()
			<-time.After(time.Duration(500+random.IntN(1500)) * time.Millisecond)
			if err := lost.Start(); err != nil {
				t.Fatal(err)
			}
			if err := cluster.Await(4500*time.Millisecond, "all groups whole", func() error { return cluster.viewReplicasAre(cluster.Stores...) }); err != nil {
				t.Fatal(err)
			}
		}
		cancel()
		taking.Wait()
		if taken.Load() < 400 {
			t.Fatalf("only %d turns were taken", taken.Load())
		}
	})
}
