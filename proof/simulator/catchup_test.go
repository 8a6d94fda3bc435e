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
	// multiChunkRoutes is a number of routes whose snapshot has several chunks.
	multiChunkRoutes = 1500
	catchUpLimit     = 3 * time.Second
)

// manyRoutes returns a routing with a number of additional, similar routes.
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

// mustCatchUp starts a control machine that missed changes, and waits until it votes and has the
// newest change, at most catchUpLimit.
func (cluster *Cluster) mustCatchUp(t *testing.T, name string, machine *Machine, revision uint64) {
	t.Helper()
	if err := machine.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	began := time.Now()
	if err := cluster.Await(catchUpLimit, "caught-up voter", func() error {
		voting := cluster.votingControls()
		if len(voting) != len(cluster.Controls) || !slices.Contains(voting, machine.Host+" "+machine.Control.Name()) {
			return fmt.Errorf("voters: %v", voting)
		}
		if number := machine.Control.View().Number; number < cluster.leader().Control.View().Number {
			return fmt.Errorf("it has change %d of %d", number, cluster.leader().Control.View().Number)
		}
		return nil
	}); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	t.Logf("%s: votes and has caught up after %s", name, time.Since(began))
	if read := cluster.mustReadRouting(t, ackTimeout); read.Revision != revision {
		t.Fatalf("%s: read revision %d instead of %d", name, read.Revision, revision)
	}
}

// catchUpShape is a fleet of three control nodes that enrol replacements automatically.
func catchUpShape() Shape {
	return Shape{Controls: 3, Stores: 3, Fronts: 1, Models: 1, Applications: 1, AutoEnrol: true,
		Adjust: func(_ *Cluster, settings *controlplane.Settings) { settings.MaxControls = 3 }}
}

// routingChanger returns a function that replaces the routing with one of that many routes and
// returns the new revision. Nodes that start from now on join the existing fleet.
func (cluster *Cluster) routingChanger(t *testing.T) func(routes int) uint64 {
	cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) {
		settings.MaxControls, settings.JoinExisting = 3, true
	}
	revision := uint64(0)
	return func(routes int) uint64 {
		t.Helper()
		if err := cluster.replaceRouting(int(revision), revision, manyRoutes(revision+1, routes), fmt.Sprint("order ", revision)); err != nil {
			t.Fatalf("change %d: %v", revision+1, err)
		}
		revision++
		return revision
	}
}

// TestControlNodesCatchUpAfterAThousandChanges restarts each control node, then wipes each, then
// replaces each with a machine at another address.
func TestControlNodesCatchUpAfterAThousandChanges(t *testing.T) {
	simulate(t, catchUpShape(), func(t *testing.T, cluster *Cluster) {
		change := cluster.routingChanger(t)
		for range catchUpChanges {
			change(catchUpRoutes)
		}
		change(multiChunkRoutes)
		for position, machine := range cluster.Controls {
			machine.LosePower()
			revision := change(multiChunkRoutes)
			cluster.mustCatchUp(t, fmt.Sprintf("restarted control node %d", position), machine, revision)
		}
		for position, machine := range cluster.Controls {
			machine.LosePower()
			revision := change(multiChunkRoutes)
			machine.Wipe()
			cluster.mustCatchUp(t, fmt.Sprintf("wiped control node %d", position), machine, revision)
		}
		for position, lost := range slices.Clone(cluster.Controls) {
			lost.LosePower()
			revision := change(multiChunkRoutes)
			fresh := cluster.AddControl(len(cluster.Controls) + position)
			cluster.Controls[position] = fresh
			cluster.seeds = slices.Clone(cluster.seeds)
			cluster.seeds[position] = fresh.Host + ":7000"
			cluster.mustCatchUp(t, fmt.Sprintf("replaced control node %d", position), fresh, revision)
		}
	})
}

// slowLinkDelay is a link delay that makes it likely that a message is in flight when a node is killed.
const slowLinkDelay = 150 * time.Millisecond

func (cluster *Cluster) eachOtherControl(machine *Machine, action func(other *Machine)) {
	for _, other := range cluster.Controls {
		if other != machine {
			action(other)
		}
	}
}

// TestControlNodeRestartedWhileItCatchesUp kills a wiped control node at a random moment of its
// catch-up, which must start over without delay.
func TestControlNodeRestartedWhileItCatchesUp(t *testing.T) {
	const rounds = 8
	simulate(t, catchUpShape(), func(t *testing.T, cluster *Cluster) {
		change, random := cluster.routingChanger(t), cluster.Random(41)
		for range 2 * rounds {
			change(multiChunkRoutes)
		}
		for round := range rounds {
			machine := cluster.Controls[round%len(cluster.Controls)]
			machine.LosePower()
			machine.Wipe()
			revision := change(multiChunkRoutes)
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
			cluster.eachOtherControl(machine, func(other *Machine) { cluster.Network.Slow(other.Host, machine.Host, slowLinkDelay) })
			killDelay := time.Duration(random.IntN(1500)) * time.Millisecond
			<-time.After(killDelay)
			machine.Kill()
			cluster.eachOtherControl(machine, func(other *Machine) { cluster.Network.Heal(other.Host, machine.Host) })
			cluster.mustCatchUp(t, fmt.Sprintf("control node %d, killed after %s", round%len(cluster.Controls), killDelay), machine, revision)
		}
	})
}
