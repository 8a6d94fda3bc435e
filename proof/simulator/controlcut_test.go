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

// cutDirection is the direction in which traffic between a control node and the others is lost, and
// cutMode how connections fail.
type (
	cutDirection string
	cutMode      string
)

const (
	bothDirections cutDirection = "in both directions"
	inboundOnly    cutDirection = "inbound"
	outboundOnly   cutDirection = "outbound"
	silent         cutMode      = "silent"
	reset          cutMode      = "reset"
	refused        cutMode      = "refused"

	// maxRecoveryTime is how soon after the end of a partition a control node must serve again.
	maxRecoveryTime = time.Second
)

// networkCut is a partition of one control node from the others.
type networkCut struct {
	leader    bool
	direction cutDirection
	mode      cutMode
	duration  time.Duration
	// fromAll extends the partition to the stores and to the fronts of other domains.
	fromAll bool
}

func (cut networkCut) String() string {
	role := "follower"
	if cut.leader {
		role = "leader"
	}
	return fmt.Sprintf("%s partitioned %s, %s, for %s, from all hosts %v", role, cut.direction, cut.mode, cut.duration, cut.fromAll)
}

// hostsCutOff lists the hosts that the victim is partitioned from.
func (cluster *Cluster) hostsCutOff(cut networkCut, victim *Machine) []string {
	hosts := []string{}
	for _, machine := range cluster.Machines() {
		isControl := machine.Control != nil
		sameSide := machine.Front != nil && machine.Domain == victim.Domain
		if machine != victim && !sameSide && (isControl || cut.fromAll) {
			hosts = append(hosts, machine.Host)
		}
	}
	return hosts
}

func (cluster *Cluster) beginCut(cut networkCut, victim *Machine) {
	for _, other := range cluster.hostsCutOff(cut, victim) {
		switch {
		case cut.mode == refused:
			cluster.Network.RefuseConnections(victim.Host, other)
		case cut.direction == inboundOnly:
			cluster.Network.CutOneWay(other, victim.Host)
		case cut.direction == outboundOnly:
			cluster.Network.CutOneWay(victim.Host, other)
		default:
			cluster.Network.Cut(victim.Host, other)
		}
		if cut.mode == reset {
			cluster.Network.Disconnect(victim.Host, other)
		}
	}
}

func (cluster *Cluster) endCut(cut networkCut, victim *Machine) {
	for _, other := range cluster.hostsCutOff(cut, victim) {
		cluster.Network.Heal(victim.Host, other)
	}
}

// quorumRequest is a request that a control node may answer only with a quorum.
type quorumRequest struct {
	name string
	send func(ctx context.Context) error
}

// quorumRequests returns requests to one control node. With a quorum each gets a conclusive answer,
// which may be a rejection.
func (cluster *Cluster) quorumRequests(machine *Machine, caller *link.Client) []quorumRequest {
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
	return []quorumRequest{
		{"read the routing", func(ctx context.Context) error { _, err := node.ReadRouting(ctx); return err }},
		{"a stale request", func(ctx context.Context) error {
			return node.ReplaceRouting(ctx, "root", 0, oneRoute(1<<40, time.Second), "stale")
		}},
		{"set the state of an unknown domain", func(ctx context.Context) error { return node.SetDomainState(ctx, "root", "nowhere", feed.StateServing) }},
		{"decommission an unknown machine", func(ctx context.Context) error { return node.BeginDecommission(ctx, "root", "unknown", 0) }},
		{"decommission state of an unknown machine", func(ctx context.Context) error { _, err := node.DecommissionState(ctx, "unknown"); return err }},
		{"the config", through(http.MethodGet, "/v1/config", RootToken, nil)},
		{"an unknown token", through(http.MethodGet, "/v1/config", "unknown", nil)},
		{"the fleet", through(http.MethodGet, "/v1/fleet", RootToken, nil)},
		{"the changes", through(http.MethodPost, "/v1/query", RootToken, map[string]any{"text": "show changes"})},
		{"restore an unknown config", through(http.MethodPost, "/v1/query", RootToken, map[string]any{"text": "restore config 99999999"})},
		{"a number that was never assigned", through(http.MethodPatch, "/v1/config", RootToken, map[string]any{"path": "programs.dialogue.allowance", "value": 7, "expected": 99999999})},
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

// mustAnswerWithQuorum sends all requests to all control nodes, which have a quorum.
func (cluster *Cluster) mustAnswerWithQuorum(t *testing.T) {
	t.Helper()
	caller := link.NewClient(cluster.Network.At("10.8.1.1"))
	defer caller.Close()
	for _, machine := range cluster.Controls {
		for _, request := range cluster.quorumRequests(machine, caller) {
			ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
			if err := request.send(ctx); isInconclusive(err) {
				t.Errorf("%s at %s got no conclusive answer although there is a quorum: %v", request.name, machine.Host, err)
			}
			cancel()
		}
	}
}

// isInconclusive reports whether an error is neither a final rejection nor says anything about the
// current state.
func isInconclusive(err error) bool {
	for _, kind := range []apierror.Kind{apierror.NoQuorum, apierror.OutcomeUnknown, apierror.Unavailable, apierror.NotLeader} {
		if apierror.Is(err, kind) {
			return true
		}
	}
	return false
}

// checkNothingAnswered sends all requests to the partitioned node concurrently until a deadline: none
// may get a conclusive answer.
func (cluster *Cluster) checkNothingAnswered(t *testing.T, cut networkCut, victim *Machine, until time.Time) {
	t.Helper()
	caller := link.NewClient(cluster.Network.At("10.8.1.1"))
	defer caller.Close()
	var requests sync.WaitGroup
	for _, request := range cluster.quorumRequests(victim, caller) {
		requests.Go(func() {
			for time.Until(until) > 0 {
				ctx, cancel := context.WithTimeout(context.Background(), min(operatorTimeout, time.Until(until)))
				err := request.send(ctx)
				cancel()
				if !isInconclusive(err) {
					t.Errorf("%s: %s was answered: %v", cut, request.name, err)
					return
				}
				<-time.After(50 * time.Millisecond)
			}
		})
	}
	requests.Wait()
}

// TestPartitionedControlNodeAnswersNothing partitions a control node in every way and checks that it
// answers nothing meanwhile, while the others acknowledge changes. Afterwards it serves again within
// maxRecoveryTime and returns the newest revision.
func TestPartitionedControlNodeAnswersNothing(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(31)
		durations := []time.Duration{3 * time.Second, 12 * time.Second, 20 * time.Second}
		if err := cluster.sendRoutingRequest(0, operatorRequest{base: 0, next: oneRoute(1, time.Second), digest: "first"}); err != nil {
			t.Fatal(err)
		}
		cluster.mustAnswerWithQuorum(t)
		base, slowest := uint64(1), time.Duration(0)
		for _, leader := range []bool{true, false} {
			for _, direction := range []cutDirection{bothDirections, inboundOnly, outboundOnly} {
				for _, mode := range []cutMode{silent, reset, refused} {
					if mode == refused && direction != bothDirections {
						continue // refusing connections works in both directions only
					}
					cut := networkCut{leader: leader, direction: direction, mode: mode, duration: durations[random.IntN(len(durations))], fromAll: random.IntN(2) == 0}
					newest, took := cluster.runCut(t, cut, base)
					base, slowest = newest, max(slowest, took)
				}
			}
		}
		t.Logf("slowest recovery after a partition: %s", slowest)
	})
}

// runCut runs one partition and returns the newest revision and how long after the end of the
// partition its victim served.
func (cluster *Cluster) runCut(t *testing.T, cut networkCut, base uint64) (newest uint64, took time.Duration) {
	t.Helper()
	victim := cluster.leader()
	if !cut.leader {
		for _, machine := range cluster.Controls {
			if !machine.Control.IsLeader() {
				victim = machine
			}
		}
	}
	cluster.beginCut(cut, victim)
	until := time.Now().Add(cut.duration)
	var requests sync.WaitGroup
	requests.Go(func() { cluster.checkNothingAnswered(t, cut, victim, until) })
	raceResult := make(chan error, 1)
	race := operatorRequest{base: base, next: oneRoute(base+1, 7*time.Second), digest: fmt.Sprint("race ", base)}
	requests.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		raceResult <- victim.Control.ReplaceRouting(ctx, "root", race.base, race.next, race.digest)
	})
	other := 0
	for cluster.Controls[other] == victim {
		other++
	}
	acknowledged, raceBase := 0, base
	for time.Until(until) > 500*time.Millisecond {
		err := cluster.sendToOthers(victim, other, operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("beside ", base)})
		if err != nil {
			t.Fatalf("%s: a request at the other nodes: %v", cut, err)
		}
		base++
		acknowledged++
		<-time.After(200 * time.Millisecond)
	}
	requests.Wait()
	if err := <-raceResult; !isInconclusive(err) {
		t.Errorf("%s: the concurrent request at the victim: %v", cut, err)
	}
	<-time.After(time.Until(until))
	cluster.endCut(cut, victim)
	repaired := time.Now()
	cluster.mustServeAgain(t, cut, victim, base, repaired)
	took = time.Since(repaired)
	if took > maxRecoveryTime {
		t.Errorf("%s: recovered only after %s", cut, took)
	}
	if err := cluster.sendRoutingRequest(other, race); !apierror.Is(err, apierror.Conflict) {
		t.Errorf("%s: the concurrent request with base %d, resent at revision %d: %v", cut, raceBase, base, err)
	}
	return base + 1, took
}

// sendToOthers sends a request to the control nodes other than the victim.
func (cluster *Cluster) sendToOthers(victim *Machine, from int, request operatorRequest) error {
	return cluster.requestChange(from, ackTimeout, func(ctx context.Context, node *controlplane.Node) error {
		if node == victim.Control {
			return apierror.New(apierror.NoQuorum, "the node is partitioned", "ask another")
		}
		return node.ReplaceRouting(ctx, "root", request.base, request.next, request.digest)
	})
}

// mustServeAgain waits until a node has returned the newest revision and acknowledged a request.
func (*Cluster) mustServeAgain(t *testing.T, cut networkCut, machine *Machine, newest uint64, since time.Time) {
	t.Helper()
	request := operatorRequest{base: newest, next: oneRoute(newest+1, time.Second), digest: fmt.Sprint("after ", newest)}
	read := false
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		if !read {
			routing, err := machine.Control.ReadRouting(ctx)
			read = err == nil
			if read && routing.Revision != newest {
				t.Fatalf("%s: read revision %d after the partition; %d is the newest", cut, routing.Revision, newest)
			}
		}
		err := machine.Control.ReplaceRouting(ctx, "root", request.base, request.next, request.digest)
		cancel()
		if read && err == nil {
			return
		}
		if err != nil && !isInconclusive(err) {
			t.Fatalf("%s: a request after the partition: %v", cut, err)
		}
		if time.Since(since) > 10*time.Second {
			t.Fatalf("%s: does not serve 10 s after the partition: read %v, request %v", cut, read, err)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// TestPausedControlLeaderReturnsNothingStale freezes the leader, or slows or stalls its disk, while
// others acknowledge changes: its answer to a read is no older than what was acknowledged before
// the read was sent.
func TestPausedControlLeaderReturnsNothingStale(t *testing.T) {
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
			var readers sync.WaitGroup
			for range 4 {
				readers.Go(func() {
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
						if reported := shownRevision(t, answer); reported < atLeast {
							t.Errorf("round %d: read revision %d; %d was acknowledged before", round, reported, atLeast)
						}
						<-time.After(100 * time.Millisecond)
					}
				})
			}
			for time.Until(until) > 0 {
				err := cluster.sendToOthers(victim, 0, operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("meanwhile ", base)})
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
			cluster.mustServeAgain(t, networkCut{leader: true, mode: "frozen or slow", duration: fault.duration}, victim, base, repaired)
			base++
			if took := time.Since(repaired); took > maxRecoveryTime {
				t.Errorf("round %d: recovered only after %s", round, took)
			}
			readers.Wait()
			cluster.mustReadRouting(t, ackTimeout)
		}
	})
}
