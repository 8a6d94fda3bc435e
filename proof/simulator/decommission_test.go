package simulator

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
)

// fourStores keep themselves, so that one may go.
var fourStores = Shape{Controls: 3, Stores: 4, Fronts: 2, Models: 2, Applications: 2, AutoEnrol: true}

func (cluster *Cluster) beginRetire(from int, machine string) error {
	return cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
		return node.BeginDecommission(ctx, "root", machine, 10*time.Second)
	})
}

func (cluster *Cluster) retireState(from int, machine string) (state string, err error) {
	err = cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) (err error) {
		state, err = node.DecommissionState(ctx, machine)
		return err
	})
	return state, err
}

// awaitStores waits until that many stores are listed and no group waits to be healed.
func (cluster *Cluster) awaitStores(t *testing.T, count int) {
	t.Helper()
	err := cluster.Await(30*time.Second, "all stores listed", func() error {
		reported, err := cluster.fleet()
		if err == nil && (len(reported.Stores) != count || reported.Unhealed > 0) {
			err = errors.New("not yet")
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (cluster *Cluster) awaitRetired(t *testing.T, machine string) {
	t.Helper()
	began := time.Now()
	err := cluster.Await(30*time.Second, "retired machine", func() error {
		state, err := cluster.retireState(int(time.Since(began)/time.Second), machine)
		if err == nil && state != feed.StateDecommissioned {
			err = errors.New(state)
		}
		if apierror.Is(err, apierror.NotFound) {
			t.Fatal(err)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("retired in %s", time.Since(began))
}

// retireAfterTheEnd sends the order once more, which is acknowledged and changes nothing.
func (cluster *Cluster) retireAfterTheEnd(t *testing.T, machine string) {
	t.Helper()
	if err := cluster.beginRetire(2, machine); err != nil {
		t.Fatalf("the same order after its end: %v", err)
	}
	if state, err := cluster.retireState(0, machine); err != nil || state != feed.StateDecommissioned {
		t.Fatalf("at the end: %s %v", state, err)
	}
}

// TestMachineIsDecommissionedThoughTheLeaderDies has the leader that took the order killed,
// then takes the machine away the moment it is reported as finished, and another store with it.
func TestMachineIsDecommissionedThoughTheLeaderDies(t *testing.T) {
	simulate(t, fourStores, func(t *testing.T, cluster *Cluster) {
		cluster.awaitStores(t, 4)
		said := cluster.startConversations(t, 6)
		stop := cluster.callers(100 * time.Millisecond)
		defer stop()
		if err := cluster.beginRetire(0, "storage unknown"); !apierror.Is(err, apierror.NotFound) {
			t.Fatalf("an unknown machine: %v", err)
		}
		at := cluster.Random(13).IntN(4)
		old := cluster.Stores[at]
		machine := "storage " + old.Host
		if _, err := cluster.retireState(1, machine); !apierror.Is(err, apierror.NotFound) {
			t.Fatalf("a machine that nobody retires: %v", err)
		}
		if err := cluster.beginRetire(0, machine); err != nil {
			t.Fatal(err)
		}
		killed := cluster.leader()
		killed.Kill()
		for from := range cluster.Controls {
			if err := cluster.beginRetire(from, machine); err != nil {
				t.Fatalf("the same order again: %v", err)
			}
		}
		others := slices.Delete(slices.Clone(cluster.Stores), at, at+1)
		if err := cluster.beginRetire(1, "storage "+others[0].Host); !apierror.Is(err, apierror.Conflict) {
			t.Fatalf("one of the last three: %v", err)
		}
		cluster.awaitRetired(t, machine)
		if cluster.Seed%2 == 0 {
			<-time.After(5 * time.Second) // it is not enrolled again though it runs
		}
		old.Kill()
		old.Wipe()
		others[1].LosePower()
		if err := killed.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Stores = others
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, said)
		cluster.retireAfterTheEnd(t, machine)
		if err := others[1].Start(); err != nil {
			t.Fatal(err)
		}
		reported, err := cluster.fleet()
		if err != nil || len(reported.Stores) != 3 {
			t.Fatalf("%+v %v", reported, err)
		}
	})
}

// TestMachineThatDiesDuringDecommissionEndsRetired loses the machine, or only its disk,
// in the midst of it: what it held is made up for from the others before it is finished.
func TestMachineThatDiesDuringDecommissionEndsRetired(t *testing.T) {
	for name, comesBack := range map[string]bool{"machine": false, "disk": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, fourStores, func(t *testing.T, cluster *Cluster) {
				cluster.awaitStores(t, 4)
				said := cluster.startConversations(t, 6)
				at := cluster.Random(14).IntN(4)
				old := cluster.Stores[at]
				machine := "storage " + old.Host
				if err := cluster.beginRetire(0, machine); err != nil {
					t.Fatal(err)
				}
				old.Kill()
				old.Wipe()
				if comesBack {
					if err := old.Start(); err != nil {
						t.Fatal(err)
					}
				}
				cluster.awaitRetired(t, machine)
				old.Kill()
				cluster.Stores = slices.Delete(slices.Clone(cluster.Stores), at, at+1)
				cluster.Stores[cluster.Random(15).IntN(3)].Kill()
				if err := cluster.AwaitServing(12 * time.Second); err != nil {
					t.Fatal(err)
				}
				cluster.followUp(t, said)
			})
		})
	}
}

// TestDecommissionWaitsForAnAbsentStore: while one of the three that stay is down, the
// groups that need it still need the machine that is to go.
func TestDecommissionWaitsForAnAbsentStore(t *testing.T) {
	simulate(t, fourStores, func(t *testing.T, cluster *Cluster) {
		cluster.awaitStores(t, 4)
		said := cluster.startConversations(t, 6)
		away := cluster.Stores[3]
		away.Kill()
		old := cluster.Stores[cluster.Random(16).IntN(3)]
		machine := "storage " + old.Host
		if err := cluster.beginRetire(0, machine); err != nil {
			t.Fatal(err)
		}
		for range 15 {
			if state, err := cluster.retireState(1, machine); err != nil || state != feed.StateDecommissioning {
				t.Fatalf("without the third store: %s %v", state, err)
			}
			<-time.After(time.Second)
		}
		if err := away.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.awaitRetired(t, machine)
		old.Kill()
		cluster.Stores = slices.DeleteFunc(cluster.Stores, func(machine *Machine) bool { return machine == old })
		cluster.Stores[0].Kill()
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, said)
	})
}
