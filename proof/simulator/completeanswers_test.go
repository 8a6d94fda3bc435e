package simulator

import (
	"fmt"
	"strings"
	"sync"
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
				simulate(t, routedShape, func(t *testing.T, cluster *Cluster) {
					if err := cluster.PutConfig(config); err != nil {
						t.Fatal(err)
					}
					if err := cluster.AwaitForwarding(10 * time.Second); err != nil {
						t.Fatal(err)
					}
					setFraming(cluster, framing)
					answers := make(chan *ForwardedAnswer, 1)
					go func() { answers <- cluster.forwardKeptTurn(0, "turn", "", "one ") }()
					for executionsOf(cluster, "turn") == 0 {
						cluster.Sleep(time.Millisecond)
					}
					for _, store := range cluster.Stores {
						cluster.Network.Isolate(store.Host)
					}
					if turn := <-answers; turn.Complete() || turn.Rejected() || turn.Status != 200 || len(turn.Body) == 0 {
						t.Errorf("the turn got %d, %d bytes, length %q, %v", turn.Status, len(turn.Body), turn.Header.Get("Content-Length"), turn.Err)
					}
				})
			})
		}
	}
}

// TestTurnsCompleteBeforeLossOfAllMachinesStayKnown kills all machines, or has them lose power, right
// after a client has its whole answer, while the ends of further turns are being committed. Each turn that was
// answered whole must be known afterwards.
func TestTurnsCompleteBeforeLossOfAllMachinesStayKnown(t *testing.T) {
	const turns, rounds = 30, 4
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(31)
		for round := range rounds {
			completeBeforeLoss := 1 + random.IntN(turns/2)
			answers := make([]*ForwardedAnswer, turns)
			var requests sync.WaitGroup
			var mutex sync.Mutex
			complete, stopped := 0, make(chan struct{})
			for number := range turns {
				requests.Go(func() {
					answers[number] = &ForwardedAnswer{onComplete: func() {
						mutex.Lock()
						defer mutex.Unlock()
						if complete++; complete == completeBeforeLoss {
							go func() {
								defer close(stopped)
								cluster.stopAll(round%2, "")
							}()
						}
					}}
					name := fmt.Sprintf("turn-%d-%d", round, number)
					cluster.forwardTo(cluster.Fronts[number%len(cluster.Fronts)], keptTurn(name, "", "first "), nil, answers[number])
				})
			}
			requests.Wait()
			<-stopped
			cluster.startAll(t)
			for number, answer := range answers {
				if answer.Complete() {
					cluster.expectKnown(t, fmt.Sprintf("turn-%d-%d", round, number))
				}
			}
		}
	})
}

// keptTurn returns a turn on the route that stores the history.
func keptTurn(name, follows, input string) forwarding.Request {
	return forwarding.Request{ID: name, Path: "/talk/kept/1", Follows: follows, Body: []byte(input), Program: "p-" + name, HasOutputBudget: true, OutputBudget: 100000, MaxOutputTokens: 40}
}

// startAll starts all machines and waits until the fronts serve.
func (cluster *Cluster) startAll(t *testing.T) {
	t.Helper()
	cluster.Sleep(700 * time.Millisecond)
	for _, machine := range cluster.Machines() {
		if err := machine.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := cluster.AwaitForwarding(12 * time.Second); err != nil {
		t.Fatal(err)
	}
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
