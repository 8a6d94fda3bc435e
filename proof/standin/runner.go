// Package standin provides stand-ins for what yardrock depends on and does not contain: model
// and application runners (Runner), runners that get forwarded requests (Engine) and the
// platform's runner list (Platform). Their answers depend on everything that they were sent,
// and they record what they ran, so that tests can compare both with what callers got.
package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"yardrock.example/system/runnerclient"
)

// Latencies are how long a stand-in runner takes.
type Latencies struct {
	FirstPiece  time.Duration // until the first piece or event of a stream
	NextPiece   time.Duration // between two of them
	PlainAnswer time.Duration // until a plain answer
}

// Record is what a runner received, for checks.
type Record struct {
	// Executions counts the executions of each program/kind/request key.
	Executions map[string]int `json:"executions"`
	// Arrivals are the times at which requests arrived, in Unix nanoseconds, the first
	// maxArrivals of them.
	Arrivals []int64 `json:"arrivals"`
	// Turns counts the turns that were requested.
	Turns int `json:"turns"`
	// MaxInFlight is the most requests that were in flight at once since it was last taken.
	MaxInFlight int `json:"most_out"`
	// LastArrival has the time of the last request of each path, in Unix nanoseconds.
	LastArrival map[string]int64 `json:"last_on"`
}

// Runner is a stand-in model and application runner. Words in a request such as "!refuse" or
// "!slow" select a fault. Its methods are safe for concurrent use.
type Runner struct {
	latencies Latencies
	mutex     sync.Mutex
	inFlight  int
	record    Record
	paths     map[int64]string
	file      *os.File
}

// NewRunner returns a runner that answers with these latencies.
//
//	http.Serve(listener, standin.NewRunner(standin.Latencies{NextPiece: time.Millisecond}))
func NewRunner(latencies Latencies) *Runner {
	return &Runner{latencies: latencies, record: Record{Executions: map[string]int{}, LastArrival: map[string]int64{}}, paths: map[int64]string{}}
}

// OpenLedger keeps the executions in a file, so that they are known after a restart, as those
// of a real application would be. Call it before the runner serves.
//
//	err := runner.OpenLedger("/tmp/executions")
func (runner *Runner) OpenLedger(path string) error {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for key := range strings.Lines(string(data)) {
		runner.record.Executions[strings.TrimSpace(key)]++
	}
	runner.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return err
}

// Record returns a copy of what the runner received.
//
//	record := runner.Record()
func (runner *Runner) Record() Record {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	copied := runner.record
	copied.Executions = maps.Clone(runner.record.Executions)
	copied.LastArrival = maps.Clone(runner.record.LastArrival)
	copied.Arrivals = append([]int64{}, runner.record.Arrivals...)
	return copied
}

// Paths returns the path of each request in Record.Arrivals, by its time.
//
//	for at, path := range runner.Paths() { ... }
func (runner *Runner) Paths() map[int64]string {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return maps.Clone(runner.paths)
}

// TakeMaxInFlight returns the most requests that were in flight at once since the last call.
//
//	maximum := runner.TakeMaxInFlight()
func (runner *Runner) TakeMaxInFlight() int {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	maximum := runner.record.MaxInFlight
	runner.record.MaxInFlight = runner.inFlight
	return maximum
}

const (
	maxArrivals = 50000           // bounds the memory of a record
	slowAnswer  = 2 * time.Second // what "!slow" adds to a plain answer
)

func (runner *Runner) enter(path string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.inFlight++
	runner.record.MaxInFlight = max(runner.record.MaxInFlight, runner.inFlight)
	runner.record.LastArrival[path] = time.Now().UnixNano()
	if len(runner.record.Arrivals) < maxArrivals {
		runner.record.Arrivals = append(runner.record.Arrivals, time.Now().UnixNano())
		runner.paths[time.Now().UnixNano()] = path
	}
}

func (runner *Runner) leave() {
	runner.mutex.Lock()
	runner.inFlight--
	runner.mutex.Unlock()
}

// ServeHTTP answers POST /turn, POST on any other path, GET /standin/record, and GET
// /standin/take, which also begins to count MaxInFlight anew.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/standin/record":
		writer.Header().Set("Content-Type", "application/json")
		writeJSON(writer, runner.Record())
	case "/standin/take":
		taken := runner.Record()
		taken.MaxInFlight = runner.TakeMaxInFlight()
		writer.Header().Set("Content-Type", "application/json")
		writeJSON(writer, taken)
	case "/turn":
		runner.enter(request.URL.Path)
		defer runner.leave()
		runner.turn(writer, request)
	default:
		runner.enter(request.URL.Path)
		defer runner.leave()
		runner.plain(writer, request)
	}
}

// Answer returns the pieces of a model runner's answer to a history and new words. It depends
// on both, so that a test notices any difference in what the runner received.
//
//	pieces := standin.Answer(history, "hello")
func Answer(history []runnerclient.Message, words string) []string {
	prompt, _ := json.Marshal(append(append([]runnerclient.Message{}, history...), runnerclient.Message{Role: "caller", Text: words}))
	sum := sha256.Sum256(prompt)
	pieces := []string{"seen " + hex.EncodeToString(sum[:8])}
	for position := range 4 + int(sum[0]%12) {
		pieces = append(pieces, fmt.Sprintf(" word%d", position))
	}
	return pieces
}

// PlainAnswer returns what an application runner answers.
//
//	answer := standin.PlainAnswer(query)
func PlainAnswer(request runnerclient.PlainRequest) map[string]string {
	sum := sha256.Sum256([]byte(request.Kind + "\x00" + request.RequestKey + "\x00" + request.Input))
	return map[string]string{"done": request.Kind, "proof": hex.EncodeToString(sum[:8])}
}

// turn answers a turn with a stream of pieces, or with the fault that its words select.
func (runner *Runner) turn(writer http.ResponseWriter, request *http.Request) {
	var sent runnerclient.TurnRequest
	if err := json.NewDecoder(request.Body).Decode(&sent); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	runner.mutex.Lock()
	runner.record.Turns++
	runner.mutex.Unlock()
	if strings.Contains(sent.Input, "!refuse") {
		writer.Header().Set(runnerclient.NotRunHeader, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.Contains(sent.Input, "!type") {
		writer.Header().Set("Content-Type", "text/html")
		fmt.Fprint(writer, "<p>hello</p>")
		return
	}
	runner.streamTurn(writer, request, &sent)
}

// streamTurn writes the pieces of a turn's answer and its end.
func (runner *Runner) streamTurn(writer http.ResponseWriter, request *http.Request, sent *runnerclient.TurnRequest) {
	writer.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(writer)
	write := func(piece string) bool {
		writeJSON(writer, map[string]string{"piece": piece})
		_ = controller.Flush()
		select {
		case <-time.After(runner.latencies.NextPiece):
			return true
		case <-request.Context().Done():
			return false
		}
	}
	time.Sleep(runner.latencies.FirstPiece)
	for position, piece := range Answer(sent.History, sent.Input) {
		if !write(piece) {
			return
		}
		if position == 2 && strings.Contains(sent.Input, "!stop") {
			panic(http.ErrAbortHandler) // net/http closes the connection
		}
		if position == 2 && strings.Contains(sent.Input, "!early") {
			return
		}
		if position == 2 && strings.Contains(sent.Input, "!nonsense") {
			fmt.Fprintln(writer, "{nonsense")
		}
	}
	for strings.Contains(sent.Input, "!endless") {
		if !write(" more") {
			return
		}
	}
	writeJSON(writer, map[string]bool{"end": true})
}

// plain runs a plain request, records it and answers, or fails as its words select.
func (runner *Runner) plain(writer http.ResponseWriter, request *http.Request) {
	var sent runnerclient.PlainRequest
	if err := json.NewDecoder(request.Body).Decode(&sent); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(sent.Input, "!refuse") {
		writer.Header().Set(runnerclient.NotRunHeader, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if sent.RequestKey != "" {
		runner.mutex.Lock()
		key := sent.Program + "/" + sent.Kind + "/" + sent.RequestKey
		runner.record.Executions[key]++
		if runner.file != nil {
			fmt.Fprintln(runner.file, key)
		}
		runner.mutex.Unlock()
	}
	time.Sleep(runner.latencies.PlainAnswer)
	if strings.Contains(sent.Input, "!slow") {
		time.Sleep(slowAnswer)
	}
	switch {
	case strings.Contains(sent.Input, "!lose"):
		panic(http.ErrAbortHandler) // net/http closes the connection
	case strings.Contains(sent.Input, "!type"):
		writer.Header().Set("Content-Type", "text/html")
		fmt.Fprint(writer, "<p>hello</p>")
		return
	case strings.Contains(sent.Input, "!nonsense"):
		writer.Header().Set("Content-Type", "application/json")
		fmt.Fprint(writer, "{nonsense")
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writeJSON(writer, PlainAnswer(sent))
}

// writeJSON writes a value and a line feed. An error means that the front that asked has gone.
func writeJSON(writer io.Writer, value any) { _ = json.NewEncoder(writer).Encode(value) }
