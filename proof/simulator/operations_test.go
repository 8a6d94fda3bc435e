package simulator

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// sendBooking sends a request of an operation that the fronts record.
func sendBooking(cluster *Cluster, front *Machine, id, tenantKey, operation string) *ForwardedAnswer {
	return cluster.Forward(front, forwarding.Request{ID: id, Path: "/booking/1", TenantKey: tenantKey, OperationKey: operation, Deadline: time.Now().Add(3 * time.Second)})
}

// TestRepeatedOperationGetsTheFirstAnswer guards against repeats that run again, or that get another
// answer than the first request.
func TestRepeatedOperationGetsTheFirstAnswer(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		first := sendBooking(cluster, cluster.Fronts[0], "first", harborKey, "op-1")
		if !first.Complete() {
			t.Fatalf("%d %v", first.Status, first.Err)
		}
		for number, front := range cluster.Fronts {
			id := fmt.Sprintf("repeat-%d", number)
			repeat := sendBooking(cluster, front, id, harborKey, "op-1")
			if !repeat.Complete() || string(repeat.Body) != string(first.Body) || repeat.Header.Get("Seal") != first.Header.Get("Seal") || executionsOf(cluster, id) != 0 {
				t.Errorf("%s: %d %q %v, the first got %q", id, repeat.Status, repeat.Body, repeat.Err, first.Body)
			}
		}
		if other := sendBooking(cluster, cluster.Fronts[0], "other-tenant", hillKey, "op-1"); !other.Complete() || executionsOf(cluster, "other-tenant") != 1 {
			t.Errorf("the same key of another tenant: %d %v", other.Status, other.Err)
		}
		if missing := sendBooking(cluster, cluster.Fronts[0], "no-key", harborKey, ""); !apierror.Is(missing.Err, apierror.Invalid) {
			t.Errorf("without an operation key: %d %v", missing.Status, missing.Err)
		}
	})
}

// TestOperationInProgressIsNotRunAgain sends repeats through all fronts while the first request runs.
func TestOperationInProgressIsNotRunAgain(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies.PlainAnswer = time.Second
		}
		var requests sync.WaitGroup
		requests.Go(func() {
			if first := sendBooking(cluster, cluster.Fronts[0], "first", harborKey, "op-1"); !first.Complete() {
				t.Errorf("%d %v", first.Status, first.Err)
			}
		})
		cluster.Sleep(300 * time.Millisecond)
		for number, front := range cluster.Fronts {
			id := fmt.Sprintf("repeat-%d", number)
			if repeat := sendBooking(cluster, front, id, harborKey, "op-1"); !apierror.Is(repeat.Err, apierror.Conflict) || executionsOf(cluster, id) != 0 {
				t.Errorf("%s: %d %v", id, repeat.Status, repeat.Err)
			}
		}
		requests.Wait()
	})
}

// TestRequestsOfOneIDRunOnce guards against a request that takes the record of another one with the same
// ID, at the same front, for its own: a client may send the same bytes again on another connection.
func TestRequestsOfOneIDRunOnce(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		for number := range 5 {
			key, turn := fmt.Sprintf("op-%d", number), fmt.Sprintf("turn-%d", number)
			sendTurn := func() {
				cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: turn, Path: "/talk/kept/1", Program: "p", TenantKey: harborKey, Body: []byte("words")})
			}
			var requests sync.WaitGroup
			for range 3 {
				requests.Go(func() { sendBooking(cluster, cluster.Fronts[0], key, harborKey, key) })
				requests.Go(sendTurn)
			}
			requests.Wait()
			sendBooking(cluster, cluster.Fronts[0], key, harborKey, key)
			sendTurn()
			for _, id := range []string{key, turn} {
				if runs := executionsOf(cluster, id); runs != 1 {
					t.Errorf("TWICE: %s ran %d times", id, runs)
				}
			}
		}
	})
}

// TestOperationWithUnknownOutcomeIsNotRunAgain: after an answer was lost no repeat runs, after a
// rejection that vouches that the request did not run the next one does.
func TestOperationWithUnknownOutcomeIsNotRunAgain(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		setFault(cluster, standin.FaultLoseAnswer)
		if first := sendBooking(cluster, cluster.Fronts[0], "lost", harborKey, "op-lost"); first.Complete() || first.Rejected() {
			t.Errorf("lost answer: %d %v", first.Status, first.Err)
		}
		setFault(cluster, standin.FaultNotRun)
		if first := sendBooking(cluster, cluster.Fronts[0], "rejected", harborKey, "op-rejected"); !first.Rejected() {
			t.Errorf("rejection: %d %v", first.Status, first.Err)
		}
		setFault(cluster, standin.NoFault)
		cluster.Sleep(time.Second)
		if repeat := sendBooking(cluster, cluster.Fronts[1], "lost-again", harborKey, "op-lost"); !apierror.Is(repeat.Err, apierror.Unknown) || executionsOf(cluster, "lost-again") != 0 {
			t.Errorf("repeat after a lost answer: %d %v", repeat.Status, repeat.Err)
		}
		if repeat := sendBooking(cluster, cluster.Fronts[1], "rejected-again", harborKey, "op-rejected"); !repeat.Complete() {
			t.Errorf("repeat after a rejection: %d %v", repeat.Status, repeat.Err)
		}
	})
}

// TestOperationsRunOnceThroughLossesAndOutage sends each operation several times, at any front, while
// stores and fronts are killed, and again after all machines have lost power.
func TestOperationsRunOnceThroughLossesAndOutage(t *testing.T) {
	const operations, repeats, duration = 60, 4, 15 * time.Second
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(99)
		answers := &operationAnswers{bodies: map[string]string{}}
		var work sync.WaitGroup
		work.Go(func() { killInTurn(t, cluster, duration) })
		for number := range operations {
			key := fmt.Sprintf("op-%d", number)
			for repeat := range repeats {
				wait := time.Duration(random.Int64N(int64(duration)))
				front := cluster.Fronts[random.IntN(len(cluster.Fronts))]
				work.Go(func() {
					cluster.Sleep(wait)
					answers.check(t, key, sendBooking(cluster, front, fmt.Sprintf("%s-%d", key, repeat), harborKey, key))
				})
			}
		}
		work.Wait()
		cluster.cyclePower(t)
		if err := cluster.Await(12*time.Second, "operation after the outage", func() error {
			return sendBooking(cluster, cluster.Fronts[0], fmt.Sprintf("probe-%d", time.Now().UnixNano()), harborKey, "op-probe").Err
		}); err != nil {
			t.Error(err)
		}
		for number := range operations {
			key := fmt.Sprintf("op-%d", number)
			answers.check(t, key, sendBooking(cluster, cluster.Fronts[number%len(cluster.Fronts)], key+"-after", harborKey, key))
		}
		checkOperationsRanOnce(t, cluster)
		if len(answers.bodies) < operations/2 {
			t.Errorf("only %d of %d operations were answered", len(answers.bodies), operations)
		}
	})
}

// operationAnswers has the body of each answered operation.
type operationAnswers struct {
	mutex  sync.Mutex
	bodies map[string]string
}

// check checks that an answer is that of the operation's first answer.
func (answers *operationAnswers) check(t *testing.T, key string, answer *ForwardedAnswer) {
	if !answer.Complete() {
		return
	}
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	if earlier, found := answers.bodies[key]; found && earlier != string(answer.Body) {
		t.Errorf("%s was answered %q and %q", key, earlier, answer.Body)
	}
	answers.bodies[key] = string(answer.Body)
}

// killInTurn kills stores and fronts, one at a time, and starts them again.
func killInTurn(t *testing.T, cluster *Cluster, duration time.Duration) {
	random := cluster.Random(98)
	for began := time.Now(); time.Since(began) < duration-5*time.Second; cluster.Sleep(1500 * time.Millisecond) {
		machines := append(append([]*Machine{}, cluster.Stores...), cluster.Fronts...)
		victim := machines[random.IntN(len(machines))]
		victim.LosePower()
		cluster.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		if err := victim.Start(); err != nil {
			t.Error(err)
		}
	}
}

// TestRunnersDeduplicateOperations: a service that keeps a record of its own gets the key, gets a request
// again after a lost answer without running it again, and says itself that an operation is in progress.
func TestRunnersDeduplicateOperations(t *testing.T) {
	shape := routedShape
	shape.Records = 2
	simulate(t, shape, func(t *testing.T, cluster *Cluster) {
		putTenants(t, cluster, 2, 0, 0, harborKey)
		if err := cluster.Await(10*time.Second, "receipt", func() error {
			return sendReceipt(cluster, "ready", "op-ready").Err
		}); err != nil {
			t.Fatal(err)
		}
		for _, machine := range cluster.Engines {
			machine.Engine.InjectFaults(standin.FaultLoseAnswer)
		}
		first := sendReceipt(cluster, "lost-once", "op-1")
		if !first.Complete() || executionsOf(cluster, "lost-once") != 1 {
			t.Errorf("lost answer: %d %v, %d runs", first.Status, first.Err, executionsOf(cluster, "lost-once"))
		}
		setFault(cluster, standin.FaultInProgress)
		if answer := sendReceipt(cluster, "in-progress", "op-2"); !apierror.Is(answer.Err, apierror.Conflict) {
			t.Errorf("in progress: %d %v", answer.Status, answer.Err)
		}
		setFault(cluster, standin.NoFault)
		if answer := sendReceipt(cluster, "repeat", "op-1"); string(answer.Body) != string(first.Body) || executionsOf(cluster, "repeat") != 0 {
			t.Errorf("repeat: %d %q %v, the first got %q", answer.Status, answer.Body, answer.Err, first.Body)
		}
		if answer := sendReceipt(cluster, "after-progress", "op-2"); !answer.Complete() {
			t.Errorf("after the progress: %d %v", answer.Status, answer.Err)
		}
		for _, machine := range cluster.Engines {
			for _, execution := range machine.Engine.Executions() {
				if execution.RequestID == "lost-once" && execution.Header.Get(standin.OperationHeader) != "op-1" {
					t.Errorf("the runner got the key %q", execution.Header.Get(standin.OperationHeader))
				}
			}
		}
	})
}

// sendReceipt sends a request of an operation that the runners record.
func sendReceipt(cluster *Cluster, id, operation string) *ForwardedAnswer {
	return cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: id, Path: "/receipt/1", TenantKey: harborKey, OperationKey: operation})
}
