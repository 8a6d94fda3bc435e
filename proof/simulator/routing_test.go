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

// operatorTimeout limits an operator's request to one node, ackTimeout the time until a change is
// acknowledged by any node.
const (
	operatorTimeout = 850 * time.Millisecond
	ackTimeout      = 4 * time.Second
)

// requestChange sends a change to one control node after another, starting at from, until it is
// acknowledged or rejected, as operators' clients do.
func (cluster *Cluster) requestChange(from int, timeout time.Duration, send func(ctx context.Context, node *controlplane.Node) error) error {
	began := time.Now()
	for attempt := from; ; attempt++ {
		err := apierror.New(apierror.NoQuorum, "the node is down", "ask another")
		if node := cluster.Controls[attempt%len(cluster.Controls)].Control; node != nil {
			ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
			err = send(ctx, node)
			cancel()
		}
		if retryable := apierror.Is(err, apierror.NoQuorum) || apierror.Is(err, apierror.OutcomeUnknown); !retryable || time.Since(began) > timeout {
			return err
		}
		<-time.After(100 * time.Millisecond)
	}
}

// oneRoute returns a routing with a single route, identified by its timeout.
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

func (cluster *Cluster) replaceRouting(from int, base uint64, next config.Routing, digest string) error {
	return cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
		return node.ReplaceRouting(ctx, "root", base, next, digest)
	})
}

// mustReadRouting reads the routing at every running control node and checks that the revisions agree.
func (cluster *Cluster) mustReadRouting(t *testing.T, timeout time.Duration) *config.Routing {
	t.Helper()
	var latest *config.Routing
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
		if latest != nil && latest.Revision != read.Revision {
			t.Fatalf("node %d has revision %d, another %d", position, read.Revision, latest.Revision)
		}
		latest = read
	}
	return latest
}

func (cluster *Cluster) leader() *Machine {
	position := slices.IndexFunc(cluster.Controls, func(machine *Machine) bool { return machine.Control != nil && machine.Control.IsLeader() })
	if position < 0 {
		return cluster.Controls[0]
	}
	return cluster.Controls[position]
}

// TestOneOfTwoConcurrentRoutingChangesWins guards against lost updates when two operators change the
// same base, also with a killed leader and with repeated, stale and invalid changes.
func TestOneOfTwoConcurrentRoutingChangesWins(t *testing.T) {
	simulate(t, Shape{Controls: 5, Stores: 3, Fronts: 1, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		race := &routingRace{t: t, cluster: cluster, random: cluster.Random(11)}
		if read := cluster.mustReadRouting(t, ackTimeout); read.Revision != 0 || len(read.Routes) != 0 {
			t.Fatalf("before the first change: %+v", read)
		}
		if err := cluster.replaceRouting(0, 0, oneRoute(3, time.Second), "first"); err != nil {
			t.Fatal(err)
		}
		race.base = 3
		for round := range 6 {
			race.run(round)
		}
		race.patch()
		if read := cluster.mustReadRouting(t, ackTimeout); read.Revision != race.base+4 || len(read.Routes) != 2 {
			t.Fatalf("%+v is in force", read)
		}
		// A config without routing leaves the routing unchanged.
		if err := cluster.PutConfig(BasicConfig + "// again\n"); err != nil {
			t.Fatal(err)
		}
		if read := cluster.mustReadRouting(t, ackTimeout); read.Revision != race.base+4 || len(read.Routes) != 2 {
			t.Fatalf("%+v is in force after a config was put", read)
		}
	})
}

// routingRace lets two operators replace the routing concurrently on the same base.
type routingRace struct {
	t       *testing.T
	cluster *Cluster
	random  *rand.Rand
	base    uint64 // revision in force
}

// run sends one pair of changes and checks that exactly one is accepted.
func (race *routingRace) run(round int) {
	t, cluster, random, before := race.t, race.cluster, race.random, race.base
	t.Helper()
	digest := func(operator int) string { return fmt.Sprintf("%d-%d", round, operator) }
	routings := []config.Routing{oneRoute(before+1+uint64(random.IntN(5)), time.Second), oneRoute(before+1+uint64(random.IntN(5)), 2*time.Second)}
	began := time.Now()
	results, killed := race.send(round, routings, digest)
	winner := slices.Index(results, nil)
	if winner < 0 || !apierror.Is(results[1-winner], apierror.Conflict) {
		t.Fatalf("round %d: %v", round, results)
	}
	if took := time.Since(began); took > ackTimeout {
		t.Fatalf("round %d: acknowledged after %s", round, took)
	}
	race.base = routings[winner].Revision
	for from := range cluster.Controls {
		if err := cluster.replaceRouting(from, before, routings[winner], digest(winner)); err != nil {
			t.Fatalf("round %d: the accepted change, repeated at node %d: %v", round, from, err)
		}
	}
	if err := cluster.replaceRouting(random.IntN(5), before, routings[1-winner], digest(1-winner)); !apierror.Is(err, apierror.Conflict) {
		t.Fatalf("round %d: the rejected change, repeated: %v", round, err)
	}
	race.sendInvalid(round)
	if killed != nil {
		if err := killed.Start(); err != nil {
			t.Fatal(err)
		}
	}
	read := cluster.mustReadRouting(t, 10*time.Second)
	if read.Revision != race.base || read.Routes[0].Timeout != routings[winner].Routes[0].Timeout || string(read.Routes[0].Original) != string(routings[winner].Routes[0].Original) {
		t.Fatalf("round %d: %+v is in force instead of %+v", round, read, routings[winner])
	}
}

// send sends both routings concurrently and returns the result of each. In every second round it
// kills the leader meanwhile; killed is that leader, or nil.
func (race *routingRace) send(round int, routings []config.Routing, digest func(operator int) string) (results []error, killed *Machine) {
	base := race.base
	outcomes := make([]chan error, len(routings))
	for operator, next := range routings {
		outcomes[operator] = make(chan error, 1)
		from := race.random.IntN(5)
		go func() { outcomes[operator] <- race.cluster.replaceRouting(from, base, next, digest(operator)) }()
	}
	if round%2 == 1 {
		<-time.After(time.Duration(race.random.IntN(60)) * time.Millisecond)
		killed = race.cluster.leader()
		killed.Kill()
	}
	return []error{<-outcomes[0], <-outcomes[1]}, killed
}

// sendInvalid checks that invalid routings on the base in force are rejected.
func (race *routingRace) sendInvalid(round int) {
	race.t.Helper()
	base := race.base
	unknown := oneRoute(base+1, time.Second)
	unknown.Services = nil
	for name, invalid := range map[string]config.Routing{"revision": oneRoute(base, 3*time.Second), "older": oneRoute(base-1, 3*time.Second), "patience": oneRoute(base+1, 0), "service": unknown} {
		if err := race.cluster.replaceRouting(race.random.IntN(5), base, invalid, name); !apierror.Is(err, apierror.Invalid) {
			race.t.Fatalf("round %d: routing with an invalid %s: %v", round, name, err)
		}
	}
}

// patch adds a route with a patch that is repeated at every node, and checks that a stale and an
// invalid patch are rejected.
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
		t.Fatalf("a stale patch: %v", err)
	}
	if err := send(2, base+4, config.RoutingPatch{Revision: base + 5, RemoveServices: []string{"small"}}, "needed"); !apierror.Is(err, apierror.Invalid) {
		t.Fatalf("removal of a service in use: %v", err)
	}
}

// TestRoutingSurvivesTheLossOfAllControlDisks guards against an acknowledged routing that is lost
// with all control disks, or read in an older revision, while one store is down.
func TestRoutingSurvivesTheLossOfAllControlDisks(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		base := uint64(0)
		for _, revision := range []uint64{2, 7, 9} {
			if err := cluster.replaceRouting(int(revision), base, oneRoute(revision, time.Second), fmt.Sprint(revision)); err != nil {
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
		if read := cluster.mustReadRouting(t, 30*time.Second); read.Revision != 9 {
			t.Fatalf("revision %d was read after the disks were lost", read.Revision)
		}
		if err := cluster.replaceRouting(0, 7, oneRoute(9, time.Second), "9"); err != nil {
			t.Fatalf("the last change, repeated: %v", err)
		}
		if err := cluster.replaceRouting(1, 9, oneRoute(10, time.Second), "10"); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRepeatedDomainChangeIsAcknowledged guards against domain changes that are not acknowledged when
// repeated at another node or while the leader is down.
func TestRepeatedDomainChangeIsAcknowledged(t *testing.T) {
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
					t.Fatalf("%s was acknowledged after %s", state, took)
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

// TestRequestsAreNotAcceptedWithoutAQuorum guards against changes and reads that a single node
// accepts, and against errors that arrive after the operator's timeout.
func TestRequestsAreNotAcceptedWithoutAQuorum(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		if err := cluster.replaceRouting(0, 0, oneRoute(1, time.Second), "1"); err != nil {
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
			t.Fatalf("without a quorum: %v", err)
		}
		if took := time.Since(began); took > operatorTimeout+10*time.Millisecond {
			t.Fatalf("rejected after %s", took)
		}
		ctx, cancel = context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		if _, err := cluster.Controls[0].Control.ReadRouting(ctx); err == nil {
			t.Fatal("the routing was read without a quorum")
		}
	})
}
