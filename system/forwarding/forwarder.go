// Package forwarding proxies clients' HTTP requests to runners, unchanged, according to the
// current routes, and relays the responses.
//
// A request passes through a chain of filters (filters.go): buffer limit, freshness of the
// view (the front's copy of the fleet's state, feed.View), route, deadline, turn record
// (turns.go), dispatch. Dispatch (dispatch.go) makes attempts on runners (attempt.go),
// sequentially or, for repeatable routes, hedged (hedging.go), and relays the first usable
// response (relay.go).
//
// A turn is a request on a streaming route: one step of a conversation with a model. Its start
// and end are recorded in a session log if it has an output budget or its history is stored.
//
// Guarantees:
//   - A request runs at most once unless its route is idempotent: another runner gets it
//     only if the previous one provably did not run it.
//   - apierror.NotRun guarantees that the request did not run and never will.
//   - No byte is sent to a runner under a revoked configuration or lease; both are checked
//     again just before the first byte is sent.
//   - A turn with stored history looks complete to the client only after the stores have
//     committed its end, and a recorded response to an operation after they have committed that.
//
// Between requests the package keeps only the number of buffered bytes and the background
// tasks that commit turn ends. Durable state is in the session logs.
package forwarding

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/taskgroup"
)

// shortRetryAfter is the retry delay for rejections with a short-lived cause.
const shortRetryAfter = 200 * time.Millisecond

// Forwarder forwards the requests of one front node. It is safe for concurrent use.
type Forwarder struct {
	settings Settings
	// context is cancelled by Close; background tasks and detached attempts use it.
	context context.Context
	stop    context.CancelFunc
	// turnCommits are the turn ends being committed in the background.
	turnCommits taskgroup.Group
	// discardedAttempts are the attempts still running after their requests were answered
	// or abandoned.
	discardedAttempts taskgroup.Group
	bufferedBytes     atomic.Int64
	// dispatchCount numbers the dispatches of turns and operations.
	dispatchCount atomic.Uint64
}

// New returns a forwarder, which must be closed with Close.
//
//	forwarder := forwarding.New(forwarding.Settings{Node: "front-1", CheckViewFresh: checkFresh, AwaitViewFresh: awaitFresh, CurrentConfig: currentConfig, Balancer: balancer, Pool: pool, TurnStore: stores})
//	err := forwarder.Serve(ctx, request, writer)
func New(settings Settings) *Forwarder {
	if settings.MaxBufferedBytes == 0 {
		settings.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	settings.OperationRetention = max(settings.OperationRetention, DefaultOperationRetention)
	forwarder := &Forwarder{settings: settings}
	forwarder.context, forwarder.stop = context.WithCancel(context.Background())
	return forwarder
}

// Close cancels the background tasks and waits for them to end. It must not be called while
// a Serve call is running.
//
//	forwarder.Close()
func (forwarder *Forwarder) Close() {
	forwarder.stop()
	forwarder.turnCommits.Wait(context.Background())
	forwarder.discardedAttempts.Wait(context.Background())
}

// AwaitTurnCommits waits until no turn end is being committed in the background or ctx
// ends.
//
//	forwarder.AwaitTurnCommits(ctx)
func (forwarder *Forwarder) AwaitTurnCommits(ctx context.Context) {
	forwarder.turnCommits.Wait(ctx)
}

// Serve forwards one request to a runner and relays the response. An error before
// writer.Begin means that there is no response: NotRun guarantees that the request did
// not run and never will, NotFound means that there is no such route or turn, QuotaExhausted
// that the program's output budget is used up, Unknown and RunnerFailure that the request
// may have run. After an error that follows Begin, the response must be aborted.
//
//	err := forwarder.Serve(ctx, &forwarding.Request{Name: "9c41", Method: "GET", Host: "a.example", Path: "/x/1", Target: "/x/1", ReceivedAt: time.Now(), Deadline: deadline}, writer)
func (forwarder *Forwarder) Serve(ctx context.Context, request *Request, writer ResponseWriter) error {
	exchange := &exchange{Request: request, writer: writer, timer: stageTimer{stageStart: request.ReceivedAt}}
	defer func() { forwarder.bufferedBytes.Add(-exchange.bufferedBytes) }()
	exchange.timer.end(StageReceive)
	err := forwarder.serve(ctx, exchange)
	forwarder.observe(exchange, err)
	return err
}

// serve runs the filter chain.
func (forwarder *Forwarder) serve(ctx context.Context, exchange *exchange) error {
	for _, apply := range filters {
		if done, err := apply(ctx, forwarder, exchange); done || err != nil {
			return err
		}
	}
	return apierror.New(apierror.Unavailable, "no filter answered the request", "report this as a bug")
}

// newDispatch returns an identifier for a request that begins a turn or an operation. Clients may give two
// requests the same ID: one must not take the other's record for its own.
func (forwarder *Forwarder) newDispatch() string {
	return forwarder.settings.Node + "/" + strconv.FormatUint(forwarder.dispatchCount.Add(1), 10)
}

// exchange is one request and its response while they pass through the filters. Only the
// goroutine that called Serve modifies it; after Serve has returned, the background task
// that commits the turn end reads it.
type exchange struct {
	*Request
	writer ResponseWriter
	// current and route are the ones that the request was last checked against.
	current  CurrentConfig
	route    *config.Route
	deadline time.Time
	// tenant is the tenant that the request's key belongs to; nil if it has none.
	tenant *config.Tenant
	// sendBy is until when the request's token of the rate limit may be used; zero without one.
	sendBy time.Time
	// operation is the record of the operation; nil if the front keeps none.
	operation *operationRecord
	// triedRunners are the incarnations of the runners that were sent the request or were
	// unreachable. They are not tried again.
	triedRunners []string
	sendCount    int
	// turn is the recorded start; nil if the request is not a recorded turn.
	turn        *storeclient.BegunTurn
	sessionName string
	body        [][]byte
	stream      streamState
	// mayHaveRun is set once any attempt may have run; NotRun must not be returned after
	// that.
	mayHaveRun    bool
	bufferedBytes int64
	// timer and lastLease, the lease of the attempt that ended last, are used only for
	// the request record.
	timer     stageTimer
	lastLease *balancer.Lease
}

// reserveBuffer accounts for bytes that the request keeps in memory until Serve returns, and
// rejects the request if the front's limit is exceeded. A request that is the only one with
// buffered bytes is never rejected.
func (forwarder *Forwarder) reserveBuffer(exchange *exchange, bytes int64) error {
	exchange.bufferedBytes += bytes
	if total := forwarder.bufferedBytes.Add(bytes); total > forwarder.settings.MaxBufferedBytes && total > exchange.bufferedBytes {
		return apierror.NewRetryable(apierror.NotRun, "the request buffers of this front are full", "retry, or use another front", shortRetryAfter)
	}
	return nil
}
