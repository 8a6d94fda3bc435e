package simulator

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/feed"
	"yardrock.example/system/forwarding"
)

// routeCases are the routes of RoutedConfig, with the maximum number of executions of a request.
var routeCases = []struct {
	path    string
	maxRuns int
	stream  bool
}{
	{"/lookup/", 3, false},
	{"/order/", 1, false},
	{"/talk/kept/", 1, true},
	{"/talk/chat/", 2, true},
}

// forwardedRequest is a request and the answer that its caller received.
type forwardedRequest struct {
	name, path, body string
	maxRuns          int
	stream           bool
	answer           *ForwardedAnswer
}

// TestAnswerReachesOnlyItsRequest guards against answers that are delivered to another request
// while runners answer late, twice, with wrong request IDs or partially, connections are reset,
// and machines freeze or are partitioned. A request that is not idempotent runs at most once,
// and not at all if it was rejected.
func TestAnswerReachesOnlyItsRequest(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		runners := []*faultyRunner{}
		for position := range 6 {
			runners = append(runners, startFaultyRunner(t, cluster, position, []string{"tools", "engines"}[position%2]))
		}
		listFaultyRunners(cluster, runners)
		done := make(chan struct{})
		var faults sync.WaitGroup
		faults.Go(func() { injectRunnerFaults(cluster, runners, done) })
		requests := sendToFaultyRunners(cluster)
		close(done)
		faults.Wait()
		cluster.Sleep(6 * time.Second) // for the delivery of packets in flight
		checkFaultyRunnerAnswers(t, requests, runners)
	})
}

// listFaultyRunners makes these runners the only ones in the platform's list and waits until the
// fronts know them.
func listFaultyRunners(cluster *Cluster, runners []*faultyRunner) {
	cluster.RunnerList.Put(nil)
	listed := cluster.RunnerList.runners
	for position, runner := range runners {
		listed = append(listed, runner.listed(position))
	}
	cluster.RunnerList.Put(listed)
	cluster.Sleep(3 * time.Second)
}

// sendToFaultyRunners sends concurrent requests on all routes through all fronts.
func sendToFaultyRunners(cluster *Cluster) []*forwardedRequest {
	const callers, rounds = 8, 40
	requests := []*forwardedRequest{}
	var mutex sync.Mutex
	var senders sync.WaitGroup
	for caller := range callers {
		random := cluster.Random(uint64(800 + caller))
		senders.Go(func() {
			for round := range rounds {
				route := routeCases[random.IntN(len(routeCases))]
				name := fmt.Sprintf("wild-%d-%d", caller, round)
				request := &forwardedRequest{name: name, path: route.path + name, body: "prompt of " + name, maxRuns: route.maxRuns, stream: route.stream}
				request.answer = cluster.Forward(cluster.Fronts[random.IntN(len(cluster.Fronts))], forwarding.Request{
					ID: name, Path: request.path, Body: []byte(request.body), Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40,
				})
				mutex.Lock()
				requests = append(requests, request)
				mutex.Unlock()
				cluster.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
			}
		})
	}
	senders.Wait()
	return requests
}

// injectRunnerFaults resets, freezes or partitions one machine after the other until done is
// closed.
func injectRunnerFaults(cluster *Cluster, runners []*faultyRunner, done <-chan struct{}) {
	random := cluster.Random(900)
	for {
		runner := runners[random.IntN(len(runners))]
		front := cluster.Fronts[random.IntN(len(cluster.Fronts))]
		duration := time.Duration(50+random.IntN(800)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			runner.reset()
		case 1:
			cluster.Network.Freeze(runner.host)
			cluster.Sleep(duration)
			cluster.Network.Thaw(runner.host)
		case 2: // requests arrive, their answers do not
			cluster.Network.CutOneWay(runner.host, front.Host)
			cluster.Sleep(duration)
			cluster.Network.Heal(runner.host, front.Host)
		case 3:
			cluster.Network.Freeze(front.Host)
			cluster.Sleep(duration)
			cluster.Network.Thaw(front.Host)
		}
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(400)) * time.Millisecond):
		}
	}
}

func checkFaultyRunnerAnswers(t *testing.T, requests []*forwardedRequest, runners []*faultyRunner) {
	t.Helper()
	complete, rejected := map[string]int{}, 0
	for _, request := range requests {
		runs := 0
		for _, runner := range runners {
			runs += runner.ran[request.name]
		}
		if runs > request.maxRuns {
			t.Errorf("%s ran %d times", request.path, runs)
		}
		if request.answer.Rejected() {
			rejected++
			if runs > 0 && request.maxRuns == 1 {
				t.Errorf("%s was rejected as not run, but ran", request.path)
			}
		}
		checkAnswerBody(t, request)
		if request.answer.Complete() {
			complete[strings.TrimSuffix(request.path, request.name)]++
			if runs == 0 {
				t.Errorf("%s is complete, but ran on no runner", request.path)
			}
		}
	}
	t.Logf("%d requests, complete %v, %d rejected", len(requests), complete, rejected)
	for _, route := range routeCases {
		if complete[route.path] < 10 {
			t.Errorf("only %d requests to %s are complete", complete[route.path], route.path)
		}
	}
}

// checkAnswerBody checks the header and the body that a caller received, also of an incomplete
// answer.
func checkAnswerBody(t *testing.T, request *forwardedRequest) {
	t.Helper()
	answer := request.answer
	if answer.Status == 0 {
		return
	}
	if answer.Status == http.StatusOK && !strings.HasSuffix(answer.Header.Get("Seal"), "/"+request.name) {
		t.Errorf("%s got an answer with Seal %q", request.path, answer.Header.Get("Seal"))
	}
	if requestID := answer.Header.Get(standin.HeaderNames.RequestID); requestID != "" && requestID != request.name {
		t.Errorf("%s got an answer with request ID %q", request.path, requestID)
	}
	want := "done " + request.name
	if request.stream {
		want = ""
		for number := 1; number <= faultyStreamEvents; number++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData(request.body, number))
		}
	}
	if got := string(answer.Body); !strings.HasPrefix(want, got) || answer.Complete() && got != want {
		t.Errorf("%s got %d %q, complete is %t", request.path, answer.Status, got, answer.Complete())
	}
}

// TestNoRequestOutlastsItsRouteTimeout guards against requests that exceed the timeout of their
// route up to the caller's later deadline, while runners are silent or stores or control nodes
// are unreachable.
func TestNoRequestOutlastsItsRouteTimeout(t *testing.T) {
	const slack = 250 * time.Millisecond
	timeouts := map[string]time.Duration{"/lookup/": 2 * time.Second, "/order/": 3 * time.Second, "/talk/kept/": 4 * time.Second, "/talk/chat/": 4 * time.Second}
	faults := map[string]func(cluster *Cluster){
		"silent runners": func(cluster *Cluster) { setFault(cluster, standin.FaultHang) },
		"no stores": func(cluster *Cluster) {
			for _, store := range cluster.Stores {
				cluster.Network.Isolate(store.Host)
			}
		},
		"no controls": func(cluster *Cluster) {
			for _, control := range cluster.Controls {
				cluster.Network.Isolate(control.Host)
			}
		},
		"cut off": func(cluster *Cluster) { cluster.Network.Isolate(cluster.Fronts[0].Host) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			simulateRouted(t, func(t *testing.T, cluster *Cluster) {
				inject(cluster)
				var senders sync.WaitGroup
				for path, timeout := range timeouts {
					for number := range 6 {
						senders.Go(func() {
							cluster.Sleep(time.Duration(number) * 400 * time.Millisecond)
							name, began := fmt.Sprintf("held-%d", number), time.Now()
							answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{
								ID: path + name, Path: path + name, Program: path + name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40, Deadline: began.Add(20 * time.Second),
							})
							if took := time.Since(began); took > timeout+slack {
								t.Errorf("%s ended after %s, the route's timeout is %s: %d %v", path, took, timeout, answer.Status, answer.Err)
							}
						})
					}
				}
				senders.Wait()
			})
		})
	}
}

// TestPlannedChangesInterruptNoAnswer guards against answers in progress that are interrupted by
// config changes, reloaded seeds, draining runners or drained domains.
func TestPlannedChangesInterruptNoAnswer(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for _, machine := range cluster.Engines {
			machine.Engine.Latencies = standin.Latencies{FirstPiece: 300 * time.Millisecond, NextPiece: 400 * time.Millisecond, PlainAnswer: 800 * time.Millisecond}
		}
		var senders sync.WaitGroup
		var complete atomic.Int64
		for number := range 40 {
			route := routeCases[number%len(routeCases)]
			senders.Go(func() {
				cluster.Sleep(time.Duration(number) * 20 * time.Millisecond)
				name := fmt.Sprintf("planned-%d", number)
				answer := cluster.Forward(cluster.Fronts[number/4%2], forwarding.Request{ID: name, Path: route.path + name, Body: []byte(name), Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
				switch {
				case answer.Complete():
					complete.Add(1)
				case !answer.Rejected():
					t.Errorf("%s: %d %v", route.path+name, answer.Status, answer.Err)
				}
			})
		}
		cluster.Sleep(500 * time.Millisecond)
		for revision := 2; revision <= 5; revision++ {
			changedConfig := strings.Replace(RoutedConfig, "revision: 1", fmt.Sprintf("revision: %d", revision), 1)
			changedConfig = strings.ReplaceAll(changedConfig, `patience: "3s"`, fmt.Sprintf(`patience: "%ds"`, revision+1))
			if err := cluster.PutConfig(changedConfig); err != nil {
				t.Error(err)
			}
			for _, machine := range cluster.Fronts {
				machine.Front.SetSeeds(cluster.seeds)
			}
		}
		if answer, err := cluster.Administer(http.MethodPost, "/v1/domains/middle", map[string]any{"state": feed.StateDrained}); err != nil || answer.Status != http.StatusOK {
			t.Errorf("%s, %v", answer, err)
		}
		runners := []feed.Runner{}
		for position, machine := range cluster.Engines {
			listed := machine.Runner()
			if position%3 == 0 {
				listed.State = feed.StateDraining
			}
			runners = append(runners, listed)
		}
		cluster.RunnerList.Put(runners)
		senders.Wait()
		if complete.Load() < 35 {
			t.Errorf("only %d of 40 answers are complete", complete.Load())
		}
		for _, machine := range cluster.Engines {
			if cancelled := machine.Engine.Cancelled(); len(cancelled) > 0 {
				t.Errorf("%s: requests %v were cancelled", machine.Host, cancelled)
			}
		}
	})
}
