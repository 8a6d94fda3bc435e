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

// faultyStreamEvents is the number of events in a complete stream of a faulty runner.
const faultyStreamEvents = 4

// faultyRunner answers requests over raw connections, many of them wrongly: late, twice, with another
// request's ID, truncated at any byte, or with bytes that are not HTTP.
type faultyRunner struct {
	host, incarnation, group string
	random                   *rand.Rand

	mutex       sync.Mutex
	ran         map[string]int
	names       []string
	connections map[net.Conn]bool
	listener    net.Listener
}

// startFaultyRunner starts a faulty runner on a host of its own.
func startFaultyRunner(t *testing.T, cluster *Cluster, position int, group string) *faultyRunner {
	t.Helper()
	runner := &faultyRunner{
		host: fmt.Sprintf("10.0.7.%d", position+1), incarnation: fmt.Sprintf("wild-%d", position+1), group: group,
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

// listed returns the runner's entry in the platform's list.
func (runner *faultyRunner) listed(position int) feed.Runner {
	return feed.Runner{Incarnation: runner.incarnation, Address: runner.host + ":8000", Group: runner.group, Domain: domain(position), State: feed.StateServing, Slots: 32}
}

// reset closes all connections.
func (runner *faultyRunner) reset() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for connection := range runner.connections {
		connection.Close()
	}
	clear(runner.connections)
}

// randomBelow returns a random number in [0, bound).
func (runner *faultyRunner) randomBelow(bound int) int {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.random.IntN(bound)
}

func (runner *faultyRunner) serve(connection net.Conn) {
	runner.mutex.Lock()
	runner.connections[connection] = true
	runner.mutex.Unlock()
	defer connection.Close()
	reader := bufio.NewReader(connection)
	delayed := "" // sent before the next answer
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
		for _, part := range append([]string{delayed}, answer.parts...) {
			if _, err := io.WriteString(connection, part); err != nil {
				return
			}
			<-time.After(time.Duration(runner.randomBelow(4)) * time.Millisecond)
		}
		delayed = answer.delayed
		if answer.pause > 0 {
			<-time.After(answer.pause)
		}
		if answer.closes {
			return
		}
	}
}

// faultyAnswer is what a faulty runner sends for one request.
type faultyAnswer struct {
	parts   []string
	delayed string        // sent before the next answer
	pause   time.Duration // time until the next request is read
	closes  bool          // the connection is closed afterwards
}

// head returns the header of an answer; its Seal field names the runner and the request.
func (runner *faultyRunner) head(name, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nSeal: %s/%s\r\n%s\r\n", standin.HeaderNames.RequestID, name, runner.incarnation, name, fields)
}

// plain returns the complete answer to a request that is not streamed.
func (runner *faultyRunner) plain(name string) string {
	text := "done " + name
	return runner.head(name, fmt.Sprintf("Content-Length: %d\r\n", len(text))) + text
}

// eventChunks returns the chunks of a streamed answer after the event with the given number.
func eventChunks(prompt string, after int) []string {
	parts := []string{}
	for number := after + 1; number <= faultyStreamEvents; number++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", number, standin.EventData(prompt, number))
		parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
	}
	return append(parts, "0\r\n\r\n")
}

// answer returns the answer to a request, with a random fault or none.
func (runner *faultyRunner) answer(request *http.Request, body string) faultyAnswer {
	name := request.Header.Get(standin.HeaderNames.RequestID)
	if expected := request.Header.Get(standin.HeaderNames.ExpectedRunner); expected != "" && expected != runner.incarnation || name == "" {
		return faultyAnswer{parts: []string{"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"}}
	}
	fault := runner.randomBelow(20)
	if fault == 0 {
		return faultyAnswer{parts: []string{fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", standin.HeaderNames.RequestID, name, standin.HeaderNames.NotRun)}}
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
		parts = append([]string{runner.head(name, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")}, eventChunks(body, after)...)
	}
	return runner.applyFault(fault, parts, earlier)
}

// applyFault applies the fault with the given number to a complete answer.
func (runner *faultyRunner) applyFault(fault int, parts []string, earlier string) faultyAnswer {
	complete := strings.Join(parts, "")
	switch fault {
	case 1: // preceded by an answer to an earlier request
		return faultyAnswer{parts: append([]string{runner.plain(earlier)}, parts...)}
	case 2: // preceded by an answer to an unknown request
		return faultyAnswer{parts: append([]string{runner.plain("q-foreign")}, parts...)}
	case 3:
		return faultyAnswer{parts: append([]string{"HTTP/1.1 100 Continue\r\n\r\n"}, parts...)}
	case 4:
		return faultyAnswer{parts: append(slices.Clone(parts), complete)}
	case 5, 6, 7: // repeated before the next answer
		return faultyAnswer{parts: parts, delayed: complete}
	case 8:
		return faultyAnswer{parts: append(slices.Clone(parts), "junk\r\n")}
	case 9, 10: // truncated anywhere, also before the first byte
		return faultyAnswer{parts: []string{complete[:runner.randomBelow(len(complete))]}, closes: true}
	case 11:
		return faultyAnswer{parts: []string{"\x16\x03\x01 this is no answer\r\n\r\n"}}
	case 12: // silent, and sent before the next answer
		return faultyAnswer{delayed: complete, pause: time.Duration(runner.randomBelow(1500)) * time.Millisecond}
	case 13: // all connections are closed
		runner.reset()
		return faultyAnswer{closes: true}
	case 14: // only an answer to another request
		return faultyAnswer{parts: []string{runner.plain(earlier + "-other")}}
	}
	return faultyAnswer{parts: parts}
}
