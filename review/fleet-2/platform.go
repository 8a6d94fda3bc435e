package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The services of the deployment. The runners of dedupService keep one shared table of keys.
const (
	plainService = "books"
	dedupService = "ledger"
)

// runnersPerService is the number of runners of each service.
const runnersPerService = 2

// platform is the stand-in of the platform, which keeps the list of runners, and of the runners.
type platform struct {
	fleet   *fleet
	ip      string
	runners []*runner

	mutex sync.Mutex
	runs  []runnerRun
	// operations is the shared table of keys of each service that keeps one.
	operations map[string]*operation
}

// runner is one stand-in runner.
type runner struct {
	platform *platform
	id       string
	service  string
	zone     string
	address  string
}

// runnerRun is a request that a runner has begun to work on.
type runnerRun struct {
	at                                    time.Time
	runner, service, tryID, key, customer string
	path, body, continues, afterEvent     string
}

// operation is an entry of a table of keys.
type operation struct {
	done         bool
	answer, seal string
}

// startPlatform starts the list and the runners.
func startPlatform(fleet *fleet) (*platform, error) {
	platform := &platform{fleet: fleet, ip: fmt.Sprintf("127.%d.0.1", fleet.network), operations: map[string]*operation{}}
	number := 0
	for _, service := range []string{plainService, dedupService} {
		for index := range runnersPerService {
			number++
			added := &runner{
				platform: platform, id: fmt.Sprintf("i-%s-%d", service, index+1), service: service, zone: zoneName(index),
				address: fmt.Sprintf("127.%d.10.%d:%d", fleet.network, number, fleet.ports.runner),
			}
			if err := serve(added.address, added); err != nil {
				return nil, err
			}
			platform.runners = append(platform.runners, added)
		}
	}
	return platform, serve(fmt.Sprintf("%s:%d", platform.ip, fleet.ports.cloud), http.HandlerFunc(platform.serveList))
}

// serve serves an address until the process ends.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

// serveList answers GET /servers with one page.
func (platform *platform) serveList(writer http.ResponseWriter, _ *http.Request) {
	servers := []map[string]any{}
	for _, runner := range platform.runners {
		servers = append(servers, map[string]any{
			"id": runner.id, "backend": runner.service, "address": runner.address, "zone": runner.zone, "revision": "v1", "slots": 32, "condition": "up", "cold-left-ms": 0,
		})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"servers": servers, "next-token": nil})
}

// ServeHTTP answers one request as PROTOCOL.md says that runners do.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Server-Id", runner.id)
	if request.URL.Path == "/health" {
		return
	}
	tryID := request.Header.Get("Try-Id")
	header.Set("Try-Id", tryID)
	if intended := request.Header.Get("Intended-Server"); intended != "" && intended != runner.id {
		header.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	run := runnerRun{
		at: time.Now(), runner: runner.id, service: runner.service, tryID: tryID, key: request.Header.Get("Operation-Key"), customer: request.Header.Get("Customer"),
		path: request.URL.Path, body: string(body), continues: request.Header.Get("Continues"), afterEvent: request.Header.Get("Last-Event-Id"),
	}
	switch {
	case run.path == talkPath || run.path == sizedPath:
		runner.begin(run)
		runner.stream(writer, request, run)
	case runner.service == dedupService && run.key != "":
		runner.answerOperation(writer, run)
	default:
		runner.begin(run)
		time.Sleep(workTime)
		answer := runner.answerTo(run)
		header.Set("Server-Seal", sealOf(run))
		_, _ = io.WriteString(writer, answer)
	}
}

// workTime is how long a runner works on a plain request.
const workTime = 50 * time.Millisecond

// begin notes that a runner has begun to work on a request.
func (runner *runner) begin(run runnerRun) {
	runner.platform.mutex.Lock()
	runner.platform.runs = append(runner.platform.runs, run)
	runner.platform.mutex.Unlock()
	runner.platform.fleet.record.line("run: %s (%s) runs %s of try %s, key %q, customer %q, continues %q, after event %q, body of %d bytes",
		run.runner, run.service, run.path, run.tryID, run.key, run.customer, run.continues, run.afterEvent, len(run.body))
}

func (runner *runner) answerTo(run runnerRun) string {
	return fmt.Sprintf("%s did %q for try %s", run.runner, run.body, run.tryID)
}

func sealOf(run runnerRun) string { return "seal." + run.runner + "." + run.tryID }

// answerOperation answers a request with a key by the service's shared table: a repeat gets the first
// answer, or 409 and Not-Run while the first still runs.
func (runner *runner) answerOperation(writer http.ResponseWriter, run runnerRun) {
	platform := runner.platform
	name := runner.service + "/" + run.customer + "/" + run.key
	platform.mutex.Lock()
	known, found := platform.operations[name]
	if !found {
		platform.operations[name] = &operation{}
	}
	working, answered := found && !known.done, found && known.done
	platform.mutex.Unlock()
	switch {
	case working:
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusConflict)
		return
	case answered:
		writer.Header().Set("Server-Seal", known.seal)
		_, _ = io.WriteString(writer, known.answer)
		return
	}
	runner.begin(run)
	time.Sleep(workTime)
	answer := runner.answerTo(run)
	platform.mutex.Lock()
	*platform.operations[name] = operation{done: true, answer: answer, seal: sealOf(run)}
	platform.mutex.Unlock()
	writer.Header().Set("Server-Seal", sealOf(run))
	_, _ = io.WriteString(writer, answer)
}

// The streams: their number of events and the pause between two.
const (
	streamEvents = 8
	eventPause   = 100 * time.Millisecond
)

// eventData returns the data of an event.
func eventData(number int) string { return fmt.Sprintf("piece %d", number) }

// stream answers with events, from the one after Last-Event-Id on. On sizedPath the whole answer is made
// first and sent with its length.
func (runner *runner) stream(writer http.ResponseWriter, request *http.Request, run runnerRun) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Server-Seal", sealOf(run))
	after, _ := strconv.Atoi(run.afterEvent) // 0 without Last-Event-Id
	if run.path == sizedPath {
		time.Sleep(streamEvents * eventPause)
		text := ""
		for number := after + 1; number <= streamEvents; number++ {
			text += eventText(number)
		}
		header.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(writer, text)
		return
	}
	for number := after + 1; number <= streamEvents; number++ {
		if _, err := io.WriteString(writer, eventText(number)); err != nil {
			return
		}
		writer.(http.Flusher).Flush()
		select {
		case <-time.After(eventPause):
		case <-request.Context().Done():
			return
		}
	}
}

func eventText(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, eventData(number))
}

// runsOf returns the runs that a predicate selects.
func (platform *platform) runsOf(selects func(runnerRun) bool) []runnerRun {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	found := []runnerRun{}
	for _, run := range platform.runs {
		if selects(run) {
			found = append(found, run)
		}
	}
	return found
}
