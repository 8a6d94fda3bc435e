package simulator

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// routedShape is the shape of clusters that forward requests to engines.
var routedShape = Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 1, Applications: 1, Engines: 3, Tools: 3}

// simulateRouted runs a test on a cluster with the routed config in force.
func simulateRouted(t *testing.T, body func(t *testing.T, cluster *Cluster)) {
	t.Helper()
	simulateConfig(t, RoutedConfig, body)
}

// simulateConfig runs a test on a cluster with a config in force that has the routes of the routed one.
func simulateConfig(t *testing.T, config string, body func(t *testing.T, cluster *Cluster)) {
	t.Helper()
	simulate(t, routedShape, func(t *testing.T, cluster *Cluster) {
		if err := cluster.PutConfig(config); err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitForwarding(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		body(t, cluster)
	})
}

// executionsOf counts the executions of a request at all engines.
func executionsOf(cluster *Cluster, name string) int {
	runs := 0
	for _, machine := range cluster.Engines {
		for _, execution := range machine.Engine.Executions() {
			if execution.RequestID == name {
				runs++
			}
		}
	}
	return runs
}

// promptOf returns the body that an engine received with a request, or "" if it did not run.
func promptOf(cluster *Cluster, name string) string {
	for _, machine := range cluster.Engines {
		for _, execution := range machine.Engine.Executions() {
			if execution.RequestID == name {
				return execution.Body
			}
		}
	}
	return ""
}

// setFault sets the fault of all engines.
func setFault(cluster *Cluster, fault standin.Fault) {
	for _, machine := range cluster.Engines {
		machine.Engine.SetFault(fault)
	}
}

func TestForwardedRequestsReachRunnersUnchanged(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "order-1", Path: "/order/a%20b", Body: []byte("one activation")})
		if !answer.Complete() || string(answer.Body) != "done order-1" || !strings.HasSuffix(answer.Header.Get("Seal"), "/order-1") {
			t.Fatalf("%d %v %q %v", answer.Status, answer.Header, answer.Body, answer.Err)
		}
		if prompt := promptOf(cluster, "order-1"); prompt != "one activation" {
			t.Fatalf("the body arrived as %q", prompt)
		}
		unrouted := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "nowhere-1", Path: "/elsewhere/1"})
		if !apierror.Is(unrouted.Err, apierror.NotFound) || unrouted.Status != 0 {
			t.Fatalf("a request without a route got %d %v", unrouted.Status, unrouted.Err)
		}
	})
}

// TestForwardedRequestsAreRetriedOnlyWhereAllowed guards against retries that the kind of a route
// forbids, for each fault of a runner.
func TestForwardedRequestsAreRetriedOnlyWhereAllowed(t *testing.T) {
	cases := []struct {
		path  string
		fault standin.Fault
		// maxRuns is the maximum number of executions; the others are what the caller must receive.
		maxRuns  int
		complete bool
		rejected bool
	}{
		{"/lookup/", standin.FaultLoseAnswer, 3, false, false},
		{"/lookup/", standin.FaultNotRun, 0, false, true},
		{"/lookup/", standin.FaultServerError, 3, false, false},
		{"/order/", standin.FaultLoseAnswer, 1, false, false},
		{"/order/", standin.FaultNotRun, 0, false, true},
		{"/order/", standin.FaultUnavailable, 0, false, false},
		{"/order/", standin.FaultWrongID, 1, false, false},
		{"/talk/kept/", standin.FaultLoseAnswer, 1, false, false},
		{"/talk/kept/", standin.FaultBreakStream, 1, false, false},
		{"/talk/kept/", standin.FaultNotRun, 0, false, true},
		{"/talk/chat/", standin.FaultBreakStream, 2, false, false},
	}
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for position, test := range cases {
			setFault(cluster, test.fault)
			name := fmt.Sprintf("query-%d", position)
			answer := cluster.Forward(cluster.Fronts[position%2], forwarding.Request{ID: name, Path: test.path + name, Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
			if runs := executionsOf(cluster, name); runs > test.maxRuns {
				t.Errorf("%s with %s ran %d times", test.path, test.fault, runs)
			}
			if answer.Rejected() != test.rejected {
				t.Errorf("%s with %s: rejected is %t (%d %v)", test.path, test.fault, answer.Rejected(), answer.Status, answer.Err)
			}
			if answer.Complete() != test.complete {
				t.Errorf("%s with %s: complete is %t (%d %q)", test.path, test.fault, answer.Complete(), answer.Status, answer.Body)
			}
			if notRunStatus := map[int]bool{408: true, 421: true, 429: true, 503: true}[answer.Status]; notRunStatus {
				t.Errorf("%s with %s: a runner's status %d was forwarded, though it does not prove that the request did not run", test.path, test.fault, answer.Status)
			}
			setFault(cluster, standin.NoFault)
			cluster.Sleep(3 * time.Second)
		}
	})
}

func TestLostAnswerOfARepeatableRequestIsRetriedElsewhere(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		lost := 0
		for _, machine := range cluster.Engines {
			if machine.Group == "tools" && lost < 2 { // of three runners, with three attempts
				machine.Engine.InjectFaults(standin.FaultLoseAnswer)
				lost++
			}
		}
		for number := range 3 {
			name := fmt.Sprintf("lookup-%d", number)
			if answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: name, Method: http.MethodGet, Path: "/lookup/1"}); !answer.Complete() {
				t.Fatalf("%d %v", answer.Status, answer.Err)
			}
		}
	})
}

func TestResumableStreamContinuesOnAnotherRunner(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for _, machine := range cluster.Engines {
			machine.Engine.InjectFaults(standin.FaultBreakStream)
		}
		answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "chat-1", Path: "/talk/chat/1", Body: []byte("hello"), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
		want := ""
		for number := 1; number <= 5; number++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData("hello", number))
		}
		// The second runner also stops after two more events, which uses up the two attempts.
		if answer.Err == nil || !strings.HasPrefix(want, string(answer.Body)) || strings.Count(string(answer.Body), "id: ") != 4 {
			t.Fatalf("%v\n%s", answer.Err, answer.Body)
		}
		second := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "chat-2", Path: "/talk/chat/1", Body: []byte("hello"), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
		if !second.Complete() || string(second.Body) != want {
			t.Fatalf("%v\n%s", second.Err, second.Body)
		}
	})
}

func TestKeptTurnsIncludeTheirCompleteHistoryOnAnyFront(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		turn := func(front int, program, name, follows, input string) string {
			answer := cluster.Forward(cluster.Fronts[front], forwarding.Request{ID: name, Path: "/talk/kept/1", Follows: follows, Body: []byte(input), Program: program, HasOutputBudget: true, OutputBudget: 10000, MaxOutputTokens: 40})
			if !answer.Complete() {
				t.Fatalf("%s: %d %v", name, answer.Status, answer.Err)
			}
			return input + answer.Text()
		}
		first := turn(0, "p", "t1", "", "first ")
		second := turn(1, "p", "t2", "t1", "second ")
		helper := turn(0, "p", "h1", "t1", "helper ")
		if got := promptOf(cluster, "t2"); got != first+"second " {
			t.Fatalf("the second turn arrived as %q", got)
		}
		if got := promptOf(cluster, "h1"); got != first+"helper " {
			t.Fatalf("the helper turn arrived as %q", got)
		}
		turn(1, "another", "t3", "t2", "third ")
		if got := promptOf(cluster, "t3"); got != first+second+"third " {
			t.Fatalf("the third turn, of another program, arrived as %q", got)
		}
		turn(0, "another", "t4", "h1", "fourth ")
		if got := promptOf(cluster, "t4"); got != first+helper+"fourth " {
			t.Fatalf("the fourth turn arrived as %q", got)
		}
		unknown := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "t5", Path: "/talk/kept/1", Follows: "never", Body: []byte("x"), Program: "p", HasOutputBudget: true, OutputBudget: 10000, MaxOutputTokens: 40})
		if !apierror.Is(unknown.Err, apierror.NotFound) || executionsOf(cluster, "t5") != 0 {
			t.Fatalf("a turn that follows an unknown turn got %v", unknown.Err)
		}
	})
}

func TestTokenQuotaHoldsAcrossFronts(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		tokens, rejected := 0, 0
		for number := range 20 {
			answer := cluster.Forward(cluster.Fronts[number%2], forwarding.Request{ID: fmt.Sprintf("spend-%d", number), Path: "/talk/chat/1", Body: []byte("x"), Program: "runaway", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 20})
			tokens += 4 * strings.Count(string(answer.Body), "id: ")
			switch {
			case apierror.Is(answer.Err, apierror.QuotaExhausted):
				rejected++
				if executionsOf(cluster, fmt.Sprintf("spend-%d", number)) != 0 {
					t.Fatal("a turn that was rejected for its quota ran")
				}
			case !answer.Complete():
				t.Fatalf("%d %v", answer.Status, answer.Err)
			}
			cluster.Sleep(300 * time.Millisecond)
		}
		if tokens > 120 || tokens < 100 || rejected == 0 {
			t.Fatalf("%d tokens were generated with a quota of 100, %d turns were rejected", tokens, rejected)
		}
	})
}
