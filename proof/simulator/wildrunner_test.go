package simulator

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/feed"
)

// wildEvents is how many events a whole stream of a wild runner has.
const wildEvents = 4

// wildRunner answers queries over raw connections, and many of them wrongly: late, twice,
// under another's name, broken off at any byte, with bytes that are no answer.
type wildRunner struct {
	host, life, group string
	random            *rand.Rand

	mutex       sync.Mutex
	ran         map[string]int
	names       []string
	connections map[net.Conn]bool
	listener    net.Listener
}

// startWild starts a wild runner on a host of the cluster.
func startWild(t *testing.T, cluster *Cluster, position int, group string) *wildRunner {
	t.Helper()
	runner := &wildRunner{
		host: fmt.Sprintf("10.0.7.%d", position+1), life: fmt.Sprintf("wild-%d", position+1), group: group,
		random: cluster.Random(uint64(700 + position)), ran: map[string]int{}, connections: map[net.Conn]bool{},
	}
	listener, err := cluster.Network.At(runner.host).Listen(runner.host + ":8000")
	if err != nil {
		t.Fatal(err)
	}
	runner.listener = listener
	t.Cleanup(func() { listener.Close(); runner.reset() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go runner.serve(accepted)
		}
	}()
	return runner
}

// listed is the runner as the platform's list names it.
func (runner *wildRunner) listed(position int) feed.Runner {
	return feed.Runner{Incarnation: runner.life, Address: runner.host + ":8000", Group: runner.group, Domain: domain(position), State: feed.StateServing, Slots: 32}
}

// reset ends all connections at once.
func (runner *wildRunner) reset() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for one := range runner.connections {
		one.Close()
	}
	clear(runner.connections)
}

// draw returns a number below a bound.
func (runner *wildRunner) draw(bound int) int {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.random.IntN(bound)
}

func (runner *wildRunner) serve(connection net.Conn) {
	runner.mutex.Lock()
	runner.connections[connection] = true
	runner.mutex.Unlock()
	defer connection.Close()
	reader := bufio.NewReader(connection)
	owed := "" // comes in the place of the next answer
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		answer := runner.answer(request, string(body))
		for _, part := range append([]string{owed}, answer.parts...) {
			if _, err := io.WriteString(connection, part); err != nil {
				return
			}
			<-time.After(time.Duration(runner.draw(4)) * time.Millisecond)
		}
		owed = answer.later
		if answer.silent > 0 {
			<-time.After(answer.silent)
		}
		if answer.ends {
			return
		}
	}
}

// wildAnswer is what a wild runner sends for one query.
type wildAnswer struct {
	parts  []string
	later  string        // comes in the place of the next answer
	silent time.Duration // nothing more is read for so long
	ends   bool          // the connection
}

// head is the head of an answer to a query; its seal names runner and query.
func (runner *wildRunner) head(name, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nSeal: %s/%s\r\n%s\r\n", standin.HeaderNames.RequestID, name, runner.life, name, more)
}

// plain is the whole answer to a plain query.
func (runner *wildRunner) plain(name string) string {
	text := "done " + name
	return runner.head(name, fmt.Sprintf("Content-Length: %d\r\n", len(text))) + text
}

// events are the parts of the answer to a stream's query, after its head.
func events(prompt string, after int) []string {
	parts := []string{}
	for number := after + 1; number <= wildEvents; number++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData(prompt, number))
		parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
	}
	return append(parts, "0\r\n\r\n")
}

// answer draws what is done with a query.
func (runner *wildRunner) answer(request *http.Request, body string) wildAnswer {
	name := request.Header.Get(standin.HeaderNames.RequestID)
	if expected := request.Header.Get(standin.HeaderNames.ExpectedRunner); expected != "" && expected != runner.life || name == "" {
		return wildAnswer{parts: []string{"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"}}
	}
	drawn := runner.draw(20)
	if drawn == 0 {
		return wildAnswer{parts: []string{fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", standin.HeaderNames.RequestID, name, standin.HeaderNames.NotRun)}}
	}
	runner.mutex.Lock()
	runner.ran[name]++
	earlier := "q-none"
	if len(runner.names) > 0 {
		earlier = runner.names[runner.random.IntN(len(runner.names))]
	}
	runner.names = append(runner.names, name)
	runner.mutex.Unlock()
	parts := []string{runner.plain(name)}
	if strings.HasPrefix(request.URL.Path, "/talk/") {
		after, _ := strconv.Atoi(request.Header.Get(standin.HeaderNames.LastEventID))
		parts = append([]string{runner.head(name, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")}, events(body, after)...)
	}
	return runner.spoil(drawn, parts, earlier)
}

// spoil makes a whole answer wrong, by what was drawn.
func (runner *wildRunner) spoil(drawn int, parts []string, earlier string) wildAnswer {
	complete := strings.Join(parts, "")
	switch drawn {
	case 1: // an answer to an earlier query comes first
		return wildAnswer{parts: append([]string{runner.plain(earlier)}, parts...)}
	case 2: // an answer to a query that never was comes first
		return wildAnswer{parts: append([]string{runner.plain("q-foreign")}, parts...)}
	case 3:
		return wildAnswer{parts: append([]string{"HTTP/1.1 100 Continue\r\n\r\n"}, parts...)}
	case 4:
		return wildAnswer{parts: append(slices.Clone(parts), complete)}
	case 5, 6, 7: // once more, in the place of the next answer
		return wildAnswer{parts: parts, later: complete}
	case 8:
		return wildAnswer{parts: append(slices.Clone(parts), "junk\r\n")}
	case 9, 10: // broken off anywhere, also before the first byte
		return wildAnswer{parts: []string{complete[:runner.draw(len(complete))]}, ends: true}
	case 11:
		return wildAnswer{parts: []string{"\x16\x03\x01 this is no answer\r\n\r\n"}}
	case 12: // silence, and the answer in the place of the next one
		return wildAnswer{later: complete, silent: time.Duration(runner.draw(1500)) * time.Millisecond}
	case 13: // all connections are reset
		runner.reset()
		return wildAnswer{ends: true}
	case 14: // the answer of another query alone
		return wildAnswer{parts: []string{runner.plain(earlier + "-other")}}
	}
	return wildAnswer{parts: parts}
}
