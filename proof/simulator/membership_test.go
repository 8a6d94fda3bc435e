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

// followFeed starts clients that follow the feed from different hosts, as fronts do.
func (cluster *Cluster) followFeed(t *testing.T, count int) []*feedclient.Client {
	clients := []*feedclient.Client{}
	for position := range count {
		host := fmt.Sprintf("10.8.1.%d", position+1)
		caller := link.NewClient(cluster.Network.At(host))
		following := feedclient.Start(caller, feed.Member{Name: host, Role: feed.RoleFront, Address: host + ":1"}, cluster.seeds, nil, func(*feed.View) error { return nil })
		t.Cleanup(func() { following.Stop(); caller.Close() })
		clients = append(clients, following)
	}
	return clients
}

// awaitViews waits until all clients have a fresh view that matches, and returns how long that took.
func awaitViews(t *testing.T, timeout time.Duration, clients []*feedclient.Client, what string, matches func(view *feed.View) bool) time.Duration {
	t.Helper()
	began := time.Now()
	behind := func(client *feedclient.Client) bool {
		view, err := client.Fresh()
		return err != nil || !matches(view)
	}
	for slices.ContainsFunc(clients, behind) {
		if time.Since(began) > timeout {
			t.Fatalf("%s: did not reach all clients within %s", what, timeout)
		}
		<-time.After(10 * time.Millisecond)
	}
	return time.Since(began)
}

func stateOf(view *feed.View, incarnation string) string {
	for _, runner := range view.Runners {
		if runner.Incarnation == incarnation {
			return runner.State
		}
	}
	return ""
}

func TestRunnerListReachesAllFrontsPromptly(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 2, Applications: 2, Engines: 1}, func(t *testing.T, cluster *Cluster) {
		source := cluster.RunnerList
		const maxPropagation = 1300 * time.Millisecond // a poll, a commit and a feed poll of the clients
		runner := func(incarnation, state string, warmUpLeft time.Duration) feed.Runner {
			return feed.Runner{Incarnation: incarnation, Address: "10.0.3.1:8000", Group: "small", Domain: "east", State: state, WarmUpLeft: warmUpLeft, Slots: 4}
		}
		other := feed.Runner{Incarnation: "other", Address: "10.0.3.2:8000", Group: "small", Domain: "west", State: feed.StateServing}
		clients := cluster.followFeed(t, 6)
		source.Put([]feed.Runner{other, runner("one", feed.StateWarmingUp, 4*time.Second)})
		awaitViews(t, maxPropagation, clients, "a runner that is warming up", func(view *feed.View) bool {
			return stateOf(view, "one") == feed.StateWarmingUp && stateOf(view, "other") != ""
		})
		number, polls := cluster.Controls[0].Control.View().Number, source.Polls()
		<-time.After(2 * time.Second)
		if now := cluster.Controls[0].Control.View().Number; now != number {
			t.Fatalf("the feed went from %d to %d although no runner changed its state", number, now)
		}
		if polls = source.Polls() - polls; polls < 3 || polls > 5 {
			t.Fatalf("the list was polled %d times in 2 s", polls)
		}
		source.Put([]feed.Runner{other, runner("one", feed.StateWarmingUp, 6*time.Second)}) // longer than before
		awaitViews(t, maxPropagation, clients, "a longer warm-up", func(view *feed.View) bool {
			return slices.ContainsFunc(view.Runners, func(runner feed.Runner) bool { return runner.WarmUpLeft > 5*time.Second })
		})
		<-time.After(4500 * time.Millisecond)
		awaitViews(t, maxPropagation+500*time.Millisecond, clients, "the end of a warm-up", func(view *feed.View) bool { return stateOf(view, "one") == feed.StateServing })
		// Runner changes propagate without a majority of the stores.
		for _, store := range cluster.Stores[:2] {
			cluster.Network.Isolate(store.Host)
		}
		source.Put([]feed.Runner{other, runner("one", feed.StateDraining, 0)})
		t.Logf("draining reached all clients without a store majority after %s", awaitViews(t, maxPropagation, clients, "a draining runner", func(view *feed.View) bool { return stateOf(view, "one") == feed.StateDraining }))
		source.Put([]feed.Runner{runner("two", feed.StateServing, 0), other})
		awaitViews(t, maxPropagation, clients, "another incarnation at the same address", func(view *feed.View) bool {
			return stateOf(view, "one") == "" && stateOf(view, "two") == feed.StateServing
		})
		for _, store := range cluster.Stores[:2] {
			cluster.Network.Rejoin(store.Host)
		}
		// An error of the source removes no runner, and its retry delay is honored.
		source.Fail(apierror.NewRetryable(apierror.Unavailable, "too often", "later", 5*time.Second))
		<-time.After(time.Second)
		polls = source.Polls()
		<-time.After(3 * time.Second)
		if source.Polls() != polls || stateOf(cluster.Controls[0].Control.View(), "two") != feed.StateServing {
			t.Fatalf("polled %d times during the retry delay, or runners were removed: %+v", source.Polls()-polls, cluster.Controls[0].Control.View().Runners)
		}
		source.Fail(nil)
		<-time.After(5 * time.Second)
		// The owner of the runner discovery role fails as the list changes.
		for round := range 3 {
			lease := cluster.Controls[0].Control.View().RoleLeaseOf(controlplane.RunnerDiscoveryRole)
			at := slices.IndexFunc(cluster.Controls, func(machine *Machine) bool { return machine.Control.Name() == lease.Holder })
			owner := cluster.Controls[at]
			if round == 0 {
				owner.Kill()
			} else {
				cluster.Network.Isolate(owner.Host)
			}
			incarnation := fmt.Sprintf("after-%d", round)
			source.Put([]feed.Runner{runner(incarnation, feed.StateDraining, 0)})
			t.Logf("round %d: draining reached all clients %s after the owner failed", round, awaitViews(t, 2700*time.Millisecond, clients, "a change while the role owner fails", func(view *feed.View) bool { return stateOf(view, incarnation) == feed.StateDraining }))
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

// autoEnrolShape is the shape of a fleet that enrols machines automatically.
func autoEnrolShape(controls, stores int) Shape {
	return Shape{Controls: controls, Stores: stores, Fronts: 2, Models: 2, Applications: 2, Groups: 32, AutoEnrol: true}
}

// checkReplicasOn returns nil if every group has a leader and three voters, all of them on the given
// machines, and no membership change is pending.
func (cluster *Cluster) checkReplicasOn(machines ...*Machine) error {
	storeNames, led := []string{}, 0
	for _, machine := range machines {
		storeNames = append(storeNames, machine.Store.Name())
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
				return fmt.Errorf("group %d has members %v, change pending: %v", group, status.Membership, status.MembershipChangePending)
			}
			for _, voter := range status.Membership.Voters {
				if !slices.Contains(storeNames, voter) {
					return fmt.Errorf("group %d, led by %s in term %d, has voter %s in %v", group, machine.Host, status.Term, voter, status.Membership)
				}
			}
		}
	}
	if led != int(cluster.groups) {
		return fmt.Errorf("%d groups have a leader", led)
	}
	return nil
}

// TestStoresAreReplacedAutomatically replaces stores with machines at other addresses and with
// wiped disks at the same address, then adds and removes one. Each store is lost as soon as the
// groups of the one before have three replicas again.
func TestStoresAreReplacedAutomatically(t *testing.T) {
	simulate(t, autoEnrolShape(3, 3), func(t *testing.T, cluster *Cluster) {
		conversations := cluster.startConversations(t, 8)
		<-time.After(6 * time.Second) // until they are archived
		stop := cluster.startLoad(100 * time.Millisecond)
		defer stop()
		random := cluster.Random(31)
		await := func(timeout time.Duration, what string, machines ...*Machine) {
			t.Helper()
			began := time.Now()
			if err := cluster.Await(timeout, what, func() error { return cluster.checkReplicasOn(machines...) }); err != nil {
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
		// An additional store gets its share of the groups; the others take over those of a lost one.
		more := cluster.AddStore(30)
		if err := more.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Stores = append(cluster.Stores, more)
		if err := cluster.Await(3*time.Second, "groups on the fourth store", func() error {
			if len(more.Store.Host().Statuses()) < 8 {
				return fmt.Errorf("it has %d groups", len(more.Store.Host().Statuses()))
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		await(6*time.Second, "all groups on four stores", cluster.Stores...)
		cluster.Stores[1].LosePower()
		left := slices.Delete(slices.Clone(cluster.Stores), 1, 2)
		cluster.Stores = left
		await(16*time.Second, "all groups on the remaining stores", left...)
		// No store is removed when too few would remain.
		left[2].LosePower()
		<-time.After(20 * time.Second)
		reported, err := cluster.fleet()
		if err != nil || len(reported.Stores) != 3 {
			t.Fatalf("stores: %v (%v)", reported.Stores, err)
		}
		if err := left[2].Start(); err != nil {
			t.Fatal(err)
		}
		await(6*time.Second, "all groups after the third store's return", left...)
		if err := cluster.AwaitServing(6 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, conversations)
	})
}

// votingControls returns the hosts and names of the voting control nodes in the leader's view.
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

// TestControlNodesAreReplacedOneAfterAnother replaces a lost control node with an empty one at
// another or the same address, and loses the next as soon as that one votes.
func TestControlNodesAreReplacedOneAfterAnother(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("of-%d", size), func(t *testing.T) {
			shape := autoEnrolShape(size, 3)
			shape.Adjust = func(_ *Cluster, settings *controlplane.Settings) {
				settings.MaxControls = size
			}
			simulate(t, shape, func(t *testing.T, cluster *Cluster) {
				joinExisting := false
				cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) {
					settings.MaxControls, settings.JoinExisting = size, joinExisting
				}
				joinExisting = true
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
							return fmt.Errorf("voters: %v", voting)
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

// TestTurnsAreNeverUnknownWhileStoresAreReplaced runs programs whose turns follow each other, and
// others that continue from them, while one store after another loses its disk.
func TestTurnsAreNeverUnknownWhileStoresAreReplaced(t *testing.T) {
	simulate(t, autoEnrolShape(3, 3), func(t *testing.T, cluster *Cluster) {
		client, end := cluster.storeClient("10.8.0.1")
		defer end()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		turn := func(program, name, follows, history string) bool {
			turnCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			request := programTurn(program, name, follows)
			request.HasTokenQuota = false
			begun, err := client.BeginTurn(turnCtx, request)
			if apierror.Is(err, apierror.NotFound) {
				t.Errorf("%s: turn %s follows the completed turn %s: %v", program, name, follows, err)
			}
			if err != nil {
				return false
			}
			if string(begun.History) != history {
				t.Errorf("%s: turn %s has history %q, want %q", program, name, begun.History, history)
			}
			return client.EndTurn(turnCtx, programTurnEnd(program, name, sessionlog.OutcomeComplete, begun.Seq, 10)) == nil
		}
		var programs sync.WaitGroup
		completed := atomic.Int64{}
		for number := range 6 {
			programs.Go(func() {
				program, follows, history := fmt.Sprintf("p%d", number), "", ""
				for step := 0; ctx.Err() == nil; step++ {
					name := fmt.Sprintf("%d-%d", number, step)
					if !turn(program, name, follows, history) {
						continue
					}
					follows, history = name, history+completeTurnText(name)
					completed.Add(1)
					if step%5 == 0 { // another program continues from it
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
			if err := cluster.Await(4500*time.Millisecond, "three replicas of all groups", func() error { return cluster.checkReplicasOn(cluster.Stores...) }); err != nil {
				t.Fatal(err)
			}
		}
		cancel()
		programs.Wait()
		if completed.Load() < 400 {
			t.Fatalf("only %d turns were completed", completed.Load())
		}
	})
}
