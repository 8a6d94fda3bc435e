// Package runnerpool sends queries to runners over kept connections, and tells apart
// what was never sent, what a runner vouched it did not run, and what is unknown.
package runnerpool

import (
	"net/http"
	"time"

	"yardrock.example/system/feed"
)

// HeaderNames names the header fields that runners understand. The zero value of a field
// means that the runners have no such header.
type HeaderNames struct {
	RequestID      string // name of the query, sent along and given back in the answer
	NotRun         string // on a refusal: the query did not run and never will
	ExpectedRunner string // which runner (its id) the query is meant for; another answers 421
	Timeout        string // milliseconds until the caller gives up
	Load           string // running,waiting,slots
	Urgency        string // 0 to 9
	LastEventID    string // id of the last event that the caller has
	RunnerID       string // id of the runner, in health answers
	WarmUpLeft     string // milliseconds that the runner stays cold, in health answers
}

// Request is one try to have a query run by one runner.
type Request struct {
	Runner feed.Runner
	// MaxConnections is how many connections this front may hold to the runner.
	MaxConnections int
	Method         string
	Target         string // path and query string, as the caller sent them
	Host           string
	Header         http.Header // end-to-end headers of the caller; never changed
	Body           [][]byte    // parts of the body, sent one after another under one length
	ID             string      // the query's name; an answer that bears another is not its answer
	Deadline       time.Time   // when the caller gives up
	Urgency        string      // "" leaves it out
	LastEventID    string      // id of the last event, "" leaves what the caller sent
	// BeforeSend is asked when the first byte is about to leave; an error keeps it back.
	BeforeSend func() error
}

// Load is what a runner tells of itself with an answer.
type Load struct {
	Running, Waiting, Slots int
}
