package forwarding

import (
	"context"
	"net/http"
	"time"

	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/storeclient"
)

// Request is one HTTP request of a caller, as parsed by the ingress. Each attempt of the
// caller is a separate request with its own name.
type Request struct {
	// Name identifies this attempt of the caller and is unique in the fleet. It is also the
	// name of the turn if the request is one.
	Name   string
	Method string
	// Host is in lower case and has no port.
	Host string
	Path string
	// Target is the path with the query string, as sent.
	Target string
	// Header has the end-to-end header fields, which are forwarded unchanged.
	Header     http.Header
	Body       []byte
	ReceivedAt time.Time
	// Deadline is when the caller gives up; zero if not known.
	Deadline time.Time

	// Program and Session group requests that share a prefix cache and, for turns, a
	// session log. Either may be empty.
	Program string
	Session string
	// FinishBy is when the whole program should be finished; zero if not known.
	FinishBy time.Time
	// OutputBudget is how many tokens all turns of the program may generate. It applies only
	// if HasOutputBudget is set, so that a budget of 0 can be expressed.
	HasOutputBudget bool
	OutputBudget    uint64
	// PromptParts are the parts of the prompt in order. They are used to choose a runner
	// that has them in its prefix cache.
	PromptParts []balancer.PromptPart
	Model       string
	// InputTokens is the length of the prompt. MaxOutputTokens limits the tokens that the
	// runner generates.
	InputTokens     uint64
	MaxOutputTokens uint64
	// Subject is the affinity key of requests that are not turns: on a sticky route, requests
	// with the same Subject are preferably sent to the same runner.
	Subject string
	// Follows is the name of the request whose turn this one continues. It is empty for the
	// first turn of a conversation.
	Follows string
	// LastEventID is the ID of the last event that the caller received, as in the
	// Last-Event-ID header of server-sent events; empty if none.
	LastEventID string
}

// ResponseWriter receives the response to one request. Begin is called at most once, before
// the first Write. Each Write must be sent to the caller without delay. If Serve returns an
// error after Begin, the response must be aborted so that it does not look complete.
type ResponseWriter interface {
	Begin(status int, header http.Header) error
	Write(data []byte) error
}

// TurnStore records turns and their quota usage. storeclient.Client implements it.
type TurnStore interface {
	BeginTurn(ctx context.Context, turn storeclient.Turn) (*storeclient.BegunTurn, error)
	EndTurn(ctx context.Context, end storeclient.TurnEnd) error
}

// ActiveConfig is the part of the active configuration that forwarding uses, and the view
// that it was taken from. It is immutable.
type ActiveConfig struct {
	View *feed.View
	// Routing is nil until a configuration with routes has been received.
	Routing *config.Routing
	// SharedPrefixes configures whether sessions store equal input prefixes only once.
	SharedPrefixes config.SharedPrefixes
}

// DefaultMaxBufferedBytes is the default of Settings.MaxBufferedBytes. It does not include
// responses and garbage collector overhead.
const DefaultMaxBufferedBytes = 40 << 20

// Settings configures a Forwarder. MaxBufferedBytes, Observe and LogRequests are optional;
// all other fields are required.
type Settings struct {
	// Node names the front and its current run. It is the dispatch ID of its turns.
	Node string
	// CheckViewFresh returns an error while the view is too old to be used.
	CheckViewFresh func() error
	// AwaitViewFresh waits until the view may be used. It returns an error if ctx ends or
	// the view is not expected to become fresh soon.
	AwaitViewFresh func(ctx context.Context) error
	// ActiveConfig returns the active configuration.
	ActiveConfig func() ActiveConfig
	Balancer     *balancer.Balancer
	Pool         *runnerpool.Pool
	TurnStore    TurnStore
	// MaxBufferedBytes limits the bytes of request bodies and histories that are buffered
	// at a time; 0 means DefaultMaxBufferedBytes. A request that exceeds it is rejected with
	// apierror.NotRun.
	MaxBufferedBytes int64
	// Observe, if set, is called with the record of every ended request before Serve
	// returns. It must not keep the record.
	Observe func(record *RequestRecord)
	// LogRequests enables a log line for every request with its stages and the choice of
	// its runner, at a cost of about 10% of the front's CPU time.
	LogRequests bool
}
