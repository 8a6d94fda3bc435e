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

// byteStream is one direction of a simulated connection. It buffers up to a window of
// bytes.
type byteStream struct {
	mutex    sync.Mutex
	moved    *sync.Cond
	window   int
	data     []byte
	ended    bool  // the writer closed
	unread   bool  // the reader closed
	broken   error // the error of all reads and writes
	read     time.Time
	write    time.Time
	released bool // the reader's own end is closed
	shut     bool // the writer's own end is closed
}

func newByteStream(window int) *byteStream {
	made := &byteStream{window: window}
	made.moved = sync.NewCond(&made.mutex)
	return made
}

func (stream *byteStream) change(action func()) {
	stream.mutex.Lock()
	action()
	stream.moved.Broadcast()
	stream.mutex.Unlock()
}

func deadlinePassed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// end is one end of a simulated connection.
type end struct {
	in, out *byteStream
	closes  int
}

func connect(window int) (*end, *end) {
	there, back := newByteStream(window), newByteStream(1<<20)
	return &end{in: back, out: there}, &end{in: there, out: back}
}

func (end *end) Read(target []byte) (int, error) {
	stream := end.in
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for {
		switch {
		case stream.released:
			return 0, net.ErrClosed
		case deadlinePassed(stream.read):
			return 0, os.ErrDeadlineExceeded
		case len(stream.data) > 0:
			count := copy(target, stream.data)
			stream.data = stream.data[count:]
			stream.moved.Broadcast()
			return count, nil
		case stream.broken != nil:
			return 0, stream.broken
		case stream.ended:
			return 0, io.EOF
		}
		stream.moved.Wait()
	}
}

func (end *end) Write(data []byte) (int, error) {
	stream := end.out
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	count := 0
	for count < len(data) {
		room := min(stream.window-len(stream.data), len(data)-count)
		switch {
		case stream.shut:
			return count, net.ErrClosed
		case stream.broken != nil:
			return count, stream.broken
		case stream.unread:
			return count, syscall.ECONNRESET
		case deadlinePassed(stream.write):
			return count, os.ErrDeadlineExceeded
		case room > 0:
			stream.data = append(stream.data, data[count:count+room]...)
			count += room
			stream.moved.Broadcast()
			continue
		}
		stream.moved.Wait()
	}
	return count, nil
}

func (end *end) Close() error {
	end.in.change(func() { end.in.released, end.in.unread = true, true })
	end.out.change(func() { end.out.shut, end.out.ended = true, true; end.closes++ })
	return nil
}

// reset breaks the connection for the other side at once.
func (end *end) reset() {
	end.out.change(func() { end.out.broken = syscall.ECONNRESET })
	end.in.change(func() { end.in.broken = syscall.ECONNRESET })
}

// closed reports whether the other side has closed the connection.
func (end *end) closed() bool {
	end.in.mutex.Lock()
	defer end.in.mutex.Unlock()
	return end.in.ended
}

func (end *end) Idle() bool {
	end.in.mutex.Lock()
	defer end.in.mutex.Unlock()
	return len(end.in.data) == 0 && !end.in.ended && end.in.broken == nil
}

func (*end) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (*end) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (end *end) SetDeadline(deadline time.Time) error {
	end.SetReadDeadline(deadline)
	return end.SetWriteDeadline(deadline)
}

func (end *end) SetReadDeadline(deadline time.Time) error {
	end.in.change(func() { end.in.read = deadline })
	end.in.wakeAt(deadline)
	return nil
}

func (end *end) SetWriteDeadline(deadline time.Time) error {
	end.out.change(func() { end.out.write = deadline })
	end.out.wakeAt(deadline)
	return nil
}

func (stream *byteStream) wakeAt(deadline time.Time) {
	if left := time.Until(deadline); left > 0 {
		time.AfterFunc(left, func() { stream.change(func() {}) })
	}
}

// network is a simulated network; serve is called for each new connection.
type network struct {
	mutex  sync.Mutex
	window int
	serve  func(number int, connection *end)
	fail   func(ctx context.Context) error
	dials  int
	made   []*end // the runners' ends
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
	near, far := connect(window)
	network.made = append(network.made, far)
	number := network.dials
	network.dials++
	go network.serve(number, far)
	return near, nil
}

// receivedRequest is one request as a runner got it.
type receivedRequest struct {
	*http.Request
	text       []byte
	connection int
}

// scriptedRunner is a runner that answers the requests on each connection with raw bytes.
// NAME stands for the ID of the request. "|CLOSE" and "|RESET" at the end close or reset
// the connection.
type scriptedRunner struct {
	network
	mutex     sync.Mutex
	answers   [][]string // by connection; the last element is for all further ones
	requested []receivedRequest
}

func newScriptedRunner(answers ...[]string) *scriptedRunner {
	made := &scriptedRunner{answers: answers}
	made.network.serve = made.serve
	return made
}

func (scripted *scriptedRunner) serve(number int, connection *end) {
	reader := bufio.NewReader(connection)
	for _, answer := range scripted.answers[min(number, len(scripted.answers)-1)] {
		received, err := http.ReadRequest(reader)
		if err != nil {
			connection.Close()
			return
		}
		text, err := io.ReadAll(received.Body)
		if err != nil {
			connection.Close()
			return
		}
		scripted.mutex.Lock()
		scripted.requested = append(scripted.requested, receivedRequest{received, text, number})
		scripted.mutex.Unlock()
		answer = strings.ReplaceAll(answer, "NAME", received.Header.Get("Query-Name"))
		switch rest, end, _ := strings.Cut(answer, "|"); {
		case end == "CLOSE":
			io.WriteString(connection, rest)
			connection.Close()
			return
		case end == "RESET":
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

func (scripted *scriptedRunner) got() []receivedRequest {
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	return scripted.requested
}

var testHeaders = HeaderNames{RequestID: "Query-Name", NotRun: "Not-Run", ExpectedRunner: "Expected-Runner", Timeout: "Time-Left", Load: "Load", Urgency: "Urgency", LastEventID: "Last-Event-Id", RunnerID: "Runner-Id", WarmUpLeft: "Cold-For"}

func testRequest(name string, changes ...func(*Request)) Request {
	made := Request{Runner: feed.Runner{Address: "10.0.0.9:8080", Incarnation: "life-1"}, MaxConnections: 4, Method: "POST", Target: "/turn/2f?x=1", Host: "agents.example",
		Header: http.Header{}, Body: [][]byte{[]byte("say "), []byte("it")}, ID: name, Deadline: time.Now().Add(10 * time.Second)}
	for _, change := range changes {
		change(&made)
	}
	return made
}

// isExactly reports whether an error is a certain one and does not only wrap it: callers
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

func repeat(answer string, count int) []string {
	answers := make([]string, count)
	for index := range answers {
		answers[index] = answer
	}
	return answers
}

// failure is the typed content of an error.
type failure struct {
	kind                                      apierror.Kind
	neverSent, lost, misdirected, nobodyThere bool
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
	*end
	writes *int
}

func (counted countingConnection) Write(data []byte) (int, error) {
	*counted.writes++
	return counted.end.Write(data)
}

func (counting countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := counting.scriptedRunner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConnection{made.(*end), counting.writes}, nil
}

// undetectedNetwork makes connections on which the idle check finds nothing.
type undetectedNetwork struct{ *scriptedRunner }

type undetectedConnection struct{ *end }

func (undetectedConnection) Idle() bool { return true }

func (deaf undetectedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := deaf.scriptedRunner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return undetectedConnection{made.(*end)}, nil
}

// echo answers each request with its own body.
func echo(_ int, connection *end) {
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
	do func()
}

func (dialling dialHook) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := dialling.scriptedRunner.Dial(ctx, address)
	dialling.do()
	return made, err
}
