package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
)

// TestOperatorsRequestsAcknowledgedBeforeLossOfAllMachinesStay kills all machines, or has them lose
// power, right after an operator has the acknowledgement of a request: of each kind, through any
// control node, while what the machines send each other and what they write is delayed.
func TestOperatorsRequestsAcknowledgedBeforeLossOfAllMachinesStay(t *testing.T) {
	const rounds = 8
	simulate(t, fourStoreShape, func(t *testing.T, cluster *Cluster) {
		cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) { settings.JoinExisting = true }
		random := cluster.Random(33)
		orders := &operatorOrders{cluster: cluster}
		for round := range rounds {
			cluster.delayLinksAndDisks(random, 40*time.Millisecond)
			if err := orders.request(round, random.IntN(len(cluster.Controls))); err != nil {
				t.Fatalf("round %d: %v", round, err)
			}
			cluster.stopAll(random.IntN(2), "")
			cluster.delayLinksAndDisks(random, time.Millisecond)
			cluster.startAll(t)
			orders.check(t, round)
		}
	})
}

// delayLinksAndDisks delays what controls and stores send each other, and their syncs, by up to a bound.
func (cluster *Cluster) delayLinksAndDisks(random *rand.Rand, bound time.Duration) {
	for _, from := range cluster.Machines() {
		if from.Disk != nil {
			from.Disk.Slow(time.Duration(random.Int64N(int64(bound))))
		}
		for _, to := range cluster.Machines() {
			if from != to && from.Disk != nil && to.Disk != nil {
				cluster.Network.Slow(from.Host, to.Host, time.Duration(random.Int64N(int64(bound))))
			}
		}
	}
}

// operatorOrders are the acknowledged requests of an operator.
type operatorOrders struct {
	cluster   *Cluster
	revision  uint64
	drained   bool
	retired   string // the machine whose decommission began
	completed bool   // a control node reported that it is completed
}

// request sends the next request to a control node until it is acknowledged.
func (orders *operatorOrders) request(round, from int) error {
	cluster := orders.cluster
	return cluster.Await(10*time.Second, "acknowledgement", func() error {
		switch round % 4 {
		case 0, 2:
			if err := cluster.replaceRouting(from, orders.revision, oneRoute(orders.revision+1, time.Second), fmt.Sprint(round)); err != nil {
				return err
			}
			orders.revision++
		case 1:
			state := feed.StateDrained
			if orders.drained {
				state = feed.StateServing
			}
			if err := cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
				return node.SetDomainState(ctx, "root", "east", state)
			}); err != nil {
				return err
			}
			orders.drained = !orders.drained
		case 3:
			return orders.decommission(from)
		}
		return nil
	})
}

// decommission begins to decommission a store, or reads whether that is completed.
func (orders *operatorOrders) decommission(from int) error {
	if orders.retired == "" {
		machine := "storage " + orders.cluster.Stores[0].Host
		if err := orders.cluster.beginDecommission(from, machine); err != nil {
			return err
		}
		orders.retired = machine
		return nil
	}
	state, err := orders.cluster.decommissionState(from, orders.retired)
	if err == nil && state != feed.StateDecommissioned {
		err = fmt.Errorf("the decommission is %s", state)
	}
	orders.completed = err == nil
	return err
}

// check checks that all that was acknowledged is in force.
func (orders *operatorOrders) check(t *testing.T, round int) {
	t.Helper()
	cluster := orders.cluster
	if read := cluster.mustReadRouting(t, 12*time.Second); read.Revision != orders.revision {
		t.Errorf("round %d: revision %d is read, %d was acknowledged", round, read.Revision, orders.revision)
	}
	if err := cluster.Await(12*time.Second, "control leader", cluster.checkControlLeader); err != nil {
		t.Fatal(err)
	}
	if view := cluster.leader().Control.View(); view.DomainDrained("east") != orders.drained {
		t.Errorf("round %d: the domain is drained %t, acknowledged was %t", round, view.DomainDrained("east"), orders.drained)
	}
	if orders.retired == "" {
		return
	}
	var state string
	if err := cluster.Await(12*time.Second, "state of the decommission", func() (err error) {
		state, err = cluster.decommissionState(0, orders.retired)
		return err
	}); err != nil || orders.completed && state != feed.StateDecommissioned {
		t.Errorf("round %d: the decommission is %s, completed %t, %v", round, state, orders.completed, err)
	}
}
