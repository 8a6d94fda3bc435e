package simulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// kept asks for a kept turn of a program.
func (cluster *Cluster) kept(front int, name, follows, words string) *ForwardedAnswer {
	return cluster.Forward(cluster.Fronts[front], forwarding.Request{Name: name, Path: "/talk/kept/1", Follows: follows, Body: []byte(words), Program: "p", HasOutputBudget: true, OutputBudget: 100000, MaxOutputTokens: 40})
}

// streamOf is the whole stream that a prompt is answered with.
func streamOf(prompt string) string {
	complete := ""
	for number := 1; number <= 5; number++ {
		complete += fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData(prompt, number))
	}
	return complete
}

func TestFrontRejectsAtOnceWhatItCannotBuffer(t *testing.T) {
	shape := routed
	shape.BufferBytes = 4000
	simulate(t, shape, func(t *testing.T, cluster *Cluster) {
		if err := cluster.PutConfig(RoutedConfig); err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitForwarding(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		// What is alone is not refused, however large.
		if answer := cluster.kept(0, "large", "", strings.Repeat("x", 9000)); !answer.Complete() {
			t.Fatalf("%d %v", answer.Status, answer.Err)
		}
		setFault(cluster, standin.FaultHang)
		ended := make(chan *ForwardedAnswer, 1)
		go func() {
			ended <- cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "first", Path: "/order/1", Body: bytes.Repeat([]byte("x"), 3000)})
		}()
		cluster.Sleep(100 * time.Millisecond)
		began := time.Now()
		refused := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "second", Path: "/order/2", Body: bytes.Repeat([]byte("x"), 1500)})
		if !refused.Rejected() || apierror.Of(refused.Err).RetryAfter == 0 || time.Since(began) > 0 || executionsOf(cluster, "second") != 0 {
			t.Fatalf("%d %v after %s", refused.Status, refused.Err, time.Since(began))
		}
		// The history counts as well, once it is known.
		refused = cluster.kept(0, "on", "large", "y")
		if !refused.Rejected() || apierror.Of(refused.Err).RetryAfter == 0 || executionsOf(cluster, "on") != 0 {
			t.Fatalf("%d %v", refused.Status, refused.Err)
		}
		<-ended
		setFault(cluster, standin.NoFault)
		cluster.Sleep(time.Second)
		for number := range 20 { // all is given back
			if answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: fmt.Sprint("later-", number), Path: "/order/3", Body: bytes.Repeat([]byte("x"), 3900)}); !answer.Complete() {
				t.Fatalf("%d %v", answer.Status, answer.Err)
			}
		}
	})
}

func TestRequestOfADisconnectedCallerIsNotSent(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for position, path := range []string{"/lookup/", "/order/", "/talk/kept/", "/talk/chat/"} {
			name := fmt.Sprintf("left-%d", position)
			left, cancel := context.WithCancel(context.Background())
			cancel()
			request := &forwarding.Request{Name: name, Method: http.MethodPost, Host: RoutedHost, Path: path, Target: path, ReceivedAt: time.Now(), Deadline: time.Now().Add(4 * time.Second), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40, Header: http.Header{}}
			err := cluster.Fronts[0].Front.Forward(left, request, &ForwardedAnswer{})
			cluster.Sleep(time.Second)
			if err == nil || executionsOf(cluster, name) != 0 {
				t.Fatalf("%s: %v, ran %d times", path, err, executionsOf(cluster, name))
			}
		}
	})
}

func TestAHeadHasNoBodyAndAnEmptyBodyStaysEmpty(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		head := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "head", Method: http.MethodHead, Path: "/lookup/1"})
		if !head.Complete() || len(head.Body) != 0 {
			t.Fatalf("%d %q %v", head.Status, head.Body, head.Err)
		}
		for number := range 3 { // on the same connections
			name := fmt.Sprint("get-", number)
			if got := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: name, Method: http.MethodGet, Path: "/lookup/1"}); !got.Complete() || string(got.Body) != "done "+name {
				t.Fatalf("%d %q %v", got.Status, got.Body, got.Err)
			}
		}
		if prompt := promptOf(cluster, "get-0"); prompt != "" {
			t.Fatalf("the empty body arrived as %q", prompt)
		}
		first := cluster.kept(0, "empty", "", "")
		if second := cluster.kept(1, "on", "empty", ""); !second.Complete() || promptOf(cluster, "on") != first.Text() {
			t.Fatalf("%d %v, heard %q", second.Status, second.Err, promptOf(cluster, "on"))
		}
	})
}

func TestAStreamIsNeverGivenTwiceByARunnerThatForgetsWhereItGoesOn(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		setFault(cluster, standin.FaultRestartStream)
		answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "chat", Path: "/talk/chat/1", Body: []byte("hello"), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
		if !answer.Complete() || string(answer.Body) != streamOf("hello") || executionsOf(cluster, "chat") != 2 {
			t.Fatalf("%v after %d runs\n%s", answer.Err, executionsOf(cluster, "chat"), answer.Body)
		}
		seal := answer.Header.Get("Seal")
		for _, machine := range cluster.Engines {
			ran := machine.Engine.Executions()
			if len(ran) > 0 && ran[len(ran)-1].RequestID == "chat" && ran[len(ran)-1].Header.Get(standin.HeaderNames.LastEventID) == "" && seal != machine.Engine.Incarnation+"/chat" {
				t.Fatalf("the seal is %s, not that of the first runner %s", seal, machine.Engine.Incarnation)
			}
		}
		resumed := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "chat-on", Path: "/talk/chat/1", Body: []byte("hello"), LastEventID: "3", Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40})
		if want := streamOf("hello"); !resumed.Complete() || !strings.HasSuffix(want, string(resumed.Body)) || strings.Count(string(resumed.Body), "id: ") != 2 {
			t.Fatalf("%v\n%s", resumed.Err, resumed.Body)
		}
	})
}

func TestSuccessWithoutEventsCountsAsMaximumAndIsKeptWithItsTurn(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		setFault(cluster, standin.FaultPlainAnswer)
		plain := cluster.kept(0, "plain", "", "one ")
		if !plain.Complete() || string(plain.Body) != "done plain" {
			t.Fatalf("%d %q %v", plain.Status, plain.Body, plain.Err)
		}
		for number := range 2 {
			cluster.Forward(cluster.Fronts[number], forwarding.Request{Name: fmt.Sprint("spend-", number), Path: "/talk/chat/1", Program: "q", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 50})
			cluster.Sleep(time.Second)
		}
		over := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "over", Path: "/talk/chat/1", Program: "q", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 50})
		if !apierror.Is(over.Err, apierror.QuotaExhausted) {
			t.Fatalf("beyond the allowance: %d %v", over.Status, over.Err)
		}
		setFault(cluster, standin.NoFault)
		if on := cluster.kept(1, "on", "plain", "two "); !on.Complete() || promptOf(cluster, "on") != "one two " {
			t.Fatalf("%d %v, heard %q", on.Status, on.Err, promptOf(cluster, "on"))
		}
	})
}

func TestARunnersOwnRefusalIsPassedOnAndCostsNothing(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		setFault(cluster, standin.FaultUnprocessable)
		for number := range 10 {
			answer := cluster.Forward(cluster.Fronts[number%2], forwarding.Request{Name: fmt.Sprint("reject-", number), Path: "/talk/chat/1", Program: "q", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 50})
			if answer.Err != nil || answer.Status != http.StatusUnprocessableEntity || answer.Header.Get("Seal") == "" {
				t.Fatalf("%d %v %v", answer.Status, answer.Header, answer.Err)
			}
			cluster.Sleep(time.Second)
		}
		setFault(cluster, standin.NoFault)
		answer := cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: "whole", Path: "/talk/chat/1", Body: []byte("x"), Program: "q", HasOutputBudget: true, OutputBudget: 100, MaxOutputTokens: 50})
		if !answer.Complete() || string(answer.Body) != streamOf("x") {
			t.Fatalf("%d %v", answer.Status, answer.Err)
		}
	})
}

func TestATurnOfNoProgramIsKeptAndCounted(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		ask := func(front int, name, follows string) *ForwardedAnswer {
			return cluster.Forward(cluster.Fronts[front], forwarding.Request{Name: name, Path: "/talk/kept/1", Follows: follows, Body: []byte(name)})
		}
		first := ask(0, "alone", "")
		second := ask(1, "on", "alone")
		if !first.Complete() || !second.Complete() || promptOf(cluster, "on") != "alone"+first.Text()+"on" {
			t.Fatalf("%v %v, heard %q", first.Err, second.Err, promptOf(cluster, "on"))
		}
	})
}

// failing takes a stream's head and its first event, and nothing more.
type failing struct{ ForwardedAnswer }

func (answer *failing) Write(data []byte) error {
	if len(answer.Body) > 0 {
		return errors.New("the caller is gone")
	}
	return answer.ForwardedAnswer.Write(data)
}

func TestAnswerOfADisconnectedCallerIsNotRetried(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		request := &forwarding.Request{Name: "gone", Method: http.MethodPost, Host: RoutedHost, Path: "/talk/chat/1", Target: "/talk/chat/1", ReceivedAt: time.Now(), Deadline: time.Now().Add(4 * time.Second), Program: "p", HasOutputBudget: true, OutputBudget: 1000, MaxOutputTokens: 40, Header: http.Header{}}
		err := cluster.Fronts[0].Front.Forward(context.Background(), request, &failing{})
		cluster.Sleep(time.Second)
		if err == nil || executionsOf(cluster, "gone") != 1 {
			t.Fatalf("%v, ran %d times", err, executionsOf(cluster, "gone"))
		}
	})
}

func TestKeptTurnIsCompleteOnlyIfItsEndWasCommitted(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		first := cluster.kept(0, "first", "", "one ")
		if !first.Complete() {
			t.Fatal(first.Err)
		}
		// The stores are away while the turn runs, then come back within its time.
		ended := make(chan *ForwardedAnswer, 1)
		go func() { ended <- cluster.kept(0, "second", "first", "two ") }()
		for executionsOf(cluster, "second") == 0 {
			cluster.Sleep(time.Millisecond)
		}
		for _, store := range cluster.Stores {
			cluster.Network.Isolate(store.Host)
		}
		cluster.Sleep(1500 * time.Millisecond)
		for _, store := range cluster.Stores {
			cluster.Network.Rejoin(store.Host)
		}
		second := <-ended
		on := cluster.kept(1, "third", "second", "three ")
		for apierror.Is(on.Err, apierror.NotRun) {
			cluster.Sleep(200 * time.Millisecond)
			on = cluster.kept(1, fmt.Sprint("third-", time.Now().UnixNano()), "second", "three ")
		}
		if second.Complete() && !on.Complete() {
			t.Fatalf("a turn that was answered whole is not known: %v", on.Err)
		}
		if !second.Complete() {
			t.Fatalf("the turn was broken off though the stores came back in its time: %v", second.Err)
		}
	})
}

func TestKeptTurnWithUncommittedEndNeverLooksComplete(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		ended := make(chan *ForwardedAnswer, 1)
		go func() { ended <- cluster.kept(0, "turn", "", "one ") }()
		for executionsOf(cluster, "turn") == 0 {
			cluster.Sleep(time.Millisecond)
		}
		for _, store := range cluster.Stores {
			cluster.Network.Isolate(store.Host)
		}
		turn := <-ended
		if turn.Err == nil || turn.Rejected() {
			t.Fatalf("the turn ended with %d %v", turn.Status, turn.Err)
		}
	})
}

func TestRequestDelayedBeforeItsFirstByteIsNotSentByAnOldView(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		front.Kill() // it keeps no connections to runners
		if err := front.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Sleep(4 * time.Second)
		cluster.Network.Freeze(front.Host)
		ended := make(chan *ForwardedAnswer, 1)
		go func() {
			ended <- cluster.Forward(front, forwarding.Request{Name: "held", Path: "/order/1", Body: []byte("x")})
		}()
		cluster.Sleep(2500 * time.Millisecond)
		cluster.Network.Thaw(front.Host)
		if answer := <-ended; answer.Status != 0 || executionsOf(cluster, "held") != 0 {
			t.Fatalf("%d %v, ran %d times", answer.Status, answer.Err, executionsOf(cluster, "held"))
		}
		if err := cluster.AwaitForwarding(5 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSettlementsMayBeWaitedForWhileMoreComes drains fronts while turns end.
func TestSettlementsMayBeWaitedForWhileMoreComes(t *testing.T) {
	simulateRouted(t, func(_ *testing.T, cluster *Cluster) {
		stop := time.Now().Add(5 * time.Second)
		done := make(chan bool)
		for caller := range 8 {
			go func() {
				for number := 0; time.Now().Before(stop); number++ {
					cluster.Forward(cluster.Fronts[0], forwarding.Request{Name: fmt.Sprintf("c%d-%d", caller, number), Path: "/talk/chat/1", Program: fmt.Sprint(caller), HasOutputBudget: true, OutputBudget: 1000000, MaxOutputTokens: 40})
				}
				done <- true
			}()
		}
		for time.Now().Before(stop) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			cluster.Fronts[0].Front.Drain(ctx)
			cancel()
			cluster.Sleep(time.Millisecond)
		}
		for range 8 {
			<-done
		}
	})
}
