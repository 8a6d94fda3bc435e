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

// half is one direction of a simulated connection: bytes wait in a window of a size.
type half struct {
	mutex    sync.Mutex
	moved    *sync.Cond
	window   int
	data     []byte
	ended    bool  // the writer closed
	unread   bool  // the reader closed
	broken   error // what reader and writer meet instead
	read     time.Time
	write    time.Time
	released bool // the reader's own end is closed
	shut     bool // the writer's own end is closed
}

func newHalf(window int) *half {
	made := &half{window: window}
	made.moved = sync.NewCond(&made.mutex)
	return made
}

func (half *half) change(action func()) {
	half.mutex.Lock()
	action()
	half.moved.Broadcast()
	half.mutex.Unlock()
}

func passed(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// end is one end of a simulated connection.
type end struct {
	in, out *half
	closes  int
}

func connect(window int) (*end, *end) {
	there, back := newHalf(window), newHalf(1<<20)
	return &end{in: back, out: there}, &end{in: there, out: back}
}

func (end *end) Read(target []byte) (int, error) {
	half := end.in
	half.mutex.Lock()
	defer half.mutex.Unlock()
	for {
		switch {
		case half.released:
			return 0, net.ErrClosed
		case passed(half.read):
			return 0, os.ErrDeadlineExceeded
		case len(half.data) > 0:
			count := copy(target, half.data)
			half.data = half.data[count:]
			half.moved.Broadcast()
			return count, nil
		case half.broken != nil:
			return 0, half.broken
		case half.ended:
			return 0, io.EOF
		}
		half.moved.Wait()
	}
}

func (end *end) Write(data []byte) (int, error) {
	half := end.out
	half.mutex.Lock()
	defer half.mutex.Unlock()
	count := 0
	for count < len(data) {
		room := min(half.window-len(half.data), len(data)-count)
		switch {
		case half.shut:
			return count, net.ErrClosed
		case half.broken != nil:
			return count, half.broken
		case half.unread:
			return count, syscall.ECONNRESET
		case passed(half.write):
			return count, os.ErrDeadlineExceeded
		case room > 0:
			half.data = append(half.data, data[count:count+room]...)
			count += room
			half.moved.Broadcast()
			continue
		}
		half.moved.Wait()
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

// closed tells that the other side has closed the connection.
func (end *end) closed() bool {
	end.in.mutex.Lock()
	defer end.in.mutex.Unlock()
	return end.in.ended
}

func (end *end) Quiet() bool {
	end.in.mutex.Lock()
	defer end.in.mutex.Unlock()
	return len(end.in.data) == 0 && !end.in.ended && end.in.broken == nil
}

func (end *end) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (end *end) RemoteAddr() net.Addr { return &net.TCPAddr{} }

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

func (half *half) wakeAt(deadline time.Time) {
	if left := time.Until(deadline); left > 0 {
		time.AfterFunc(left, func() { half.change(func() {}) })
	}
}

// network is a simulated network whose listeners are functions that serve.
type network struct {
	mutex  sync.Mutex
	window int
	serve  func(number int, connection *end)
	fail   func(ctx context.Context) error
	dials  int
	made   []*end // the runners' ends
}

func (network *network) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

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

// asking is one query as a runner got it.
type asking struct {
	*http.Request
	text       []byte
	connection int
}

// scripted is a runner that answers the queries on each connection with raw bytes.
// NAME stands for the name of the query. After CLOSE or RESET it ends the connection,
// SILENT answers nothing.
type scripted struct {
	network
	mutex   sync.Mutex
	answers [][]string // of each connection; the last one counts for all further ones
	asked   []asking
}

func script(answers ...[]string) *scripted {
	made := &scripted{answers: answers}
	made.network.serve = made.serve
	return made
}

func (scripted *scripted) serve(number int, connection *end) {
	reader := bufio.NewReader(connection)
	for _, answer := range scripted.answers[min(number, len(scripted.answers)-1)] {
		query, err := http.ReadRequest(reader)
		if err != nil {
			connection.Close()
			return
		}
		text, err := io.ReadAll(query.Body)
		if err != nil {
			connection.Close()
			return
		}
		scripted.mutex.Lock()
		scripted.asked = append(scripted.asked, asking{query, text, number})
		scripted.mutex.Unlock()
		answer = strings.ReplaceAll(answer, "NAME", query.Header.Get("Query-Name"))
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

func (scripted *scripted) got() []asking {
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	return scripted.asked
}

var testDialect = Dialect{Query: "Query-Name", NotRun: "Not-Run", Expected: "Expected-Runner", TimeLeft: "Time-Left", Load: "Load", Urgency: "Urgency", Resume: "Last-Event-Id", Runner: "Runner-Id", ColdFor: "Cold-For"}

func query(name string, changes ...func(*Dispatch)) Dispatch {
	made := Dispatch{Runner: feed.Runner{Address: "10.0.0.9:8080", Life: "life-1"}, Most: 4, Method: "POST", Target: "/turn/2f?x=1", Host: "agents.example",
		Header: http.Header{}, Body: [][]byte{[]byte("say "), []byte("it")}, Name: name, Deadline: time.Now().Add(10 * time.Second)}
	for _, change := range changes {
		change(&made)
	}
	return made
}

// ask sends and reads a whole body, and closes.
func ask(t *testing.T, pool *Pool, dispatch Dispatch) (int, string, error) {
	t.Helper()
	reply, err := pool.Send(t.Context(), dispatch)
	if err != nil {
		return 0, "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return reply.Status, string(body), err
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

// failure is what an error tells, without its words.
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

// counting counts the writes of the pool.
type counting struct {
	*scripted
	writes *int
}

type counted struct {
	*end
	writes *int
}

func (counted counted) Write(data []byte) (int, error) {
	*counted.writes++
	return counted.end.Write(data)
}

func (counting counting) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := counting.scripted.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return counted{made.(*end), counting.writes}, nil
}

// deaf makes connections on which nothing is heard before something is written.
type deaf struct{ *scripted }

type unheard struct{ *end }

func (unheard) Quiet() bool { return true }

func (deaf deaf) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := deaf.scripted.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return unheard{made.(*end)}, nil
}

// echo answers each query with its own body.
func echo(_ int, connection *end) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		query, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(query.Body)
		if err != nil {
			return
		}
		io.WriteString(connection, strings.ReplaceAll(ok(string(body)), "NAME", query.Header.Get("Query-Name")))
	}
}

// dialling does something when a connection has come up.
type dialling struct {
	*scripted
	do func()
}

func (dialling dialling) Dial(ctx context.Context, address string) (net.Conn, error) {
	made, err := dialling.scripted.Dial(ctx, address)
	dialling.do()
	return made, err
}
