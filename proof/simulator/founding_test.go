package simulator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

func TestAllThreeSeedMachinesAreReplacedOneAfterAnother(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		conversations := cluster.startConversations(t, 3)
		for index := range 3 {
			cluster.replaceSeedMachine(t, index)
			if _, err := cluster.Turn(cluster.Fronts[index%2], map[string]any{"program": "dialogue", "kind": "talk", "words": "still there"}); err != nil {
				t.Fatal(err)
			}
		}
		// A total outage follows at once. With even seeds the settings of the machines still
		// name the old seed nodes, which are gone.
		if cluster.Seed%2 == 0 {
			cluster.seeds = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
		}
		cluster.restartAllButFronts(t)
		cluster.seeds = []string{"10.0.0.4:7000", "10.0.0.5:7000", "10.0.0.6:7000"}
		for _, front := range cluster.Fronts {
			if err := front.Start(); err != nil {
				t.Fatal(err)
			}
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		// A running process keeps working with the old seed nodes; one that starts needs the new ones.
		cluster.Fronts[0].Kill()
		if err := cluster.Fronts[0].Start(); err != nil {
			t.Fatal(err)
		}
		if err := cluster.PutConfig(BasicConfig + "// exchanged\n"); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, conversations)
	})
}

// replaceSeedMachine replaces a seed machine with an empty one at another address, and waits until
// that has taken its place in the control group.
func (cluster *Cluster) replaceSeedMachine(t *testing.T, index int) {
	t.Helper()
	old := cluster.Controls[index]
	old.Kill()
	old.Wipe()
	fresh := cluster.AddControl(3 + index)
	cluster.seeds[index] = fresh.Host + ":7000" // for all nodes that start from now on
	if err := fresh.Start(); err != nil {
		t.Fatal(err)
	}
	cluster.Controls[index] = fresh
	err := cluster.Await(60*time.Second, "replacement control node", func() error {
		reported, err := cluster.fleet()
		if err != nil {
			return err
		}
		isListed := func(host string) bool {
			return slices.ContainsFunc(reported.Controls, func(member feed.Member) bool { return strings.HasPrefix(member.Address, host+":") })
		}
		if len(reported.Controls) != 3 || !isListed(fresh.Host) || isListed(old.Host) {
			return fmt.Errorf("control nodes: %v", reported.Controls)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// restartAllButFronts cuts the power of all machines, starts control nodes and stores again and
// waits until the control plane answers.
func (cluster *Cluster) restartAllButFronts(t *testing.T) {
	t.Helper()
	for _, machine := range cluster.Machines() {
		machine.LosePower()
	}
	startAll(t, slices.Concat(cluster.Controls, cluster.Stores))
	if err := cluster.Await(12*time.Second, "control plane after the outage", func() error {
		_, err := cluster.fleet()
		return err
	}); err != nil {
		t.Fatal(err)
	}
}

// TestFleetBootstrapsOnlyOnceAllSeedsAnswer starts the seed nodes one by one, and later wipes one,
// which must rejoin instead of bootstrapping another fleet.
func TestFleetBootstrapsOnlyOnceAllSeedsAnswer(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		other := &Cluster{Network: NewNetwork(2), Seed: 2, groups: 8, seeds: slices.Clone(cluster.seeds)}
		for index := range 3 {
			other.Controls = append(other.Controls, other.AddControl(index))
		}
		defer func() {
			for _, machine := range other.Controls {
				machine.Kill()
			}
		}()
		for index, machine := range other.Controls {
			for _, running := range other.Controls[:index] {
				if running.Control.View().Number != 0 || running.Control.Ready() {
					t.Fatalf("a fleet was bootstrapped by %d of three seed nodes", index)
				}
			}
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
			<-time.After(8 * time.Second)
		}
		fleet := other.Controls[0].Control.View().Fleet
		for _, machine := range other.Controls {
			if view := machine.Control.View(); view.Fleet == "" || view.Fleet != fleet {
				t.Fatalf("bootstrapped fleets %q and %q", fleet, view.Fleet)
			}
		}
		wiped := other.Controls[2]
		wiped.Kill()
		wiped.Wipe()
		if err := wiped.Start(); err != nil {
			t.Fatal(err)
		}
		<-time.After(20 * time.Second)
		if view := wiped.Control.View(); view.Fleet != fleet {
			t.Fatalf("a wiped seed node is in fleet %q, not %q", view.Fleet, fleet)
		}
	})
}

// TestDataDirectoryOfAnotherFleetIsRejectedAtStart starts a store with the seed nodes of another
// fleet, which must fail, and one whose own control plane has lost its disks, which must not.
func TestDataDirectoryOfAnotherFleetIsRejectedAtStart(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		other := &Cluster{Network: NewNetwork(2), Seed: 2, groups: 8, seeds: slices.Clone(cluster.seeds)}
		for index := range 3 {
			other.Controls = append(other.Controls, other.AddControl(index))
			other.Stores = append(other.Stores, other.AddStore(index))
		}
		defer func() {
			for _, machine := range slices.Concat(other.Controls, other.Stores) {
				machine.Kill()
			}
		}()
		startAll(t, slices.Concat(other.Controls, other.Stores))
		<-time.After(15 * time.Second)
		moved := cluster.Stores[0]
		moved.Kill()
		foreign := other.AddStore(7)
		foreign.Disk, foreign.Archive = moved.Disk, moved.Archive
		if err := foreign.Start(); err != nil {
			t.Fatal(err)
		}
		defer foreign.Kill()
		select {
		case err := <-foreign.Store.ForeignFleet():
			if !apierror.Is(err, apierror.ForeignFleet) {
				t.Fatal(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a data directory of another fleet was accepted")
		}
		// A store of this fleet must wait for its control plane to recover.
		for _, control := range cluster.Controls {
			control.Kill()
			control.Wipe()
		}
		cluster.Stores[1].Kill()
		startAll(t, append(slices.Clone(cluster.Controls), cluster.Stores[1]))
		select {
		case err := <-cluster.Stores[1].Store.ForeignFleet():
			t.Fatalf("a store was rejected while its fleet recovers: %v", err)
		case <-time.After(20 * time.Second):
		}
	})
}
