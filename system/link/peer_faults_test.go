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

// frameUnknown is a kind of frame that this version does not know.
const frameUnknown = frameCancel + 1

// pipeNetwork is a network whose listeners are functions that serve one end of a pipe.
type pipeNetwork struct {
	serve func(number int, far net.Conn)
	mutex sync.Mutex
	dials int
}

func (*pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (network *pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	network.mutex.Lock()
	number := network.dials
	network.dials++
	network.mutex.Unlock()
	go network.serve(number, far)
	return near, nil
}

// statusQuery is a status query; scripted peers reply with the address in it as their name.
func statusQuery(address string) *wire.Query {
	return &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{Address: address}}
}

// encodeFrame is a frame as bytes.
func encodeFrame(t *testing.T, kind byte, call uint64, body func([]byte) ([]byte, error)) []byte {
	t.Helper()
	gathering := &frameWriter{}
	if _, _, err := gathering.enqueue(kind, call, maxQueuedBytes, body); err != nil {
		t.Fatal(err)
	}
	return gathering.queued
}

// statusFrame is a frame with the reply to a status query.
func statusFrame(t *testing.T, kind byte, call uint64, name string) []byte {
	t.Helper()
	reply := &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{Name: name}}
	return encodeFrame(t, kind, call, func(target []byte) ([]byte, error) { return wire.AppendReply(target, reply) })
}

// receivedFrames gives the frames that come over a connection until its end.
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

// closeAndDrain closes a connection and discards what still comes.
func closeAndDrain(far net.Conn, received <-chan frame) {
	far.Close()
	for range received {
	}
}

// randomPeer answers calls in any order, twice, late, under numbers of other calls, in frames of
// other kinds, and closes connections within a frame.
type randomPeer struct {
	t        *testing.T
	random   *rand.Rand
	mutex    sync.Mutex
	received map[string]int
}

// pending is a call that may be answered; answered ones stay, to be answered again.
type pending struct {
	call uint64
	name string
}

func (peer *randomPeer) serve(_ int, far net.Conn) {
	received, calls := receivedFrames(far), []pending{}
	defer closeAndDrain(far, received)
	for {
		select {
		case read, open := <-received:
			if !open {
				return
			}
			if read.kind != frameQuery {
				continue // a call that was given up may be answered all the same
			}
			query, err := wire.DecodeQuery(read.body)
			if err != nil {
				peer.t.Error(err)
				return
			}
			peer.mutex.Lock()
			peer.received[query.Status.Address]++
			peer.mutex.Unlock()
			calls = append(calls, pending{read.call, query.Status.Address})
		case <-time.After(time.Millisecond):
		}
		if len(calls) > 0 && !peer.act(far, calls) {
			return
		}
	}
}

// act does one thing at random; false ends the connection.
func (peer *randomPeer) act(far net.Conn, calls []pending) bool {
	peer.mutex.Lock()
	chosen := calls[peer.random.IntN(len(calls))]
	drawn, cut := peer.random.IntN(40), peer.random.IntN(frameHeaderSize*2)
	peer.mutex.Unlock()
	complete := statusFrame(peer.t, frameReply, chosen.call, chosen.name)
	switch {
	case drawn < 24:
		_, err := far.Write(complete)
		return err == nil
	case drawn < 28:
		_, err := far.Write(append(complete, complete...))
		return err == nil
	case drawn < 31:
		_, err := far.Write(statusFrame(peer.t, frameReply, chosen.call+1000, "a foreign call's"))
		return err == nil
	case drawn < 34:
		_, err := far.Write(statusFrame(peer.t, frameUnknown, chosen.call, "another kind's"))
		return err == nil
	case drawn < 35:
		far.Write(complete[:cut])
		return false
	}
	return true // silence
}

// TestRandomRepliesReachOnlyTheirCalls checks that, whatever a peer sends, a reply reaches only
// the call that it is for, and that no call is sent twice.
func TestRandomRepliesReachOnlyTheirCalls(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := &randomPeer{t: t, random: rand.New(rand.NewPCG(seed, 3)), received: map[string]int{}}
				client := NewClient(&pipeNetwork{serve: peer.serve})
				answered := 0
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
								t.Errorf("%s got the reply of %+v", name, reply.Status)
							case err == nil:
								answered++
							case apierror.Of(err).NeverSent && received > 0:
								t.Errorf("%s is marked as never sent, and was received", name)
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
				if answered < 50 {
					t.Errorf("only %d calls were answered", answered)
				}
			})
		})
	}
}

// TestFrameOfAnotherKindIsNotAReply sends one with the number of a call.
func TestFrameOfAnotherKindIsNotAReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(&pipeNetwork{serve: func(_ int, far net.Conn) {
			defer far.Close()
			for read := range receivedFrames(far) {
				far.Write(statusFrame(t, frameUnknown, read.call, "no reply"))
				far.Write(statusFrame(t, frameReply, read.call, "reply"))
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

// TestReplyTruncatedAtEachByte checks that the call fails, as one that may have run, and that the
// next call gets its own reply over a new connection.
func TestReplyTruncatedAtEachByte(t *testing.T) {
	length := len(statusFrame(t, frameReply, 1, "first"))
	for cut := range length {
		synctest.Test(t, func(t *testing.T) {
			network := &pipeNetwork{serve: func(number int, far net.Conn) {
				received := receivedFrames(far)
				defer closeAndDrain(far, received)
				for read := range received {
					query, err := wire.DecodeQuery(read.body)
					if err != nil {
						t.Error(err)
						return
					}
					complete := statusFrame(t, frameReply, read.call, query.Status.Address)
					if number == 0 {
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
				t.Fatalf("after %d bytes: %+v, %v", cut, reply, err)
			}
			if reply, err := client.Call(ctx, "peer", statusQuery("other")); err != nil || reply.Status.Name != "other" || network.dials != 2 {
				t.Fatalf("after %d bytes the next call got %+v, %v over %d connections", cut, reply, err, network.dials)
			}
		})
	}
}

// oneConnection is a listener of one connection.
type oneConnection struct{ accepted chan net.Conn }

func (listener oneConnection) Accept() (net.Conn, error) {
	if stream, open := <-listener.accepted; open {
		return stream, nil
	}
	return nil, net.ErrClosed
}
func (listener oneConnection) Close() error { close(listener.accepted); return nil }
func (oneConnection) Addr() net.Addr        { return &net.TCPAddr{} }

// TestQueryTruncatedAtEachByteIsNotHandled has a complete query as its last case, which is.
func TestQueryTruncatedAtEachByteIsNotHandled(t *testing.T) {
	ask := func(target []byte) ([]byte, error) { return wire.AppendQuery(target, statusQuery("a")) }
	for _, kind := range []byte{frameQuery, frameNotification} {
		complete := append([]byte(preamble), encodeFrame(t, kind, 1, ask)...)
		for cut := range len(complete) + 1 {
			synctest.Test(t, func(t *testing.T) {
				handled := 0
				listener := oneConnection{make(chan net.Conn, 1)}
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
					t.Errorf("kind %d: %d bytes of %d were handled %d times", kind, cut, len(complete), handled)
				}
			})
		}
	}
}
