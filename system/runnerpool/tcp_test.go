package runnerpool

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
)

// listen serves TCP connections on the loopback interface until the test ends.
func listen(t testing.TB, serve func(connection *net.TCPConn)) string {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			made, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(made.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func TestIdleCheckOverTCP(t *testing.T) {
	for name, test := range map[string]struct {
		do             func(connection *net.TCPConn)
		idle           bool
		closedByRunner bool
	}{
		"no input":    {nil, true, false},
		"one byte":    {func(connection *net.TCPConn) { connection.Write([]byte("x")) }, false, false},
		"closed":      {func(connection *net.TCPConn) { connection.Close() }, false, true},
		"half closed": {func(connection *net.TCPConn) { connection.CloseWrite() }, false, true},
		"reset":       {func(connection *net.TCPConn) { connection.SetLinger(0); connection.Close() }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			dialled, done := make(chan struct{}), make(chan struct{})
			defer close(done)
			address := listen(t, func(connection *net.TCPConn) {
				<-dialled
				if test.do != nil {
					test.do(connection)
				}
				<-done
				connection.Close()
			})
			stream, err := link.TCP{}.Dial(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			close(dialled)
			made := newConnection(stream, &runnerConnections{})
			defer made.Close()
			made.SetDeadline(time.Now().Add(time.Minute))
			idle := made.isIdle()
			for idle && !test.idle {
				runtime.Gosched() // until it arrives; a probe that finds no input has no effect
				idle = made.isIdle()
			}
			if idle != test.idle || made.closedByRunner != test.closedByRunner {
				t.Errorf("idle %v, closed by the runner %v", idle, made.closedByRunner)
			}
		})
	}
}

// TestRejectionOfLongRequestOverTCP: a rejection is reported although the runner closes the
// connection with unread input, which resets it.
func TestRejectionOfLongRequestOverTCP(t *testing.T) {
	const rejection = "HTTP/1.1 503 Full\r\nQuery-Name: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	read := make(chan struct{})
	for name, serve := range map[string]func(connection *net.TCPConn){
		"stays open": func(connection *net.TCPConn) {
			io.WriteString(connection, rejection)
			<-read
			connection.Close()
		},
		"half closed": func(connection *net.TCPConn) {
			io.ReadFull(connection, make([]byte, 100))
			io.WriteString(connection, rejection)
			connection.CloseWrite()
			<-read
			connection.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			pool := New(link.TCP{}, testHeaders)
			defer pool.Close()
			request := testRequest("q1", func(request *Request) {
				request.Runner.Address = listen(t, serve)
				request.Body = [][]byte{make([]byte, 8<<20), make([]byte, 8<<20)}
			})
			if _, err := pool.Send(t.Context(), request); !apierror.Is(err, apierror.NotRun) {
				t.Errorf("got %v", err)
			}
			read <- struct{}{}
		})
	}
}

func TestLongRequestOverTCP(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	address := listen(t, func(connection *net.TCPConn) {
		defer connection.Close()
		reader := bufio.NewReader(connection)
		for {
			received, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			read, err := io.ReadAll(received.Body)
			if err != nil {
				return
			}
			io.WriteString(connection, strings.ReplaceAll(ok(string(read)), "NAME", received.Header.Get("Query-Name")))
		}
	})
	pool := New(link.TCP{UserTimeout: time.Minute}, testHeaders)
	defer pool.Close()
	for _, name := range []string{"q1", "q2", "q3"} {
		_, got, err := sendAndRead(t, pool, testRequest(name, func(request *Request) {
			request.Runner.Address = address
			request.Body = parts(string(body), 300_001)
		}))
		if err != nil || got != string(body) {
			t.Fatalf("%s: %d bytes of %d, %v", name, len(got), len(body), err)
		}
	}
	if stats := pool.Stats(); stats.Dials != 1 || stats.Reuses != 2 {
		t.Errorf("stats %+v", stats)
	}
}

func TestConnectionRefused(t *testing.T) {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	pool := New(link.TCP{UserTimeout: time.Second}, testHeaders)
	defer pool.Close()
	_, err = pool.Send(t.Context(), testRequest("q1", func(request *Request) { request.Runner.Address = address }))
	if got := failureOf(err); got != (failure{kind: apierror.Unavailable, neverSent: true, lost: true, connectionRefused: true}) {
		t.Errorf("got %v", err)
	}
}

// BenchmarkSend sends to a runner on the loopback interface whose own cost is negligible.
func BenchmarkSend(b *testing.B) {
	for name, newContext := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"plain": func(context.Context) (context.Context, context.CancelFunc) {
			return context.Background(), func() {}
		},
		"cancellable": context.WithCancel,
	} {
		b.Run(name, func(b *testing.B) {
			requestEnd := []byte("say it")
			response := []byte(strings.ReplaceAll(okWith("Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 1,2,3\r\nKeep-Alive: timeout=30", "fine"), "NAME", "q1"))
			address := listen(b, func(connection *net.TCPConn) {
				defer connection.Close()
				buffer := make([]byte, 4096)
				for length := 0; ; {
					count, err := connection.Read(buffer[length:])
					if err != nil {
						return
					}
					if length += count; bytes.HasSuffix(buffer[:length], requestEnd) {
						connection.Write(response)
						length = 0
					}
				}
			})
			pool := New(link.TCP{}, testHeaders)
			defer pool.Close()
			request := Request{Runner: feed.Runner{Address: address, Incarnation: "life-1"}, MaxConnections: 4, Method: "POST", Target: "/turn/2f?x=1", Host: "agents.example",
				Header: http.Header{"Program": {"3fa81c"}, "Session": {"77d20b"}, "Accept": {"*/*"}, "Query-Name": {"q1"}}, Body: [][]byte{[]byte("say "), []byte("it")}, ID: "q1", Urgency: "4"}
			buffer := make([]byte, 512)
			b.ReportAllocs()
			for b.Loop() {
				ctx, cancel := newContext(context.Background())
				request.Deadline = time.Now().Add(10 * time.Second)
				response, err := pool.Send(ctx, request)
				if err != nil {
					b.Fatal(err)
				}
				for err == nil {
					_, err = response.Read(buffer)
				}
				if !isExactly(err, io.EOF) {
					b.Fatal(err)
				}
				response.Close()
				cancel()
			}
			if stats := pool.Stats(); stats.Dials != 1 {
				b.Errorf("stats %+v", stats)
			}
		})
	}
}

// BenchmarkEventReader splits a stream that arrives in chunks of two events.
func BenchmarkEventReader(b *testing.B) {
	one := []byte("id: 17\ndata: " + strings.Repeat("x", 120) + "\n\nid: 18\ndata: " + strings.Repeat("y", 120) + "\n\n")
	events := NewEventReader(repeatingReader(one))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := events.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingReader returns the same bytes with each read, endlessly.
type repeatingReader []byte

func (reader repeatingReader) Read(target []byte) (int, error) { return copy(target, reader), nil }
