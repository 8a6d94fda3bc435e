// Package forwarding forwards callers' HTTP requests to runners, unchanged, by the routes
// in force, and relays the responses back.
//
// A request passes a chain of filters (filters.go): buffer limit, freshness of the view,
// route, deadline, record of the turn (turns.go), dispatch. Dispatch (dispatch.go) makes
// attempts at runners (attempt.go), one after the other or, for idempotent routes, hedged
// (hedging.go), and relays the first usable response (relay.go).
//
// Guarantees:
//   - A request runs at most once unless its route says that it is idempotent: another
//     runner gets it only if the one before provably did not run it.
//   - apierror.NotRun is a promise: the request did not run and never will.
//   - No byte is sent to a runner under a configuration or lease that has been revoked;
//     both are checked again just before the first byte leaves.
//   - A turn whose history is stored looks complete to the caller only once its end is
//     committed by the stores.
//
// The package keeps no state between requests but the number of buffered bytes and the
// background tasks that end turns. It stores nothing: what lasts is in the session logs.
package forwarding

import (
	"context"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/taskgroup"
)

// shortRetryAfter is when a caller should retry after a rejection whose cause is expected
// to pass soon.
const shortRetryAfter = 200 * time.Millisecond

// Forwarder forwards requests for one front. It is safe for concurrent use.
type Forwarder struct {
	settings Settings
	// context ends with Close; background tasks and detached attempts run under it.
	context context.Context
	stop    context.CancelFunc
	// turnCommits are the ends of turns that are being committed in the background.
	turnCommits taskgroup.Group
	// discardedAttempts are the attempts that go on though the caller has its response.
	discardedAttempts taskgroup.Group
	bufferedBytes     atomic.Int64
}

// New makes a forwarder; Close ends it.
//
//	forwarder := forwarding.New(forwarding.Settings{Node: "front-1", CheckViewFresh: checkFresh, AwaitViewFresh: awaitFresh, ActiveConfig: active, Balancer: balancer, Pool: pool, TurnStore: stores})
//	err := forwarder.Serve(ctx, request, writer)
func New(settings Settings) *Forwarder {
	if settings.MaxBufferedBytes == 0 {
		settings.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	forwarder := &Forwarder{settings: settings}
	forwarder.context, forwarder.stop = context.WithCancel(context.Background())
	return forwarder
}

// Close cancels the background tasks and waits for their end. Call it once no Serve is
// under way.
//
//	forwarder.Close()
func (forwarder *Forwarder) Close() {
	forwarder.stop()
	forwarder.turnCommits.Wait(context.Background())
	forwarder.discardedAttempts.Wait(context.Background())
}

// AwaitTurnCommits waits until the ends of all turns are committed, or the context ends.
//
//	forwarder.AwaitTurnCommits(ctx)
func (forwarder *Forwarder) AwaitTurnCommits(ctx context.Context) {
	forwarder.turnCommits.Wait(ctx)
}

// Serve forwards one request to a runner and relays the response. An error before
// writer.Begin says why there is no response: NotRun promises that the request did not run
// and never will, NotFound that there is no such route or turn, QuotaExhausted that the
// program's output budget is used up, Unknown and RunnerFailure that it may have run.
// After an error that comes later than Begin, the response must be aborted.
//
//	err := forwarder.Serve(ctx, &forwarding.Request{Name: "9c41", Method: "GET", Host: "a.example", Path: "/x/1", Target: "/x/1", ReceivedAt: time.Now(), Deadline: deadline}, writer)
func (forwarder *Forwarder) Serve(ctx context.Context, request *Request, writer ResponseWriter) error {
	exchange := &exchange{Request: request, writer: writer, watch: stopwatch{last: request.ReceivedAt}}
	defer func() { forwarder.bufferedBytes.Add(-exchange.bufferedBytes) }()
	exchange.watch.end(StageReceive)
	err := forwarder.serve(ctx, exchange)
	forwarder.observe(exchange, err)
	return err
}

// serve runs the chain of filters.
func (forwarder *Forwarder) serve(ctx context.Context, exchange *exchange) error {
	for _, step := range filters {
		if done, err := step(ctx, forwarder, exchange); done || err != nil {
			return err
		}
	}
	return apierror.New(apierror.Unavailable, "no filter answered", "report this")
}

// exchange is one request with its response on the way through the filters. Only the
// goroutine that called Serve changes it until that returns; the background task that ends
// its turn reads it afterwards.
type exchange struct {
	*Request
	writer ResponseWriter
	// active and route are those under which the request was last checked.
	active   ActiveConfig
	route    *config.Route
	deadline time.Time
	// triedRunners are the incarnations of the runners that were sent the request, or
	// were not there; they get it no second time.
	triedRunners []string
	sendCount    int
	// turn is the recorded begin; nil if the request is no recorded turn.
	turn        *storeclient.BegunTurn
	sessionName string
	body        [][]byte
	stream      streamState
	// mayHaveRun is set once some attempt may have run; from then on NotRun is no answer.
	mayHaveRun    bool
	bufferedBytes int64
	// watch measures the stages, and lastLease is the lease of the last attempt that ended;
	// both are for the record of the request only.
	watch     stopwatch
	lastLease *balancer.Lease
}

// reserveBuffer counts bytes that the request keeps in memory until Serve returns, and
// rejects it if the front buffers too much. A request that is alone is never rejected.
func (forwarder *Forwarder) reserveBuffer(exchange *exchange, bytes int64) error {
	exchange.bufferedBytes += bytes
	if all := forwarder.bufferedBytes.Add(bytes); all > forwarder.settings.MaxBufferedBytes && all > exchange.bufferedBytes {
		return apierror.NewRetryable(apierror.NotRun, "this front holds too many bytes of queries", "ask again or at another front", shortRetryAfter)
	}
	return nil
}
