package simulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// forwardKeptTurn forwards a turn on the route that stores the history.
func (cluster *Cluster) forwardKeptTurn(front int, name, follows, input string) *ForwardedAnswer {
	return cluster.Forward(cluster.Fronts[front], forwarding.Request{ID: name, Path: "/talk/kept/1", Follows: follows, Body: []byte(input), Program: "p", HasOutputBudget: true, OutputBudget: 100000, MaxOutputTokens: 40})
}

// streamOf returns the complete stream that engines answer a prompt with.
func streamOf(prompt string) string {
	stream := ""
	for number := 1; number <= 5; number++ {
		stream += fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData(prompt, number))
	}
	return stream
}

func TestFrontRejectsAtOnceWhatItCannotBuffer(t *testing.T) {
	shape := routedShape
	shape.BufferBytes = 4000
	simulate(t, shape, func(t *testing.T, cluster *Cluster) {
		if err := cluster.PutConfig(RoutedConfig); err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitForwarding(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		// A request is accepted at any size while no other is buffered.
		if answer := cluster.forwardKeptTurn(0, "large", "", strings.Repeat("x", 9000)); !answer.Complete() {
			t.Fatalf("%d %v", answer.Status, answer.Err)
		}
		setFault(cluster, standin.FaultHang)
		answers := make(chan *ForwardedAnswer, 1)
		go func() {
			answers <- cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "first", Path: "/order/1", Body: bytes.Repeat([]byte("x"), 3000)})
		}()
		cluster.Sleep(100 * time.Millisecond)
		began := time.Now()
		rejected := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "second", Path: "/order/2", Body: bytes.Repeat([]byte("x"), 1500)})
		if !rejected.Rejected() || apierror.Of(rejected.Err).RetryAfter == 0 || time.Since(began) > 0 || executionsOf(cluster, "second") != 0 {
			t.Fatalf("%d %v after %s", rejected.Status, rejected.Err, time.Since(began))
		}
		// The history counts as well once it has been read.
		rejected = cluster.forwardKeptTurn(0, "on", "large", "y")
		if !rejected.Rejected() || apierror.Of(rejected.Err).RetryAfter == 0 || executionsOf(cluster, "on") != 0 {
			t.Fatalf("%d %v", rejected.Status, rejected.Err)
		}
		<-answers
		setFault(cluster, standin.NoFault)
		cluster.Sleep(time.Second)
		for number := range 20 { // the buffer has been released
			if answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: fmt.Sprint("later-", number), Path: "/order/3", Body: bytes.Repeat([]byte("x"), 3900)}); !answer.Complete() {
				t.Fatalf("%d %v", answer.Status, answer.Err)
			}
		}
	})
}

func TestRequestOfADisconnectedCallerIsNotSent(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for position, path := range []string{"/lookup/", "/order/", "/talk/kept/", "/talk/chat/"} {
			name := fmt.Sprintf("left-%d", position)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			request := &forwarding.Request{ID: name, Method: http.MethodPost, Host: RoutedHost, Path: path, Target: path, ReceivedAt: time.Now(), Deadline: time.Now().Add(4 * time.Second), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40, Header: http.Header{}}
			err := cluster.Fronts[0].Front.Forward(ctx, request, &ForwardedAnswer{})
			cluster.Sleep(time.Second)
			if err == nil || executionsOf(cluster, name) != 0 {
				t.Fatalf("%s: %v, ran %d times", path, err, executionsOf(cluster, name))
			}
		}
	})
}

func TestHeadResponseHasNoBodyAndEmptyBodyStaysEmpty(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		head := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "head", Method: http.MethodHead, Path: "/lookup/1"})
		if !head.Complete() || len(head.Body) != 0 {
			t.Fatalf("%d %q %v", head.Status, head.Body, head.Err)
		}
		for number := range 3 { // on the same connections as the HEAD request
			name := fmt.Sprint("get-", number)
			if got := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: name, Method: http.MethodGet, Path: "/lookup/1"}); !got.Complete() || string(got.Body) != "done "+name {
				t.Fatalf("%d %q %v", got.Status, got.Body, got.Err)
			}
		}
		if prompt := promptOf(cluster, "get-0"); prompt != "" {
			t.Fatalf("the empty body arrived as %q", prompt)
		}
		first := cluster.forwardKeptTurn(0, "empty", "", "")
		if second := cluster.forwardKeptTurn(1, "on", "empty", ""); !second.Complete() || promptOf(cluster, "on") != first.Text() {
			t.Fatalf("%d %v, received %q", second.Status, second.Err, promptOf(cluster, "on"))
		}
	})
}

func TestRestartedStreamIsNotDeliveredTwice(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		setFault(cluster, standin.FaultRestartStream)
		answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "chat", Path: "/talk/chat/1", Body: []byte("hello"), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
		if !answer.Complete() || string(answer.Body) != streamOf("hello") || executionsOf(cluster, "chat") != 2 {
			t.Fatalf("%v after %d runs\n%s", answer.Err, executionsOf(cluster, "chat"), answer.Body)
		}
		seal := answer.Header.Get("Seal")
		for _, machine := range cluster.Engines {
			executions := machine.Engine.Executions()
			if len(executions) > 0 && executions[len(executions)-1].RequestID == "chat" && executions[len(executions)-1].Header.Get(standin.HeaderNames.LastEventID) == "" && seal != machine.Engine.Incarnation+"/chat" {
				t.Fatalf("the Seal header is %s, not that of the first runner %s", seal, machine.Engine.Incarnation)
			}
		}
		resumed := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "chat-on", Path: "/talk/chat/1", Body: []byte("hello"), LastEventID: "3", Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
		if want := streamOf("hello"); !resumed.Complete() || !strings.HasSuffix(want, string(resumed.Body)) || strings.Count(string(resumed.Body), "id: ") != 2 {
			t.Fatalf("%v\n%s", resumed.Err, resumed.Body)
		}
	})
}

func TestSuccessWithoutEventsIsChargedTheMaximumAndStored(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		setFault(cluster, standin.FaultPlainAnswer)
		plain := cluster.forwardKeptTurn(0, "plain", "", "one ")
		if !plain.Complete() || string(plain.Body) != "done plain" {
			t.Fatalf("%d %q %v", plain.Status, plain.Body, plain.Err)
		}
		for number := range 2 {
			cluster.Forward(cluster.Fronts[number], forwarding.Request{ID: fmt.Sprint("spend-", number), Path: "/talk/chat/1", Program: "q", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 50})
			cluster.Sleep(time.Second)
		}
		exceeding := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "over", Path: "/talk/chat/1", Program: "q", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 50})
		if !apierror.Is(exceeding.Err, apierror.QuotaExhausted) {
			t.Fatalf("beyond the quota: %d %v", exceeding.Status, exceeding.Err)
		}
		setFault(cluster, standin.NoFault)
		if next := cluster.forwardKeptTurn(1, "on", "plain", "two "); !next.Complete() || promptOf(cluster, "on") != "one two " {
			t.Fatalf("%d %v, received %q", next.Status, next.Err, promptOf(cluster, "on"))
		}
	})
}

func TestRunnerErrorIsForwardedAndNotCharged(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		setFault(cluster, standin.FaultUnprocessable)
		for number := range 10 {
			answer := cluster.Forward(cluster.Fronts[number%2], forwarding.Request{ID: fmt.Sprint("reject-", number), Path: "/talk/chat/1", Program: "q", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 50})
			if answer.Err != nil || answer.Status != http.StatusUnprocessableEntity || answer.Header.Get("Seal") == "" {
				t.Fatalf("%d %v %v", answer.Status, answer.Header, answer.Err)
			}
			cluster.Sleep(time.Second)
		}
		setFault(cluster, standin.NoFault)
		answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "whole", Path: "/talk/chat/1", Body: []byte("x"), Program: "q", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 50})
		if !answer.Complete() || string(answer.Body) != streamOf("x") {
			t.Fatalf("%d %v", answer.Status, answer.Err)
		}
	})
}

func TestKeptTurnNeedsNoProgram(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		forward := func(front int, name, follows string) *ForwardedAnswer {
			return cluster.Forward(cluster.Fronts[front], forwarding.Request{ID: name, Path: "/talk/kept/1", Follows: follows, Body: []byte(name)})
		}
		first := forward(0, "alone", "")
		second := forward(1, "on", "alone")
		if !first.Complete() || !second.Complete() || promptOf(cluster, "on") != "alone"+first.Text()+"on" {
			t.Fatalf("%v %v, received %q", first.Err, second.Err, promptOf(cluster, "on"))
		}
	})
}

// disconnectedCaller accepts the header and the first event of a stream and fails later writes.
type disconnectedCaller struct{ ForwardedAnswer }

func (answer *disconnectedCaller) Write(data []byte) error {
	if len(answer.Body) > 0 {
		return errors.New("caller disconnected")
	}
	return answer.ForwardedAnswer.Write(data)
}

func TestAnswerOfADisconnectedCallerIsNotRetried(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		request := &forwarding.Request{ID: "gone", Method: http.MethodPost, Host: RoutedHost, Path: "/talk/chat/1", Target: "/talk/chat/1", ReceivedAt: time.Now(), Deadline: time.Now().Add(4 * time.Second), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40, Header: http.Header{}}
		err := cluster.Fronts[0].Front.Forward(context.Background(), request, &disconnectedCaller{})
		cluster.Sleep(time.Second)
		if err == nil || executionsOf(cluster, "gone") != 1 {
			t.Fatalf("%v, ran %d times", err, executionsOf(cluster, "gone"))
		}
	})
}

// isolateStoresDuring waits until a request runs, and cuts all stores off from the other machines.
func (cluster *Cluster) isolateStoresDuring(requestID string) {
	for executionsOf(cluster, requestID) == 0 {
		cluster.Sleep(time.Millisecond)
	}
	for _, store := range cluster.Stores {
		cluster.Network.Isolate(store.Host)
	}
}

func TestKeptTurnIsCompleteOnlyIfItsEndWasCommitted(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		first := cluster.forwardKeptTurn(0, "first", "", "one ")
		if !first.Complete() {
			t.Fatal(first.Err)
		}
		// The stores are unreachable while the turn runs and return before its timeout.
		answers := make(chan *ForwardedAnswer, 1)
		go func() { answers <- cluster.forwardKeptTurn(0, "second", "first", "two ") }()
		cluster.isolateStoresDuring("second")
		cluster.Sleep(1500 * time.Millisecond)
		for _, store := range cluster.Stores {
			cluster.Network.Rejoin(store.Host)
		}
		second := <-answers
		third := cluster.forwardKeptTurn(1, "third", "second", "three ")
		for apierror.Is(third.Err, apierror.NotRun) {
			cluster.Sleep(200 * time.Millisecond)
			third = cluster.forwardKeptTurn(1, fmt.Sprint("third-", time.Now().UnixNano()), "second", "three ")
		}
		if second.Complete() && !third.Complete() {
			t.Fatalf("a turn that was answered completely is unknown: %v", third.Err)
		}
		if !second.Complete() {
			t.Fatalf("the turn is incomplete though the stores returned before its timeout: %v", second.Err)
		}
	})
}

func TestKeptTurnWithUncommittedEndNeverLooksComplete(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		answers := make(chan *ForwardedAnswer, 1)
		go func() { answers <- cluster.forwardKeptTurn(0, "turn", "", "one ") }()
		cluster.isolateStoresDuring("turn")
		turn := <-answers
		if turn.Err == nil || turn.Rejected() {
			t.Fatalf("the turn ended with %d %v", turn.Status, turn.Err)
		}
	})
}

// TestForwardDelayedBeforeItsFirstByteIsNotSentWithAStaleView freezes a front with a request before its
// first byte. When it resumes, it reaches runners but nobody who could confirm its view.
func TestForwardDelayedBeforeItsFirstByteIsNotSentWithAStaleView(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		front.Kill() // closes its connections to runners
		if err := front.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Sleep(4 * time.Second)
		cluster.Network.Freeze(front.Host)
		answers := make(chan *ForwardedAnswer, 1)
		go func() {
			answers <- cluster.Forward(front, forwarding.Request{ID: "held", Path: "/order/1", Body: []byte("x")})
		}()
		cluster.Sleep(2500 * time.Millisecond)
		for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
			cluster.Network.Cut(front.Host, machine.Host)
		}
		cluster.Network.Thaw(front.Host)
		if answer := <-answers; answer.Status != 0 || executionsOf(cluster, "held") != 0 {
			t.Fatalf("%d %v, ran %d times", answer.Status, answer.Err, executionsOf(cluster, "held"))
		}
		for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
			cluster.Network.Heal(front.Host, machine.Host)
		}
		if err := cluster.AwaitForwarding(5 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDrainIsSafeWhileTurnsEnd guards against panics and deadlocks between Drain and turns that
// end meanwhile, and against turns that Drain interrupts.
func TestDrainIsSafeWhileTurnsEnd(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		const callers = 8
		until := time.Now().Add(5 * time.Second)
		completed := make(chan int)
		for caller := range callers {
			go func() {
				number := 0
				for ; time.Now().Before(until); number++ {
					name := fmt.Sprintf("c%d-%d", caller, number)
					answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: name, Path: "/talk/chat/1", Program: fmt.Sprint(caller), HasOutputBudget: true, OutputBudget: 1000000, MaxOutputTokens: 40})
					if !answer.Complete() || executionsOf(cluster, name) != 1 {
						t.Errorf("%s: %d %v, ran %d times", name, answer.Status, answer.Err, executionsOf(cluster, name))
					}
				}
				completed <- number
			}()
		}
		for time.Now().Before(until) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			cluster.Fronts[0].Front.Drain(ctx)
			cancel()
			cluster.Sleep(time.Millisecond)
		}
		for range callers {
			if <-completed == 0 {
				t.Error("a caller had no turn")
			}
		}
	})
}
