package forwarding

import (
	"context"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/line"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/storeorigin"
)

// Records keep what programs' turns say and spend.
type Records interface {
	BeginTurn(ctx context.Context, turn storeorigin.Turn) (*storeorigin.Begun, error)
	EndTurn(ctx context.Context, end storeorigin.TurnEnd) error
}

// Rules are the routes in force with the view that they came with.
type Rules struct {
	View    *feed.View
	Routing *config.Routing
	// SharedPrefixes tells whether inputs may be shared among conversations.
	Openings config.SharedPrefixes
}

// Settings join a forwarder to the rest of its front.
type Settings struct {
	// Node names this start of the front.
	Node string
	// Fresh tells whether the view held may be acted on.
	Fresh func() error
	// AwaitFresh waits for that, if there is hope that it will soon be so.
	AwaitFresh func(ctx context.Context) error
	// Rules gives what is in force; Routing is nil while nothing is.
	Rules    func() Rules
	Balancer *balancer.Balancer
	Pool     *runnerpool.Pool
	Records  Records
	// HeldBytes bounds the queries and histories that are held at once; 0 means
	// UsualHeldBytes. What would pass it is refused at once.
	HeldBytes int64
}

// UsualHeldBytes is what a front holds of queries and histories at most. Answers and the
// collector's share come on top.
const UsualHeldBytes = 40 << 20

// Forwarder carries queries to runners for one front.
type Forwarder struct {
	settings Settings
	context  context.Context
	stop     context.CancelFunc
	work     bookings
	// discarded are the attempts that go on though the caller has its answer.
	discarded bookings
	held      atomic.Int64
}

// New makes a forwarder.
//
//	forwarder := forwarding.New(forwarding.Settings{Node: "front-1", Fresh: fresh, AwaitFresh: awaitFresh, Rules: rules, Balancer: balancing, Pool: pool, Records: stores})
//	err := forwarder.Serve(ctx, query, answer)
func New(settings Settings) *Forwarder {
	if settings.HeldBytes == 0 {
		settings.HeldBytes = UsualHeldBytes
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
	forwarder.work.wait(context.Background())
	forwarder.discarded.wait(context.Background())
}

// Settled waits until the turns that ended are booked, or the context ends.
//
//	forwarder.Settled(ctx)
func (forwarder *Forwarder) Settled(ctx context.Context) {
	forwarder.work.wait(ctx)
}

// passage is one query on its way through the filters.
type passage struct {
	*Query
	answer   Answer
	rules    Rules
	route    *config.Route
	deadline time.Time
	tried    []string // lives of the runners that it was sent to
	sent     int      // how often it was sent
	begun    *storeorigin.Begun
	line     string
	body     [][]byte
	stream   streamed
	unsure   bool // some try may have run
	held     int64
}

// hold counts bytes that the query holds, or refuses it if the front holds too much. A
// query that is alone is never refused.
func (forwarder *Forwarder) hold(going *passage, bytes int64) error {
	going.held += bytes
	if all := forwarder.held.Add(bytes); all > forwarder.settings.HeldBytes && all > going.held {
		return apierror.NewRetryable(apierror.NotRun, "this front holds too many bytes of queries", "ask again or at another front", retrySoon)
	}
	return nil
}

// filter looks at a query and may answer it: done ends the chain.
type filter func(forwarder *Forwarder, ctx context.Context, passage *passage) (done bool, err error)

var filters = []filter{boundBytes, requireFresh, findRoute, boundTime, beginTurn, dispatch}

// Serve carries one query to a runner and its answer back. An error before the answer
// has begun tells why there is none: NotRun promises that the query did not run and
// never will, NotFound that there is no route or no such turn, Exhausted that the
// program's allowance is spent. An error after it has begun means that the answer must be
// broken off.
//
//	err := forwarder.Serve(ctx, &forwarding.Query{Name: "9c41", Method: "GET", Host: "a.example", Path: "/x/1", Target: "/x/1", Received: time.Now(), Deadline: until}, answer)
func (forwarder *Forwarder) Serve(ctx context.Context, query *Query, answer Answer) error {
	going := &passage{Query: query, answer: answer}
	defer func() { forwarder.held.Add(-going.held) }()
	for _, step := range filters {
		if done, err := step(forwarder, ctx, going); done || err != nil {
			return err
		}
	}
	return apierror.New(apierror.Unavailable, "no filter answered", "report this")
}

func boundBytes(forwarder *Forwarder, _ context.Context, going *passage) (bool, error) {
	return false, forwarder.hold(going, int64(len(going.Body)))
}

// freshShare is the part of its time that a query may wait for the view to be fresh.
const freshShare = 0.35

func requireFresh(forwarder *Forwarder, ctx context.Context, going *passage) (bool, error) {
	if err := forwarder.settings.Fresh(); err != nil {
		if until := forwarder.latest(going); !until.IsZero() {
			limited, cancel := context.WithTimeout(ctx, time.Duration(freshShare*float64(time.Until(until))))
			defer cancel()
			ctx = limited
		}
		if err := forwarder.settings.AwaitFresh(ctx); err != nil {
			return false, err
		}
	}
	going.rules = forwarder.settings.Rules()
	if going.rules.Routing == nil {
		return false, apierror.NewRetryable(apierror.NotRun, "no routes are in force yet", "ask again; operators: put a config with routes", time.Second)
	}
	return false, nil
}

// latest gives until when a query may be held, as far as that is known before the view is
// confirmed: an old route's timeout is the best guess there is. Zero sets no bound.
func (forwarder *Forwarder) latest(going *passage) time.Time {
	until := going.Deadline
	route, found := forwarder.settings.Rules().Routing.Match(going.Host, going.Path)
	if !found {
		return until
	}
	if timeout := going.Received.Add(time.Duration(route.Timeout)); until.IsZero() || timeout.Before(until) {
		return timeout
	}
	return until
}

func findRoute(_ *Forwarder, _ context.Context, going *passage) (bool, error) {
	route, found := going.rules.Routing.Match(going.Host, going.Path)
	if !found {
		return false, apierror.New(apierror.NotFound, "no route is for "+going.Host+going.Path, "ask for a host and a path that the config has a route for")
	}
	going.route = route
	return false, nil
}

func boundTime(_ *Forwarder, _ context.Context, going *passage) (bool, error) {
	going.deadline = going.Received.Add(time.Duration(going.route.Timeout))
	if !going.Deadline.IsZero() && going.Deadline.Before(going.deadline) {
		going.deadline = going.Deadline
	}
	if !time.Now().Before(going.deadline) {
		return false, apierror.NewRetryable(apierror.NotRun, "the time for this query is over", "ask again with more time", time.Second)
	}
	return false, nil
}

const (
	// beginShare is the part of its whole time after which a turn no longer waits for its
	// record: what can't be offered to a runner by then is refused, with time left for the
	// caller to ask elsewhere.
	beginShare = 0.45
	// beginLeast is what a turn may wait all the same.
	beginLeast = 100 * time.Millisecond
	beginMost  = 2500 * time.Millisecond
	// bookTimeout is how long an end is tried to be booked behind the caller's back;
	// what stays unbooked goes on counting at its most.
	bookTimeout = 20 * time.Second
	bookPause   = 100 * time.Millisecond
	// turnMargin is how much longer than its query a turn may be open.
	turnMargin = 10 * time.Second
)

// recorded tells whether a query is a turn that spends an allowance or is remembered.
func (going *passage) recorded() bool {
	return going.route.Kind == config.Streaming && (going.Budgeted || going.route.StoresHistory)
}

// beginTurn reserves the most that the turn may put out and records its beginning, in
// one commit; for turns that bring only their new input, it brings what was said before.
func beginTurn(forwarder *Forwarder, ctx context.Context, going *passage) (bool, error) {
	going.body = [][]byte{going.Body}
	if !going.recorded() {
		return false, nil
	}
	going.line = lineOf(going.Query)
	left := time.Until(going.deadline)
	whole := going.deadline.Sub(going.Received)
	wait := time.Until(going.Received.Add(time.Duration(float64(whole) * beginShare)))
	ctx, cancel := context.WithTimeout(ctx, min(max(wait, beginLeast), beginMost))
	defer cancel()
	begun, err := forwarder.settings.Records.BeginTurn(ctx, storeorigin.Turn{
		Line: going.line, Name: going.Name, Follows: going.Follows, Input: going.Body,
		Keeps: going.route.StoresHistory, Keep: time.Duration(going.route.Retention), Scope: going.scope(),
		Budgeted: going.Budgeted, Most: going.TokensOut, Allowance: going.Budget,
		Dispatch: forwarder.settings.Node, Life: left + turnMargin,
	})
	if err != nil {
		return false, err
	}
	going.begun = begun
	if len(begun.History) > 0 {
		if err := forwarder.hold(going, int64(len(begun.History))); err != nil {
			forwarder.book(going, line.OutcomeNotRun)
			return false, err
		}
		going.body = [][]byte{begun.History, going.Body}
	}
	return false, nil
}

// scope is whose openings the turn's input may share: those of its route alone, while the
// config shares any.
func (going *passage) scope() string {
	if !going.rules.Openings.Enabled {
		return ""
	}
	return going.route.Name
}

// lineOf names the line of record of a query's program; turns of no program have lines
// of their own.
func lineOf(query *Query) string {
	switch {
	case query.Program != "":
		return "program/" + query.Program
	case query.Session != "":
		return "session/" + query.Session
	}
	return "query/" + query.Name
}

// end books how the turn ended. It returns once that is committed.
func (forwarder *Forwarder) end(ctx context.Context, going *passage, outcome string) error {
	return forwarder.settings.Records.EndTurn(ctx, storeorigin.TurnEnd{
		Line: going.line, Name: going.Name, Seq: going.begun.Seq, Kept: going.route.StoresHistory,
		Output: going.stream.output, Tokens: going.stream.tokens, Outcome: outcome,
	})
}

// book books an end behind the caller's back, until it lasts or timeout is over.
func (forwarder *Forwarder) book(going *passage, outcome string) {
	if going.begun == nil {
		return
	}
	forwarder.work.start(func() {
		ctx, cancel := context.WithTimeout(forwarder.context, bookTimeout)
		defer cancel()
		for ctx.Err() == nil && !decided(forwarder.end(ctx, going, outcome)) {
			select {
			case <-time.After(bookPause):
			case <-ctx.Done():
			}
		}
	})
}

// decided tells whether trying to book an end again would change nothing.
func decided(err error) bool {
	return err == nil || apierror.Is(err, apierror.NotFound) || apierror.Is(err, apierror.Conflict) || apierror.Is(err, apierror.Invalid)
}
