package forwarding

import (
	"context"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
)

// TurnStore keep what programs' turns say and spend.
type TurnStore interface {
	BeginTurn(ctx context.Context, turn storeclient.Turn) (*storeclient.BegunTurn, error)
	EndTurn(ctx context.Context, end storeclient.TurnEnd) error
}

// ActiveConfig are the routes in force with the view that they came with.
type ActiveConfig struct {
	View    *feed.View
	Routing *config.Routing
	// SharedPrefixes tells whether inputs may be shared among conversations.
	SharedPrefixes config.SharedPrefixes
}

// Settings join a forwarder to the rest of its front.
type Settings struct {
	// Node names this start of the front.
	Node string
	// CheckViewFresh tells whether the view held may be acted on.
	CheckViewFresh func() error
	// AwaitViewFresh waits for that, if there is hope that it will soon be so.
	AwaitViewFresh func(ctx context.Context) error
	// ActiveConfig gives what is in force; Routing is nil while nothing is.
	ActiveConfig func() ActiveConfig
	Balancer     *balancer.Balancer
	Pool         *runnerpool.Pool
	TurnStore    TurnStore
	// MaxBufferedBytes bounds the queries and histories that are held at once; 0 means
	// DefaultMaxBufferedBytes. What would pass it is refused at once.
	MaxBufferedBytes int64
}

// DefaultMaxBufferedBytes is what a front holds of queries and histories at most. Answers and the
// collector's share come on top.
const DefaultMaxBufferedBytes = 40 << 20

// Forwarder carries queries to runners for one front.
type Forwarder struct {
	settings    Settings
	context     context.Context
	stop        context.CancelFunc
	turnCommits taskGroup
	// discardedAttempts are the attempts that go on though the caller has its answer.
	discardedAttempts taskGroup
	bufferedBytes     atomic.Int64
}

// New makes a forwarder.
//
//	forwarder := forwarding.New(forwarding.Settings{Node: "front-1", Fresh: fresh, AwaitViewFresh: awaitFresh, Rules: rules, Balancer: balancing, Pool: pool, Records: stores})
//	err := forwarder.Serve(ctx, query, answer)
func New(settings Settings) *Forwarder {
	if settings.MaxBufferedBytes == 0 {
		settings.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	forwarder := &Forwarder{settings: settings}
	forwarder.context, forwarder.stop = context.WithCancel(context.Background())
	return forwarder
}

// Close breaks off what goes on in the background and waits for its end.
//
//	forwarder.Close()
func (forwarder *Forwarder) Close() {
	forwarder.stop()
	forwarder.turnCommits.wait(context.Background())
	forwarder.discardedAttempts.wait(context.Background())
}

// AwaitTurnCommits waits until the turns that ended are booked, or the context ends.
//
//	forwarder.AwaitTurnCommits(ctx)
func (forwarder *Forwarder) AwaitTurnCommits(ctx context.Context) {
	forwarder.turnCommits.wait(ctx)
}

// exchange is one query on its way through the filters.
type exchange struct {
	*Request
	writer        ResponseWriter
	active        ActiveConfig
	route         *config.Route
	deadline      time.Time
	triedRunners  []string // lives of the runners that it was sent to
	sendCount     int      // how often it was sent
	turn          *storeclient.BegunTurn
	sessionName   string
	body          [][]byte
	stream        streamState
	mayHaveRun    bool // some try may have run
	bufferedBytes int64
}

// reserveBuffer counts bytes that the query holds, or refuses it if the front holds too much. A
// query that is alone is never refused.
func (forwarder *Forwarder) reserveBuffer(exchange *exchange, bytes int64) error {
	exchange.bufferedBytes += bytes
	if all := forwarder.bufferedBytes.Add(bytes); all > forwarder.settings.MaxBufferedBytes && all > exchange.bufferedBytes {
		return apierror.NewRetryable(apierror.NotRun, "this front holds too many bytes of queries", "ask again or at another front", shortRetryAfter)
	}
	return nil
}

// filter looks at a query and may answer it: done ends the chain.
type filter func(ctx context.Context, forwarder *Forwarder, exchange *exchange) (done bool, err error)

var filters = []filter{limitBufferedBytes, requireFreshView, findRoute, setDeadline, beginTurn, dispatch}

// Serve carries one query to a runner and its answer back. An error before the answer
// has begun tells why there is none: NotRun promises that the query did not run and
// never will, NotFound that there is no route or no such turn, Exhausted that the
// program's allowance is spent. An error after it has begun means that the answer must be
// broken off.
//
//	err := forwarder.Serve(ctx, &forwarding.Request{Name: "9c41", Method: "GET", Host: "a.example", Path: "/x/1", Target: "/x/1", Received: time.Now(), Deadline: until}, answer)
func (forwarder *Forwarder) Serve(ctx context.Context, request *Request, writer ResponseWriter) error {
	exchange := &exchange{Request: request, writer: writer}
	defer func() { forwarder.bufferedBytes.Add(-exchange.bufferedBytes) }()
	for _, step := range filters {
		if done, err := step(ctx, forwarder, exchange); done || err != nil {
			return err
		}
	}
	return apierror.New(apierror.Unavailable, "no filter answered", "report this")
}

func limitBufferedBytes(_ context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	return false, forwarder.reserveBuffer(exchange, int64(len(exchange.Body)))
}

// viewWaitShare is the part of its time that a query may wait for the view to be fresh.
const viewWaitShare = 0.35

func requireFreshView(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	if err := forwarder.settings.CheckViewFresh(); err != nil {
		if until := forwarder.viewWaitDeadline(exchange); !until.IsZero() {
			limited, cancel := context.WithTimeout(ctx, time.Duration(viewWaitShare*float64(time.Until(until))))
			defer cancel()
			ctx = limited
		}
		if err := forwarder.settings.AwaitViewFresh(ctx); err != nil {
			return false, err
		}
	}
	exchange.active = forwarder.settings.ActiveConfig()
	if exchange.active.Routing == nil {
		return false, apierror.NewRetryable(apierror.NotRun, "no routes are in force yet", "ask again; operators: put a config with routes", time.Second)
	}
	return false, nil
}

// viewWaitDeadline gives until when a query may be held, as far as that is known before the view is
// confirmed: an old route's timeout is the best guess there is. Zero sets no bound.
func (forwarder *Forwarder) viewWaitDeadline(exchange *exchange) time.Time {
	until := exchange.Deadline
	route, found := forwarder.settings.ActiveConfig().Routing.Match(exchange.Host, exchange.Path)
	if !found {
		return until
	}
	if timeout := exchange.ReceivedAt.Add(time.Duration(route.Timeout)); until.IsZero() || timeout.Before(until) {
		return timeout
	}
	return until
}

func findRoute(_ context.Context, _ *Forwarder, exchange *exchange) (bool, error) {
	route, found := exchange.active.Routing.Match(exchange.Host, exchange.Path)
	if !found {
		return false, apierror.New(apierror.NotFound, "no route is for "+exchange.Host+exchange.Path, "ask for a host and a path that the config has a route for")
	}
	exchange.route = route
	return false, nil
}

func setDeadline(_ context.Context, _ *Forwarder, exchange *exchange) (bool, error) {
	exchange.deadline = exchange.ReceivedAt.Add(time.Duration(exchange.route.Timeout))
	if !exchange.Deadline.IsZero() && exchange.Deadline.Before(exchange.deadline) {
		exchange.deadline = exchange.Deadline
	}
	if !time.Now().Before(exchange.deadline) {
		return false, apierror.NewRetryable(apierror.NotRun, "the time for this query is over", "ask again with more time", time.Second)
	}
	return false, nil
}

const (
	// beginTurnShare is the part of its whole time after which a turn no longer waits for its
	// record: what can't be offered to a runner by then is refused, with time left for the
	// caller to ask elsewhere.
	beginTurnShare = 0.45
	// minBeginTurnTimeout is what a turn may wait all the same.
	minBeginTurnTimeout = 100 * time.Millisecond
	maxBeginTurnTimeout = 2500 * time.Millisecond
	// backgroundEndTurnTimeout is how long an end is tried to be booked behind the caller's back;
	// what stays unbooked goes on counting at its most.
	backgroundEndTurnTimeout  = 20 * time.Second
	backgroundEndTurnInterval = 100 * time.Millisecond
	// turnLifetimeMargin is how much longer than its query a turn may be open.
	turnLifetimeMargin = 10 * time.Second
)

// isRecorded tells whether a query is a turn that spends an allowance or is remembered.
func (exchange *exchange) isRecorded() bool {
	return exchange.route.Kind == config.Streaming && (exchange.HasOutputBudget || exchange.route.StoresHistory)
}

// beginTurn reserves the most that the turn may put out and records its beginning, in
// one commit; for turns that bring only their new input, it brings what was said before.
func beginTurn(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	exchange.body = [][]byte{exchange.Body}
	if !exchange.isRecorded() {
		return false, nil
	}
	exchange.sessionName = sessionNameOf(exchange.Request)
	left := time.Until(exchange.deadline)
	whole := exchange.deadline.Sub(exchange.ReceivedAt)
	wait := time.Until(exchange.ReceivedAt.Add(time.Duration(float64(whole) * beginTurnShare)))
	ctx, cancel := context.WithTimeout(ctx, min(max(wait, minBeginTurnTimeout), maxBeginTurnTimeout))
	defer cancel()
	begun, err := forwarder.settings.TurnStore.BeginTurn(ctx, storeclient.Turn{
		SessionName: exchange.sessionName, Name: exchange.Name, Follows: exchange.Follows, Input: exchange.Body,
		KeepHistory: exchange.route.StoresHistory, Retention: time.Duration(exchange.route.Retention), PrefixScope: exchange.prefixScope(),
		HasTokenQuota: exchange.HasOutputBudget, MaxOutputTokens: exchange.MaxOutputTokens, TokenQuota: exchange.OutputBudget,
		DispatchID: forwarder.settings.Node, Lifetime: left + turnLifetimeMargin,
	})
	if err != nil {
		return false, err
	}
	exchange.turn = begun
	if len(begun.History) > 0 {
		if err := forwarder.reserveBuffer(exchange, int64(len(begun.History))); err != nil {
			forwarder.endTurnInBackground(exchange, sessionlog.OutcomeNotRun)
			return false, err
		}
		exchange.body = [][]byte{begun.History, exchange.Body}
	}
	return false, nil
}

// prefixScope is whose openings the turn's input may share: those of its route alone, while the
// config shares any.
func (exchange *exchange) prefixScope() string {
	if !exchange.active.SharedPrefixes.Enabled {
		return ""
	}
	return exchange.route.Name
}

// sessionNameOf names the line of record of a query's program; turns of no program have lines
// of their own.
func sessionNameOf(request *Request) string {
	switch {
	case request.Program != "":
		return "program/" + request.Program
	case request.Session != "":
		return "session/" + request.Session
	}
	return "query/" + request.Name
}

// endTurn books how the turn ended. It returns once that is committed.
func (forwarder *Forwarder) endTurn(ctx context.Context, exchange *exchange, outcome string) error {
	return forwarder.settings.TurnStore.EndTurn(ctx, storeclient.TurnEnd{
		SessionName: exchange.sessionName, Name: exchange.Name, Seq: exchange.turn.Seq, KeepHistory: exchange.route.StoresHistory,
		Output: exchange.stream.output, Tokens: exchange.stream.tokens, Outcome: outcome,
	})
}

// endTurnInBackground books an end behind the caller's back, until it lasts or timeout is over.
func (forwarder *Forwarder) endTurnInBackground(exchange *exchange, outcome string) {
	if exchange.turn == nil {
		return
	}
	forwarder.turnCommits.start(func() {
		ctx, cancel := context.WithTimeout(forwarder.context, backgroundEndTurnTimeout)
		defer cancel()
		for ctx.Err() == nil && !isFinal(forwarder.endTurn(ctx, exchange, outcome)) {
			select {
			case <-time.After(backgroundEndTurnInterval):
			case <-ctx.Done():
			}
		}
	})
}

// isFinal tells whether trying to book an end again would change nothing.
func isFinal(err error) bool {
	return err == nil || apierror.Is(err, apierror.NotFound) || apierror.Is(err, apierror.Conflict) || apierror.Is(err, apierror.Invalid)
}
