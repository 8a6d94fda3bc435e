package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// frameUnknown is a frame kind that this version does not know.
const frameUnknown = frameCancel + 1

// pipeNetwork is a network that connects each dial by a pipe to the function serve. Dials are
// numbered from 0.
type pipeNetwork struct {
	serve func(dialNumber int, far net.Conn)
	mutex sync.Mutex
	dials int
}

func (*pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (network *pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	network.mutex.Lock()
	dialNumber := network.dials
	network.dials++
	network.mutex.Unlock()
	go network.serve(dialNumber, far)
	return near, nil
}

// statusQuery returns a status query. The test peers reply with its address as their name.
func statusQuery(address string) *wire.Query {
	return &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{Address: address}}
}

// encodeFrame returns an encoded frame.
func encodeFrame(t *testing.T, kind byte, callID uint64, body func([]byte) ([]byte, error)) []byte {
	t.Helper()
	writer := &frameWriter{}
	if _, _, err := writer.enqueue(kind, callID, maxQueuedBytes, body); err != nil {
		t.Fatal(err)
	}
	return writer.queued
}

// statusFrame returns an encoded frame that carries the reply to a status query.
func statusFrame(t *testing.T, kind byte, callID uint64, name string) []byte {
	t.Helper()
	reply := &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{Name: name}}
	return encodeFrame(t, kind, callID, func(target []byte) ([]byte, error) { return wire.AppendReply(target, reply) })
}

// receivedFrames returns a channel of the frames received on a connection, closed at its end.
func receivedFrames(far net.Conn) <-chan frame {
	received := make(chan frame)
	go func() {
		defer close(received)
		source := bufio.NewReader(far)
		if _, err := io.ReadFull(source, make([]byte, len(preamble))); err != nil {
			return
		}
		for {
			read, err := readFrame(source)
			if err != nil {
				return
			}
			received <- read
		}
	}()
	return received
}

// closeAndDrain closes a connection and discards the frames still received.
func closeAndDrain(far net.Conn, received <-chan frame) {
	far.Close()
	for range received {
	}
}

// randomPeer replies to calls in random order, late, repeatedly, with wrong call IDs and in frames
// of an unknown kind, and closes connections in the middle of a frame.
type randomPeer struct {
	t        *testing.T
	random   *rand.Rand
	mutex    sync.Mutex
	received map[string]int
}

// pendingCall is a received call. It is kept after a reply, to be replied to again.
type pendingCall struct {
	callID uint64
	name   string
}

func (peer *randomPeer) serve(_ int, far net.Conn) {
	received, calls := receivedFrames(far), []pendingCall{}
	defer closeAndDrain(far, received)
	for {
		select {
		case read, open := <-received:
			if !open {
				return
			}
			if read.kind != frameQuery {
				continue // replies to cancelled calls are allowed
			}
			query, err := wire.DecodeQuery(read.body)
			if err != nil {
				peer.t.Error(err)
				return
			}
			peer.mutex.Lock()
			peer.received[query.Status.Address]++
			peer.mutex.Unlock()
			calls = append(calls, pendingCall{read.callID, query.Status.Address})
		case <-time.After(time.Millisecond):
		}
		if len(calls) > 0 && !peer.sendRandom(far, calls) {
			return
		}
	}
}

// sendRandom takes one random action on a random call. It returns false to end the connection.
func (peer *randomPeer) sendRandom(far net.Conn, calls []pendingCall) bool {
	peer.mutex.Lock()
	chosen := calls[peer.random.IntN(len(calls))]
	action, cut := peer.random.IntN(40), peer.random.IntN(frameHeaderSize*2)
	peer.mutex.Unlock()
	complete := statusFrame(peer.t, frameReply, chosen.callID, chosen.name)
	switch {
	case action < 24:
		_, err := far.Write(complete)
		return err == nil
	case action < 28:
		_, err := far.Write(append(complete, complete...))
		return err == nil
	case action < 31:
		_, err := far.Write(statusFrame(peer.t, frameReply, chosen.callID+1000, "a foreign call's"))
		return err == nil
	case action < 34:
		_, err := far.Write(statusFrame(peer.t, frameUnknown, chosen.callID, "another kind's"))
		return err == nil
	case action < 35:
		far.Write(complete[:cut])
		return false
	}
	return true // send nothing
}

// TestRandomRepliesReachOnlyTheirCalls checks, with a peer that sends random replies, that each
// reply reaches only its own call and that no query is sent twice.
func TestRandomRepliesReachOnlyTheirCalls(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := &randomPeer{t: t, random: rand.New(rand.NewPCG(seed, 3)), received: map[string]int{}}
				client := NewClient(&pipeNetwork{serve: peer.serve})
				succeeded := 0
				var callers sync.WaitGroup
				for position := range 4 {
					callers.Go(func() {
						for number := range 50 {
							name := fmt.Sprintf("call-%d-%d", position, number)
							ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+(position*7+number*3)%20)*time.Millisecond)
							reply, err := client.Call(ctx, "peer", statusQuery(name))
							cancel()
							peer.mutex.Lock()
							received := peer.received[name]
							switch {
							case err == nil && (reply.Status == nil || reply.Status.Name != name):
								t.Errorf("%s got a wrong reply: %+v", name, reply.Status)
							case err == nil:
								succeeded++
							case apierror.Of(err).NeverSent && received > 0:
								t.Errorf("%s has NeverSent set, but the peer received it", name)
							}
							if received > 1 {
								t.Errorf("%s was sent %d times", name, received)
							}
							peer.mutex.Unlock()
						}
					})
				}
				callers.Wait()
				client.Close()
				if succeeded < 50 {
					t.Errorf("only %d calls succeeded", succeeded)
				}
			})
		})
	}
}

// TestFrameOfAnotherKindIsNotAReply sends a frame of an unknown kind with the ID of a pending call.
func TestFrameOfAnotherKindIsNotAReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(&pipeNetwork{serve: func(_ int, far net.Conn) {
			defer far.Close()
			for read := range receivedFrames(far) {
				far.Write(statusFrame(t, frameUnknown, read.callID, "no reply"))
				far.Write(statusFrame(t, frameReply, read.callID, "reply"))
			}
		}})
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if reply, err := client.Call(ctx, "peer", statusQuery("a")); err != nil || reply.Status.Name != "reply" {
			t.Fatalf("%+v, %v", reply, err)
		}
	})
}

// TestReplyTruncatedAtEachByte checks that the call fails without NeverSent, and that the next call
// gets its own reply over a new connection.
func TestReplyTruncatedAtEachByte(t *testing.T) {
	length := len(statusFrame(t, frameReply, 1, "first"))
	for cut := range length {
		synctest.Test(t, func(t *testing.T) {
			network := &pipeNetwork{serve: func(dialNumber int, far net.Conn) {
				received := receivedFrames(far)
				defer closeAndDrain(far, received)
				for read := range received {
					query, err := wire.DecodeQuery(read.body)
					if err != nil {
						t.Error(err)
						return
					}
					complete := statusFrame(t, frameReply, read.callID, query.Status.Address)
					if dialNumber == 0 {
						far.Write(complete[:cut])
						return
					}
					far.Write(complete)
				}
			}}
			client := NewClient(network)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			reply, err := client.Call(ctx, "peer", statusQuery("first"))
			if err == nil || apierror.Of(err).NeverSent {
				t.Fatalf("reply truncated to %d bytes: %+v, %v, want an error without NeverSent", cut, reply, err)
			}
			if reply, err := client.Call(ctx, "peer", statusQuery("other")); err != nil || reply.Status.Name != "other" || network.dials != 2 {
				t.Fatalf("reply truncated to %d bytes: the next call got %+v, %v after %d dials", cut, reply, err, network.dials)
			}
		})
	}
}

// singleConnListener accepts connections from a channel, which holds one.
type singleConnListener struct{ accepted chan net.Conn }

func (listener singleConnListener) Accept() (net.Conn, error) {
	if stream, open := <-listener.accepted; open {
		return stream, nil
	}
	return nil, net.ErrClosed
}
func (listener singleConnListener) Close() error { close(listener.accepted); return nil }
func (singleConnListener) Addr() net.Addr        { return &net.TCPAddr{} }

// TestQueryTruncatedAtEachByteIsNotHandled also has the complete query as its last case, which is
// handled once.
func TestQueryTruncatedAtEachByteIsNotHandled(t *testing.T) {
	appendQuery := func(target []byte) ([]byte, error) { return wire.AppendQuery(target, statusQuery("a")) }
	for _, kind := range []byte{frameQuery, frameNotification} {
		complete := append([]byte(preamble), encodeFrame(t, kind, 1, appendQuery)...)
		for cut := range len(complete) + 1 {
			synctest.Test(t, func(t *testing.T) {
				handled := 0
				listener := singleConnListener{make(chan net.Conn, 1)}
				near, far := net.Pipe()
				listener.accepted <- far
				server := Serve(listener, func(context.Context, *wire.Query) *wire.Reply { handled++; return &wire.Reply{} })
				go io.Copy(io.Discard, near)
				if _, err := near.Write(complete[:cut]); err != nil && !errors.Is(err, io.ErrClosedPipe) {
					t.Fatal(err)
				}
				synctest.Wait()
				near.Close()
				server.Close()
				if want := cut / len(complete); handled != want {
					t.Errorf("kind %d: a query of which %d of %d bytes arrived was handled %d times", kind, cut, len(complete), handled)
				}
			})
		}
	}
}
