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

// serviceName is the only service, runnerCount the number of its runners.
const (
	serviceName = "books"
	runnerCount = 2
)

// platform is the stand-in of the platform, which keeps the list of runners, and of the runners.
type platform struct {
	fleet   *fleet
	ip      string
	runners []*runner

	mutex sync.Mutex
	runs  []runnerRun
}

// runner is one stand-in runner.
type runner struct {
	platform *platform
	id       string
	zone     string
	address  string
}

// runnerRun is a request that a runner has begun to work on.
type runnerRun struct {
	runner, tryID, customer, path, body, continues string
}

// startPlatform starts the list and the runners.
func startPlatform(fleet *fleet) (*platform, error) {
	platform := &platform{fleet: fleet, ip: fmt.Sprintf("127.%d.0.1", fleet.network)}
	for index := range runnerCount {
		added := &runner{
			platform: platform, id: fmt.Sprintf("i-%s-%d", serviceName, index+1), zone: zoneName(index),
			address: fmt.Sprintf("127.%d.10.%d:%d", fleet.network, index+1, fleet.ports.runner),
		}
		if err := serve(added.address, added); err != nil {
			return nil, err
		}
		platform.runners = append(platform.runners, added)
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
			"id": runner.id, "backend": serviceName, "address": runner.address, "zone": runner.zone, "revision": "v1", "slots": 32, "condition": "up", "cold-left-ms": 0,
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
		runner: runner.id, tryID: tryID, customer: request.Header.Get("Customer"), path: request.URL.Path, body: string(body), continues: request.Header.Get("Continues"),
	}
	runner.begin(run)
	time.Sleep(workTime)
	header.Set("Server-Seal", "seal."+run.runner+"."+run.tryID)
	answer := fmt.Sprintf("%s did %q", run.runner, run.body)
	if run.path == sizedPath {
		answer = streamText()
		header.Set("Content-Type", "text/event-stream")
	}
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(writer, answer) // an error means that the front has gone
}

// workTime is how long a runner works on a request.
const workTime = 800 * time.Millisecond

// begin notes that a runner has begun to work on a request.
func (runner *runner) begin(run runnerRun) {
	runner.platform.mutex.Lock()
	runner.platform.runs = append(runner.platform.runs, run)
	runner.platform.mutex.Unlock()
	runner.platform.fleet.record.line("run: %s runs %s of try %s, customer %q, continues %q, body of %d bytes", run.runner, run.path, run.tryID, run.customer, run.continues, len(run.body))
}

// streamEvents is the number of events of a stream.
const streamEvents = 8

// streamText returns the events of an answer, which the runner makes as a whole before it writes.
func streamText() string {
	text := ""
	for number := 1; number <= streamEvents; number++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
	}
	return text
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
