// Package standin provides stand-ins for yardrock's external dependencies: model and application
// runners (Runner), runners of forwarded requests (Engine) and the platform's runner list
// (Platform). The runners' answers depend on everything that they received, and they record what
// they ran, so that tests can compare both with what callers received.
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

// Latencies are the response times of a stand-in runner.
type Latencies struct {
	FirstPiece  time.Duration // until the first piece or event of a stream
	NextPiece   time.Duration // between two pieces or events
	PlainAnswer time.Duration // until a plain answer
}

// Record is what a runner received, for checks.
type Record struct {
	// Executions counts the executions of each program/kind/request key.
	Executions map[string]int `json:"executions"`
	// Arrivals are the arrival times of the first maxArrivals requests, in Unix nanoseconds.
	Arrivals []int64 `json:"arrivals"`
	// Turns counts the requested turns.
	Turns int `json:"turns"`
	// MaxInFlight is the maximum number of requests in flight since TakeMaxInFlight last reset it.
	MaxInFlight int `json:"most_out"`
	// LastArrival is the arrival time of the last request on each path, in Unix nanoseconds.
	LastArrival map[string]int64 `json:"last_on"`
}

// Runner is a stand-in model and application runner. Words such as "!refuse" or "!slow" in a
// request select a fault. Its methods are safe for concurrent use.
type Runner struct {
	latencies    Latencies
	mutex        sync.Mutex
	inFlight     int
	record       Record
	paths        map[int64]string
	executionLog *os.File
}

// NewRunner returns a runner that answers with these latencies.
//
//	http.Serve(listener, standin.NewRunner(standin.Latencies{NextPiece: time.Millisecond}))
func NewRunner(latencies Latencies) *Runner {
	return &Runner{latencies: latencies, record: Record{Executions: map[string]int{}, LastArrival: map[string]int64{}}, paths: map[int64]string{}}
}

// OpenExecutionLog loads the executions from a file and appends further ones to it, so that they survive
// a restart. Call it before the runner serves.
//
//	err := runner.OpenExecutionLog("/tmp/executions")
func (runner *Runner) OpenExecutionLog(path string) error {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for key := range strings.Lines(string(data)) {
		runner.record.Executions[strings.TrimSpace(key)]++
	}
	runner.executionLog, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// Paths returns the path of each request in Record.Arrivals, by arrival time.
//
//	for at, path := range runner.Paths() { ... }
func (runner *Runner) Paths() map[int64]string {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return maps.Clone(runner.paths)
}

// TakeMaxInFlight returns the maximum number of requests in flight since the last call, and resets
// it to the current number.
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
	slowAnswer  = 2 * time.Second // added to a plain answer by "!slow"
)

func (runner *Runner) requestStarted(path string) {
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

func (runner *Runner) requestEnded() {
	runner.mutex.Lock()
	runner.inFlight--
	runner.mutex.Unlock()
}

// ServeHTTP serves turns on /turn, the record on /standin/record and /standin/take, of which the
// latter also resets MaxInFlight, and plain requests on all other paths.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/standin/record":
		writer.Header().Set("Content-Type", "application/json")
		writeJSON(writer, runner.Record())
	case "/standin/take":
		record := runner.Record()
		record.MaxInFlight = runner.TakeMaxInFlight()
		writer.Header().Set("Content-Type", "application/json")
		writeJSON(writer, record)
	case "/turn":
		runner.requestStarted(request.URL.Path)
		defer runner.requestEnded()
		runner.serveTurn(writer, request)
	default:
		runner.requestStarted(request.URL.Path)
		defer runner.requestEnded()
		runner.servePlain(writer, request)
	}
}

// Answer returns the pieces of a model runner's answer to a history and new words. It depends on
// both, so that a test detects any difference in what the runner received.
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

// PlainAnswer returns an application runner's answer to a request.
//
//	answer := standin.PlainAnswer(request)
func PlainAnswer(request runnerclient.PlainRequest) map[string]string {
	sum := sha256.Sum256([]byte(request.Kind + "\x00" + request.IdempotencyKey + "\x00" + request.Input))
	return map[string]string{"done": request.Kind, "proof": hex.EncodeToString(sum[:8])}
}

// serveTurn answers a turn with a stream of pieces or with the fault that its words select.
func (runner *Runner) serveTurn(writer http.ResponseWriter, request *http.Request) {
	var turnRequest runnerclient.TurnRequest
	if err := json.NewDecoder(request.Body).Decode(&turnRequest); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	runner.mutex.Lock()
	runner.record.Turns++
	runner.mutex.Unlock()
	if strings.Contains(turnRequest.Input, "!refuse") {
		writer.Header().Set(runnerclient.NotRunHeader, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.Contains(turnRequest.Input, "!type") {
		writer.Header().Set("Content-Type", "text/html")
		fmt.Fprint(writer, "<p>hello</p>")
		return
	}
	runner.streamTurn(writer, request, &turnRequest)
}

// streamTurn writes the pieces of a turn's answer and the end record, unless a fault prevents it.
func (runner *Runner) streamTurn(writer http.ResponseWriter, request *http.Request, turnRequest *runnerclient.TurnRequest) {
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
	for position, piece := range Answer(turnRequest.History, turnRequest.Input) {
		if !write(piece) {
			return
		}
		if position == 2 && strings.Contains(turnRequest.Input, "!stop") {
			panic(http.ErrAbortHandler) // net/http closes the connection
		}
		if position == 2 && strings.Contains(turnRequest.Input, "!early") {
			return
		}
		if position == 2 && strings.Contains(turnRequest.Input, "!nonsense") {
			fmt.Fprintln(writer, "{nonsense")
		}
	}
	for strings.Contains(turnRequest.Input, "!endless") {
		if !write(" more") {
			return
		}
	}
	writeJSON(writer, map[string]bool{"end": true})
}

// servePlain records and answers a plain request, or fails as its words select.
func (runner *Runner) servePlain(writer http.ResponseWriter, request *http.Request) {
	var plainRequest runnerclient.PlainRequest
	if err := json.NewDecoder(request.Body).Decode(&plainRequest); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(plainRequest.Input, "!refuse") {
		writer.Header().Set(runnerclient.NotRunHeader, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if plainRequest.IdempotencyKey != "" {
		runner.mutex.Lock()
		key := plainRequest.Program + "/" + plainRequest.Kind + "/" + plainRequest.IdempotencyKey
		runner.record.Executions[key]++
		if runner.executionLog != nil {
			fmt.Fprintln(runner.executionLog, key)
		}
		runner.mutex.Unlock()
	}
	time.Sleep(runner.latencies.PlainAnswer)
	if strings.Contains(plainRequest.Input, "!slow") {
		time.Sleep(slowAnswer)
	}
	switch {
	case strings.Contains(plainRequest.Input, "!lose"):
		panic(http.ErrAbortHandler) // net/http closes the connection
	case strings.Contains(plainRequest.Input, "!type"):
		writer.Header().Set("Content-Type", "text/html")
		fmt.Fprint(writer, "<p>hello</p>")
		return
	case strings.Contains(plainRequest.Input, "!nonsense"):
		writer.Header().Set("Content-Type", "application/json")
		fmt.Fprint(writer, "{nonsense")
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writeJSON(writer, PlainAnswer(plainRequest))
}

// writeJSON writes a value and a line feed. It ignores write errors: the front may have closed the
// connection.
func writeJSON(writer io.Writer, value any) { _ = json.NewEncoder(writer).Encode(value) }
