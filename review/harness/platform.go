package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// platform is the stand-in of the users' platform: the list of runners, and the runners.
type platform struct {
	fleet *fleet

	mutex   sync.Mutex
	runners []*runner
	// services has the shared table of operation keys of each service whose runners keep one.
	services map[string]*keyTable
	runs     []run
	// loseAnswer, if set, decides whether a runner breaks the connection instead of sending the
	// answer to a request that it has run.
	loseAnswer func(request run) bool
}

// keyTable is the table of operation keys that the runners of one service share.
type keyTable struct {
	answers map[string]string // first answer by customer and key
	running map[string]bool
}

// run is one request that a runner has run.
type run struct {
	runner, service, tryID, path, customer, operation string
	program, follows                                  string
	body                                              string
	at                                                time.Time
	tokens                                            int // put out so far
}

// runner is a stand-in runner.
type runner struct {
	platform              *platform
	id, service, zone, at string
}

// startPlatform starts the list.
func startPlatform(fleet *fleet) (*platform, error) {
	platform := &platform{fleet: fleet, services: map[string]*keyTable{}}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", fleet.network, platformPort))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(platform.serveList)) }() // ends with the program
	return platform, nil
}

// addService starts runners of a service, one in each zone. With dedupes they share a table of keys.
func (platform *platform) addService(name string, dedupes bool) error {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if dedupes {
		platform.services[name] = &keyTable{answers: map[string]string{}, running: map[string]bool{}}
	}
	for _, zone := range zones {
		number := len(platform.runners) + 1
		added := &runner{platform: platform, id: fmt.Sprintf("i-%d", number), service: name, zone: zone, at: fmt.Sprintf("127.%d.10.%d:%d", platform.fleet.network, number, runnerPort)}
		listener, err := net.Listen("tcp", added.at)
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(listener, added) }() // ends with the program
		platform.runners = append(platform.runners, added)
	}
	return nil
}

// serveList answers GET /servers on one page.
func (platform *platform) serveList(writer http.ResponseWriter, _ *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	servers := []map[string]any{}
	for _, runner := range platform.runners {
		servers = append(servers, map[string]any{
			"id": runner.id, "backend": runner.service, "address": runner.at, "zone": runner.zone, "revision": "v1", "slots": 32, "condition": "up", "cold-left-ms": 0,
		})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"servers": servers, "next-token": nil})
}

// ServeHTTP answers as a runner.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Server-Id", runner.id)
	if request.URL.Path == "/health" {
		return
	}
	got := run{
		runner: runner.id, service: runner.service, tryID: request.Header.Get("Try-Id"), path: request.URL.Path, customer: request.Header.Get("Customer"),
		operation: request.Header.Get("Operation-Key"), program: request.Header.Get("Program"), follows: request.Header.Get("Continues"), at: time.Now(),
	}
	header.Set("Try-Id", got.tryID)
	if intended := request.Header.Get("Intended-Server"); intended != "" && intended != runner.id {
		header.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	got.body = string(body)
	if strings.HasPrefix(got.path, "/talk/") || strings.HasPrefix(got.path, "/desk/") {
		runner.stream(writer, got)
		return
	}
	runner.work(writer, got)
}

// work answers a request with a key. A repeat gets the first answer if the service keeps a table.
func (runner *runner) work(writer http.ResponseWriter, got run) {
	platform := runner.platform
	answer := fmt.Sprintf("%s of %s did %s for %q in try %s", runner.id, runner.service, got.path, got.customer, got.tryID)
	key := got.customer + "/" + got.operation
	platform.mutex.Lock()
	table := platform.services[runner.service]
	if table != nil {
		if first, known := table.answers[key]; known {
			platform.mutex.Unlock()
			platform.fleet.record.add("runner %s (%s) answers try %s, key %s, from its table; it does not run it again", runner.id, runner.service, got.tryID, got.operation)
			sendAnswer(writer, first)
			return
		}
		if table.running[key] {
			platform.mutex.Unlock()
			writer.Header().Set("Not-Run", "1")
			writer.WriteHeader(http.StatusConflict)
			return
		}
		table.running[key] = true
	}
	platform.runs = append(platform.runs, got)
	lose := platform.loseAnswer != nil && platform.loseAnswer(got)
	platform.mutex.Unlock()
	platform.fleet.record.add("runner %s (%s) RUNS %s, try %s, key %s, customer %q", runner.id, runner.service, got.path, got.tryID, got.operation, got.customer)
	time.Sleep(20 * time.Millisecond)
	if table != nil {
		platform.mutex.Lock()
		delete(table.running, key)
		table.answers[key] = answer
		platform.mutex.Unlock()
	}
	if lose {
		platform.fleet.record.add("runner %s: the answer to try %s is lost", runner.id, got.tryID)
		panic(http.ErrAbortHandler)
	}
	sendAnswer(writer, answer)
}

// sendAnswer sends an answer with its seal.
func sendAnswer(writer http.ResponseWriter, answer string) {
	writer.Header().Set("Server-Seal", "seal of "+strings.ReplaceAll(answer, "\"", ""))
	_, _ = io.WriteString(writer, answer) // an error means that the front has gone
}

// The output of a turn: each event carries tokensPerEvent tokens.
const (
	eventsPerTurn  = 10
	tokensPerEvent = 4
	tokensPerTurn  = eventsPerTurn * tokensPerEvent
)

// stream answers a turn with a stream of events.
func (runner *runner) stream(writer http.ResponseWriter, got run) {
	platform := runner.platform
	platform.mutex.Lock()
	platform.runs = append(platform.runs, got)
	platform.mutex.Unlock()
	platform.fleet.record.add("runner %s (%s) RUNS the turn %s of program %q, customer %q, Continues %q, body %q", runner.id, runner.service, got.tryID, got.program, got.customer, got.follows, got.body)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Server-Seal", "seal of "+runner.id+" "+got.tryID)
	for number := range eventsPerTurn {
		if _, err := io.WriteString(writer, event(number+1, got.tryID)); err != nil {
			return
		}
		writer.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// event is one event of the stream of a turn.
func event(number int, tryID string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, eventData(number, tryID))
}

// eventData is the data of one event.
func eventData(number int, tryID string) string { return fmt.Sprintf("word %d of %s", number, tryID) }

// outputOf is what a turn adds to the history: the data of each event, with a line feed behind.
func outputOf(tryID string) string {
	text := ""
	for number := range eventsPerTurn {
		text += eventData(number+1, tryID) + "\n"
	}
	return text
}

// allRuns returns what the runners have run so far.
func (platform *platform) allRuns() []run {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return append([]run{}, platform.runs...)
}
