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
	// Refuses vouches that the query did not run.
	Refuses Fault = "refuses"
	// Loses runs the query and closes the connection.
	Loses Fault = "loses"
	// Breaks breaks a stream off after its second event.
	Breaks Fault = "breaks"
	// Fails answers 500.
	Fails Fault = "fails"
	// Unvouched answers 503 without vouching for anything.
	Unvouched Fault = "unvouched"
	// Foreign answers under another query's name.
	Foreign Fault = "foreign"
	// Extra answers, and once more with the name of the same query, where the answer to
	// the next query should come.
	Extra Fault = "extra"
	// Garbles runs the query and answers with bytes that are no answer.
	Garbles Fault = "garbles"
	// Hangs runs the query and never answers.
	Hangs Fault = "hangs"
	// Plain answers a stream's query plainly, with success.
	Plain Fault = "plain"
	// Rejects answers 422 of its own.
	Rejects Fault = "rejects"
	// Repeats breaks a stream off after its second event, and gives it from its beginning
	// to whoever resumes it.
	Repeats Fault = "repeats"
)

// Ran is one run of a query at an engine.
type Ran struct {
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
	Life string
	Pace Pace
	// Events is how many events a stream has.
	Events int

	mutex  sync.Mutex
	faults []Fault
	always Fault
	ran    []Ran
	came   []time.Time
	turned int // away as meant for another runner
	broken []string
}

// NewEngine makes an engine.
//
//	http.Serve(listener, standin.NewEngine("life-1", standin.Pace{Piece: time.Millisecond}))
func NewEngine(life string, pace Pace) *Engine { return &Engine{Life: life, Pace: pace, Events: 5} }

// Next makes the next queries go wrong, one after the other.
//
//	engine.Next(standin.Loses)
func (engine *Engine) Next(faults ...Fault) {
	engine.mutex.Lock()
	engine.faults = append(engine.faults, faults...)
	engine.mutex.Unlock()
}

// Always makes all queries go wrong from now on.
//
//	engine.Always(standin.Fails)
func (engine *Engine) Always(fault Fault) {
	engine.mutex.Lock()
	engine.always = fault
	engine.mutex.Unlock()
}

// Ran gives what ran here.
//
//	for _, one := range engine.Ran() { ... }
func (engine *Engine) Ran() []Ran {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]Ran{}, engine.ran...)
}

// Turned tells how many queries were turned away as meant for another runner.
//
//	count := engine.Turned()
func (engine *Engine) Turned() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.turned
}

// BrokenOff names the queries whose connection ended while they ran here.
//
//	names := engine.BrokenOff()
func (engine *Engine) BrokenOff() []string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]string{}, engine.broken...)
}

// work lets the time of a plain query go by.
func (engine *Engine) work(query *http.Request) {
	select {
	case <-time.After(engine.Pace.Plain):
	case <-query.Context().Done():
		engine.mutex.Lock()
		engine.broken = append(engine.broken, query.Header.Get(Dialect.RequestID))
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
	return append([]time.Time{}, engine.came...)
}

// next notes an arrival and draws what goes wrong with it.
func (engine *Engine) next() Fault {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.came = append(engine.came, time.Now())
	if len(engine.faults) == 0 {
		return engine.always
	}
	fault := engine.faults[0]
	engine.faults = engine.faults[1:]
	return fault
}

func (engine *Engine) run(query *http.Request, body string, fault Fault) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.ran = append(engine.ran, Ran{Query: query.Header.Get(Dialect.RequestID), Method: query.Method, Target: query.URL.RequestURI(), Body: body, At: time.Now(), Header: query.Header.Clone(), Fault: fault})
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
		engine.turned++
		engine.mutex.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := engine.next()
	switch fault {
	case Refuses:
		header.Set(Dialect.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unvouched:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case Foreign:
		header.Set(Dialect.RequestID, "another")
	}
	engine.run(query, string(body), fault)
	header.Set("Seal", engine.Life+"/"+name)
	switch {
	case fault == Loses:
		time.Sleep(engine.Pace.Plain)
		panic(http.ErrAbortHandler)
	case fault == Hangs:
		<-query.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == Garbles || fault == Extra:
		engine.answerRaw(writer, name, fault)
	case fault == Rejects:
		writer.WriteHeader(http.StatusUnprocessableEntity)
	case fault == Fails:
		writer.WriteHeader(http.StatusInternalServerError)
	case strings.HasPrefix(query.URL.Path, "/talk/") && fault != Plain:
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
	if fault == Garbles {
		io.WriteString(connection, "\x16\x03\x01 this is no answer\r\n\r\n")
		return
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nSeal: %s/%s\r\nContent-Length: %d\r\n\r\ndone %s", Dialect.RequestID, name, engine.Life, name, len("done "+name), name)
	io.WriteString(connection, whole)
	// The extra one comes with the next query, if any comes before the connection is idle
	// for long.
	connection.SetReadDeadline(time.Now().Add(3 * time.Second))
	if count, _ := connection.Read(make([]byte, 1)); count > 0 {
		io.WriteString(connection, whole)
	}
}

func (engine *Engine) stream(writer http.ResponseWriter, query *http.Request, prompt string, fault Fault) {
	first, _ := strconv.Atoi(query.Header.Get(Dialect.LastEventID))
	breaks := fault == Breaks || fault == Repeats && first == 0
	if fault == Repeats {
		first = 0
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	time.Sleep(engine.Pace.First)
	for number := first + 1; number <= engine.Events; number++ {
		if breaks && number > first+2 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, EventData(prompt, number))
		controller.Flush()
		select {
		case <-time.After(engine.Pace.Piece):
		case <-query.Context().Done():
			return
		}
	}
}
