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

// Request is one HTTP request of a caller, as the ingress hands it over. Each attempt of
// the caller is a request with a name of its own.
type Request struct {
	// Name identifies this attempt of the caller; it is unique in the fleet, and names the
	// turn if the request is one.
	Name   string
	Method string
	// Host is in lower case and has no port.
	Host string
	Path string
	// Target is the path with the query string, as sent.
	Target string
	// Header has the end-to-end fields; they are forwarded unchanged.
	Header     http.Header
	Body       []byte
	ReceivedAt time.Time
	// Deadline is when the caller gives up; zero if it did not say.
	Deadline time.Time

	// Program and Session group the requests that share a prefix cache and, for turns, a
	// session log; either may be "".
	Program string
	Session string
	// FinishBy is when the whole program should be over; zero if that is not known.
	FinishBy time.Time
	// OutputBudget is how many tokens all turns of the program may put out. It counts only
	// with HasOutputBudget, as a budget of 0 is one too.
	HasOutputBudget bool
	OutputBudget    uint64
	// PromptParts are the parts of the prompt in order, for the choice of a runner that
	// has them in its prefix cache.
	PromptParts []balancer.PromptPart
	Model       string
	// InputTokens is the length of the prompt, MaxOutputTokens the most that the runner
	// may put out.
	InputTokens     uint64
	MaxOutputTokens uint64
	// Subject is what plain work is about; runners that have seen it are faster.
	Subject string
	// Follows is the name of the request whose turn this one continues; "" starts a new
	// conversation.
	Follows string
	// LastEventID is the id of the last event that the caller has, as in the
	// Last-Event-ID field of server-sent events; "" if it has none.
	LastEventID string
}

// ResponseWriter receives the response to one request. Begin is called at most once and
// before the first Write; each Write must be sent to the caller at once. If Serve returns
// an error after Begin, the response must be aborted so that it can't look complete.
type ResponseWriter interface {
	Begin(status int, header http.Header) error
	Write(data []byte) error
}

// TurnStore records turns and their use of quotas; storeclient.Client implements it.
type TurnStore interface {
	BeginTurn(ctx context.Context, turn storeclient.Turn) (*storeclient.BegunTurn, error)
	EndTurn(ctx context.Context, end storeclient.TurnEnd) error
}

// ActiveConfig is the part of the configuration in force that forwarding needs, with the
// view that it came with. It is immutable.
type ActiveConfig struct {
	View *feed.View
	// Routing is nil as long as no configuration with routes has arrived.
	Routing *config.Routing
	// SharedPrefixes says whether sessions may share the storage of equal beginnings.
	SharedPrefixes config.SharedPrefixes
}

// DefaultMaxBufferedBytes is the default of Settings.MaxBufferedBytes. Responses and the
// overhead of the garbage collector come on top of it.
const DefaultMaxBufferedBytes = 40 << 20

// Settings connect a forwarder to the rest of its front. All fields but MaxBufferedBytes
// are required.
type Settings struct {
	// Node is the name of this start of the front; it is the dispatch id of its turns.
	Node string
	// CheckViewFresh returns an error while the view is too old to be acted on.
	CheckViewFresh func() error
	// AwaitViewFresh waits until the view may be acted on, or returns why there is no
	// hope that it soon will be.
	AwaitViewFresh func(ctx context.Context) error
	// ActiveConfig returns the configuration in force.
	ActiveConfig func() ActiveConfig
	Balancer     *balancer.Balancer
	Pool         *runnerpool.Pool
	TurnStore    TurnStore
	// MaxBufferedBytes bounds the bytes of requests and histories that are buffered at
	// once; 0 means DefaultMaxBufferedBytes. A request that would exceed it is rejected
	// with apierror.NotRun.
	MaxBufferedBytes int64
	// Observe, if set, is called with the record of every request that has ended, before
	// Serve returns. It must not keep the record.
	Observe func(record *RequestRecord)
	// LogRequests writes one log line for every request, with its stages and the choice of
	// its runner. It costs the front about a tenth of its processor time.
	LogRequests bool
}
