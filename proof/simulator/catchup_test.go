package simulator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
)

const (
	catchUpChanges = 1000
	catchUpRoutes  = 40
	// grownRoutes make a snapshot of several chunks.
	grownRoutes  = 1500
	catchUpLimit = 3 * time.Second
)

// manyRoutes is a routing with routes that are alike.
func manyRoutes(revision uint64, count int) config.Routing {
	routing := oneRoute(revision, time.Second)
	for number := range count {
		route := routing.Routes[0]
		route.Name, route.Prefix = fmt.Sprintf("idle-%d", number), fmt.Sprintf("/idle/%d/", number)
		route.Original = fmt.Appendf(nil, `{"name":%q,"note":%q}`, route.Name, strings.Repeat("idle ", 40))
		routing.Routes = append(routing.Routes, route)
	}
	return routing
}

// catchUp starts a machine after a change that it missed, and demands that it votes and
// holds that change in time.
func (cluster *Cluster) catchUp(t *testing.T, what string, machine *Machine, revision uint64) {
	t.Helper()
	if err := machine.Start(); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	began := time.Now()
	if err := cluster.Await(catchUpLimit, "caught-up voter", func() error {
		voting := cluster.votingControls()
		if len(voting) != len(cluster.Controls) || !slices.Contains(voting, machine.Host+" "+machine.Control.Name()) {
			return fmt.Errorf("voting: %v", voting)
		}
		if number := machine.Control.View().Number; number < cluster.leader().Control.View().Number {
			return fmt.Errorf("it holds change %d of %d", number, cluster.leader().Control.View().Number)
		}
		return nil
	}); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	t.Logf("%s: votes and has caught up after %s", what, time.Since(began))
	if read := cluster.mustRead(t, ackTimeout); read.Revision != revision {
		t.Fatalf("%s: revision %d is read instead of %d", what, read.Revision, revision)
	}
}

// catchUpShape is a fleet of three control nodes that take in new ones by themselves.
func catchUpShape() Shape {
	return Shape{Controls: 3, Stores: 3, Fronts: 1, Models: 1, Applications: 1, AutoEnrol: true,
		Adjust: func(_ *Cluster, settings *controlplane.Settings) { settings.MaxControls = 3 }}
}

// changes returns a function that puts a routing of so many routes over the last one, and
// tells its revision.
func (cluster *Cluster) changes(t *testing.T) func(routes int) uint64 {
	cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) {
		settings.MaxControls, settings.JoinExisting = 3, true
	}
	revision := uint64(0)
	return func(routes int) uint64 {
		t.Helper()
		if err := cluster.replace(int(revision), revision, manyRoutes(revision+1, routes), fmt.Sprint("order ", revision)); err != nil {
			t.Fatalf("change %d: %v", revision+1, err)
		}
		revision++
		return revision
	}
}

// TestControlNodesCatchUpAfterAThousandChanges restarts each control node after a
// thousand changes, then wipes each, then replaces each by a machine at another address.
func TestControlNodesCatchUpAfterAThousandChanges(t *testing.T) {
	simulate(t, catchUpShape(), func(t *testing.T, cluster *Cluster) {
		change := cluster.changes(t)
		for range catchUpChanges {
			change(catchUpRoutes)
		}
		change(grownRoutes)
		for position, machine := range cluster.Controls {
			machine.LosePower()
			revision := change(grownRoutes)
			cluster.catchUp(t, fmt.Sprintf("restarted control node %d", position), machine, revision)
		}
		for position, machine := range cluster.Controls {
			machine.LosePower()
			revision := change(grownRoutes)
			machine.Wipe()
			cluster.catchUp(t, fmt.Sprintf("wiped control node %d", position), machine, revision)
		}
		for position, lost := range slices.Clone(cluster.Controls) {
			lost.LosePower()
			revision := change(grownRoutes)
			fresh := cluster.AddControl(len(cluster.Controls) + position)
			cluster.Controls[position] = fresh
			cluster.seeds = slices.Clone(cluster.seeds)
			cluster.seeds[position] = fresh.Host + ":7000"
			cluster.catchUp(t, fmt.Sprintf("replaced control node %d", position), fresh, revision)
		}
	})
}

// slowWay makes it likely that something is on its way when a node is killed.
const slowWay = 150 * time.Millisecond

func (cluster *Cluster) eachOtherControl(machine *Machine, action func(other *Machine)) {
	for _, other := range cluster.Controls {
		if other != machine {
			action(other)
		}
	}
}

// TestControlNodeRestartedWhileItCatchesUp kills a wiped control node at some moment of its
// catching up; it begins anew at once.
func TestControlNodeRestartedWhileItCatchesUp(t *testing.T) {
	const rounds = 8
	simulate(t, catchUpShape(), func(t *testing.T, cluster *Cluster) {
		change, random := cluster.changes(t), cluster.Random(41)
		for range 2 * rounds {
			change(grownRoutes)
		}
		for round := range rounds {
			machine := cluster.Controls[round%len(cluster.Controls)]
			machine.LosePower()
			machine.Wipe()
			revision := change(grownRoutes)
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
			cluster.eachOtherControl(machine, func(other *Machine) { cluster.Network.Slow(other.Host, machine.Host, slowWay) })
			while := time.Duration(random.IntN(1500)) * time.Millisecond
			<-time.After(while)
			machine.Kill()
			cluster.eachOtherControl(machine, func(other *Machine) { cluster.Network.Heal(other.Host, machine.Host) })
			cluster.catchUp(t, fmt.Sprintf("control node %d, killed after %s", round%len(cluster.Controls), while), machine, revision)
		}
	})
}
