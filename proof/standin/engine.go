package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardrock.example/system/runnerpool"
)

// HeaderNames is how stand-in engines name their headers.
var Dialect = runnerpool.HeaderNames{
	RequestID: "Query-Name", NotRun: "Not-Run", ExpectedRunner: "Expected-Runner", Timeout: "Time-Left", Load: "Runner-Load",
	Urgency: "Urgency", LastEventID: "Last-Event-ID", RunnerID: "Runner", WarmUpLeft: "Cold-For",
}

// Fault is what goes wrong with one query at an engine.
type Fault string

// The faults.
const (
	NoFault Fault = ""
	// FaultNotRun vouches that the query did not run.
	FaultNotRun Fault = "refuses"
	// FaultLoseAnswer runs the query and closes the connection.
	FaultLoseAnswer Fault = "loses"
	// FaultBreakStream breaks a stream off after its second event.
	FaultBreakStream Fault = "breaks"
	// FaultServerError answers 500.
	FaultServerError Fault = "fails"
	// FaultUnavailable answers 503 without vouching for anything.
	FaultUnavailable Fault = "unvouched"
	// FaultWrongName answers under another query's name.
	FaultWrongName Fault = "foreign"
	// FaultExtraAnswer answers, and once more with the name of the same query, where the answer to
	// the next query should come.
	FaultExtraAnswer Fault = "extra"
	// FaultGarbledAnswer runs the query and answers with bytes that are no answer.
	FaultGarbledAnswer Fault = "garbles"
	// FaultHang runs the query and never answers.
	FaultHang Fault = "hangs"
	// Plain answers a stream's query plainly, with success.
	FaultPlainAnswer Fault = "plain"
	// FaultUnprocessable answers 422 of its own.
	FaultUnprocessable Fault = "rejects"
	// FaultRestartStream breaks a stream off after its second event, and gives it from its beginning
	// to whoever resumes it.
	FaultRestartStream Fault = "repeats"
)

// Ran is one run of a query at an engine.
type Execution struct {
	Query  string
	Method string
	Target string
	Body   string
	At     time.Time
	Header http.Header
	Fault  Fault
}

// Engine is a stand-in runner that queries are forwarded to unchanged.
type Engine struct {
	Life      string
	Latencies Latencies
	// Events is how many events a stream has.
	Events int

	mutex        sync.Mutex
	faults       []Fault
	defaultFault Fault
	executions   []Execution
	arrivals     []time.Time
	misdirected  int // away as meant for another runner
	cancelled    []string
}

// NewEngine makes an engine.
//
//	http.Serve(listener, standin.NewEngine("life-1", standin.Latencies{Piece: time.Millisecond}))
func NewEngine(life string, pace Latencies) *Engine {
	return &Engine{Life: life, Latencies: pace, Events: 5}
}

// InjectFaults makes the next queries go wrong, one after the other.
//
//	engine.InjectFaults(standin.FaultLoseAnswer)
func (engine *Engine) InjectFaults(faults ...Fault) {
	engine.mutex.Lock()
	engine.faults = append(engine.faults, faults...)
	engine.mutex.Unlock()
}

// SetFault makes all queries go wrong from now on.
//
//	engine.SetFault(standin.FaultServerError)
func (engine *Engine) SetFault(fault Fault) {
	engine.mutex.Lock()
	engine.defaultFault = fault
	engine.mutex.Unlock()
}

// Ran gives what ran here.
//
//	for _, one := range engine.Ran() { ... }
func (engine *Engine) Executions() []Execution {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]Execution{}, engine.executions...)
}

// Misdirected tells how many queries were turned away as meant for another runner.
//
//	count := engine.Misdirected()
func (engine *Engine) Misdirected() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.misdirected
}

// Cancelled names the queries whose connection ended while they ran here.
//
//	names := engine.Cancelled()
func (engine *Engine) Cancelled() []string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]string{}, engine.cancelled...)
}

// work lets the time of a plain query go by.
func (engine *Engine) work(query *http.Request) {
	select {
	case <-time.After(engine.Latencies.PlainAnswer):
	case <-query.Context().Done():
		engine.mutex.Lock()
		engine.cancelled = append(engine.cancelled, query.Header.Get(Dialect.RequestID))
		engine.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// Arrivals gives when queries came that were meant for this runner, run or not.
//
//	count := len(engine.Arrivals())
func (engine *Engine) Arrivals() []time.Time {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]time.Time{}, engine.arrivals...)
}

// nextFault notes an arrival and draws what goes wrong with it.
func (engine *Engine) nextFault() Fault {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.arrivals = append(engine.arrivals, time.Now())
	if len(engine.faults) == 0 {
		return engine.defaultFault
	}
	fault := engine.faults[0]
	engine.faults = engine.faults[1:]
	return fault
}

func (engine *Engine) run(query *http.Request, body string, fault Fault) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.executions = append(engine.executions, Execution{Query: query.Header.Get(Dialect.RequestID), Method: query.Method, Target: query.URL.RequestURI(), Body: body, At: time.Now(), Header: query.Header.Clone(), Fault: fault})
}

// EventData is what an engine puts into one event of a stream. It depends on the whole
// prompt, so that any difference shows.
//
//	data := standin.EventData(prompt, 3)
func EventData(prompt string, number int) string {
	sum := sha256.Sum256([]byte(prompt))
	return fmt.Sprintf("%d of %s", number, hex.EncodeToString(sum[:6]))
}

// ServeHTTP answers GET /health, streams on paths that begin with /talk/, and answers
// plainly on all others.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, query *http.Request) {
	header := writer.Header()
	header.Set(Dialect.RunnerID, engine.Life)
	if query.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(query.Body)
	if err != nil {
		return
	}
	name := query.Header.Get(Dialect.RequestID)
	header.Set(Dialect.RequestID, name)
	if expected := query.Header.Get(Dialect.ExpectedRunner); expected != "" && expected != engine.Life {
		engine.mutex.Lock()
		engine.misdirected++
		engine.mutex.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := engine.nextFault()
	switch fault {
	case FaultNotRun:
		header.Set(Dialect.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultUnavailable:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultWrongName:
		header.Set(Dialect.RequestID, "another")
	}
	engine.run(query, string(body), fault)
	header.Set("Seal", engine.Life+"/"+name)
	switch {
	case fault == FaultLoseAnswer:
		time.Sleep(engine.Latencies.PlainAnswer)
		panic(http.ErrAbortHandler)
	case fault == FaultHang:
		<-query.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == FaultGarbledAnswer || fault == FaultExtraAnswer:
		engine.answerRaw(writer, name, fault)
	case fault == FaultUnprocessable:
		writer.WriteHeader(http.StatusUnprocessableEntity)
	case fault == FaultServerError:
		writer.WriteHeader(http.StatusInternalServerError)
	case strings.HasPrefix(query.URL.Path, "/talk/") && fault != FaultPlainAnswer:
		engine.stream(writer, query, string(body), fault)
	default:
		engine.work(query)
		fmt.Fprintf(writer, "done %s", name)
	}
}

// answerRaw writes bytes that no server would.
func (engine *Engine) answerRaw(writer http.ResponseWriter, name string, fault Fault) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer connection.Close()
	if fault == FaultGarbledAnswer {
		io.WriteString(connection, "\x16\x03\x01 this is no answer\r\n\r\n")
		return
	}
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nSeal: %s/%s\r\nContent-Length: %d\r\n\r\ndone %s", Dialect.RequestID, name, engine.Life, name, len("done "+name), name)
	io.WriteString(connection, complete)
	// The extra one comes with the next query, if any comes before the connection is idle
	// for long.
	connection.SetReadDeadline(time.Now().Add(3 * time.Second))
	if count, _ := connection.Read(make([]byte, 1)); count > 0 {
		io.WriteString(connection, complete)
	}
}

func (engine *Engine) stream(writer http.ResponseWriter, query *http.Request, prompt string, fault Fault) {
	first, _ := strconv.Atoi(query.Header.Get(Dialect.LastEventID))
	breaks := fault == FaultBreakStream || fault == FaultRestartStream && first == 0
	if fault == FaultRestartStream {
		first = 0
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	time.Sleep(engine.Latencies.FirstPiece)
	for number := first + 1; number <= engine.Events; number++ {
		if breaks && number > first+2 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, EventData(prompt, number))
		controller.Flush()
		select {
		case <-time.After(engine.Latencies.NextPiece):
		case <-query.Context().Done():
			return
		}
	}
}
