package simulator

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// allFramings are the framings of the runners' streams.
var allFramings = append([]standin.Framing{standin.FramingClose}, standin.MixedFramings...)

// keptRouteConfigs are configs whose route /talk/kept/ stores the history, by the kind of that route.
var keptRouteConfigs = map[string]string{
	"run once":  RoutedConfig,
	"resumable": strings.Replace(RoutedConfig, `keeps_history: true, keep: "60s"`, `keeps_history: true, resumable: true, keep: "60s"`, 1),
}

// setFraming sets the framing of all engines' streams.
func setFraming(cluster *Cluster, framing standin.Framing) {
	for _, machine := range cluster.Engines {
		machine.Engine.Framing = framing
	}
}

// TestStreamInAnyFramingIsCompleteOnlyOnceItsEndIsCommitted guards against streams whose length tells
// the client that it has all before the stores have committed the end of the turn.
func TestStreamInAnyFramingIsCompleteOnlyOnceItsEndIsCommitted(t *testing.T) {
	for kind, config := range keptRouteConfigs {
		for _, framing := range allFramings {
			t.Run(kind+", "+string(framing), func(t *testing.T) {
				simulateConfig(t, config, func(t *testing.T, cluster *Cluster) {
					setFraming(cluster, framing)
					answers := make(chan *ForwardedAnswer, 1)
					go func() { answers <- cluster.forwardKeptTurn(0, "turn", "", "one ") }()
					cluster.isolateStoresDuring("turn")
					if turn := <-answers; turn.Complete() || turn.Rejected() || turn.Status != 200 || len(turn.Body) == 0 {
						t.Errorf("the turn got %d, %d bytes, length %q, %v", turn.Status, len(turn.Body), turn.Header.Get("Content-Length"), turn.Err)
					}
				})
			})
		}
	}
}

// loseAllOnceAnswered sends requests at once, to all fronts in turn. Once some are answered completely it
// kills all machines, or has them lose power. It returns the answers, with all machines stopped.
func (cluster *Cluster) loseAllOnceAnswered(round, answered int, requests []forwarding.Request) []*ForwardedAnswer {
	answers := make([]*ForwardedAnswer, len(requests))
	stopped := make(chan struct{})
	stop := sync.OnceFunc(func() {
		defer close(stopped)
		cluster.stopAll(round%2, "")
	})
	var running sync.WaitGroup
	var complete atomic.Int32
	for number, request := range requests {
		answers[number] = &ForwardedAnswer{onComplete: func() {
			if complete.Add(1) == int32(answered) {
				go stop()
			}
		}}
		running.Go(func() {
			cluster.forwardTo(cluster.Fronts[number%len(cluster.Fronts)], request, nil, answers[number])
		})
	}
	running.Wait()
	stop()
	<-stopped
	return answers
}

// TestTurnsCompleteBeforeLossOfAllMachinesStayKnown kills all machines, or has them lose power, right
// after a client has its whole answer, while the ends of further turns are being committed. Each turn that
// was answered whole must be known afterwards.
func TestTurnsCompleteBeforeLossOfAllMachinesStayKnown(t *testing.T) {
	const turns, rounds = 30, 4
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(31)
		for round := range rounds {
			requests := []forwarding.Request{}
			for number := range turns {
				requests = append(requests, keptTurn(fmt.Sprintf("turn-%d-%d", round, number), "", "first "))
			}
			answers := cluster.loseAllOnceAnswered(round, 1+random.IntN(turns/2), requests)
			cluster.startAll(t)
			if err := cluster.AwaitForwarding(12 * time.Second); err != nil {
				t.Fatal(err)
			}
			for number, answer := range answers {
				if answer.Complete() {
					cluster.expectKnown(t, requests[number].ID)
				}
			}
		}
	})
}

// keptTurn returns a turn on the route that stores the history.
func keptTurn(name, follows, input string) forwarding.Request {
	return forwarding.Request{ID: name, Path: "/talk/kept/1", Follows: follows, Body: []byte(input), Program: "p-" + name, HasOutputBudget: true, OutputBudget: 100000, MaxOutputTokens: 40}
}

// startAll starts all machines after a short time.
func (cluster *Cluster) startAll(t *testing.T) {
	t.Helper()
	cluster.Sleep(700 * time.Millisecond)
	startAll(t, cluster.Machines())
}

// expectKnown checks that a turn can be continued, with retries while that is not certain.
func (cluster *Cluster) expectKnown(t *testing.T, follows string) {
	t.Helper()
	const retryTime = 20 * time.Second // longer than a turn stays open whose end was not committed
	began := time.Now()
	for attempt := 0; ; attempt++ {
		next := cluster.Forward(cluster.Fronts[1], keptTurn(fmt.Sprintf("after-%s-%d", follows, attempt), follows, "next "))
		if next.Complete() {
			return
		}
		if !apierror.Is(next.Err, apierror.NotRun) || time.Since(began) > retryTime {
			t.Errorf("%s was answered whole, and the turn that continues it got %d %v", follows, next.Status, next.Err)
			return
		}
		cluster.Sleep(200 * time.Millisecond)
	}
}

// TestOperationIsAnsweredOnlyOnceItsResponseIsRecorded guards against answers that a client has, and
// that a repeat does not get since they were never committed.
func TestOperationIsAnsweredOnlyOnceItsResponseIsRecorded(t *testing.T) {
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies.PlainAnswer = 100 * time.Millisecond
		}
		answers := make(chan *ForwardedAnswer, 1)
		go func() { answers <- sendBooking(cluster, cluster.Fronts[0], "first", harborKey, "op-1") }()
		cluster.isolateStoresDuring("first")
		if first := <-answers; first.Complete() || first.Rejected() || !apierror.Is(first.Err, apierror.Unknown) {
			t.Errorf("without stores the operation was answered with %d %q %v", first.Status, first.Body, first.Err)
		}
		for _, store := range cluster.Stores {
			cluster.Network.Rejoin(store.Host)
		}
		if err := cluster.Await(20*time.Second, "response of the first request", func() error {
			id := fmt.Sprintf("repeat-%d", time.Now().UnixNano())
			repeat := sendBooking(cluster, cluster.Fronts[1], id, harborKey, "op-1")
			if !repeat.Complete() || string(repeat.Body) != "done first" || executionsOf(cluster, id) != 0 {
				return fmt.Errorf("%d %q %w", repeat.Status, repeat.Body, repeat.Err)
			}
			return nil
		}); err != nil {
			t.Error(err)
		}
	})
}

// TestOperationsAnsweredBeforeLossOfAllMachinesKeepTheirAnswers delays what the stores send each other,
// and kills all machines, or has them lose power, when some of the operations are answered. Each repeat of
// those must get the same answer afterwards.
func TestOperationsAnsweredBeforeLossOfAllMachinesKeepTheirAnswers(t *testing.T) {
	const operations, rounds, maxDelay = 20, 6, 2 * time.Second
	simulateTenants(t, 0, 0, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(32)
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies.PlainAnswer = 100 * time.Millisecond
		}
		for round := range rounds {
			cluster.awaitBookings(t)
			requests := []forwarding.Request{}
			for number := range operations {
				operation := fmt.Sprintf("op-%d-%d", round, number)
				requests = append(requests, booking("first-"+operation, operation))
			}
			// Only the ends of the operations are delayed.
			time.AfterFunc(50*time.Millisecond, func() { slowStores(cluster, time.Duration(random.Int64N(int64(maxDelay)))) })
			answers := cluster.loseAllOnceAnswered(round, 1+random.IntN(operations/2), requests)
			slowStores(cluster, 0)
			cluster.startAll(t)
			for number, answer := range answers {
				if answer.Complete() {
					cluster.expectRecorded(t, requests[number].OperationKey, string(answer.Body))
				}
			}
		}
	})
}

// booking returns a request of an operation that the fronts record.
func booking(id, operation string) forwarding.Request {
	return forwarding.Request{ID: id, Path: "/booking/1", TenantKey: harborKey, OperationKey: operation, Deadline: time.Now().Add(3 * time.Second)}
}

// awaitBookings waits until all fronts answer operations.
func (cluster *Cluster) awaitBookings(t *testing.T) {
	t.Helper()
	for _, front := range cluster.Fronts {
		if err := cluster.Await(12*time.Second, "operation at "+front.Host, func() error {
			id := fmt.Sprintf("probe-%s-%d", front.Host, time.Now().UnixNano())
			return cluster.Forward(front, booking(id, id)).Err
		}); err != nil {
			t.Fatal(err)
		}
	}
}

// slowStores delays all that stores send each other, so that each commit takes twice as long.
func slowStores(cluster *Cluster, delay time.Duration) {
	for _, from := range cluster.Stores {
		for _, to := range cluster.Stores {
			if from != to {
				cluster.Network.Slow(from.Host, to.Host, delay)
			}
		}
	}
}

// expectRecorded checks that a repeat of an operation gets the given answer.
func (cluster *Cluster) expectRecorded(t *testing.T, operation, want string) {
	t.Helper()
	var repeat *ForwardedAnswer
	if err := cluster.Await(20*time.Second, "recorded answer to "+operation, func() error {
		repeat = cluster.Forward(cluster.Fronts[1], booking(fmt.Sprintf("%s-%d", operation, time.Now().UnixNano()), operation))
		if apierror.Is(repeat.Err, apierror.NotRun) {
			return repeat.Err
		}
		return nil
	}); err != nil || !repeat.Complete() || string(repeat.Body) != want {
		t.Errorf("%s was answered %q, a repeat got %d %q %v", operation, want, repeat.Status, repeat.Body, repeat.Err)
	}
}
