package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// operatorRequest is a request to replace the routing, as its operator sends and resends it.
type operatorRequest struct {
	base   uint64
	next   config.Routing
	digest string
}

func (cluster *Cluster) sendRoutingRequest(from int, request operatorRequest) error {
	return cluster.replaceRouting(from, request.base, request.next, request.digest)
}

// raceTwoOperators sends two concurrent requests with the same base revision. It returns the one
// that was acknowledged and the one that was rejected.
func (cluster *Cluster) raceTwoOperators(t *testing.T, base, revision uint64) (won, lost operatorRequest) {
	t.Helper()
	requests := []operatorRequest{}
	for operator := range 2 {
		next := oneRoute(revision, time.Duration(operator+1)*time.Second)
		requests = append(requests, operatorRequest{base: base, next: next, digest: fmt.Sprintf("%d by %d", revision, operator)})
	}
	acknowledgements := make([]chan error, len(requests))
	for operator, request := range requests {
		acknowledgements[operator] = make(chan error, 1)
		go func() { acknowledgements[operator] <- cluster.sendRoutingRequest(operator, request) }()
	}
	results := []error{<-acknowledgements[0], <-acknowledgements[1]}
	winner := slices.Index(results, nil)
	if winner < 0 || !apierror.Is(results[1-winner], apierror.Conflict) {
		t.Fatalf("two requests with base revision %d: %v", base, results)
	}
	return requests[winner], requests[1-winner]
}

// mustRepeatRequests resends an acknowledged and a rejected request to each control node, which
// must answer as before.
func (cluster *Cluster) mustRepeatRequests(t *testing.T, when string, won, lost operatorRequest) {
	t.Helper()
	for from := range cluster.Controls {
		if err := cluster.sendRoutingRequest(from, won); err != nil {
			t.Fatalf("%s: the acknowledged request, resent to control node %d: %v", when, from, err)
		}
		if err := cluster.sendRoutingRequest(from, lost); !apierror.Is(err, apierror.Conflict) {
			t.Fatalf("%s: the rejected request, resent to control node %d: %v", when, from, err)
		}
	}
}

// restartControlsAndStores cuts the power of all control nodes and stores at once and starts them
// again.
func (cluster *Cluster) restartControlsAndStores(t *testing.T) {
	t.Helper()
	machines := slices.Concat(cluster.Controls, cluster.Stores)
	for _, machine := range machines {
		machine.LosePower()
	}
	startAll(t, machines)
}

// startAll starts machines in order.
func startAll(t *testing.T, machines []*Machine) {
	t.Helper()
	for _, machine := range machines {
		if err := machine.Start(); err != nil {
			t.Fatal(err)
		}
	}
}

// wipeControls loses the disks of all control nodes and waits until they have recovered the feed
// from the stores.
func (cluster *Cluster) wipeControls(t *testing.T) {
	t.Helper()
	for _, machine := range cluster.Controls {
		machine.Kill()
		machine.Wipe()
	}
	startAll(t, cluster.Controls)
	cluster.mustReadRouting(t, 30*time.Second)
}

// TestRequestRepeatedAfterFaultsIsAcknowledged resends an acknowledged request and one that was
// rejected in its favor, after each kind of fault and after other requests.
func TestRequestRepeatedAfterFaultsIsAcknowledged(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		won, lost := cluster.raceTwoOperators(t, 0, 5)
		base := won.next.Revision
		for _, step := range []struct {
			when string
			do   func()
		}{
			{"at once", func() {}},
			{"with a new leader", func() {
				killed := cluster.leader()
				killed.Kill()
				startAll(t, []*Machine{killed})
			}},
			{"after a config change", func() {
				if err := cluster.PutConfig(BasicConfig + "// again\n"); err != nil {
					t.Fatal(err)
				}
			}},
			{"after a total outage", func() { cluster.restartControlsAndStores(t) }},
			{"after the loss of all control disks", func() { cluster.wipeControls(t) }},
		} {
			step.do()
			cluster.mustRepeatRequests(t, step.when, won, lost)
			for range 70 { // more requests than the routing itself records
				request := operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("then ", base+1)}
				if err := cluster.sendRoutingRequest(0, request); err != nil {
					t.Fatalf("%s: %v", step.when, err)
				}
				base++
			}
			cluster.mustRepeatRequests(t, step.when+", and 70 requests later", won, lost)
		}
		if read := cluster.mustReadRouting(t, ackTimeout); read.Revision != base {
			t.Fatalf("read revision %d; %d was acknowledged last", read.Revision, base)
		}
	})
}

// TestForgottenRequestIsNotRejected resends a request after 3,000 others. Its record is gone, so
// its outcome is unknown: it must be neither acknowledged nor rejected.
func TestForgottenRequestIsNotRejected(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 1, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		if cluster.Seed%2 == 0 {
			return // saves half a minute per seed; only odd seeds make snapshots
		}
		won, lost := cluster.raceTwoOperators(t, 0, 5)
		base, requests := won.next.Revision, []operatorRequest{won}
		for range 3000 {
			request := operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("then ", base+1)}
			if err := cluster.sendRoutingRequest(0, request); err != nil {
				t.Fatal(err)
			}
			base, requests = request.next.Revision, append(requests, request)
		}
		check := func(when string) {
			t.Helper()
			for position, request := range []operatorRequest{won, lost, requests[500]} {
				if err := cluster.sendRoutingRequest(position, request); !apierror.Is(err, apierror.NoQuorum) {
					t.Fatalf("%s: forgotten request %d, resent: %v", when, position, err)
				}
			}
			for _, request := range []operatorRequest{requests[1000], requests[2000], requests[3000]} {
				if err := cluster.sendRoutingRequest(1, request); err != nil {
					t.Fatalf("%s: the request for revision %d, resent: %v", when, request.next.Revision, err)
				}
			}
			stale := operatorRequest{base: base - 1, next: oneRoute(base+1, time.Second), digest: "stale"}
			if err := cluster.sendRoutingRequest(2, stale); !apierror.Is(err, apierror.Conflict) {
				t.Fatalf("%s: a request with a stale base: %v", when, err)
			}
		}
		check("at once")
		cluster.restartControlsAndStores(t)
		check("after a total outage")
		cluster.wipeControls(t)
		check("after the loss of all control disks")
	})
}

// TestLostResponsesAcknowledgeOneRequestPerBase times out two concurrent requests, injects a fault
// and resends both: exactly one is acknowledged, the other is rejected.
func TestLostResponsesAcknowledgeOneRequestPerBase(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(21)
		base := uint64(0)
		for round := range 12 {
			requests := []operatorRequest{}
			for operator := range 2 {
				next := oneRoute(base+1+uint64(random.IntN(3)), time.Duration(operator+1)*time.Second)
				requests = append(requests, operatorRequest{base: base, next: next, digest: fmt.Sprintf("round %d by %d", round, operator)})
			}
			outcomes := make(chan error, len(requests))
			for operator, request := range requests {
				node := cluster.Controls[random.IntN(3)].Control
				timeout := time.Duration(random.IntN(40)) * time.Millisecond
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					outcomes <- node.ReplaceRouting(ctx, fmt.Sprint("operator ", operator), request.base, request.next, request.digest)
				}()
			}
			<-time.After(time.Duration(random.IntN(50)) * time.Millisecond)
			switch round % 4 {
			case 1:
				killed := cluster.leader()
				killed.Kill()
				startAll(t, []*Machine{killed})
			case 2:
				cluster.restartControlsAndStores(t)
			case 3:
				cut := cluster.leader()
				cluster.Network.Isolate(cut.Host)
				<-time.After(3 * time.Second)
				cluster.Network.Rejoin(cut.Host)
			}
			for range requests {
				<-outcomes
			}
			results := []error{}
			for operator, request := range requests {
				results = append(results, cluster.requestChange(operator, 12*time.Second, func(ctx context.Context, node *controlplane.Node) error {
					return node.ReplaceRouting(ctx, fmt.Sprint("operator ", operator), request.base, request.next, request.digest)
				}))
			}
			winner := slices.Index(results, nil)
			if winner < 0 || !apierror.Is(results[1-winner], apierror.Conflict) {
				t.Fatalf("round %d: %v", round, results)
			}
			base = requests[winner].next.Revision
			if read := cluster.mustReadRouting(t, 10*time.Second); read.Revision != base || read.Routes[0].Timeout != requests[winner].next.Routes[0].Timeout {
				t.Fatalf("round %d: read %+v; %+v was acknowledged", round, read, requests[winner].next)
			}
		}
	})
}

// retryAdminRequest sends a request of the administration API until it is acknowledged or
// rejected.
func (cluster *Cluster) retryAdminRequest(method, path string, body any) (changed ChangeResult, err error) {
	err = cluster.Await(12*time.Second, "acknowledgement", func() error {
		answer, err := cluster.Administer(method, path, body)
		if err != nil {
			return err
		}
		if answer.Status != http.StatusOK {
			return &answer.Error
		}
		if err := json.Unmarshal(answer.Body, &changed); err != nil || !changed.Acknowledged {
			return errors.Join(err, errors.New("not acknowledged"))
		}
		return nil
	})
	return changed, err
}

// TestNumberedAdminRequestsRepeated resends each kind of administration request that names the
// config number it expects, after other requests and after faults: it is acknowledged with the
// number that it got first.
func TestNumberedAdminRequestsRepeated(t *testing.T) {
	type numberedRequest struct {
		method, path string
		body         func(number uint64) map[string]any
	}
	requests := []numberedRequest{
		{http.MethodPut, "/v1/config", func(number uint64) map[string]any {
			return map[string]any{"source": Config(BasicConfig), "expected": number}
		}},
		{http.MethodPatch, "/v1/config", func(number uint64) map[string]any {
			return map[string]any{"path": "programs.dialogue.allowance", "value": 77, "expected": number}
		}},
		{http.MethodPost, "/v1/query", func(number uint64) map[string]any {
			return map[string]any{"text": fmt.Sprintf("set allowance dialogue 78 expect %d", number)}
		}},
		{http.MethodPost, "/v1/query", func(number uint64) map[string]any {
			return map[string]any{"text": fmt.Sprintf("empty domain east expect %d", number)}
		}},
		{http.MethodPost, "/v1/query", func(number uint64) map[string]any {
			return map[string]any{"text": fmt.Sprintf("empty domain east expect %d", number)}
		}},
		{http.MethodPost, "/v1/query", func(number uint64) map[string]any {
			return map[string]any{"text": fmt.Sprintf("restore config %d expect %d", number, number)}
		}},
	}
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		type acknowledgedRequest struct {
			numberedRequest
			sent   map[string]any
			number uint64
		}
		acknowledged := []acknowledgedRequest{}
		for position, request := range requests {
			reported, err := cluster.fleet()
			if err != nil {
				t.Fatal(err)
			}
			sent := request.body(reported.ConfigNumber)
			changed, err := cluster.retryAdminRequest(request.method, request.path, sent)
			if err != nil {
				t.Fatalf("request %d: %v", position, err)
			}
			acknowledged = append(acknowledged, acknowledgedRequest{request, sent, changed.Number})
		}
		repeat := func(when string) {
			t.Helper()
			for position, request := range acknowledged {
				changed, err := cluster.retryAdminRequest(request.method, request.path, request.sent)
				if err != nil || changed.Number != request.number {
					t.Fatalf("%s: request %d, resent: %v, number %d instead of %d", when, position, err, changed.Number, request.number)
				}
			}
			answer, err := cluster.Administer(http.MethodPatch, "/v1/config", map[string]any{"path": "programs.dialogue.allowance", "value": 79, "expected": acknowledged[0].number - 1})
			if err != nil || answer.Error.Kind != string(apierror.Conflict) {
				t.Fatalf("%s: another request that expects a superseded number: %v %s", when, err, answer)
			}
		}
		repeat("at once")
		killed := cluster.leader()
		killed.Kill()
		repeat("with a new leader")
		startAll(t, []*Machine{killed})
		cluster.restartControlsAndStores(t)
		repeat("after a total outage")
		cluster.wipeControls(t)
		repeat("after the loss of all control disks")
	})
}

// TestForwardedAdminRequestIsNotForwardedAgain sends each node requests that only the leader can
// answer: a follower rejects one that was forwarded already at once, and names the leader.
func TestForwardedAdminRequestIsNotForwardedAgain(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		caller := link.NewClient(cluster.Network.At("10.8.1.1"))
		defer caller.Close()
		leader := cluster.leader().Control.Name()
		requests := map[string]wire.Query{
			"confirm":        {Which: schema.Query_Which_follow, Follow: &wire.FollowQuery{ConfirmOnly: true}},
			"confirm shared": {Which: schema.Query_Which_follow, Follow: &wire.FollowQuery{ConfirmOnly: true, Wait: 200 * time.Millisecond}},
			"await":          {Which: schema.Query_Which_change, Change: &wire.ChangeQuery{AwaitView: 1}},
			"change":         {Which: schema.Query_Which_change, Change: &wire.ChangeQuery{Change: feed.Change{Kind: feed.ChangeDomain, Domain: feed.Domain{Name: "east", State: feed.StateDrained}}}},
		}
		for name, request := range requests {
			for _, machine := range cluster.Controls {
				for _, forwarded := range []bool{true, false} {
					request.Forwarded = forwarded
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					began := time.Now()
					_, err := caller.Call(ctx, machine.Host+":7000", &request)
					took := time.Since(began)
					cancel()
					switch {
					case forwarded && machine.Control.Name() != leader:
						if !apierror.Is(err, apierror.NotLeader) || apierror.Of(err).Leader != leader || took > 250*time.Millisecond {
							t.Errorf("%s, forwarded, at a follower: %v after %s", name, err, took)
						}
					case err != nil:
						t.Errorf("%s, forwarded %v: %v", name, forwarded, err)
					}
				}
			}
		}
	})
}

// shownRevision returns the revision in an answer to "show routes".
func shownRevision(t *testing.T, answer *Answer) uint64 {
	t.Helper()
	var reported struct{ Rows [][]string }
	if err := json.Unmarshal(answer.Body, &reported); err != nil || len(reported.Rows) != 1 {
		t.Fatalf("%v: %s", err, answer)
	}
	var revision uint64
	if _, err := fmt.Sscan(reported.Rows[0][len(reported.Rows[0])-1], &revision); err != nil {
		t.Fatal(err)
	}
	return revision
}
