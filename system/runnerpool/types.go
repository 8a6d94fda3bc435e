package runnerpool

import (
	"net/http"
	"time"

	"yardrock.example/system/feed"
)

// HeaderNames holds the names of the headers that a deployment's runners understand. A
// header whose name is empty is neither sent nor read.
type HeaderNames struct {
	RequestID      string // in requests and echoed in responses: identifies the request
	NotRun         string // in rejections: the request did not run and never will
	ExpectedRunner string // in requests: incarnation of the intended runner; any other responds with 421
	Timeout        string // in requests: milliseconds until the deadline
	Load           string // in responses: running,waiting,slots
	Urgency        string // in requests: 0 to 9, 0 is the most urgent
	LastEventID    string // in requests: ID of the last event that the client received
	Tenant         string // in requests: name of the tenant
	RunnerID       string // in health responses: incarnation of the runner
	WarmUpLeft     string // in health responses: milliseconds of warm-up that remain
}

// Request is one attempt to run a request on one runner.
type Request struct {
	Runner feed.Runner
	// MaxConnections limits this pool's connections to the runner; values below 1 count as
	// 1.
	MaxConnections int
	Method         string      // any but CONNECT
	Target         string      // path and query as the client sent them (RFC 9112, section 3.2)
	Host           string      // as the client sent it
	Header         http.Header // of the client's request; hop-by-hop headers are not forwarded. Never modified.
	// Body is sent as the concatenation of its parts. It must not change until the response
	// is closed.
	Body [][]byte
	// ID identifies the request; a response with a different ID is dropped. If it is empty,
	// the ID in Header is used.
	ID string
	// Deadline is when the request times out; zero: never.
	Deadline time.Time
	Urgency  string // empty: not sent
	// WithholdsKey is set if clients bear keys of tenants: the client's credentials are not
	// forwarded, nor is its own header for the tenant. Tenant is sent in that header; empty: not
	// sent.
	WithholdsKey bool
	Tenant       string
	// LastEventID is the event to resume after; empty: the value in Header is forwarded.
	LastEventID string
	// BeforeSend, if not nil, is called right before the first byte is sent. If it returns
	// an error, nothing is sent and Send returns the error with NeverSent set. It is called
	// again if the connection turns out to be dead and another one is used.
	BeforeSend func() error
}

// Load holds the request counts that a runner reports with a response.
type Load struct {
	Running int // being processed
	Waiting int // queued at the runner
	Slots   int // that can be processed at the same time
}
