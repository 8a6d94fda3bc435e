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

// routed is the shape of clusters that forward queries.
var routed = Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 1, Applications: 1, Engines: 3, Tools: 3}

// simulateRouted runs a test on a cluster with the routed config in force.
func simulateRouted(t *testing.T, body func(t *testing.T, cluster *Cluster)) {
	t.Helper()
	simulate(t, routed, func(t *testing.T, cluster *Cluster) {
		if err := cluster.PutConfig(RoutedConfig); err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitForwarding(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		body(t, cluster)
	})
}

// executionsOf counts how often a query ran at any engine.
func executionsOf(cluster *Cluster, name string) int {
	runs := 0
	for _, machine := range cluster.Engines {
		for _, one := range machine.Engine.Executions() {
			if one.RequestID == name {
				runs++
			}
		}
	}
	return runs
}

// promptOf returns the body that a query ran with.
func promptOf(cluster *Cluster, name string) string {
	for _, machine := range cluster.Engines {
		for _, one := range machine.Engine.Executions() {
			if one.RequestID == name {
				return one.Body
			}
		}
	}
	return ""
}

// setFault puts a fault on all engines.
func setFault(cluster *Cluster, fault standin.Fault) {
	for _, machine := range cluster.Engines {
		machine.Engine.SetFault(fault)
	}
}

func TestForwardedRequestsReachRunnersUnchanged(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "order-1", Path: "/order/a%20b", Body: []byte("one activation")})
		if !answer.Complete() || string(answer.Body) != "done order-1" || !strings.HasSuffix(answer.Header.Get("Seal"), "/order-1") {
			t.Fatalf("%d %v %q %v", answer.Status, answer.Header, answer.Body, answer.Err)
		}
		if prompt := promptOf(cluster, "order-1"); prompt != "one activation" {
			t.Fatalf("the body arrived as %q", prompt)
		}
		foreign := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "nowhere-1", Path: "/elsewhere/1"})
		if !apierror.Is(foreign.Err, apierror.NotFound) || foreign.Status != 0 {
			t.Fatalf("a query without a route got %d %v", foreign.Status, foreign.Err)
		}
	})
}

// What one query may run again, by route and by what goes wrong.
func TestForwardedRequestsAreRetriedOnlyWhereAllowed(t *testing.T) {
	cases := []struct {
		path  string
		fault standin.Fault
		// maximum of runs, and what the caller may get
		runs     int
		complete bool
		refused  bool
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
		for position, one := range cases {
			setFault(cluster, one.fault)
			name := fmt.Sprintf("query-%d", position)
			answer := cluster.Forward(cluster.Fronts[position%2], forwarding.Request{Name: name, Path: one.path + name, Program: name, HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
			if runs := executionsOf(cluster, name); runs > one.runs {
				t.Errorf("%s with %s ran %d times", one.path, one.fault, runs)
			}
			if answer.Rejected() != one.refused {
				t.Errorf("%s with %s: refused is %t (%d %v)", one.path, one.fault, answer.Rejected(), answer.Status, answer.Err)
			}
			if answer.Complete() != one.complete {
				t.Errorf("%s with %s: complete is %t (%d %q)", one.path, one.fault, answer.Complete(), answer.Status, answer.Body)
			}
			if promise := map[int]bool{408: true, 421: true, 429: true, 503: true}[answer.Status]; promise {
				t.Errorf("%s with %s: a runner's %d was passed on, which vouches for nothing", one.path, one.fault, answer.Status)
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
			if machine.Group == "tools" && lost < 2 { // of three, with three tries
				machine.Engine.InjectFaults(standin.FaultLoseAnswer)
				lost++
			}
		}
		for number := range 3 {
			name := fmt.Sprintf("lookup-%d", number)
			if answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: name, Method: http.MethodGet, Path: "/lookup/1"}); !answer.Complete() {
				t.Fatalf("%d %v", answer.Status, answer.Err)
			}
		}
	})
}

func TestAResumableStreamGoesOnAtAnotherRunnerInTheSameAnswer(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for _, machine := range cluster.Engines {
			machine.Engine.InjectFaults(standin.FaultBreakStream)
		}
		answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "chat-1", Path: "/talk/chat/1", Body: []byte("hello"), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
		want := ""
		for number := 1; number <= 5; number++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData("hello", number))
		}
		// The second runner breaks off after two more events; with two tries that ends it.
		if answer.Err == nil || !strings.HasPrefix(want, string(answer.Body)) || strings.Count(string(answer.Body), "id: ") != 4 {
			t.Fatalf("%v\n%s", answer.Err, answer.Body)
		}
		again := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "chat-2", Path: "/talk/chat/1", Body: []byte("hello"), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
		if !again.Complete() || string(again.Body) != want {
			t.Fatalf("%v\n%s", again.Err, again.Body)
		}
	})
}

func TestKeptTurnsCarryTheirCompleteChainFromAnyFront(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		turn := func(front int, program, name, follows, words string) string {
			answer := cluster.Forward(cluster.Fronts[front], forwarding.Request{Name: name, Path: "/talk/kept/1", Follows: follows, Body: []byte(words), Program: program, HasOutputBudget: true, OutputBudget: 10000, MaxOutputTokens: 40})
			if !answer.Complete() {
				t.Fatalf("%s: %d %v", name, answer.Status, answer.Err)
			}
			return words + answer.Text()
		}
		chain := turn(0, "p", "t1", "", "first ")
		second := turn(1, "p", "t2", "t1", "second ")
		helper := turn(0, "p", "h1", "t1", "helper ")
		if got := promptOf(cluster, "t2"); got != chain+"second " {
			t.Fatalf("the second turn was heard as %q", got)
		}
		if got := promptOf(cluster, "h1"); got != chain+"helper " {
			t.Fatalf("the helper was heard as %q", got)
		}
		turn(1, "another", "t3", "t2", "third ")
		if got := promptOf(cluster, "t3"); got != chain+second+"third " {
			t.Fatalf("the third turn, of another program, was heard as %q", got)
		}
		turn(0, "another", "t4", "h1", "fourth ")
		if got := promptOf(cluster, "t4"); got != chain+helper+"fourth " {
			t.Fatalf("the fourth turn was heard as %q", got)
		}
		unknown := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "t5", Path: "/talk/kept/1", Follows: "never", Body: []byte("x"), Program: "p", HasOutputBudget: true, OutputBudget: 10000, MaxOutputTokens: 40})
		if !apierror.Is(unknown.Err, apierror.NotFound) || executionsOf(cluster, "t5") != 0 {
			t.Fatalf("a turn that follows none got %v", unknown.Err)
		}
	})
}

func TestTokenQuotaHoldsOverAllFronts(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		put, refused := 0, 0
		for number := range 20 {
			answer := cluster.Forward(cluster.Fronts[number%2], forwarding.Request{Name: fmt.Sprintf("spend-%d", number), Path: "/talk/chat/1", Body: []byte("x"), Program: "runaway", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 20})
			put += 4 * strings.Count(string(answer.Body), "id: ")
			switch {
			case apierror.Is(answer.Err, apierror.QuotaExhausted):
				refused++
				if executionsOf(cluster, fmt.Sprintf("spend-%d", number)) != 0 {
					t.Fatal("a turn that was refused for its allowance ran")
				}
			case !answer.Complete():
				t.Fatalf("%d %v", answer.Status, answer.Err)
			}
			cluster.Sleep(300 * time.Millisecond)
		}
		if put > 120 || put < 100 || refused == 0 {
			t.Fatalf("%d tokens were put out of 100, %d turns refused", put, refused)
		}
	})
}
