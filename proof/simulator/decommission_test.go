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

// fourStoreShape enrols stores automatically. Three replicas per group fit on three stores, so one
// store may be decommissioned.
var fourStoreShape = Shape{Controls: 3, Stores: 4, Fronts: 2, Models: 2, Applications: 2, AutoEnrol: true}

func (cluster *Cluster) beginDecommission(from int, machineName string) error {
	return cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
		return node.BeginDecommission(ctx, "root", machineName, 10*time.Second)
	})
}

func (cluster *Cluster) decommissionState(from int, machineName string) (state string, err error) {
	err = cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) (err error) {
		state, err = node.DecommissionState(ctx, machineName)
		return err
	})
	return state, err
}

// awaitStores waits until count stores are listed and every group has all its replicas.
func (cluster *Cluster) awaitStores(t *testing.T, count int) {
	t.Helper()
	err := cluster.Await(30*time.Second, "all stores listed", func() error {
		reported, err := cluster.fleet()
		if err == nil && (len(reported.Stores) != count || reported.Unhealed > 0) {
			err = errors.New("stores are missing or groups lack replicas")
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (cluster *Cluster) awaitDecommissioned(t *testing.T, machineName string) {
	t.Helper()
	began := time.Now()
	err := cluster.Await(30*time.Second, "decommissioned machine", func() error {
		state, err := cluster.decommissionState(int(time.Since(began)/time.Second), machineName)
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
	t.Logf("decommissioned in %s", time.Since(began))
}

// checkRepeatedDecommission repeats a completed decommission request, which
// must be acknowledged without effect.
func (cluster *Cluster) checkRepeatedDecommission(t *testing.T, machineName string) {
	t.Helper()
	if err := cluster.beginDecommission(2, machineName); err != nil {
		t.Fatalf("repeated request after completion: %v", err)
	}
	if state, err := cluster.decommissionState(0, machineName); err != nil || state != feed.StateDecommissioned {
		t.Fatalf("state after completion: %s %v", state, err)
	}
}

// TestDecommissionSurvivesControlLeaderCrash kills the control leader that accepted the request.
// As soon as the decommission is reported complete it removes the machine and cuts the power of
// another store; no data may be lost.
func TestDecommissionSurvivesControlLeaderCrash(t *testing.T) {
	simulate(t, fourStoreShape, func(t *testing.T, cluster *Cluster) {
		cluster.awaitStores(t, 4)
		answers := cluster.startConversations(t, 6)
		stop := cluster.startLoad(100 * time.Millisecond)
		defer stop()
		if err := cluster.beginDecommission(0, "storage unknown"); !apierror.Is(err, apierror.NotFound) {
			t.Fatalf("decommission of an unknown machine: %v", err)
		}
		index := cluster.Random(13).IntN(4)
		leaving := cluster.Stores[index]
		machineName := "storage " + leaving.Host
		if _, err := cluster.decommissionState(1, machineName); !apierror.Is(err, apierror.NotFound) {
			t.Fatalf("state of a machine that is not being decommissioned: %v", err)
		}
		if err := cluster.beginDecommission(0, machineName); err != nil {
			t.Fatal(err)
		}
		killed := cluster.leader()
		killed.Kill()
		for from := range cluster.Controls {
			if err := cluster.beginDecommission(from, machineName); err != nil {
				t.Fatalf("repeated request: %v", err)
			}
		}
		remaining := slices.Delete(slices.Clone(cluster.Stores), index, index+1)
		if err := cluster.beginDecommission(1, "storage "+remaining[0].Host); !apierror.Is(err, apierror.Conflict) {
			t.Fatalf("decommission of one of the last three stores: %v", err)
		}
		cluster.awaitDecommissioned(t, machineName)
		if cluster.Seed%2 == 0 {
			<-time.After(5 * time.Second) // the running store must not be enrolled again
		}
		leaving.Kill()
		leaving.Wipe()
		remaining[1].LosePower()
		if err := killed.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Stores = remaining
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, answers)
		cluster.checkRepeatedDecommission(t, machineName)
		if err := remaining[1].Start(); err != nil {
			t.Fatal(err)
		}
		reported, err := cluster.fleet()
		if err != nil || len(reported.Stores) != 3 {
			t.Fatalf("fleet is %+v (%v), want 3 stores", reported, err)
		}
	})
}

// TestDecommissionCompletesAfterMachineOrDiskLoss loses the machine, or only its disk,
// while it is decommissioned: its replicas must be rebuilt from the other stores before the
// decommission completes.
func TestDecommissionCompletesAfterMachineOrDiskLoss(t *testing.T) {
	for name, restarts := range map[string]bool{"machine": false, "disk": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, fourStoreShape, func(t *testing.T, cluster *Cluster) {
				cluster.awaitStores(t, 4)
				answers := cluster.startConversations(t, 6)
				index := cluster.Random(14).IntN(4)
				leaving := cluster.Stores[index]
				machineName := "storage " + leaving.Host
				if err := cluster.beginDecommission(0, machineName); err != nil {
					t.Fatal(err)
				}
				leaving.Kill()
				leaving.Wipe()
				if restarts {
					if err := leaving.Start(); err != nil {
						t.Fatal(err)
					}
				}
				cluster.awaitDecommissioned(t, machineName)
				leaving.Kill()
				cluster.Stores = slices.Delete(slices.Clone(cluster.Stores), index, index+1)
				cluster.Stores[cluster.Random(15).IntN(3)].Kill()
				if err := cluster.AwaitServing(12 * time.Second); err != nil {
					t.Fatal(err)
				}
				cluster.followUp(t, answers)
			})
		})
	}
}

// storeLackedByAGroup returns a store that is not a replica of all groups, and the other stores. The first
// and the fourth store are in one domain, and each group has a replica on one of them.
func (cluster *Cluster) storeLackedByAGroup() (lacked *Machine, others []*Machine) {
	lacked = cluster.Stores[3]
	hasGroup := func(group uint32) bool {
		status, found := lacked.Store.Host().Status(group)
		return found && slices.Contains(status.Membership.Voters, lacked.Store.Name())
	}
	lacksGroup := false
	for group := range uint32(cluster.groups) {
		lacksGroup = lacksGroup || !hasGroup(group)
	}
	if !lacksGroup {
		lacked = cluster.Stores[0]
	}
	others = slices.DeleteFunc(slices.Clone(cluster.Stores), func(machine *Machine) bool { return machine == lacked })
	return lacked, others
}

// TestDecommissionWaitsForAnAbsentStore checks that a decommission does not complete while one of
// the three remaining stores is down and must become a replica of a group.
func TestDecommissionWaitsForAnAbsentStore(t *testing.T) {
	simulate(t, fourStoreShape, func(t *testing.T, cluster *Cluster) {
		cluster.awaitStores(t, 4)
		answers := cluster.startConversations(t, 6)
		unavailable, others := cluster.storeLackedByAGroup()
		unavailable.Kill()
		leaving := others[cluster.Random(16).IntN(len(others))]
		machineName := "storage " + leaving.Host
		if err := cluster.beginDecommission(0, machineName); err != nil {
			t.Fatal(err)
		}
		for range 15 {
			if state, err := cluster.decommissionState(1, machineName); err != nil || state != feed.StateDecommissioning {
				t.Fatalf("state while the third store is down: %s %v", state, err)
			}
			<-time.After(time.Second)
		}
		if err := unavailable.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.awaitDecommissioned(t, machineName)
		leaving.Kill()
		cluster.Stores = slices.DeleteFunc(cluster.Stores, func(machine *Machine) bool { return machine == leaving })
		cluster.Stores[0].Kill()
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, answers)
	})
}
