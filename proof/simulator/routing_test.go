package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
)

// operatorTimeout is how long an operator waits for one node, ackTimeout for the
// acknowledgement of an order, whatever node gives it.
const (
	operatorTimeout = 850 * time.Millisecond
	ackTimeout      = 4 * time.Second
)

// requestChange sends an order to the control nodes in turn, from one on, until it is
// acknowledged or refused, as operators do.
func (cluster *Cluster) requestChange(from int, timeout time.Duration, send func(ctx context.Context, node *controlplane.Node) error) error {
	began := time.Now()
	for turn := from; ; turn++ {
		err := apierror.New(apierror.NoQuorum, "the node is down", "ask another")
		if node := cluster.Controls[turn%len(cluster.Controls)].Control; node != nil {
			ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
			err = send(ctx, node)
			cancel()
		}
		if again := apierror.Is(err, apierror.NoQuorum) || apierror.Is(err, apierror.OutcomeUnknown); !again || time.Since(began) > timeout {
			return err
		}
		<-time.After(100 * time.Millisecond)
	}
}

// oneRoute is a routing of one route, which its timeout identifies.
func oneRoute(revision uint64, timeout time.Duration) config.Routing {
	return config.Routing{
		Revision: revision,
		Routes: []config.Route{{
			Name: "chat", Host: "one.example", Prefix: "/chat/", Kind: config.Once, Timeout: config.Duration(timeout), MaxAttempts: 1,
			Shares: []config.WeightedService{{Service: "small", Weight: 1}}, Original: []byte(fmt.Sprintf(`{"revision":%d}`, revision)),
		}},
		Services: []config.Service{{Name: "small", HealthPath: "/health"}},
	}
}

func (cluster *Cluster) replace(from int, base uint64, next config.Routing, digest string) error {
	return cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
		return node.ReplaceRouting(ctx, "root", base, next, digest)
	})
}

// mustRead reads the routing at every control node that runs; all must tell the same.
func (cluster *Cluster) mustRead(t *testing.T, timeout time.Duration) *config.Routing {
	t.Helper()
	var newest *config.Routing
	for position, machine := range cluster.Controls {
		if machine.Control == nil {
			continue
		}
		var read *config.Routing
		err := cluster.Await(timeout, "routing read at "+machine.Host, func() (err error) {
			ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
			defer cancel()
			read, err = machine.Control.ReadRouting(ctx)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		if newest != nil && newest.Revision != read.Revision {
			t.Fatalf("node %d tells revision %d, another %d", position, read.Revision, newest.Revision)
		}
		newest = read
	}
	return newest
}

func (cluster *Cluster) leader() *Machine {
	at := slices.IndexFunc(cluster.Controls, func(machine *Machine) bool { return machine.Control != nil && machine.Control.IsLeader() })
	if at < 0 {
		return cluster.Controls[0]
	}
	return cluster.Controls[at]
}

// TestOfTwoRoutingsOnOneBaseOneWinsOverAKilledLeader lets two operators race again and
// again, while control leaders die; repeats, stale and invalid orders come in between.
func TestOfTwoRoutingsOnOneBaseOneWinsOverAKilledLeader(t *testing.T) {
	simulate(t, Shape{Controls: 5, Stores: 3, Fronts: 1, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		race := &routingRace{t: t, cluster: cluster, random: cluster.Random(11)}
		if read := cluster.mustRead(t, ackTimeout); read.Revision != 0 || len(read.Routes) != 0 {
			t.Fatalf("before the first: %+v", read)
		}
		if err := cluster.replace(0, 0, oneRoute(3, time.Second), "first"); err != nil {
			t.Fatal(err)
		}
		race.base = 3
		for round := range 6 {
			race.run(round)
		}
		race.patch()
		if read := cluster.mustRead(t, ackTimeout); read.Revision != race.base+4 || len(read.Routes) != 2 {
			t.Fatalf("%+v is in force", read)
		}
		// A config that says nothing of routing leaves it as it is.
		if err := cluster.PutConfig(BasicConfig + "// again\n"); err != nil {
			t.Fatal(err)
		}
		if read := cluster.mustRead(t, ackTimeout); read.Revision != race.base+4 || len(read.Routes) != 2 {
			t.Fatalf("%+v is in force after a config was put", read)
		}
	})
}

// routingRace is a run in which two operators send a routing each on the same base.
type routingRace struct {
	t       *testing.T
	cluster *Cluster
	random  *rand.Rand
	base    uint64 // the revision that is in force
}

// run lets the operators race once and checks that just one of them wins.
func (race *routingRace) run(round int) {
	t, cluster, random, before := race.t, race.cluster, race.random, race.base
	t.Helper()
	digest := func(operator int) string { return fmt.Sprintf("%d-%d", round, operator) }
	orders := []config.Routing{oneRoute(before+1+uint64(random.IntN(5)), time.Second), oneRoute(before+1+uint64(random.IntN(5)), 2*time.Second)}
	began := time.Now()
	results, killed := race.send(round, orders, digest)
	winner := slices.Index(results, nil)
	if winner < 0 || !apierror.Is(results[1-winner], apierror.Conflict) {
		t.Fatalf("round %d: %v", round, results)
	}
	if took := time.Since(began); took > ackTimeout {
		t.Fatalf("round %d: acknowledged after %s", round, took)
	}
	race.base = orders[winner].Revision
	for from := range cluster.Controls {
		if err := cluster.replace(from, before, orders[winner], digest(winner)); err != nil {
			t.Fatalf("round %d: the winner repeated at %d: %v", round, from, err)
		}
	}
	if err := cluster.replace(random.IntN(5), before, orders[1-winner], digest(1-winner)); !apierror.Is(err, apierror.Conflict) {
		t.Fatalf("round %d: the loser repeated: %v", round, err)
	}
	race.sendInvalid(round)
	if killed != nil {
		if err := killed.Start(); err != nil {
			t.Fatal(err)
		}
	}
	read := cluster.mustRead(t, 10*time.Second)
	if read.Revision != race.base || read.Routes[0].Timeout != orders[winner].Routes[0].Timeout || string(read.Routes[0].Original) != string(orders[winner].Routes[0].Original) {
		t.Fatalf("round %d: %+v is in force instead of %+v", round, read, orders[winner])
	}
}

// send sends both orders at once and returns what each operator got. In every second
// round the leader is killed meanwhile; killed is that leader, or nil.
func (race *routingRace) send(round int, orders []config.Routing, digest func(operator int) string) (results []error, killed *Machine) {
	base := race.base
	reported := make([]chan error, len(orders))
	for operator, next := range orders {
		reported[operator] = make(chan error, 1)
		from := race.random.IntN(5)
		go func() { reported[operator] <- race.cluster.replace(from, base, next, digest(operator)) }()
	}
	if round%2 == 1 {
		<-time.After(time.Duration(race.random.IntN(60)) * time.Millisecond)
		killed = race.cluster.leader()
		killed.Kill()
	}
	return []error{<-reported[0], <-reported[1]}, killed
}

// sendInvalid sends routings that are to be refused as invalid on the base in force.
func (race *routingRace) sendInvalid(round int) {
	race.t.Helper()
	base := race.base
	unknown := oneRoute(base+1, time.Second)
	unknown.Services = nil
	for name, invalid := range map[string]config.Routing{"revision": oneRoute(base, 3*time.Second), "older": oneRoute(base-1, 3*time.Second), "patience": oneRoute(base+1, 0), "service": unknown} {
		if err := race.cluster.replace(race.random.IntN(5), base, invalid, name); !apierror.Is(err, apierror.Invalid) {
			race.t.Fatalf("round %d: invalid by %s: %v", round, name, err)
		}
	}
}

// patch adds a route by a patch, sent again at every node, and has a stale and an invalid
// patch refused.
func (race *routingRace) patch() {
	t, base := race.t, race.base
	t.Helper()
	send := func(from int, base uint64, patch config.RoutingPatch, digest string) error {
		return race.cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
			return node.PatchRouting(ctx, "root", base, patch, digest)
		})
	}
	added := oneRoute(0, time.Second).Routes[0]
	added.Name, added.Prefix = "more", "/more/"
	for from := range race.cluster.Controls {
		if err := send(from, base, config.RoutingPatch{Revision: base + 4, Routes: []config.Route{added}}, "amended"); err != nil {
			t.Fatal(err)
		}
	}
	if err := send(1, base, config.RoutingPatch{Revision: base + 5, RemoveRoutes: []string{"more"}}, "stale"); !apierror.Is(err, apierror.Conflict) {
		t.Fatalf("a stale amendment: %v", err)
	}
	if err := send(2, base+4, config.RoutingPatch{Revision: base + 5, RemoveServices: []string{"small"}}, "needed"); !apierror.Is(err, apierror.Invalid) {
		t.Fatalf("a service that is needed was removed: %v", err)
	}
}

// TestARoutingOutlivesTheLossOfAllControlDisks loses them right after an
// acknowledgement, with a store away; no node may tell an older routing meanwhile.
func TestARoutingOutlivesTheLossOfAllControlDisks(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		base := uint64(0)
		for _, revision := range []uint64{2, 7, 9} {
			if err := cluster.replace(int(revision), base, oneRoute(revision, time.Second), fmt.Sprint(revision)); err != nil {
				t.Fatal(err)
			}
			base = revision
		}
		for _, control := range cluster.Controls {
			control.Kill()
			control.Wipe()
		}
		cluster.Stores[cluster.Random(12).IntN(3)].LosePower()
		for _, control := range cluster.Controls {
			if err := control.Start(); err != nil {
				t.Fatal(err)
			}
		}
		if read := cluster.mustRead(t, 30*time.Second); read.Revision != 9 {
			t.Fatalf("revision %d was read back", read.Revision)
		}
		if err := cluster.replace(0, 7, oneRoute(9, time.Second), "9"); err != nil {
			t.Fatalf("the last order, repeated: %v", err)
		}
		if err := cluster.replace(1, 9, oneRoute(10, time.Second), "10"); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDrainingADomainIsAcknowledgedAgain repeats orders at all nodes, while the leader
// dies, and takes them back.
func TestDrainingADomainIsAcknowledgedAgain(t *testing.T) {
	simulate(t, Shape{Controls: 5, Stores: 3, Fronts: 1, Models: 2, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		set := func(from int, name, state string) error {
			return cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
				return node.SetDomainState(ctx, "root", name, state)
			})
		}
		for _, state := range []string{feed.StateDrained, feed.StateServing, feed.StateDrained} {
			killed := cluster.leader()
			killed.Kill()
			for from := range cluster.Controls {
				began := time.Now()
				if err := set(from, "east", state); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(began); took > ackTimeout {
					t.Fatalf("%s after %s", state, took)
				}
			}
			if err := killed.Start(); err != nil {
				t.Fatal(err)
			}
			if view := cluster.leader().Control.View(); view.DomainDrained("east") != (state == feed.StateDrained) {
				t.Fatalf("%s: %+v", state, view.Domains)
			}
		}
		if err := set(0, "east", "half"); !apierror.Is(err, apierror.Invalid) {
			t.Fatalf("an unknown state: %v", err)
		}
	})
}

// TestRequestsAreNotAcceptedWithoutAQuorum: an order at a node that is alone is not
// acknowledged, and its node says so before its operator leaves.
func TestRequestsAreNotAcceptedWithoutAQuorum(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		if err := cluster.replace(0, 0, oneRoute(1, time.Second), "1"); err != nil {
			t.Fatal(err)
		}
		for _, machine := range cluster.Controls[1:] {
			machine.Kill()
		}
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		began := time.Now()
		err := cluster.Controls[0].Control.ReplaceRouting(ctx, "root", 1, oneRoute(2, time.Second), "2")
		if !apierror.Is(err, apierror.NoQuorum) && !apierror.Is(err, apierror.OutcomeUnknown) {
			t.Fatalf("alone: %v", err)
		}
		if took := time.Since(began); took > operatorTimeout+10*time.Millisecond {
			t.Fatalf("refused after %s", took)
		}
		ctx, cancel = context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		if _, err := cluster.Controls[0].Control.ReadRouting(ctx); err == nil {
			t.Fatal("a node alone reads the routing")
		}
	})
}
