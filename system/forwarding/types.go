package forwarding

import (
	"context"
	"net/http"
	"time"

	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/ratelimit"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
)

// Request is one HTTP request of a client, as parsed by the ingress. Each attempt of the
// client is a separate request.
type Request struct {
	// ID identifies this attempt of the client and is unique in the fleet. It is also the
	// name of the turn if the request is one.
	ID     string
	Method string
	// Host is in lower case and has no port.
	Host string
	Path string
	// Target is the path with the query string, as sent.
	Target string
	// Header has the end-to-end headers, which are forwarded unchanged.
	Header http.Header
	Body   []byte
	// ReceivedAt is when the header had been read, before the body.
	ReceivedAt time.Time
	// Deadline is when the client gives up; zero if not known.
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
	// AffinityKey groups requests that are not turns: on a sticky route, those with the same
	// key are preferably sent to the same runner.
	AffinityKey string
	// Follows identifies the request whose turn this one continues. It is empty for the first
	// turn of a conversation.
	Follows string
	// TenantKey is the key by which the tenant is known; empty if the client sent none.
	TenantKey string
	// OperationKey identifies the operation: a tenant's requests with the same key are one. Requests
	// of keyed routes must have one, others may; "" means that the request is no operation.
	OperationKey string
	// LastEventID is the ID of the last event that the client received, as in the
	// Last-Event-ID header of server-sent events; empty if none.
	LastEventID string
}

// ResponseWriter receives the response to one request. Begin is called at most once, before
// the first Write. Each Write of an event stream must be sent to the client without delay.
// If Serve returns an error after Begin, the response must be aborted so that it does not
// look complete.
type ResponseWriter interface {
	Begin(status int, header http.Header) error
	Write(data []byte) error
}

// TurnStore records turns and their quota usage, and operations. storeclient.Client implements it.
type TurnStore interface {
	BeginTurn(ctx context.Context, turn storeclient.Turn) (*storeclient.BegunTurn, error)
	EndTurn(ctx context.Context, end storeclient.TurnEnd) error
	Command(ctx context.Context, sessionName string, commands ...sessionlog.Command) ([]sessionlog.Result, error)
	ReadAll(ctx context.Context, sessionName string) ([]sessionlog.Event, *wire.ReadReply, error)
}

// RateLimiter admits the requests of tenants with a rate limit. ratelimit.Limiter implements it.
type RateLimiter interface {
	Admit(ctx context.Context, tenant string, limit ratelimit.Limit, configNumber uint64) (sendBy time.Time, err error)
}

// CurrentConfig is the part of the current configuration that forwarding uses, and the view
// that it was taken from. It is immutable.
type CurrentConfig struct {
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
	// Node is the name of the front, which is new at each start.
	Node string
	// CheckViewFresh returns an error while the view is too old to be used.
	CheckViewFresh func() error
	// AwaitViewFresh waits until the view may be used. It returns an error if ctx ends or
	// the view is not expected to become fresh soon.
	AwaitViewFresh func(ctx context.Context) error
	// CurrentConfig returns the current configuration.
	CurrentConfig func() CurrentConfig
	Balancer      *balancer.Balancer
	Pool          *runnerpool.Pool
	TurnStore     TurnStore
	RateLimiter   RateLimiter
	// OperationRetention is how long an operation is recorded after its last event; less than
	// DefaultOperationRetention means that.
	OperationRetention time.Duration
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
