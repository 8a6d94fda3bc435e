package runnerpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// byteStream is one direction of a simulated connection. It buffers up to window bytes.
type byteStream struct {
	mutex         sync.Mutex
	changed       *sync.Cond
	window        int
	data          []byte
	eof           bool  // the writer closed: reads return io.EOF
	peerClosed    bool  // the reader closed: writes return ECONNRESET
	broken        error // returned by all reads and writes
	readDeadline  time.Time
	writeDeadline time.Time
	readClosed    bool // reads return net.ErrClosed
	writeClosed   bool // writes return net.ErrClosed
}

func newByteStream(window int) *byteStream {
	made := &byteStream{window: window}
	made.changed = sync.NewCond(&made.mutex)
	return made
}

func (stream *byteStream) update(action func()) {
	stream.mutex.Lock()
	action()
	stream.changed.Broadcast()
	stream.mutex.Unlock()
}

func deadlinePassed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// pipeEnd is one end of a simulated connection.
type pipeEnd struct {
	in, out *byteStream
	closes  int
}

func newPipe(window int) (*pipeEnd, *pipeEnd) {
	forward, backward := newByteStream(window), newByteStream(1<<20)
	return &pipeEnd{in: backward, out: forward}, &pipeEnd{in: forward, out: backward}
}

func (end *pipeEnd) Read(target []byte) (int, error) {
	stream := end.in
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for {
		switch {
		case stream.readClosed:
			return 0, net.ErrClosed
		case deadlinePassed(stream.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(stream.data) > 0:
			count := copy(target, stream.data)
			stream.data = stream.data[count:]
			stream.changed.Broadcast()
			return count, nil
		case stream.broken != nil:
			return 0, stream.broken
		case stream.eof:
			return 0, io.EOF
		}
		stream.changed.Wait()
	}
}

func (end *pipeEnd) Write(data []byte) (int, error) {
	stream := end.out
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	count := 0
	for count < len(data) {
		room := min(stream.window-len(stream.data), len(data)-count)
		switch {
		case stream.writeClosed:
			return count, net.ErrClosed
		case stream.broken != nil:
			return count, stream.broken
		case stream.peerClosed:
			return count, syscall.ECONNRESET
		case deadlinePassed(stream.writeDeadline):
			return count, os.ErrDeadlineExceeded
		case room > 0:
			stream.data = append(stream.data, data[count:count+room]...)
			count += room
			stream.changed.Broadcast()
			continue
		}
		stream.changed.Wait()
	}
	return count, nil
}

func (end *pipeEnd) Close() error {
	end.in.update(func() { end.in.readClosed, end.in.peerClosed = true, true })
	end.out.update(func() { end.out.writeClosed, end.out.eof = true, true; end.closes++ })
	return nil
}

// reset breaks the connection for both ends at once.
func (end *pipeEnd) reset() {
	end.out.update(func() { end.out.broken = syscall.ECONNRESET })
	end.in.update(func() { end.in.broken = syscall.ECONNRESET })
}

// closed reports whether the other side has closed the connection.
func (end *pipeEnd) closed() bool {
	end.in.mutex.Lock()
	defer end.in.mutex.Unlock()
	return end.in.eof
}

func (end *pipeEnd) Idle() bool {
	end.in.mutex.Lock()
	defer end.in.mutex.Unlock()
	return len(end.in.data) == 0 && !end.in.eof && end.in.broken == nil
}

func (*pipeEnd) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (*pipeEnd) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (end *pipeEnd) SetDeadline(deadline time.Time) error {
	end.SetReadDeadline(deadline)
	return end.SetWriteDeadline(deadline)
}

func (end *pipeEnd) SetReadDeadline(deadline time.Time) error {
	end.in.update(func() { end.in.readDeadline = deadline })
	end.in.wakeAt(deadline)
	return nil
}

func (end *pipeEnd) SetWriteDeadline(deadline time.Time) error {
	end.out.update(func() { end.out.writeDeadline = deadline })
	end.out.wakeAt(deadline)
	return nil
}

func (stream *byteStream) wakeAt(deadline time.Time) {
	if left := time.Until(deadline); left > 0 {
		time.AfterFunc(left, func() { stream.update(func() {}) })
	}
}

// network is a simulated network; serve is called for each new connection.
type network struct {
	mutex      sync.Mutex
	window     int
	serve      func(number int, connection *pipeEnd)
	fail       func(ctx context.Context) error
	dials      int
	runnerEnds []*pipeEnd // by connection
}

func (*network) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (network *network) Dial(ctx context.Context, _ string) (net.Conn, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.fail != nil {
		return nil, network.fail(ctx)
	}
	window := network.window
	if window == 0 {
		window = 1 << 20
	}
	near, far := newPipe(window)
	network.runnerEnds = append(network.runnerEnds, far)
	number := network.dials
	network.dials++
	go network.serve(number, far)
	return near, nil
}

// receivedRequest is a request as a runner received it.
type receivedRequest struct {
	*http.Request
	body       []byte
	connection int
}

// scriptedRunner is a runner that responds to the requests on each connection with raw
// bytes. NAME stands for the ID of the request. "|CLOSE" and "|RESET" at the end close or
// reset the connection.
type scriptedRunner struct {
	network
	mutex     sync.Mutex
	responses [][]string // by connection; the last element is for all further ones
	requests  []receivedRequest
}

func newScriptedRunner(responses ...[]string) *scriptedRunner {
	made := &scriptedRunner{responses: responses}
	made.network.serve = made.serve
	return made
}

func (scripted *scriptedRunner) serve(number int, connection *pipeEnd) {
	reader := bufio.NewReader(connection)
	for _, response := range scripted.responses[min(number, len(scripted.responses)-1)] {
		received, err := http.ReadRequest(reader)
		if err != nil {
			connection.Close()
			return
		}
		body, err := io.ReadAll(received.Body)
		if err != nil {
			connection.Close()
			return
		}
		scripted.mutex.Lock()
		scripted.requests = append(scripted.requests, receivedRequest{received, body, number})
		scripted.mutex.Unlock()
		response = strings.ReplaceAll(response, "NAME", received.Header.Get("Query-Name"))
		switch rest, action, _ := strings.Cut(response, "|"); {
		case action == "CLOSE":
			io.WriteString(connection, rest)
			connection.Close()
			return
		case action == "RESET":
			io.WriteString(connection, rest)
			connection.reset()
			return
		default:
			io.WriteString(connection, rest)
		}
	}
	io.Copy(io.Discard, reader)
	connection.Close()
}

func (scripted *scriptedRunner) received() []receivedRequest {
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	return scripted.requests
}

var testHeaders = HeaderNames{RequestID: "Query-Name", NotRun: "Not-Run", ExpectedRunner: "Expected-Runner", Timeout: "Time-Left", Load: "Load", Urgency: "Urgency", LastEventID: "Last-Event-Id", RunnerID: "Runner-Id", WarmUpLeft: "Cold-For"}

func testRequest(id string, changes ...func(*Request)) Request {
	made := Request{Runner: feed.Runner{Address: "10.0.0.9:8080", Incarnation: "life-1"}, MaxConnections: 4, Method: "POST", Target: "/turn/2f?x=1", Host: "agents.example",
		Header: http.Header{}, Body: [][]byte{[]byte("say "), []byte("it")}, ID: id, Deadline: time.Now().Add(10 * time.Second)}
	for _, change := range changes {
		change(&made)
	}
	return made
}

// isExactly reports whether err is want itself rather than an error that wraps it: callers
// of Read compare with io.EOF itself.
func isExactly(err, want error) bool { return any(err) == any(want) }

// sendAndRead sends a request, reads the whole body and closes the response.
func sendAndRead(t *testing.T, pool *Pool, request Request) (int, string, error) {
	t.Helper()
	response, err := pool.Send(t.Context(), request)
	if err != nil {
		return 0, "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return response.Status, string(body), err
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nQuery-Name: NAME\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func okWith(headers, body string) string {
	return strings.Replace(ok(body), "\r\n\r\n", "\r\n"+headers+"\r\n\r\n", 1)
}

func repeat(response string, count int) []string {
	responses := make([]string, count)
	for index := range responses {
		responses[index] = response
	}
	return responses
}

// failure holds the fields of an apierror.Error that the tests compare.
type failure struct {
	kind                                            apierror.Kind
	neverSent, lost, misdirected, connectionRefused bool
}

func failureOf(err error) failure {
	if err == nil {
		return failure{}
	}
	found := apierror.Of(err)
	return failure{found.Kind, found.NeverSent, found.Lost, found.Misdirected, found.ConnectionRefused}
}

func parts(text string, size int) [][]byte {
	split := [][]byte{}
	for data := []byte(text); len(data) > 0; {
		count := min(size, len(data))
		split, data = append(split, data[:count]), data[count:]
	}
	return split
}

// countingNetwork counts the writes on its connections.
type countingNetwork struct {
	*scriptedRunner
	writes *int
}

type countingConnection struct {
	*pipeEnd
	writes *int
}

func (counted countingConnection) Write(data []byte) (int, error) {
	*counted.writes++
	return counted.pipeEnd.Write(data)
}

func (counting countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := counting.scriptedRunner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConnection{made.(*pipeEnd), counting.writes}, nil
}

// undetectedNetwork opens connections whose idle check always succeeds.
type undetectedNetwork struct{ *scriptedRunner }

type undetectedConnection struct{ *pipeEnd }

func (undetectedConnection) Idle() bool { return true }

func (undetected undetectedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := undetected.scriptedRunner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return undetectedConnection{made.(*pipeEnd)}, nil
}

// echo responds to each request with its body.
func echo(_ int, connection *pipeEnd) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(received.Body)
		if err != nil {
			return
		}
		io.WriteString(connection, strings.ReplaceAll(ok(string(body)), "NAME", received.Header.Get("Query-Name")))
	}
}

// dialHook calls a function after each dial.
type dialHook struct {
	*scriptedRunner
	afterDial func()
}

func (hook dialHook) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := hook.scriptedRunner.Dial(ctx, address)
	hook.afterDial()
	return made, err
}
