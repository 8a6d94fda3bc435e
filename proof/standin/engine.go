package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"yardrock.example/system/runnerpool"
)

// HeaderNames names the headers that an Engine reads and writes.
var HeaderNames = runnerpool.HeaderNames{
	RequestID: "Query-Name", NotRun: "Not-Run", ExpectedRunner: "Expected-Runner", Timeout: "Time-Left", Load: "Runner-Load",
	Urgency: "Urgency", LastEventID: "Last-Event-ID", Tenant: "Tenant", RunnerID: "Runner", WarmUpLeft: "Cold-For",
}

// Fault selects how an Engine mishandles one request. The texts appear only in test output.
type Fault string

// The faults of an Engine.
const (
	NoFault Fault = ""
	// FaultNotRun answers 503 with the header that states that the request did not run.
	FaultNotRun Fault = "refuses"
	// FaultNotRunLate is FaultNotRun after the latency of a plain answer.
	FaultNotRunLate Fault = "refuses late"
	// FaultInProgress answers 409 with the header that states that the request did not run, as
	// runners that deduplicate operations do while another request runs the operation.
	FaultInProgress Fault = "in progress"
	// FaultLoseAnswer runs the request and closes the connection without an answer.
	FaultLoseAnswer Fault = "loses"
	// FaultBreakStream closes the connection after the second event of a stream.
	FaultBreakStream Fault = "breaks"
	// FaultServerError answers 500.
	FaultServerError Fault = "fails"
	// FaultServerErrorUnrun answers 500 without running the request, and does not say so.
	FaultServerErrorUnrun Fault = "fails before"
	// FaultUnavailable answers 503 without the header that states that the request did not run.
	FaultUnavailable Fault = "unvouched"
	// FaultWrongID runs the request and answers under another request's ID.
	FaultWrongID Fault = "foreign"
	// FaultExtraAnswer answers twice under the same request ID; the second answer is sent in place
	// of the next request's answer.
	FaultExtraAnswer Fault = "extra"
	// FaultGarbledAnswer runs the request and answers with bytes that are not HTTP.
	FaultGarbledAnswer Fault = "garbles"
	// FaultHang runs the request and never answers.
	FaultHang Fault = "hangs"
	// FaultPlainAnswer answers a streaming request with a plain answer.
	FaultPlainAnswer Fault = "plain"
	// FaultUnprocessable runs the request and answers 422.
	FaultUnprocessable Fault = "rejects"
	// FaultRestartStream closes the connection after the second event of a stream, and
	// restarts the stream from its first event when it is resumed.
	FaultRestartStream Fault = "repeats"
)

// Execution is one request that an Engine ran.
type Execution struct {
	RequestID string
	Method    string
	Target    string
	Body      string
	At        time.Time
	Header    http.Header
	Fault     Fault
	// Ended is set once an operation of an engine with a table of operations ran to its end.
	Ended bool
}

// Engine is a stand-in runner to which fronts forward requests unchanged. Its methods are safe for
// concurrent use; its fields must not change once it serves.
type Engine struct {
	// Incarnation identifies one start of the runner; a restart changes it.
	Incarnation string
	Latencies   Latencies
	// Events is the number of events of a stream.
	Events int
	// Framing is how the streams show their end; FramingMixed by default.
	Framing Framing
	// StreamStatus and StreamType are the status and the Content-Type of the streams; 200 and
	// text/event-stream by default.
	StreamStatus int
	StreamType   string
	// Operations is the table of operations that the engine shares with others; nil for none.
	Operations *OperationTable

	mutex        sync.Mutex
	draining     bool
	faults       []Fault
	defaultFault Fault
	executions   []Execution
	arrivals     []time.Time
	misdirected  int      // requests that expected another runner
	cancelled    []string // IDs of plain requests whose connection ended while they ran
}

// NewEngine returns an engine that streams five events and has no faults.
//
//	http.Serve(listener, standin.NewEngine("life-1", standin.Latencies{NextPiece: time.Millisecond}))
func NewEngine(incarnation string, latencies Latencies) *Engine {
	return &Engine{Incarnation: incarnation, Latencies: latencies, Events: 5}
}

// InjectFaults queues faults for the next requests, one for each request.
//
//	engine.InjectFaults(standin.FaultLoseAnswer)
func (engine *Engine) InjectFaults(faults ...Fault) {
	engine.mutex.Lock()
	engine.faults = append(engine.faults, faults...)
	engine.mutex.Unlock()
}

// SetFault sets the fault of requests for which none is queued.
//
//	engine.SetFault(standin.FaultServerError)
func (engine *Engine) SetFault(fault Fault) {
	engine.mutex.Lock()
	engine.defaultFault = fault
	engine.mutex.Unlock()
}

// Drain makes the engine announce in each response that it is leaving, and fail health checks. It
// goes on serving.
//
//	engine.Drain()
func (engine *Engine) Drain() {
	engine.mutex.Lock()
	engine.draining = true
	engine.mutex.Unlock()
}

// announceDrain adds the header that ends the connection to a draining engine's response, and
// reports whether the engine drains.
func (engine *Engine) announceDrain(header http.Header) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.draining {
		header.Set("Connection", "close")
	}
	return engine.draining
}

// Executions returns the requests that ran, in order.
//
//	for _, execution := range engine.Executions() { ... }
func (engine *Engine) Executions() []Execution {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]Execution{}, engine.executions...)
}

// Misdirected returns the number of requests that were rejected because they expected another
// runner.
//
//	count := engine.Misdirected()
func (engine *Engine) Misdirected() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.misdirected
}

// Cancelled returns the IDs of plain requests whose connection ended while they ran.
//
//	ids := engine.Cancelled()
func (engine *Engine) Cancelled() []string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]string{}, engine.cancelled...)
}

// simulateWork waits for the latency of a plain answer, and records the request as cancelled if its
// connection ends meanwhile.
func (engine *Engine) simulateWork(request *http.Request) {
	select {
	case <-time.After(engine.Latencies.PlainAnswer):
	case <-request.Context().Done():
		engine.mutex.Lock()
		engine.cancelled = append(engine.cancelled, request.Header.Get(HeaderNames.RequestID))
		engine.mutex.Unlock()
		panic(http.ErrAbortHandler) // net/http closes the connection without an answer
	}
}

// Arrivals returns the arrival times of the requests that were not misdirected, whether they ran or
// not.
//
//	count := len(engine.Arrivals())
func (engine *Engine) Arrivals() []time.Time {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]time.Time{}, engine.arrivals...)
}

// nextFault records the arrival of a request and returns its fault.
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

// recordExecution records that a request runs, and returns its position in Executions.
func (engine *Engine) recordExecution(request *http.Request, body string, fault Fault) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.executions = append(engine.executions, Execution{RequestID: request.Header.Get(HeaderNames.RequestID), Method: request.Method, Target: request.URL.RequestURI(), Body: body, At: time.Now(), Header: request.Header.Clone(), Fault: fault})
	return len(engine.executions) - 1
}

// endExecution records that an operation ran to its end.
func (engine *Engine) endExecution(position int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.executions[position].Ended = true
}

// seal returns the mark by which a client knows which engine ran which request.
func (engine *Engine) seal(requestID string) string { return engine.Incarnation + "/" + requestID }

// plainAnswer returns the body of the plain answer to a request.
func plainAnswer(requestID string) string { return "done " + requestID }

// EventData returns the data of one event of a stream. It depends on the complete prompt, so that a
// test detects any difference in what the engine received.
//
//	data := standin.EventData(prompt, 3)
func EventData(prompt string, number int) string {
	sum := sha256.Sum256([]byte(prompt))
	return fmt.Sprintf("%d of %s", number, hex.EncodeToString(sum[:6]))
}

// ServeHTTP answers GET /health, streams on paths that begin with /talk/, and gives a plain
// answer on all others.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set(HeaderNames.RunnerID, engine.Incarnation)
	if request.URL.Path == "/health" {
		if engine.announceDrain(header) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	requestID := request.Header.Get(HeaderNames.RequestID)
	header.Set(HeaderNames.RequestID, requestID)
	engine.announceDrain(header)
	if expected := request.Header.Get(HeaderNames.ExpectedRunner); expected != "" && expected != engine.Incarnation {
		engine.mutex.Lock()
		engine.misdirected++
		engine.mutex.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := engine.nextFault()
	switch fault {
	case FaultNotRun, FaultNotRunLate:
		if fault == FaultNotRunLate {
			time.Sleep(engine.Latencies.PlainAnswer)
		}
		header.Set(HeaderNames.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultInProgress:
		header.Set(HeaderNames.NotRun, "1")
		writer.WriteHeader(http.StatusConflict)
		return
	case FaultUnavailable:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultServerErrorUnrun:
		writer.WriteHeader(http.StatusInternalServerError)
		return
	case FaultWrongID:
		header.Set(HeaderNames.RequestID, "another")
	}
	if name, keyed := nameOfOperation(request); keyed && engine.Operations != nil {
		engine.runOperation(writer, request, name, string(body), fault)
		return
	}
	engine.recordExecution(request, string(body), fault)
	header.Set("Seal", engine.seal(requestID))
	engine.answer(writer, request, string(body), fault)
}

// answer answers a request that was run, as its fault selects.
func (engine *Engine) answer(writer http.ResponseWriter, request *http.Request, body string, fault Fault) {
	requestID := request.Header.Get(HeaderNames.RequestID)
	switch {
	case fault == FaultLoseAnswer:
		time.Sleep(engine.Latencies.PlainAnswer)
		panic(http.ErrAbortHandler)
	case fault == FaultHang:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == FaultGarbledAnswer || fault == FaultExtraAnswer:
		engine.answerRaw(writer, requestID, fault)
	case fault == FaultUnprocessable:
		writer.WriteHeader(http.StatusUnprocessableEntity)
	case fault == FaultServerError:
		writer.WriteHeader(http.StatusInternalServerError)
	case strings.HasPrefix(request.URL.Path, "/talk/") && fault != FaultPlainAnswer:
		engine.stream(writer, request, body, fault)
	default:
		engine.simulateWork(request)
		fmt.Fprint(writer, plainAnswer(requestID))
	}
}

// answerRaw writes bytes to the connection that net/http would not write. Write errors are ignored,
// as in all answers of the stand-ins: the front may have closed the connection.
func (engine *Engine) answerRaw(writer http.ResponseWriter, requestID string, fault Fault) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer connection.Close()
	if fault == FaultGarbledAnswer {
		_, _ = io.WriteString(connection, "\x16\x03\x01 this is no answer\r\n\r\n")
		return
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nSeal: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderNames.RequestID, requestID, engine.seal(requestID), len(plainAnswer(requestID)), plainAnswer(requestID))
	_, _ = io.WriteString(connection, response)
	// The extra answer is sent on arrival of the next request on this connection, within 3 s.
	connection.SetReadDeadline(time.Now().Add(3 * time.Second))
	if count, _ := connection.Read(make([]byte, 1)); count > 0 {
		_, _ = io.WriteString(connection, response)
	}
}
