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

// operatorRequest is an order of the routing as its operator sends it, again and again.
type operatorRequest struct {
	base   uint64
	next   config.Routing
	digest string
}

func (cluster *Cluster) sendRoutingRequest(from int, order operatorRequest) error {
	return cluster.replace(from, order.base, order.next, order.digest)
}

// twoOperators has two operators build on one revision; it gives the order that was
// acknowledged, and the other.
func (cluster *Cluster) twoOperators(t *testing.T, base, revision uint64) (won, lost operatorRequest) {
	t.Helper()
	orders := []operatorRequest{}
	for operator := range 2 {
		next := oneRoute(revision, time.Duration(operator+1)*time.Second)
		orders = append(orders, operatorRequest{base: base, next: next, digest: fmt.Sprintf("%d by %d", revision, operator)})
	}
	reported := make([]chan error, len(orders))
	for operator, order := range orders {
		reported[operator] = make(chan error, 1)
		go func() { reported[operator] <- cluster.sendRoutingRequest(operator, order) }()
	}
	results := []error{<-reported[0], <-reported[1]}
	winner := slices.Index(results, nil)
	if winner < 0 || !apierror.Is(results[1-winner], apierror.Conflict) {
		t.Fatalf("two operators on revision %d: %v", base, results)
	}
	return orders[winner], orders[1-winner]
}

// mustRepeatRequests sends a won and a lost order again, to each node.
func (cluster *Cluster) mustRepeatRequests(t *testing.T, when string, won, lost operatorRequest) {
	t.Helper()
	for from := range cluster.Controls {
		if err := cluster.sendRoutingRequest(from, won); err != nil {
			t.Fatalf("%s: the acknowledged order again, at %d: %v", when, from, err)
		}
		if err := cluster.sendRoutingRequest(from, lost); !apierror.Is(err, apierror.Conflict) {
			t.Fatalf("%s: the lost order again, at %d: %v", when, from, err)
		}
	}
}

// restartAll loses the power of all machines at once, and starts them.
func (cluster *Cluster) restartAll(t *testing.T) {
	t.Helper()
	machines := slices.Concat(cluster.Controls, cluster.Stores)
	for _, machine := range machines {
		machine.LosePower()
	}
	startAll(t, machines)
}

func startAll(t *testing.T, machines []*Machine) {
	t.Helper()
	for _, machine := range machines {
		if err := machine.Start(); err != nil {
			t.Fatal(err)
		}
	}
}

// loseControlDisks wipes the control nodes, so that the feed is recovered from the stores.
func (cluster *Cluster) loseControlDisks(t *testing.T) {
	t.Helper()
	for _, machine := range cluster.Controls {
		machine.Kill()
		machine.Wipe()
	}
	startAll(t, cluster.Controls)
	cluster.mustRead(t, 30*time.Second)
}

// TestRequestRepeatedAfterFaultsIsAcknowledged sends an acknowledged order and one that lost
// against it again after each kind of fault, and after other orders.
func TestRequestRepeatedAfterFaultsIsAcknowledged(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		won, lost := cluster.twoOperators(t, 0, 5)
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
			{"after a config was put", func() {
				if err := cluster.PutConfig(BasicConfig + "// again\n"); err != nil {
					t.Fatal(err)
				}
			}},
			{"after a total outage", func() { cluster.restartAll(t) }},
			{"after the loss of all control disks", func() { cluster.loseControlDisks(t) }},
		} {
			step.do()
			cluster.mustRepeatRequests(t, step.when, won, lost)
			for range 70 { // more than a routing itself remembers
				order := operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("then ", base+1)}
				if err := cluster.sendRoutingRequest(0, order); err != nil {
					t.Fatalf("%s: %v", step.when, err)
				}
				base++
			}
			cluster.mustRepeatRequests(t, step.when+", and 70 orders later", won, lost)
		}
		if read := cluster.mustRead(t, ackTimeout); read.Revision != base {
			t.Fatalf("revision %d is read, %d was acknowledged last", read.Revision, base)
		}
	})
}

// TestForgottenRequestIsNotRejected sends an order again after 3,000 others: it was taken, so
// it may not be refused, nor is it known any more.
func TestForgottenRequestIsNotRejected(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 1, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		if cluster.Seed%2 == 0 {
			return // so many requests take half a minute; snapshots are made at odd seeds
		}
		won, lost := cluster.twoOperators(t, 0, 5)
		base, orders := won.next.Revision, []operatorRequest{won}
		for range 3000 {
			order := operatorRequest{base: base, next: oneRoute(base+1, time.Second), digest: fmt.Sprint("then ", base+1)}
			if err := cluster.sendRoutingRequest(0, order); err != nil {
				t.Fatal(err)
			}
			base, orders = order.next.Revision, append(orders, order)
		}
		check := func(when string) {
			t.Helper()
			for position, order := range []operatorRequest{won, lost, orders[500]} {
				if err := cluster.sendRoutingRequest(position, order); !apierror.Is(err, apierror.NoQuorum) {
					t.Fatalf("%s: forgotten order %d again: %v", when, position, err)
				}
			}
			for _, order := range []operatorRequest{orders[1000], orders[2000], orders[3000]} {
				if err := cluster.sendRoutingRequest(1, order); err != nil {
					t.Fatalf("%s: the order of revision %d again: %v", when, order.next.Revision, err)
				}
			}
			stale := operatorRequest{base: base - 1, next: oneRoute(base+1, time.Second), digest: "stale"}
			if err := cluster.sendRoutingRequest(2, stale); !apierror.Is(err, apierror.Conflict) {
				t.Fatalf("%s: an order that was never taken: %v", when, err)
			}
		}
		check("at once")
		cluster.restartAll(t)
		check("after a total outage")
		cluster.loseControlDisks(t)
		check("after the loss of all control disks")
	})
}

// TestLostAnswersLeaveOneRequestOnABase has operators lose their answers, with a fault right
// after, and then send their orders again: one is acknowledged, the other refused.
func TestLostAnswersLeaveOneRequestOnABase(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(21)
		base := uint64(0)
		for round := range 12 {
			orders := []operatorRequest{}
			for operator := range 2 {
				next := oneRoute(base+1+uint64(random.IntN(3)), time.Duration(operator+1)*time.Second)
				orders = append(orders, operatorRequest{base: base, next: next, digest: fmt.Sprintf("round %d by %d", round, operator)})
			}
			lost := make(chan error, len(orders))
			for operator, order := range orders {
				node := cluster.Controls[random.IntN(3)].Control
				timeout := time.Duration(random.IntN(40)) * time.Millisecond
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					lost <- node.ReplaceRouting(ctx, fmt.Sprint("operator ", operator), order.base, order.next, order.digest)
				}()
			}
			<-time.After(time.Duration(random.IntN(50)) * time.Millisecond)
			switch round % 4 {
			case 1:
				killed := cluster.leader()
				killed.Kill()
				startAll(t, []*Machine{killed})
			case 2:
				cluster.restartAll(t)
			case 3:
				cut := cluster.leader()
				cluster.Network.Isolate(cut.Host)
				<-time.After(3 * time.Second)
				cluster.Network.Rejoin(cut.Host)
			}
			for range orders {
				<-lost
			}
			results := []error{}
			for operator, order := range orders {
				results = append(results, cluster.requestChange(operator, 12*time.Second, func(ctx context.Context, node *controlplane.Node) error {
					return node.ReplaceRouting(ctx, fmt.Sprint("operator ", operator), order.base, order.next, order.digest)
				}))
			}
			winner := slices.Index(results, nil)
			if winner < 0 || !apierror.Is(results[1-winner], apierror.Conflict) {
				t.Fatalf("round %d: %v", round, results)
			}
			base = orders[winner].next.Revision
			if read := cluster.mustRead(t, 10*time.Second); read.Revision != base || read.Routes[0].Timeout != orders[winner].next.Routes[0].Timeout {
				t.Fatalf("round %d: %+v is read, %+v was acknowledged", round, read, orders[winner].next)
			}
		}
	})
}

// administered sends an order of the administration API until it is acknowledged or
// refused.
func (cluster *Cluster) administered(method, path string, body any) (changed ChangeResult, err error) {
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

// TestNumberedAdminRequestsRepeated repeats each order of the administration
// API that names the number it builds on, after others and after faults: it is
// acknowledged under the number that it was given.
func TestNumberedAdminRequestsRepeated(t *testing.T) {
	type numbered struct {
		method, path string
		body         func(number uint64) map[string]any
	}
	orders := []numbered{
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
		type done struct {
			numbered
			sent   map[string]any
			number uint64
		}
		taken := []done{}
		for position, order := range orders {
			reported, err := cluster.fleet()
			if err != nil {
				t.Fatal(err)
			}
			sent := order.body(reported.ConfigNumber)
			changed, err := cluster.administered(order.method, order.path, sent)
			if err != nil {
				t.Fatalf("order %d: %v", position, err)
			}
			taken = append(taken, done{order, sent, changed.Number})
		}
		repeat := func(when string) {
			t.Helper()
			for position, order := range taken {
				changed, err := cluster.administered(order.method, order.path, order.sent)
				if err != nil || changed.Number != order.number {
					t.Fatalf("%s: order %d again: %v, number %d instead of %d", when, position, err, changed.Number, order.number)
				}
			}
			answer, err := cluster.Administer(http.MethodPatch, "/v1/config", map[string]any{"path": "programs.dialogue.allowance", "value": 79, "expected": taken[0].number - 1})
			if err != nil || answer.Error.Kind != string(apierror.Conflict) {
				t.Fatalf("%s: another order on a number that is not in force: %v %s", when, err, answer)
			}
		}
		repeat("at once")
		killed := cluster.leader()
		killed.Kill()
		repeat("with a new leader")
		startAll(t, []*Machine{killed})
		cluster.restartAll(t)
		repeat("after a total outage")
		cluster.loseControlDisks(t)
		repeat("after the loss of all control disks")
	})
}

// TestForwardedAdminRequestIsNotForwardedAgain asks each node what only the leader can answer: one that
// rejects it because it was forwarded already names the leader, and does so at once.
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

// revisionShown reads the revision in an answer to "show routes".
func revisionShown(t *testing.T, answer *Answer) uint64 {
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
