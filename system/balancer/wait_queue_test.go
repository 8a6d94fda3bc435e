package balancer

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
)

func TestQueueServesByUrgencyThenDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		urgent, patient := routeTo(config.WeightedService{Service: "plain", Weight: 1}), routeTo(config.WeightedService{Service: "plain", Weight: 1})
		patient.Name, patient.Urgency = "patient", 3
		state := stateOf([]config.Service{plainService()}, urgent, runnersOf("plain", 1, 4), 1)
		state.Routing.Routes = append(state.Routing.Routes, patient)
		balancer := New("east", 1, nil)
		balancer.Update(state)
		var leases []*Lease
		for range 4 * queueFactor {
			leases = append(leases, mustAcquire(t, balancer, Request{Route: &urgent}))
		}
		requests := []Request{
			{Route: &patient, Session: "last", FinishBy: time.Now().Add(time.Second)},
			{Route: &urgent, Session: "second", FinishBy: time.Now().Add(9 * time.Second)},
			{Route: &urgent, Session: "first", FinishBy: time.Now().Add(5 * time.Second)},
		}
		var order []string
		var mutex sync.Mutex
		for _, request := range requests {
			go func() {
				if _, err := balancer.Acquire(t.Context(), request); err == nil {
					mutex.Lock()
					order = append(order, request.Session)
					mutex.Unlock()
				}
			}()
			synctest.Wait()
		}
		if queued := balancer.Status().Queued; queued != 3 {
			t.Fatalf("%d requests are queued, want 3", queued)
		}
		for _, lease := range leases[:2] {
			lease.Release(Answered, nil)
			synctest.Wait()
		}
		time.Sleep(time.Second)
		if fmt.Sprint(order) != "[first second]" || balancer.Status().Queued != 0 {
			t.Fatalf("served %v, %d requests are still queued", order, balancer.Status().Queued)
		}
	})
}

func TestUrgencyOfTheRequestReplacesThatOfTheRoute(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
	route.Urgency = 3
	plain, urgent, patient := Request{Route: &route}, Request{Route: &route, Urgency: new(1)}, Request{Route: &route, Urgency: new(7)}
	if !precedes(&urgent, &plain) || !precedes(&plain, &patient) || precedes(&patient, &urgent) {
		t.Error("waiting requests are not ordered by their own urgency")
	}
}

func TestRejectionsAreTimely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
		balancer := New("east", 1, nil)
		balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 1, 1), 1))
		for range queueFactor {
			mustAcquire(t, balancer, Request{Route: &route})
		}
		startedAt := time.Now()
		_, err := balancer.Acquire(t.Context(), Request{Route: &route, Deadline: startedAt.Add(time.Second)})
		waited := time.Since(startedAt)
		if failed := apierror.Of(err); failed.Kind != apierror.NotRun || failed.RetryAfter <= 0 || waited >= time.Duration(route.FirstByteTarget)/4 {
			t.Fatalf("rejected after %v: %v", waited, err)
		}
		if inFlight := totalInFlight(balancer); inFlight != queueFactor {
			t.Fatalf("%d in flight", inFlight)
		}
	})
}
