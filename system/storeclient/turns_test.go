package storeclient

import (
	"context"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// startStore starts a store that replies to every command with the given history and passes the
// commands on to its second result. It returns a client of the store.
func startStore(t *testing.T, history []byte) (*Client, <-chan sessionlog.Command) {
	t.Helper()
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	commands := make(chan sessionlog.Command, 10)
	server := link.Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		commands <- query.Command.Commands[0]
		return &wire.Reply{Which: schema.Reply_Which_outcomes, Command: &wire.CommandReply{Results: []sessionlog.Result{{Seq: 1}}, History: history}}
	})
	caller := link.NewClient(link.TCP{})
	t.Cleanup(func() {
		caller.Close()
		server.Close()
	})
	stores := []feed.Member{{Name: "store-1", Address: listener.Addr().String()}}
	view := &feed.View{Groups: 1, Stores: stores, FoundingStores: stores}
	return New(caller, func() *feed.View { return view }), commands
}

// TestTurnIsNotRunWithoutTheHistoryThatItFollows guards against a store of an earlier version, which
// lets a turn continue one whose data was not saved.
func TestTurnIsNotRunWithoutTheHistoryThatItFollows(t *testing.T) {
	turn := Turn{SessionName: "program/p", Name: "second", Follows: "first", Input: []byte("new input"), KeepHistory: true}
	client, commands := startStore(t, nil)
	if begun, err := client.BeginTurn(t.Context(), turn); !apierror.Is(err, apierror.NotFound) {
		t.Fatalf("%+v, %v", begun, err)
	}
	if begin := <-commands; begin.Kind != sessionlog.BeginTurn || begin.Follows != "first" {
		t.Fatalf("%+v", begin)
	}
	select {
	case end := <-commands:
		if end.Kind != sessionlog.EndTurn || end.Producer != "second" || end.Outcome != sessionlog.OutcomeNotRun {
			t.Errorf("the turn was not closed as not run: %+v", end)
		}
	case <-time.After(5 * time.Second):
		t.Error("the turn stays open")
	}
	client, _ = startStore(t, []byte("history"))
	if begun, err := client.BeginTurn(t.Context(), turn); err != nil || string(begun.History) != "history" {
		t.Fatalf("%+v, %v", begun, err)
	}
}

// TestTurnWithoutStoredDataIsNotRecordedAsComplete guards against turns that stores of every version
// let others continue although their data is not stored.
func TestTurnWithoutStoredDataIsNotRecordedAsComplete(t *testing.T) {
	for _, test := range []struct {
		end     TurnEnd
		outcome string
		data    string
	}{
		{TurnEnd{Outcome: sessionlog.OutcomeComplete, Output: []byte("out")}, sessionlog.OutcomeUnsaved, ""},
		{TurnEnd{Outcome: sessionlog.OutcomeComplete, Output: []byte("out"), KeepHistory: true}, sessionlog.OutcomeComplete, "out"},
		{TurnEnd{Outcome: sessionlog.OutcomeInterrupted, Output: []byte("out"), KeepHistory: true}, sessionlog.OutcomeInterrupted, ""},
		{TurnEnd{Outcome: sessionlog.OutcomeNotRun}, sessionlog.OutcomeNotRun, ""},
	} {
		client, commands := startStore(t, nil)
		test.end.SessionName, test.end.Name = "program/p", "first"
		if err := client.EndTurn(t.Context(), test.end); err != nil {
			t.Fatal(err)
		}
		if end := <-commands; end.Outcome != test.outcome || string(end.Data) != test.data || end.KeepData != test.end.KeepHistory {
			t.Errorf("%+v was recorded as %+v", test.end, end)
		}
	}
}
