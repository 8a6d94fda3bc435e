package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

func TestCallReturnsRepliesAndTypedErrors(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handlers := map[schema.Query_Which]func(*wire.Query) *wire.Reply{
		schema.Query_Which_status: func(query *wire.Query) *wire.Reply {
			return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{Name: query.Status.Address, Controls: []feed.Member{{Name: "a"}}}}
		},
		schema.Query_Which_command: func(query *wire.Query) *wire.Reply {
			return wire.ErrorReply(apierror.New(apierror.Conflict, query.Command.Commands[0].Events[0].Text, "read again"))
		},
		schema.Query_Which_agreement: func(query *wire.Query) *wire.Reply {
			if len(query.Raft.Messages[0].Entries) != 2 {
				return wire.ErrorReply(apierror.New(apierror.Invalid, "entries were lost", "none"))
			}
			return &wire.Reply{}
		},
	}
	server := Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply { return handlers[query.Which](query) })
	client := NewClient(TCP{})
	address := listener.Addr().String()
	ctx := t.Context()
	reply, err := client.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{Address: "here"}})
	if err != nil || reply.Status.Name != "here" || reply.Status.Controls[0].Name != "a" {
		t.Fatalf("status: %+v, %v", reply, err)
	}
	_, err = client.Call(ctx, address, &wire.Query{Which: schema.Query_Which_command, Command: &wire.CommandQuery{Commands: []sessionlog.Command{{Events: []sessionlog.Event{{Text: "busy"}}}}}})
	if found := apierror.Of(err); found.Kind != apierror.Conflict || found.Message != "busy" || found.Remedy != "read again" {
		t.Fatalf("command: %v", err)
	}
	message := raft.Message{Kind: raft.MessageAppend, Entries: []raft.Entry{{Index: 1}, {Index: 2, Kind: raft.EntryMembership, Membership: raft.Membership{Voters: []string{"a"}}}}}
	if _, err = client.Call(ctx, address, &wire.Query{Which: schema.Query_Which_agreement, Raft: &wire.RaftBatch{Messages: []raft.Message{message}}}); err != nil {
		t.Fatal(err)
	}
	server.Close()
	if _, err := client.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}}); !apierror.Is(err, apierror.Unavailable) {
		t.Fatalf("call to a closed server: %v, want Unavailable", err)
	}
	client.Drop(address)
	if _, err := client.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}}); err == nil || !apierror.Of(err).NeverSent {
		t.Fatalf("call after a failed dial: %v, want NeverSent", err)
	}
	client.Close()
}

func TestHandlerMayRetainQueryData(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan []byte, 200)
	server := Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		received <- query.Raft.Messages[0].Entries[0].Data
		return &wire.Reply{}
	})
	defer server.Close()
	client := NewClient(TCP{})
	defer client.Close()
	for number := range 200 {
		data := bytes.Repeat([]byte{byte(number)}, 100)
		message := raft.Message{Kind: raft.MessageAppend, Entries: []raft.Entry{{Data: data}}}
		if _, err := client.Call(t.Context(), listener.Addr().String(), &wire.Query{Which: schema.Query_Which_agreement, Raft: &wire.RaftBatch{Messages: []raft.Message{message}}}); err != nil {
			t.Fatal(err)
		}
	}
	for number := range 200 {
		if data := <-received; !bytes.Equal(data, bytes.Repeat([]byte{byte(number)}, 100)) {
			t.Fatalf("data of query %d was overwritten with %x", number, data)
		}
	}
}

// TestNotificationsArriveInOrderWithoutReplies sends notifications and then a call on one
// connection.
func TestNotificationsArriveInOrderWithoutReplies(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const queries = 500
	received := make(chan uint64, queries+1)
	server := Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		received <- query.Raft.Messages[0].Index
		return &wire.Reply{}
	})
	defer server.Close()
	client := NewClient(TCP{})
	defer client.Close()
	newQuery := func(index uint64) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_agreement, Raft: &wire.RaftBatch{Messages: []raft.Message{{Index: index}}}}
	}
	for index := range uint64(queries) {
		client.Notify(t.Context(), listener.Addr().String(), newQuery(index))
	}
	if _, err := client.Call(t.Context(), listener.Addr().String(), newQuery(queries)); err != nil {
		t.Fatal(err)
	}
	for want := range uint64(queries) {
		if got := <-received; got != want {
			t.Fatalf("received notification %d, want %d", got, want)
		}
	}
}

// TestCancelledCallCancelsItsHandler also checks that the connection stays usable for other calls.
func TestCancelledCallCancelsItsHandler(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handlerEnded := make(chan error, 1)
	server := Serve(listener, func(ctx context.Context, query *wire.Query) *wire.Reply {
		if query.Read != nil {
			<-ctx.Done()
			handlerEnded <- ctx.Err()
		}
		return &wire.Reply{}
	})
	defer server.Close()
	client := NewClient(TCP{})
	defer client.Close()
	address := listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	callFailed := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, address, &wire.Query{Which: schema.Query_Which_read, Read: &wire.ReadQuery{Session: "a"}})
		callFailed <- err
	}()
	if _, err := client.Call(t.Context(), address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}}); err != nil {
		t.Fatal(err)
	}
	client.DropIfSilent(address, time.Minute) // must keep the connection: a reply was just received
	cancel()
	if err := <-callFailed; !apierror.Is(err, apierror.Unavailable) || apierror.Of(err).NeverSent {
		t.Fatalf("cancelled call: %v, want Unavailable without NeverSent", err)
	}
	if err := <-handlerEnded; err == nil {
		t.Fatal("the handler's context was not cancelled")
	}
	if _, err := client.Call(t.Context(), address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}}); err != nil {
		t.Fatal(err)
	}
}

// TestServerClosesConnectionsOfAnotherProtocol also checks that the server keeps serving other
// connections.
func TestServerClosesConnectionsOfAnotherProtocol(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := Serve(listener, func(context.Context, *wire.Query) *wire.Reply { return &wire.Reply{} })
	defer server.Close()
	tooLong := append([]byte(preamble), bytes.Repeat([]byte{0xff}, frameHeaderSize)...)
	for _, bad := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), tooLong} {
		stream, err := TCP{}.Dial(t.Context(), listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Write(bad); err != nil {
			t.Fatal(err)
		}
		if count, err := stream.Read(make([]byte, 1)); err == nil {
			t.Fatalf("got %d bytes in response to %q, want a closed connection", count, bad)
		}
		stream.Close()
	}
	// A query that cannot be decoded gets an error reply.
	stream, err := TCP{}.Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	frame := append([]byte(preamble), 4, 0, 0, 0, frameQuery, 0, 0, 0, 7, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4)
	if _, err := stream.Write(frame); err != nil {
		t.Fatal(err)
	}
	received, err := readFrame(bufio.NewReader(stream))
	if err != nil || received.kind != frameReply || received.callID != 7 {
		t.Fatalf("%+v, %v", received, err)
	}
	if reply, err := wire.DecodeReply(received.body); err != nil || !apierror.Is(reply.Err(), apierror.Invalid) {
		t.Fatalf("%+v, %v", reply, err)
	}
	client := NewClient(TCP{})
	defer client.Close()
	if _, err := client.Call(t.Context(), listener.Addr().String(), &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}}); err != nil {
		t.Fatal(err)
	}
}

// TestCallToAPeerThatReadsNothingTimesOut fills the socket buffers of a connection whose peer
// never reads, and checks that calls still return.
func TestCallToAPeerThatReadsNothingTimesOut(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := NewClient(TCP{})
	defer client.Close()
	large := raft.Message{Kind: raft.MessageAppend, Entries: []raft.Entry{{Data: make([]byte, 4<<20)}}}
	query := func() *wire.Query {
		return &wire.Query{Which: schema.Query_Which_agreement, Raft: &wire.RaftBatch{Messages: []raft.Message{large}}}
	}
	for range 8 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		returned := make(chan error, 1)
		go func() {
			_, err := client.Call(ctx, listener.Addr().String(), query())
			returned <- err
		}()
		<-ctx.Done()
		select {
		case err := <-returned:
			if !apierror.Is(err, apierror.Unavailable) {
				t.Fatalf("call to a peer that does not read: %v, want Unavailable", err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("call to a peer that does not read did not return")
		}
		cancel()
	}
	client.Drop(listener.Addr().String())
}

// lossyNetwork is a network that loses SYN packets until a given time, like a machine that is
// still starting. A dial whose SYN is lost blocks until its context ends.
type lossyNetwork struct {
	TCP
	lossyUntil time.Time
	dials      atomic.Int32
}

func (network *lossyNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	network.dials.Add(1)
	if time.Now().Before(network.lossyUntil) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		source := bufio.NewReader(far)
		if _, err := io.ReadFull(source, make([]byte, len(preamble))); err != nil {
			return
		}
		received, err := readFrame(source)
		if err != nil {
			return
		}
		writer := &frameWriter{stream: far}
		if _, _, err := writer.enqueue(frameReply, received.callID, maxQueuedBytes, func(target []byte) ([]byte, error) { return wire.AppendReply(target, &wire.Reply{}) }); err == nil {
			writer.flush()
		}
	}()
	return near, nil
}

// TestLostSYNIsRetriedSoon checks that a dial that began while the peer was unreachable does not
// wait for the kernel to retransmit the SYN.
func TestLostSYNIsRetriedSoon(t *testing.T) {
	for _, outage := range []time.Duration{0, 100 * time.Millisecond, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			startedAt := time.Now()
			network := &lossyNetwork{lossyUntil: startedAt.Add(outage)}
			client := NewClient(network)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
			defer cancel()
			if _, err := client.Call(ctx, "10.0.0.1:7000", &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}}); err != nil {
				t.Fatalf("outage of %s: %v", outage, err)
			}
			if took, limit := time.Since(startedAt), outage+max(minDialAttempt, outage); took > limit {
				t.Fatalf("outage of %s: reply after %s, want at most %s, %d dials", outage, took, limit, network.dials.Load())
			}
		})
	}
	// A dial to a peer that stays unreachable fails after dialTimeout.
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		client := NewClient(&lossyNetwork{lossyUntil: startedAt.Add(time.Hour)})
		defer client.Close()
		_, err := client.Call(t.Context(), "10.0.0.1:7000", &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
		if typed := apierror.Of(err); !typed.NeverSent || time.Since(startedAt) != dialTimeout {
			t.Fatalf("failed after %s: %v, want NeverSent after the dial timeout", time.Since(startedAt), err)
		}
	})
}
