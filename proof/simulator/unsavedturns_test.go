package simulator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
	"yardrock.example/system/link"
	"yardrock.example/system/placement"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// forwardUnsavedTurn forwards a turn on the route that does not store the history. With a budget it
// is recorded, without its data.
func (cluster *Cluster) forwardUnsavedTurn(name, program string, hasBudget bool) *ForwardedAnswer {
	return cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: name, Path: "/talk/chat/1", Body: []byte("whole prompt of " + name), Program: program, HasOutputBudget: hasBudget, OutputBudget: 10000, MaxOutputTokens: 40})
}

// expectUnknown has turns of several programs and sessions continue a turn at both fronts, and checks
// that each gets "no such turn" and that none runs.
func (cluster *Cluster) expectUnknown(t *testing.T, label, follows string) {
	t.Helper()
	for front := range cluster.Fronts {
		for _, request := range []forwarding.Request{
			{Program: "p", HasOutputBudget: true},
			{Program: "p"},
			{Program: "q"},
			{Program: "another", HasOutputBudget: true},
			{Session: "a-session"},
			{},
		} {
			request.ID = fmt.Sprintf("%s-after-%s-%d-%q-%q-%v", label, follows, front, request.Program, request.Session, request.HasOutputBudget)
			request.Path, request.Follows, request.Body = "/talk/kept/1", follows, []byte("new input")
			request.OutputBudget, request.MaxOutputTokens = 10000, 40
			answer := cluster.Forward(cluster.Fronts[front], request)
			for attempt := 0; answer.Rejected() && attempt < 20; attempt++ {
				cluster.Sleep(200 * time.Millisecond)
				answer = cluster.Forward(cluster.Fronts[front], request)
			}
			if prompt := promptOf(cluster, request.ID); !apierror.Is(answer.Err, apierror.NotFound) || prompt != "" {
				t.Errorf("%s: %d %v; a runner got %q", request.ID, answer.Status, answer.Err, prompt)
			}
		}
	}
}

// TestTurnWhoseDataWasNotSavedIsUnknown guards against a turn that continues one that was recorded for
// its budget only, so that a runner gets it without the conversation.
func TestTurnWhoseDataWasNotSavedIsUnknown(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for name, hasBudget := range map[string]bool{"with-budget": true, "without-budget": false} {
			if answer := cluster.forwardUnsavedTurn(name, "p", hasBudget); !answer.Complete() {
				t.Fatalf("%d %v", answer.Status, answer.Err)
			}
			cluster.expectUnknown(t, "at-once", name)
		}
		// Also from the archive, and by stores that restored their state.
		cluster.Sleep(25 * time.Second)
		cluster.expectUnknown(t, "archived", "with-budget")
		for _, store := range cluster.Stores {
			store.Kill()
			if err := store.Start(); err != nil {
				t.Fatal(err)
			}
		}
		cluster.Sleep(5 * time.Second)
		cluster.expectUnknown(t, "restarted", "with-budget")
	})
}

// earlierFront sends the commands of turns to the stores as a front of an earlier version does, which
// records every turn with a complete answer as complete, whether or not its data is stored.
type earlierFront struct {
	t       *testing.T
	cluster *Cluster
	caller  *link.Client
}

// newEarlierFront returns an earlierFront at the given host. Its caller must be closed.
func (cluster *Cluster) newEarlierFront(t *testing.T, host string) *earlierFront {
	return &earlierFront{t: t, cluster: cluster, caller: link.NewClient(cluster.Network.At(host))}
}

// commit sends a command to the store that leads the group of its session.
func (front *earlierFront) commit(command sessionlog.Command) *wire.CommandReply {
	front.t.Helper()
	view := front.cluster.Fronts[0].Front.View()
	query := &wire.Query{Fleet: view.Fleet, Which: schema.Query_Which_command, Command: &wire.CommandQuery{
		Group: placement.GroupOf(command.Session, view.Groups), Commands: []sessionlog.Command{command},
	}}
	for range 50 {
		for _, store := range front.cluster.Stores {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			reply, err := front.caller.Call(ctx, store.Host+":7000", query)
			cancel()
			if err == nil && reply.Command != nil {
				return reply.Command
			}
		}
		front.cluster.Sleep(100 * time.Millisecond)
	}
	front.t.Fatal("no store committed the command")
	return nil
}

// takeTurn records a complete turn, with or without its data.
func (front *earlierFront) takeTurn(name, follows string, keepsData bool) {
	front.t.Helper()
	begin := sessionlog.Command{Kind: sessionlog.BeginTurn, Session: "program/p", Producer: name, ProducerSeq: 1, Follows: follows, Dispatch: "earlier/" + name,
		KeepData: keepsData, Retention: 10 * time.Minute, Lifetime: time.Minute}
	end := sessionlog.Command{Kind: sessionlog.EndTurn, Session: "program/p", Producer: name, ProducerSeq: 2, Outcome: sessionlog.OutcomeComplete, KeepData: keepsData, Tokens: 20}
	if keepsData {
		begin.Data, end.Data = []byte("in "+name+"\n"), []byte("out "+name+"\n")
	}
	for _, command := range []sessionlog.Command{begin, end} {
		if status := front.commit(command).Results[0].Status; status != sessionlog.Done {
			front.t.Fatalf("%s: status %d", name, status)
		}
	}
}

// adoptTurns records turns as adopted from another session, as a store of an earlier version let a
// session adopt a turn without data. The turn that adopts them need not begin.
func (front *earlierFront) adoptTurns(adopted ...sessionlog.AdoptedTurn) {
	front.t.Helper()
	last := adopted[len(adopted)-1].Name
	front.commit(sessionlog.Command{Kind: sessionlog.BeginTurn, Session: "program/q", Producer: "adopts-" + last, ProducerSeq: 1, Follows: last, Dispatch: "earlier/" + last,
		KeepData: true, Data: []byte("in"), Adopted: adopted, Retention: 10 * time.Minute, Lifetime: time.Minute})
}

// TestTurnThatAnEarlierVersionRecordedWithoutDataIsUnknown guards against histories that lack a turn
// of a log of an earlier version, which recorded such turns as complete and let others continue them.
func TestTurnThatAnEarlierVersionRecordedWithoutDataIsUnknown(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		front := cluster.newEarlierFront(t, "10.8.0.9")
		defer front.caller.Close()
		front.takeTurn("saved", "", true)
		front.takeTurn("unsaved", "", false)
		front.adoptTurns(sessionlog.AdoptedTurn{Name: "adopted-unsaved"}, sessionlog.AdoptedTurn{Name: "adopted-later", Data: []byte("in and out")})
		check := func(label string) {
			t.Helper()
			for _, name := range []string{"unsaved", "adopted-unsaved", "adopted-later"} {
				cluster.expectUnknown(t, label, name)
			}
			answer := cluster.forwardKeptTurn(1, label+"-after-saved", "saved", "new input")
			if got, want := promptOf(cluster, label+"-after-saved"), completeTurnText("saved")+"new input"; !answer.Complete() || got != want {
				t.Errorf("%s: %d %v; a runner got %q, want %q", label, answer.Status, answer.Err, got, want)
			}
		}
		check("at-once")
		cluster.Sleep(25 * time.Second)
		check("archived")
		for _, store := range cluster.Stores {
			store.Kill()
			if err := store.Start(); err != nil {
				t.Fatal(err)
			}
		}
		cluster.Sleep(5 * time.Second)
		check("restarted")
	})
}

// TestTurnThatContinuesAnotherHasItsHistoryOnEveryRoute guards against a runner that gets a turn with
// Follows without the conversation, because the route stores no history (any more).
func TestTurnThatContinuesAnotherHasItsHistoryOnEveryRoute(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for _, hasBudget := range []bool{true, false} {
			history := ""
			turn := func(front int, path, name, follows, program string) {
				t.Helper()
				input := "input of " + name + " "
				answer := cluster.Forward(cluster.Fronts[front], forwarding.Request{ID: name, Path: path, Follows: follows, Body: []byte(input), Program: program, HasOutputBudget: hasBudget, OutputBudget: 10000, MaxOutputTokens: 40})
				if got := promptOf(cluster, name); !answer.Complete() || got != history+input {
					t.Fatalf("%s: %d %v; a runner got %q, want %q", name, answer.Status, answer.Err, got, history+input)
				}
				history += input + answer.Text()
			}
			label := fmt.Sprintf("-%v", hasBudget)
			turn(0, "/talk/kept/1", "first"+label, "", "p")
			turn(1, "/talk/chat/1", "second"+label, "first"+label, "p")
			turn(0, "/talk/chat/1", "third"+label, "second"+label, "another")
			turn(1, "/talk/kept/1", "fourth"+label, "third"+label, "")
			unknown := cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: "fifth" + label, Path: "/talk/chat/1", Follows: "never", Body: []byte("x"), Program: "p", HasOutputBudget: hasBudget, OutputBudget: 10000, MaxOutputTokens: 40})
			if !apierror.Is(unknown.Err, apierror.NotFound) || executionsOf(cluster, "fifth"+label) != 0 {
				t.Errorf("a turn that follows an unknown turn got %d %v", unknown.Status, unknown.Err)
			}
		}
		// A front of an earlier version requests no history there, but uses the one that it gets.
		front := cluster.newEarlierFront(t, "10.8.0.9")
		defer front.caller.Close()
		front.takeTurn("saved", "", true)
		reply := front.commit(sessionlog.Command{Kind: sessionlog.BeginTurn, Session: "program/p", Producer: "sixth", ProducerSeq: 1, Follows: "saved", Dispatch: "earlier/sixth", Retention: time.Minute, Lifetime: time.Minute})
		if got := string(reply.History); reply.Results[0].Status != sessionlog.Done || got != completeTurnText("saved") {
			t.Errorf("status %d, history %q", reply.Results[0].Status, got)
		}
	})
}

// TestTurnWithPartOfItsOutputIsUnknown guards against histories that lack the events before the one
// after which a client had its stream resumed.
func TestTurnWithPartOfItsOutputIsUnknown(t *testing.T) {
	resumableConfig := strings.NewReplacer("revision: 1", "revision: 2", `keeps_history: true, keep: "60s", sticky: true}`, `keeps_history: true, keep: "60s", sticky: true, resumable: true}`).Replace(RoutedConfig)
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		for _, config := range []string{RoutedConfig, resumableConfig} {
			if err := cluster.PutConfig(config); err != nil {
				t.Fatal(err)
			}
			cluster.Sleep(3 * time.Second)
			name := fmt.Sprintf("resumed-%v", config == resumableConfig)
			resumed := cluster.ForwardWith(cluster.Fronts[0], forwarding.Request{ID: name, Path: "/talk/kept/1", Body: []byte("first input"), Program: "p", LastEventID: "2"}, http.Header{standin.HeaderNames.LastEventID: {"2"}})
			if !resumed.Complete() || strings.Count(string(resumed.Body), "id: ") != 3 {
				t.Fatalf("%d %v %q", resumed.Status, resumed.Err, resumed.Body)
			}
			cluster.expectUnknown(t, "resumed", name)
		}
	})
}
