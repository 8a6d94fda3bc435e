package simulator

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/forwarding"
)

// operationShape is routedShape with two services that each keep a record of operations.
func operationShape() Shape {
	shape := routedShape
	shape.Records, shape.OtherRecords = 2, 2
	return shape
}

// operationRouting changes the services of a cluster's keyed routes.
type operationRouting struct {
	cluster  *Cluster
	revision uint64
}

// simulateOperations runs a test on a cluster whose keyed routes may be moved between services.
func simulateOperations(t *testing.T, body func(t *testing.T, cluster *Cluster, routing *operationRouting)) {
	t.Helper()
	simulate(t, operationShape(), func(t *testing.T, cluster *Cluster) {
		putTenants(t, cluster, 2, 0, 0, harborKey)
		if err := cluster.Await(10*time.Second, "receipt", func() error {
			return sendReceipt(cluster, fmt.Sprintf("ready-%d", time.Now().UnixNano()), "op-ready").Err
		}); err != nil {
			t.Fatal(err)
		}
		routing := &operationRouting{cluster: cluster, revision: 2}
		if err := routing.change(0, config.RoutingPatch{Services: []config.Service{{Name: "other-records", HealthPath: "/health", Deduplicates: true}}}); err != nil {
			t.Fatal(err)
		}
		body(t, cluster, routing)
	})
}

// change commits a change of the routing.
func (routing *operationRouting) change(from int, patch config.RoutingPatch) error {
	base := routing.revision
	routing.revision++
	patch.Revision = routing.revision
	return routing.cluster.requestChange(from, 8*time.Second, func(ctx context.Context, node *controlplane.Node) error {
		return node.PatchRouting(ctx, "root", base, patch, fmt.Sprintf("operations-%d", patch.Revision))
	})
}

// move sends the requests of a keyed route to other services, in equal shares.
func (routing *operationRouting) move(route string, services ...string) error {
	return routing.change(int(routing.revision), config.RoutingPatch{Routes: []config.Route{keyedRoute(route, services...)}})
}

// keyedRoute returns a keyed route to services, in equal shares.
func keyedRoute(name string, services ...string) config.Route {
	route := config.Route{
		Name: name, Host: RoutedHost, Prefix: "/" + name + "/", Kind: config.Keyed,
		Timeout: config.Duration(3 * time.Second), FirstByteTarget: config.Duration(500 * time.Millisecond), Urgency: 2, MaxAttempts: 2,
	}
	for _, service := range services {
		route.Shares = append(route.Shares, config.WeightedService{Service: service, Weight: 1})
	}
	return route
}

// serviceSets are the services that a keyed route may have.
var serviceSets = [][]string{{"tools"}, {"records"}, {"other-records"}, {"records", "other-records"}, {"records", "tools"}}

// sendKeyed sends a request of an operation on a keyed route.
func sendKeyed(cluster *Cluster, front *Machine, id, route, operation string) *ForwardedAnswer {
	return cluster.Forward(front, forwarding.Request{ID: id, Path: "/" + route + "/1", TenantKey: harborKey, OperationKey: operation, Deadline: time.Now().Add(3 * time.Second)})
}

// checkOperationsRanOnce checks that no operation of a tenant ran more than once. A run that broke off
// does not count at a service that keeps a record of its own.
func checkOperationsRanOnce(t *testing.T, cluster *Cluster) {
	t.Helper()
	runs := map[[2]string][]string{}
	for _, machine := range cluster.Engines {
		for _, execution := range machine.Engine.Executions() {
			key := execution.Header.Get(standin.OperationHeader)
			if key == "" || machine.Engine.Operations != nil && !execution.Ended {
				continue
			}
			name := [2]string{execution.Header.Get(standin.HeaderNames.Tenant), key}
			runs[name] = append(runs[name], execution.RequestID+" at "+machine.Group)
		}
	}
	for name, requests := range runs {
		if len(requests) > 1 {
			t.Errorf("TWICE: operation %q of tenant %q ran %d times: %v", name[1], name[0], len(requests), requests)
		}
	}
}

// TestOperationRunsOnceWhenItsRouteMoves guards against repeats that run again at another service, after
// a change has moved or split the route, and that get another answer than the first request.
func TestOperationRunsOnceWhenItsRouteMoves(t *testing.T) {
	simulateOperations(t, func(t *testing.T, cluster *Cluster, routing *operationRouting) {
		for from, before := range serviceSets {
			for to, after := range serviceSets {
				if err := routing.move("receipt", before...); err != nil {
					t.Fatal(err)
				}
				cluster.Sleep(2 * time.Second)
				key := fmt.Sprintf("op-%d-%d", from, to)
				first := sendKeyed(cluster, cluster.Fronts[0], key+"-first", "receipt", key)
				if !first.Complete() {
					t.Fatalf("%v: %d %v", before, first.Status, first.Err)
				}
				if err := routing.move("receipt", after...); err != nil {
					t.Fatal(err)
				}
				cluster.Sleep(2 * time.Second)
				for number, front := range cluster.Fronts {
					repeat := sendKeyed(cluster, front, fmt.Sprintf("%s-repeat-%d", key, number), "receipt", key)
					if !repeat.Complete() || string(repeat.Body) != string(first.Body) || repeat.Header.Get("Seal") != first.Header.Get("Seal") {
						t.Errorf("from %v to %v: %d %q %v, the first got %q", before, after, repeat.Status, repeat.Body, repeat.Err, first.Body)
					}
				}
			}
		}
		checkOperationsRanOnce(t, cluster)
	})
}

// TestOperationOfASplitRouteIsSentToOneService guards against a request whose answer was lost and that
// the front sends again to another service, which has no record of it.
func TestOperationOfASplitRouteIsSentToOneService(t *testing.T) {
	simulateOperations(t, func(t *testing.T, cluster *Cluster, routing *operationRouting) {
		if err := routing.move("receipt", "records", "other-records"); err != nil {
			t.Fatal(err)
		}
		cluster.Sleep(2 * time.Second)
		answered := 0
		for number := range 20 {
			for _, machine := range cluster.Engines {
				machine.Engine.SetFault(standin.FaultLoseAnswer)
			}
			time.AfterFunc(15*time.Millisecond, func() { setFault(cluster, standin.NoFault) })
			key := fmt.Sprintf("op-%d", number)
			if answer := sendKeyed(cluster, cluster.Fronts[number%len(cluster.Fronts)], key+"-first", "receipt", key); answer.Complete() {
				answered++
			}
			setFault(cluster, standin.NoFault)
		}
		checkOperationsRanOnce(t, cluster)
		if answered < 10 {
			t.Errorf("only %d of 20 operations were answered after a lost answer", answered)
		}
	})
}

// TestOperationIsNotSentElsewhereAfterItsRequestGaveUp guards against the next attempt at an operation
// that runs at another service while a repeat, which joined the attempt before, runs it at the first.
func TestOperationIsNotSentElsewhereAfterItsRequestGaveUp(t *testing.T) {
	const latency = 300 * time.Millisecond
	simulateOperations(t, func(t *testing.T, cluster *Cluster, routing *operationRouting) {
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies.PlainAnswer = latency
		}
		records := slices.DeleteFunc(slices.Clone(cluster.Engines), func(machine *EngineMachine) bool { return machine.Group != "records" })
		for number := range 6 {
			if err := routing.move("receipt", "records"); err != nil {
				t.Fatal(err)
			}
			cluster.Sleep(2 * time.Second)
			// Both runners refuse the first request, one after the other. One of them runs the repeat, which
			// comes in between.
			key := fmt.Sprintf("op-%d", number)
			setFault(cluster, standin.FaultNotRunLate)
			var requests sync.WaitGroup
			requests.Go(func() {
				if first := sendKeyed(cluster, cluster.Fronts[0], key+"-first", "receipt", key); !first.Rejected() {
					t.Errorf("first: %d %v", first.Status, first.Err)
				}
			})
			cluster.Sleep(latency + time.Duration(30+cluster.Random(uint64(number)).IntN(200))*time.Millisecond)
			tried := slices.IndexFunc(records, func(machine *EngineMachine) bool {
				return len(machine.Engine.Arrivals()) > 0 && time.Since(machine.Engine.Arrivals()[len(machine.Engine.Arrivals())-1]) > latency
			})
			if tried < 0 {
				t.Fatal("no runner has refused the first request")
			}
			records[tried].Engine.SetFault(standin.NoFault)
			requests.Go(func() { sendKeyed(cluster, cluster.Fronts[1], key+"-repeat", "receipt", key) })
			requests.Wait()
			setFault(cluster, standin.NoFault)
			if err := routing.move("receipt", "other-records"); err != nil {
				t.Fatal(err)
			}
			cluster.Sleep(2 * time.Second)
			sendKeyed(cluster, cluster.Fronts[0], key+"-moved", "receipt", key)
			if executionsOf(cluster, key+"-repeat") != 1 {
				t.Errorf("%s: the repeat did not run", key)
			}
		}
		checkOperationsRanOnce(t, cluster)
	})
}

// TestOperationsRunOnceThroughMovesAndLosses sends each operation several times, on any keyed route and
// at any front, while the routes move between services, answers are lost, runners refuse requests, and
// stores and fronts are killed; and again after all machines have lost power.
func TestOperationsRunOnceThroughMovesAndLosses(t *testing.T) {
	const operations, repeats, duration = 80, 5, 15 * time.Second
	simulateOperations(t, func(t *testing.T, cluster *Cluster, routing *operationRouting) {
		random := cluster.Random(97)
		answers := &operationAnswers{bodies: map[string]string{}}
		var work sync.WaitGroup
		work.Go(func() { killInTurn(t, cluster, duration) })
		work.Go(func() { moveRoutes(routing, cluster.Random(96), duration) })
		work.Go(func() { drawFaults(cluster, cluster.Random(95), duration) })
		for number := range operations {
			key := fmt.Sprintf("op-%d", number)
			began := time.Duration(random.Int64N(int64(duration)))
			for repeat := range repeats {
				// Half of the repeats come while the request before may still be under way.
				wait := began + time.Duration(random.Int64N(int64([]time.Duration{30 * time.Millisecond, 4 * time.Second}[random.IntN(2)])))
				front, route := cluster.Fronts[random.IntN(len(cluster.Fronts))], []string{"booking", "receipt"}[random.IntN(2)]
				work.Go(func() {
					cluster.Sleep(wait)
					answers.check(t, key, sendKeyed(cluster, front, fmt.Sprintf("%s-%d", key, repeat), route, key))
				})
			}
		}
		work.Wait()
		setFault(cluster, standin.NoFault)
		cluster.cyclePower(t)
		if err := cluster.Await(12*time.Second, "operation after the outage", func() error {
			key := fmt.Sprintf("op-probe-%d", time.Now().UnixNano())
			return sendBooking(cluster, cluster.Fronts[0], key, harborKey, key).Err
		}); err != nil {
			t.Error(err)
		}
		for number := range operations {
			key := fmt.Sprintf("op-%d", number)
			answers.check(t, key, sendKeyed(cluster, cluster.Fronts[number%len(cluster.Fronts)], key+"-after", []string{"booking", "receipt"}[number%2], key))
		}
		checkOperationsRanOnce(t, cluster)
		if len(answers.bodies) < operations/2 {
			t.Errorf("only %d of %d operations were answered", len(answers.bodies), operations)
		}
	})
}

// moveRoutes moves the keyed routes between services, in series and in quick succession.
func moveRoutes(routing *operationRouting, random *rand.Rand, duration time.Duration) {
	for began := time.Now(); time.Since(began) < duration; {
		<-time.After(time.Duration(random.Int64N(int64(2 * time.Second))))
		for range 1 + random.IntN(3) {
			if random.IntN(4) == 0 {
				// A service may begin or cease to be one that deduplicates. Its runners keep their table.
				service := config.Service{Name: []string{"records", "other-records"}[random.IntN(2)], HealthPath: "/health", Deduplicates: random.IntN(2) == 0}
				if routing.change(int(routing.revision), config.RoutingPatch{Services: []config.Service{service}}) != nil {
					routing.read()
				}
			}
			// A change without an acknowledgement may be in force: the next one is based on what is read.
			if routing.move([]string{"booking", "receipt"}[random.IntN(2)], serviceSets[random.IntN(len(serviceSets))]...) != nil {
				routing.read()
			}
		}
	}
}

// read sets the revision to the newest one.
func (routing *operationRouting) read() {
	_ = routing.cluster.requestChange(0, 8*time.Second, func(ctx context.Context, node *controlplane.Node) error {
		current, err := node.ReadRouting(ctx)
		if err == nil {
			routing.revision = current.Revision
		}
		return err
	})
}

// drawFaults lets single engines lose an answer, refuse a request or answer slowly, one at a time.
func drawFaults(cluster *Cluster, random *rand.Rand, duration time.Duration) {
	machines := slices.DeleteFunc(slices.Clone(cluster.Engines), func(machine *EngineMachine) bool { return machine.Group == "engines" })
	for began := time.Now(); time.Since(began) < duration; <-time.After(time.Duration(random.Int64N(int64(600 * time.Millisecond)))) {
		machine := machines[random.IntN(len(machines))]
		machine.Engine.InjectFaults([]standin.Fault{standin.FaultLoseAnswer, standin.FaultLoseAnswer, standin.FaultNotRun}[random.IntN(3)])
	}
}

// TestOperationBoundToAServiceThatIsGone: after an answer did not come in time and its route has moved to another
// service, a repeat gets the answer that the outcome is not known, and it does not run; when the route
// has moved back, the service has the answer.
func TestOperationBoundToAServiceThatIsGone(t *testing.T) {
	simulateOperations(t, func(t *testing.T, cluster *Cluster, routing *operationRouting) {
		setFault(cluster, standin.FaultHang)
		if first := sendKeyed(cluster, cluster.Fronts[0], "first", "receipt", "op-1"); first.Complete() {
			t.Errorf("%d %v", first.Status, first.Err)
		}
		setFault(cluster, standin.NoFault)
		if err := routing.move("receipt", "tools"); err != nil {
			t.Fatal(err)
		}
		cluster.Sleep(20 * time.Second)
		if repeat := sendKeyed(cluster, cluster.Fronts[1], "moved", "receipt", "op-1"); !apierror.Is(repeat.Err, apierror.Unknown) || executionsOf(cluster, "moved") != 0 {
			t.Errorf("moved: %d %q %v", repeat.Status, repeat.Body, repeat.Err)
		}
		if err := routing.move("receipt", "records"); err != nil {
			t.Fatal(err)
		}
		cluster.Sleep(2 * time.Second)
		back := sendKeyed(cluster, cluster.Fronts[1], "back", "receipt", "op-1")
		if !back.Complete() {
			t.Errorf("back: %d %v", back.Status, back.Err)
		}
		if err := routing.move("receipt", "tools"); err != nil {
			t.Fatal(err)
		}
		cluster.Sleep(2 * time.Second)
		if again := sendKeyed(cluster, cluster.Fronts[0], "again", "receipt", "op-1"); !again.Complete() || string(again.Body) != string(back.Body) {
			t.Errorf("again: %d %q %v, want %q", again.Status, again.Body, again.Err, back.Body)
		}
		checkOperationsRanOnce(t, cluster)
	})
}

// TestFailureOfADeduplicatingServiceIsNotRecorded guards against repeats that get a runner's failure although
// their service would run the operation, or has its answer.
func TestFailureOfADeduplicatingServiceIsNotRecorded(t *testing.T) {
	simulateOperations(t, func(t *testing.T, cluster *Cluster, _ *operationRouting) {
		setFault(cluster, standin.FaultServerErrorUnrun)
		if first := sendKeyed(cluster, cluster.Fronts[0], "first", "receipt", "op-1"); first.Status != http.StatusInternalServerError {
			t.Errorf("%d %v", first.Status, first.Err)
		}
		setFault(cluster, standin.NoFault)
		cluster.Sleep(time.Second)
		if repeat := sendKeyed(cluster, cluster.Fronts[1], "repeat", "receipt", "op-1"); !repeat.Complete() || executionsOf(cluster, "repeat") != 1 {
			t.Errorf("%d %q %v", repeat.Status, repeat.Body, repeat.Err)
		}
		checkOperationsRanOnce(t, cluster)
	})
}

// TestKeyRunsOnceOnRoutesOfAllKinds guards against a key that runs again as its second try comes on a route
// of another kind, and against attempts that a repeatable route would allow beside each other.
func TestKeyRunsOnceOnRoutesOfAllKinds(t *testing.T) {
	simulateOperations(t, func(t *testing.T, cluster *Cluster, _ *operationRouting) {
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies.PlainAnswer = 900 * time.Millisecond
		}
		paths := []string{"/booking/1", "/receipt/1", "/lookup/1", "/order/1", "/talk/chat/1", "/talk/kept/1"}
		stream := func(path string) bool { return path[:6] == "/talk/" }
		var requests sync.WaitGroup
		for from, before := range paths {
			requests.Go(func() {
				send := func(front int, id, path, key string) *ForwardedAnswer {
					return cluster.Forward(cluster.Fronts[front], forwarding.Request{ID: id, Path: path, Program: id, TenantKey: harborKey, OperationKey: key, Deadline: time.Now().Add(4 * time.Second)})
				}
				for to, after := range paths {
					key := fmt.Sprintf("op-%d-%d", from, to)
					first := send(0, key+"-first", before, key)
					if !first.Complete() {
						t.Errorf("%s: %d %v", before, first.Status, first.Err)
					}
					cluster.Sleep(100 * time.Millisecond)
					repeat := send(1, key+"-repeat", after, key)
					switch {
					case executionsOf(cluster, key+"-repeat") != 0:
						t.Errorf("TWICE: from %s to %s the repeat ran: %d %q", before, after, repeat.Status, repeat.Body)
					case stream(before) && !apierror.Is(repeat.Err, apierror.Unknown):
						t.Errorf("from %s to %s: %d %v", before, after, repeat.Status, repeat.Err)
					case !stream(before) && string(repeat.Body) != string(first.Body):
						t.Errorf("MIXED: from %s to %s: %d %q %v, the first got %q", before, after, repeat.Status, repeat.Body, repeat.Err, first.Body)
					}
				}
			})
		}
		requests.Wait()
		checkOperationsRanOnce(t, cluster)
	})
}

// logEntries returns the number of entries in the logs of all groups.
func logEntries(cluster *Cluster) (entries uint64) {
	for group := range uint32(cluster.groups) {
		last := uint64(0)
		for _, machine := range cluster.Stores {
			if status, found := machine.Store.Host().Status(group); found {
				last = max(last, status.LastIndex)
			}
		}
		entries += last
	}
	return entries
}

// TestLogEntriesOfAnOperation guards against operations that cost more than the design page says: three
// log entries in two commits, and for a repeat two in one. The archive adds some now and then.
func TestLogEntriesOfAnOperation(t *testing.T) {
	const operations = 60
	simulateOperations(t, func(t *testing.T, cluster *Cluster, _ *operationRouting) {
		measure := func(name, route string, bound float64) {
			before, began := logEntries(cluster), time.Now()
			for number := range operations {
				if answer := sendKeyed(cluster, cluster.Fronts[number%len(cluster.Fronts)], fmt.Sprint(name, number), route, fmt.Sprint(route, number)); !answer.Complete() {
					t.Errorf("%s: %d %v", name, answer.Status, answer.Err)
				}
			}
			duration := time.Since(began)
			cluster.Sleep(time.Second) // the responses are recorded
			after := logEntries(cluster)
			cluster.Sleep(duration + time.Second)
			idle := logEntries(cluster) - after
			perOperation := (float64(after-before) - float64(idle)) / operations
			t.Logf("%s: %.2f log entries, %v each", name, perOperation, (duration / operations).Round(100*time.Microsecond))
			if math.Round(perOperation) > bound {
				t.Errorf("%s: %.2f log entries an operation, want at most %v", name, perOperation, bound)
			}
		}
		measure("first at a service that deduplicates ", "receipt", 3)
		measure("first at a service that does not ", "booking", 3)
		measure("repeat at a service that deduplicates ", "receipt", 2)
	})
}
