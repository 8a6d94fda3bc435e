package simulator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// cutWay is which direction between a control node and the others is lost, and cutManner
// how the network shows it.
type (
	cutWay    string
	cutManner string
)

const (
	bothWays  cutWay    = "both ways"
	oneWayIn  cutWay    = "one way in"
	oneWayOut cutWay    = "one way out"
	silent    cutManner = "silent"
	reset     cutManner = "reset"
	refused   cutManner = "refused"

	// servesWithin is how soon after a cut a control node serves again.
	servesWithin = time.Second
)

// networkCut is a control node that is cut off from the others for a while.
type networkCut struct {
	leads    bool
	way      cutWay
	manner   cutManner
	duration time.Duration
	// alone reports that it is cut off from the stores and the other fronts too.
	alone bool
}

func (cut networkCut) String() string {
	role := "follower"
	if cut.leads {
		role = "leader"
	}
	return fmt.Sprintf("%s cut off %s, %s, for %s, alone %v", role, cut.way, cut.manner, cut.duration, cut.alone)
}

// others lists the hosts that a machine is cut off from.
func (cluster *Cluster) others(cut networkCut, victim *Machine) []string {
	hosts := []string{}
	for _, machine := range cluster.Machines() {
		isControl := machine.Control != nil
		sameSide := machine.Front != nil && machine.Domain == victim.Domain
		if machine != victim && !sameSide && (isControl || cut.alone) {
			hosts = append(hosts, machine.Host)
		}
	}
	return hosts
}

func (cluster *Cluster) begin(cut networkCut, victim *Machine) {
	for _, other := range cluster.others(cut, victim) {
		switch {
		case cut.manner == refused:
			cluster.Network.RefuseConnections(victim.Host, other)
		case cut.way == oneWayIn:
			cluster.Network.CutOneWay(other, victim.Host)
		case cut.way == oneWayOut:
			cluster.Network.CutOneWay(victim.Host, other)
		default:
			cluster.Network.Cut(victim.Host, other)
		}
		if cut.manner == reset {
			cluster.Network.Disconnect(victim.Host, other)
		}
	}
}

func (cluster *Cluster) end(cut networkCut, victim *Machine) {
	for _, other := range cluster.others(cut, victim) {
		cluster.Network.Heal(victim.Host, other)
	}
}

// question is something that a control node may answer only with a quorum.
type question struct {
	name string
	ask  func(ctx context.Context) error
}

// questions are asked of one control node; all get an answer that tells something, be it a
// refusal, while there is a quorum.
func (cluster *Cluster) questions(machine *Machine, caller *link.Client) []question {
	node := machine.Control
	through := func(method, path, token string, body any) func(ctx context.Context) error {
		return func(ctx context.Context) error {
			answer, err := cluster.Ask(ctx, method, machine.Host+":7200", path, token, body)
			if err != nil {
				return apierror.New(apierror.NoQuorum, err.Error(), "ask another")
			}
			if answer.Status >= http.StatusInternalServerError {
				return apierror.New(apierror.NoQuorum, answer.String(), "ask another")
			}
			return nil
		}
	}
	return []question{
		{"read the routing", func(ctx context.Context) error { _, err := node.ReadRouting(ctx); return err }},
		{"a stale order", func(ctx context.Context) error {
			return node.ReplaceRouting(ctx, "root", 0, oneRoute(1<<40, time.Second), "stale")
		}},
		{"a domain", func(ctx context.Context) error { return node.SetDomainState(ctx, "root", "nowhere", feed.StateServing) }},
		{"retire an unknown machine", func(ctx context.Context) error { return node.BeginDecommission(ctx, "root", "unknown", 0) }},
		{"how an unknown machine retires", func(ctx context.Context) error { _, err := node.DecommissionState(ctx, "unknown"); return err }},
		{"the config", through(http.MethodGet, "/v1/config", RootToken, nil)},
		{"an unknown token", through(http.MethodGet, "/v1/config", "unknown", nil)},
		{"the fleet", through(http.MethodGet, "/v1/fleet", RootToken, nil)},
		{"the changes", through(http.MethodPost, "/v1/query", RootToken, map[string]any{"text": "show changes"})},
		{"a config that is not kept", through(http.MethodPost, "/v1/query", RootToken, map[string]any{"text": "restore config 99999999"})},
		{"a stale number", through(http.MethodPatch, "/v1/config", RootToken, map[string]any{"path": "programs.dialogue.allowance", "value": 7, "expected": 99999999})},
		{"enrol an unknown store", through(http.MethodPut, "/v1/stores/unknown", RootToken, map[string]any{})},
		{"follow", func(ctx context.Context) error {
			_, err := caller.Call(ctx, machine.Host+":7000", &wire.Query{Which: schema.Query_Which_follow, Follow: &wire.FollowQuery{Member: feed.Member{Role: feed.RoleFront, Name: "front-asking", Address: "10.8.1.1:7000"}}})
			return err
		}},
		{"confirm", func(ctx context.Context) error {
			_, err := caller.Call(ctx, machine.Host+":7000", &wire.Query{Which: schema.Query_Which_follow, Follow: &wire.FollowQuery{ConfirmOnly: true}})
			return err
		}},
		{"await", func(ctx context.Context) error {
			_, err := caller.Call(ctx, machine.Host+":7000", &wire.Query{Which: schema.Query_Which_change, Change: &wire.ChangeQuery{AwaitView: 1}})
			return err
		}},
	}
}

// mustAnswerAll asks all questions of all nodes, which have a quorum.
func (cluster *Cluster) mustAnswerAll(t *testing.T) {
	t.Helper()
	caller := link.NewClient(cluster.Network.At("10.8.1.1"))
	defer caller.Close()
	for _, machine := range cluster.Controls {
		for _, one := range cluster.questions(machine, caller) {
			ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
			if err := one.ask(ctx); saysNothing(err) {
				t.Errorf("%s at %s is not answered with a quorum: %v", one.name, machine.Host, err)
			}
			cancel()
		}
	}
}

// saysNothing reports that an answer tells nothing of what is in force, nor refuses for good.
func saysNothing(err error) bool {
	for _, kind := range []apierror.Kind{apierror.NoQuorum, apierror.OutcomeUnknown, apierror.Unavailable, apierror.NotLeader} {
		if apierror.Is(err, kind) {
			return true
		}
	}
	return false
}

// interrogate asks all questions at once, until a time, of a node that is cut off: none may
// be answered.
func (cluster *Cluster) interrogate(t *testing.T, cut networkCut, victim *Machine, until time.Time) {
	t.Helper()
	caller := link.NewClient(cluster.Network.At("10.8.1.1"))
	defer caller.Close()
	var asking sync.WaitGroup
	for _, one := range cluster.questions(victim, caller) {
		asking.Go(func() {
			for time.Until(until) > 0 {
				ctx, cancel := context.WithTimeout(context.Background(), min(operatorTimeout, time.Until(until)))
				err := one.ask(ctx)
				cancel()
				if !saysNothing(err) {
					t.Errorf("%s: %s was answered: %v", cut, one.name, err)
					return
				}
				<-time.After(50 * time.Millisecond)
			}
		})
	}
	asking.Wait()
}

// TestCutOffControlNodeAnswersNothing cuts a control node off in every way, and sends it
// orders and questions meanwhile, while orders go on at the others. Afterwards it serves
// again within a second, and returns the newest.
func TestCutOffControlNodeAnswersNothing(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(31)
		durations := []time.Duration{3 * time.Second, 12 * time.Second, 20 * time.Second}
		if err := cluster.sendRoutingRequest(0, operatorRequest{base: 0, next: oneRoute(1, time.Second), digest: "first"}); err != nil {
			t.Fatal(err)
		}
		cluster.mustAnswerAll(t)
		base, slowest := uint64(1), time.Duration(0)
		for _, leads := range []bool{true, false} {
			for _, way := range []cutWay{bothWays, oneWayIn, oneWayOut} {
				for _, manner := range []cutManner{silent, reset, refused} {
					if manner == refused && way != bothWays {
						continue // who is refused one way gets no answers the other way
					}
					cut := networkCut{leads: leads, way: way, manner: manner, duration: durations[random.IntN(len(durations))], alone: random.IntN(2) == 0}
					newest, took := cluster.runCut(t, cut, base)
					base, slowest = newest, max(slowest, took)
				}
			}
		}
		t.Logf("served again %s after a cut at the latest", slowest)
	})
}

// runCut runs one cut and gives the newest revision, and how long after the end of the cut
// its node served.
func (cluster *Cluster) runCut(t *testing.T, cut networkCut, base uint64) (newest uint64, took time.Duration) {
	t.Helper()
	victim := cluster.leader()
	if !cut.leads {
		for _, machine := range cluster.Controls {
			if !machine.Control.IsLeader() {
				victim = machine
			}
		}
	}
	cluster.begin(cut, victim)
	until := time.Now().Add(cut.duration)
	var asking sync.WaitGroup
	asking.Go(func() { cluster.interrogate(t, cut, victim, until) })
	raced := make(chan error, 1)
	race := operatorRequest{base: base, next: oneRoute(base+1, 7*time.Second), digest: fmt.Sprint("race ", base)}
	asking.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		raced <- victim.Control.ReplaceRouting(ctx, "root", race.base, race.next, race.digest)
	})
	at := 0
	for cluster.Controls[at] == victim {
		at++
	}
	orders, first := 0, base
	for time.Until(until) > 500*time.Millisecond {
		err := cluster.orderBeside(victim, at, operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("beside ", base)})
		if err != nil {
			t.Fatalf("%s: an order at the others: %v", cut, err)
		}
		base++
		orders++
		<-time.After(200 * time.Millisecond)
	}
	asking.Wait()
	if err := <-raced; !saysNothing(err) {
		t.Errorf("%s: an order raced at the node: %v", cut, err)
	}
	<-time.After(time.Until(until))
	cluster.end(cut, victim)
	repaired := time.Now()
	cluster.mustServe(t, cut, victim, base, repaired)
	took = time.Since(repaired)
	if took > servesWithin {
		t.Errorf("%s: served again after %s", cut, took)
	}
	if err := cluster.sendRoutingRequest(at, race); !apierror.Is(err, apierror.Conflict) {
		t.Errorf("%s: the order that lost the race on %d of %d, again: %v", cut, first, base, err)
	}
	return base + 1, took
}

// orderBeside sends an order to the control nodes other than one.
func (cluster *Cluster) orderBeside(victim *Machine, from int, order operatorRequest) error {
	return cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
		if node == victim.Control {
			return apierror.New(apierror.NoQuorum, "it is cut off", "ask another")
		}
		return node.ReplaceRouting(ctx, "root", order.base, order.next, order.digest)
	})
}

// mustServe waits until a node reads the newest revision and has an order acknowledged.
func (*Cluster) mustServe(t *testing.T, cut networkCut, machine *Machine, newest uint64, since time.Time) {
	t.Helper()
	order := operatorRequest{base: newest, next: oneRoute(newest+1, time.Second), digest: fmt.Sprint("after ", newest)}
	read := false
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		if !read {
			routing, err := machine.Control.ReadRouting(ctx)
			read = err == nil
			if read && routing.Revision != newest {
				t.Fatalf("%s: revision %d was read after the cut, %d is the newest", cut, routing.Revision, newest)
			}
		}
		err := machine.Control.ReplaceRouting(ctx, "root", order.base, order.next, order.digest)
		cancel()
		if read && err == nil {
			return
		}
		if err != nil && !saysNothing(err) {
			t.Fatalf("%s: an order after the cut: %v", cut, err)
		}
		if time.Since(since) > 10*time.Second {
			t.Fatalf("%s: not served for 10 s after the cut: read %v, order %v", cut, read, err)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// TestPausedControlLeaderResumesAndReportsNothingOld freezes the leader with questions on their
// way to it, or slows its disk, while orders go on; what it answers is no older than what was
// acknowledged when it was asked.
func TestPausedControlLeaderResumesAndReportsNothingOld(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 1, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		base := uint64(0)
		for round, fault := range []struct {
			begin, end func(victim *Machine)
			duration   time.Duration
		}{
			{func(victim *Machine) { cluster.Network.Freeze(victim.Host) }, func(victim *Machine) { cluster.Network.Thaw(victim.Host) }, 3 * time.Second},
			{func(victim *Machine) { cluster.Network.Freeze(victim.Host) }, func(victim *Machine) { cluster.Network.Thaw(victim.Host) }, 12 * time.Second},
			{func(victim *Machine) { victim.Disk.Slow(400 * time.Millisecond) }, func(victim *Machine) { victim.Disk.Slow(0) }, 12 * time.Second},
			{func(victim *Machine) { victim.Disk.Stall() }, func(victim *Machine) { victim.Disk.Resume() }, 6 * time.Second},
		} {
			if err := cluster.sendRoutingRequest(0, operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("before ", base)}); err != nil {
				t.Fatal(err)
			}
			base++
			victim := cluster.leader()
			fault.begin(victim)
			until := time.Now().Add(fault.duration)
			var newest struct {
				sync.Mutex
				revision uint64
			}
			newest.revision = base
			var asking sync.WaitGroup
			for range 4 {
				asking.Go(func() {
					for time.Until(until) > 0 {
						newest.Lock()
						atLeast := newest.revision
						newest.Unlock()
						ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
						answer, err := cluster.Ask(ctx, http.MethodPost, victim.Host+":7200", "/v1/query", RootToken, map[string]any{"text": "show routes"})
						cancel()
						if err != nil || answer.Status != http.StatusOK {
							continue
						}
						if reported := revisionShown(t, answer); reported < atLeast {
							t.Errorf("round %d: revision %d was told, %d was acknowledged before", round, reported, atLeast)
						}
						<-time.After(100 * time.Millisecond)
					}
				})
			}
			for time.Until(until) > 0 {
				err := cluster.orderBeside(victim, 0, operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("meanwhile ", base)})
				if err != nil {
					t.Fatalf("round %d: %v", round, err)
				}
				base++
				newest.Lock()
				newest.revision = base
				newest.Unlock()
				<-time.After(300 * time.Millisecond)
			}
			fault.end(victim)
			repaired := time.Now()
			cluster.mustServe(t, networkCut{leads: true, manner: "frozen or slow", duration: fault.duration}, victim, base, repaired)
			base++
			if took := time.Since(repaired); took > servesWithin {
				t.Errorf("round %d: served again after %s", round, took)
			}
			asking.Wait()
			cluster.mustRead(t, ackTimeout)
		}
	})
}
