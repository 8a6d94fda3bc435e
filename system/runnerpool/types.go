package runnerpool

import (
	"net/http"
	"time"

	"yardrock.example/system/feed"
)

// HeaderNames are the names of the header fields that the runners of a deployment
// understand. An empty name means that they have no such header; it is then neither sent
// nor read.
type HeaderNames struct {
	RequestID      string // in requests and echoed in responses: identifies the request
	NotRun         string // in rejections: the request did not run and never will
	ExpectedRunner string // in requests: incarnation of the runner that they are meant for; another answers 421
	Timeout        string // in requests: milliseconds until the caller gives up
	Load           string // in responses: running,waiting,slots
	Urgency        string // in requests: 0 to 9, 0 is the most urgent
	LastEventID    string // in requests: ID of the last event that the caller has
	RunnerID       string // in health responses: incarnation of the runner
	WarmUpLeft     string // in health responses: milliseconds for which the runner still warms up
}

// Request is one attempt to have a request run by one runner.
type Request struct {
	Runner feed.Runner
	// MaxConnections is how many connections this pool may have to the runner; 0 and less
	// count as 1.
	MaxConnections int
	Method         string      // any but CONNECT
	Target         string      // path and query as the caller sent them (RFC 9112, section 3.2)
	Host           string      // as the caller sent it
	Header         http.Header // of the caller; hop-by-hop headers are left out. Never changed.
	// Body is sent part after part under one Content-Length. It must not change until the
	// response is closed.
	Body [][]byte
	// ID identifies the request; a response with another one is not its response. If it is
	// empty, the caller's own header counts.
	ID string
	// Deadline is when the caller gives up; zero: never.
	Deadline time.Time
	Urgency  string // empty: not sent
	// LastEventID is the event to resume after; empty: what the caller sent is sent along.
	LastEventID string
	// BeforeSend, if not nil, is called right before the first byte is sent. If it returns
	// an error, nothing is sent and Send returns the error with NeverSent set. It is called
	// again if the connection turns out to be dead and another one is used.
	BeforeSend func() error
}

// Load is the number of requests that a runner reports with a response.
type Load struct {
	Running int // being processed
	Waiting int // queued at the runner
	Slots   int // that can be processed at the same time
}
