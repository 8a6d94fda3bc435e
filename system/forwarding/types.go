// Package forwarding carries callers' queries to runners unchanged, by the routes in
// force: a chain of filters that each may answer.
package forwarding

import (
	"net/http"
	"time"

	"yardrock.example/system/balancer"
)

// Request is one caller's query, as a face hands it over. A try of the caller is one
// query with a name of its own.
type Request struct {
	Name       string // of this try; unique
	Method     string
	Host       string // without port, lower case
	Path       string
	Target     string      // path and query string as sent
	Header     http.Header // end-to-end headers, to go along unchanged
	Body       []byte
	ReceivedAt time.Time
	Deadline   time.Time // when the caller gives up

	Program         string
	Session         string
	FinishBy        time.Time // when the program should be over; zero if not told
	HasOutputBudget bool
	OutputBudget    uint64 // tokens that all turns of the program may put out
	PromptParts     []balancer.PromptPart
	Model           string
	// InputTokens and MaxOutputTokens are those of the prompt, and the most put out.
	InputTokens     uint64
	MaxOutputTokens uint64
	Subject         string
	Follows         string // name of the query whose turn this one follows
	LastEventID     string // id of the last event that the caller has
}

// ResponseWriter is where an answer goes. Begin comes once, before the first Write; each Write
// is passed on at once. An answer whose Serve returns an error after Begin must be
// broken off so that it can't look complete.
type ResponseWriter interface {
	Begin(status int, header http.Header) error
	Write(data []byte) error
}
