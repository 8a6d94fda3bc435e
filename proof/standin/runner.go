// Package standin holds stand-ins for what is outside yardrock: model runners,
// application runners and the platform's list of runners.
package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"yardrock.example/system/runnerclient"
)

// Latencies is how fast a stand-in runner works.
type Latencies struct {
	FirstPiece  time.Duration
	NextPiece   time.Duration
	PlainAnswer time.Duration
}

// Record is what a runner saw, for the checks.
type Record struct {
	// Executions counts how often each program/kind/query key was carried out.
	Executions map[string]int `json:"executions"`
	// Arrivals are the Unix nanoseconds at which queries arrived, the last thousands.
	Arrivals []int64 `json:"arrivals"`
	Turns    int     `json:"turns"`
	// MaxInFlight is the most queries that were there at once since it was last taken.
	MaxInFlight int `json:"most_out"`
	// LastArrival tells when the last query came on each path, in Unix nanoseconds.
	LastArrival map[string]int64 `json:"last_on"`
}

// Runner is a stand-in model and application runner.
type Runner struct {
	latencies Latencies
	mutex     sync.Mutex
	inFlight  int
	record    Record
	paths     map[int64]string
	file      *os.File
}

// NewRunner makes a runner of a pace.
//
//	http.Serve(listener, standin.NewRunner(standin.Latencies{Piece: time.Millisecond}))
func NewRunner(pace Latencies) *Runner {
	return &Runner{latencies: pace, record: Record{Executions: map[string]int{}, LastArrival: map[string]int64{}}, paths: map[int64]string{}}
}

// OpenLedger keeps the executions in a file over restarts, as the ledger of a real
// application would be kept.
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

// Record gives a copy of what the runner saw.
//
//	seen := runner.Record()
func (runner *Runner) Record() Record {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	copied := runner.record
	copied.Executions = maps.Clone(runner.record.Executions)
	copied.LastArrival = maps.Clone(runner.record.LastArrival)
	copied.Arrivals = append([]int64{}, runner.record.Arrivals...)
	return copied
}

// Paths tells on which path each query came, by its Unix nanoseconds.
//
//	for at, path := range runner.Paths() { ... }
func (runner *Runner) Paths() map[int64]string {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return maps.Clone(runner.paths)
}

// TakeMaxInFlight gives the most queries that were there at once since the last call.
//
//	most := runner.TakeMaxInFlight()
func (runner *Runner) TakeMaxInFlight() int {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	maximum := runner.record.MaxInFlight
	runner.record.MaxInFlight = runner.inFlight
	return maximum
}

const (
	maxArrivals = 50000
	slowAnswer  = 2 * time.Second
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
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, query *http.Request) {
	switch query.URL.Path {
	case "/standin/record":
		writer.Header().Set("Content-Type", "application/json")
		json.NewEncoder(writer).Encode(runner.Record())
	case "/standin/take":
		taken := runner.Record()
		taken.MaxInFlight = runner.TakeMaxInFlight()
		writer.Header().Set("Content-Type", "application/json")
		json.NewEncoder(writer).Encode(taken)
	case "/turn":
		runner.enter(query.URL.Path)
		defer runner.leave()
		runner.turn(writer, query)
	default:
		runner.enter(query.URL.Path)
		defer runner.leave()
		runner.plain(writer, query)
	}
}

// Answer is what a model runner says to a history and new words. It depends on
// all of it, so that any difference shows.
//
//	pieces := standin.Answer(history, "hello")
func Answer(history []runnerclient.Message, words string) []string {
	said, _ := json.Marshal(append(append([]runnerclient.Message{}, history...), runnerclient.Message{Role: "caller", Words: words}))
	sum := sha256.Sum256(said)
	pieces := []string{"seen " + hex.EncodeToString(sum[:8])}
	for position := range 4 + int(sum[0]%12) {
		pieces = append(pieces, fmt.Sprintf(" word%d", position))
	}
	return pieces
}

// PlainAnswer is what an application runner answers.
//
//	answer := standin.PlainAnswer(query)
func PlainAnswer(query runnerclient.PlainRequest) map[string]string {
	sum := sha256.Sum256([]byte(query.Kind + "\x00" + query.RequestKey + "\x00" + query.Words))
	return map[string]string{"done": query.Kind, "proof": hex.EncodeToString(sum[:8])}
}

func (runner *Runner) turn(writer http.ResponseWriter, query *http.Request) {
	var sent runnerclient.TurnRequest
	if err := json.NewDecoder(query.Body).Decode(&sent); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	runner.mutex.Lock()
	runner.record.Turns++
	runner.mutex.Unlock()
	if strings.Contains(sent.Words, "!refuse") {
		writer.Header().Set(runnerclient.NotRunHeader, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.Contains(sent.Words, "!type") {
		writer.Header().Set("Content-Type", "text/html")
		fmt.Fprint(writer, "<p>hello</p>")
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(writer)
	encoder := json.NewEncoder(writer)
	say := func(piece string) bool {
		encoder.Encode(map[string]string{"piece": piece})
		controller.Flush()
		select {
		case <-time.After(runner.latencies.NextPiece):
			return true
		case <-query.Context().Done():
			return false
		}
	}
	time.Sleep(runner.latencies.FirstPiece)
	for position, piece := range Answer(sent.History, sent.Words) {
		if !say(piece) {
			return
		}
		if position == 2 && strings.Contains(sent.Words, "!stop") {
			panic(http.ErrAbortHandler)
		}
		if position == 2 && strings.Contains(sent.Words, "!early") {
			return
		}
		if position == 2 && strings.Contains(sent.Words, "!nonsense") {
			fmt.Fprintln(writer, "{nonsense")
		}
	}
	for strings.Contains(sent.Words, "!endless") {
		if !say(" more") {
			return
		}
	}
	encoder.Encode(map[string]bool{"end": true})
}

func (runner *Runner) plain(writer http.ResponseWriter, query *http.Request) {
	var sent runnerclient.PlainRequest
	if err := json.NewDecoder(query.Body).Decode(&sent); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(sent.Words, "!refuse") {
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
	if strings.Contains(sent.Words, "!slow") {
		time.Sleep(slowAnswer)
	}
	switch {
	case strings.Contains(sent.Words, "!lose"):
		panic(http.ErrAbortHandler)
	case strings.Contains(sent.Words, "!type"):
		writer.Header().Set("Content-Type", "text/html")
		fmt.Fprint(writer, "<p>hello</p>")
		return
	case strings.Contains(sent.Words, "!nonsense"):
		writer.Header().Set("Content-Type", "application/json")
		fmt.Fprint(writer, "{nonsense")
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	json.NewEncoder(writer).Encode(PlainAnswer(sent))
}
