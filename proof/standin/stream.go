package standin

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Framing selects how a stream shows its end (RFC 9112, section 6.3), and how its bytes are spread
// over writes. The texts appear only in test output.
type Framing string

// The framings of a stream.
const (
	// FramingMixed has the request's ID select one of the framings of MixedFramings.
	FramingMixed Framing = ""
	// FramingChunked sends each event in a chunk of its own as it is made.
	FramingChunked Framing = "chunked"
	// FramingSplit sends chunks whose borders lie within events.
	FramingSplit Framing = "split"
	// FramingLength announces the length of the stream and sends each event as it is made.
	FramingLength Framing = "length"
	// FramingSingleWrite makes the complete stream, and sends it with its length in one write.
	FramingSingleWrite Framing = "single write"
	// FramingClose has neither a length nor chunks: the stream ends with the connection.
	FramingClose Framing = "close"
)

// MixedFramings are the framings that FramingMixed selects from: those by which the end of a stream
// differs from a broken connection.
var MixedFramings = []Framing{FramingChunked, FramingSplit, FramingLength, FramingSingleWrite}

// framingOf returns the framing of the stream that answers a request.
func (engine *Engine) framingOf(requestID string) Framing {
	if engine.Framing != FramingMixed {
		return engine.Framing
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(requestID)) // never fails
	return MixedFramings[hash.Sum32()%uint32(len(MixedFramings))]
}

// SetHeader sets the header fields of a stream of the given length that is framed so.
//
//	standin.FramingLength.SetHeader(writer.Header(), len(text))
func (framing Framing) SetHeader(header http.Header, length int) {
	switch framing {
	case FramingLength, FramingSingleWrite:
		header.Set("Content-Length", strconv.Itoa(length))
	case FramingClose:
		header.Set("Transfer-Encoding", "identity") // net/http then neither sends chunks nor this field
	}
}

// Writes returns the texts of the events as they are written.
//
//	for _, text := range standin.FramingSplit.Writes(events) { ... }
func (framing Framing) Writes(events []string) []string {
	complete := strings.Join(events, "")
	switch framing {
	case FramingSingleWrite:
		return []string{complete}
	case FramingSplit:
		return splitWithinEvents(complete, len(events))
	}
	return events
}

// splitWithinEvents cuts a text into count parts and a short rest, so that the last part ends shortly
// before the end of the last event.
func splitWithinEvents(text string, count int) []string {
	const rest = 1
	if len(text) <= count+rest {
		return []string{text}
	}
	parts := make([]string, 0, count+1)
	width := (len(text) - rest) / count
	for range count - 1 {
		parts = append(parts, text[:width])
		text = text[width:]
	}
	return append(parts, text[:len(text)-rest], text[len(text)-rest:])
}

// stream writes the events of a stream that follow the Last-Event-ID.
func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, prompt string, fault Fault) {
	lastEventID, _ := strconv.Atoi(request.Header.Get(HeaderNames.LastEventID))
	breakStream := fault == FaultBreakStream || fault == FaultRestartStream && lastEventID == 0
	if fault == FaultRestartStream {
		lastEventID = 0
	}
	events, length := []string{}, 0
	for number := lastEventID + 1; number <= engine.Events; number++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, EventData(prompt, number))
		events, length = append(events, event), length+len(event)
	}
	framing := engine.framingOf(request.Header.Get(HeaderNames.RequestID))
	writer.Header().Set("Content-Type", cmp.Or(engine.StreamType, "text/event-stream"))
	framing.SetHeader(writer.Header(), length)
	writer.WriteHeader(cmp.Or(engine.StreamStatus, http.StatusOK))
	if breakStream {
		events = events[:min(eventsBeforeBreak, len(events))]
	}
	if !engine.writeParts(writer, request, framing.Writes(events)) {
		return
	}
	if breakStream {
		panic(http.ErrAbortHandler)
	}
}

// eventsBeforeBreak is the number of events after which a stream breaks off.
const eventsBeforeBreak = 2

// writeParts writes the parts of a stream in turn, and returns false if the front has gone meanwhile.
func (engine *Engine) writeParts(writer http.ResponseWriter, request *http.Request, parts []string) bool {
	controller := http.NewResponseController(writer)
	time.Sleep(engine.Latencies.FirstPiece)
	for _, part := range parts {
		_, _ = writer.Write([]byte(part)) // an error shows in the request's context
		_ = controller.Flush()
		select {
		case <-time.After(engine.Latencies.NextPiece):
		case <-request.Context().Done():
			return false
		}
	}
	return true
}
