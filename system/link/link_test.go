package link

import (
	"bytes"
	"context"
	"testing"
	"time"

	"yardrock.example/system/agreement"
	"yardrock.example/system/feed"
	"yardrock.example/system/line"
	"yardrock.example/system/mishap"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

func TestQueriesAndTypedMishapsCrossALink(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answers := map[schema.Query_Which]func(*wire.Query) *wire.Reply{
		schema.Query_Which_status: func(query *wire.Query) *wire.Reply {
			return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{Name: query.Status.Address, Controls: []feed.Member{{Name: "a"}}}}
		},
		schema.Query_Which_command: func(query *wire.Query) *wire.Reply {
			return wire.Failed(mishap.New(mishap.Conflict, query.Command.Commands[0].Events[0].Words, "read again"))
		},
		schema.Query_Which_agreement: func(query *wire.Query) *wire.Reply {
			if len(query.Agreement.Messages[0].Entries) != 2 {
				return wire.Failed(mishap.New(mishap.Invalid, "entries were lost", "none"))
			}
			return &wire.Reply{}
		},
	}
	server := Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply { return answers[query.Which](query) })
	caller := NewCaller(TCP{})
	address := listener.Addr().String()
	ctx := t.Context()
	reply, err := caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{Address: "here"}})
	if err != nil || reply.Status.Name != "here" || reply.Status.Controls[0].Name != "a" {
		t.Fatalf("status: %+v, %v", reply, err)
	}
	_, err = caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_command, Command: &wire.CommandQuery{Commands: []line.Command{{Events: []line.Event{{Words: "busy"}}}}}})
	if found := mishap.Of(err); found.Kind != mishap.Conflict || found.Message != "busy" || found.Remedy != "read again" {
		t.Fatalf("command: %v", err)
	}
	batch := agreement.Message{Kind: agreement.MessageAppend, Entries: []agreement.Entry{{Index: 1}, {Index: 2, Kind: agreement.EntryReplicas, Replicas: agreement.Replicas{Voters: []string{"a"}}}}}
	if _, err = caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_agreement, Agreement: &wire.AgreementBatch{Messages: []agreement.Message{batch}}}); err != nil {
		t.Fatal(err)
	}
	server.Close()
	if _, err := caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}}); !mishap.Is(err, mishap.Unavailable) {
		t.Fatalf("a closed server answered: %v", err)
	}
	caller.Drop(address)
	if _, err := caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}}); err == nil || !mishap.Of(err).NeverSent {
		t.Fatalf("a failed dial is not marked as never sent: %v", err)
	}
	caller.Close()
}

func TestBytesOfAQueryStayAfterTheLibraryReusesItsMessage(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kept := make(chan []byte, 200)
	server := Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		kept <- query.Agreement.Messages[0].Entries[0].Data
		return &wire.Reply{}
	})
	defer server.Close()
	caller := NewCaller(TCP{})
	defer caller.Close()
	for number := range 200 {
		data := bytes.Repeat([]byte{byte(number)}, 100)
		message := agreement.Message{Kind: agreement.MessageAppend, Entries: []agreement.Entry{{Data: data}}}
		if _, err := caller.Call(t.Context(), listener.Addr().String(), &wire.Query{Which: schema.Query_Which_agreement, Agreement: &wire.AgreementBatch{Messages: []agreement.Message{message}}}); err != nil {
			t.Fatal(err)
		}
	}
	for number := range 200 {
		if data := <-kept; !bytes.Equal(data, bytes.Repeat([]byte{byte(number)}, 100)) {
			t.Fatalf("the bytes of query %d have changed to %x", number, data)
		}
	}
}

// TestACallReturnsInTimeFromAProcessThatReadsNothing talks to a listener that
// accepts and then is as good as frozen, until all buffers between are full.
func TestACallReturnsInTimeFromAProcessThatReadsNothing(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller := NewCaller(TCP{})
	defer caller.Close()
	large := agreement.Message{Kind: agreement.MessageAppend, Entries: []agreement.Entry{{Data: make([]byte, 4<<20)}}}
	query := func() *wire.Query {
		return &wire.Query{Which: schema.Query_Which_agreement, Agreement: &wire.AgreementBatch{Messages: []agreement.Message{large}}}
	}
	for range 8 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		returned := make(chan error, 1)
		go func() {
			_, err := caller.Call(ctx, listener.Addr().String(), query())
			returned <- err
		}()
		<-ctx.Done()
		select {
		case err := <-returned:
			if !mishap.Is(err, mishap.Unavailable) {
				t.Fatalf("a process that reads nothing answered: %v", err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("a call to a process that reads nothing does not return")
		}
		cancel()
	}
	caller.Drop(listener.Addr().String())
}
