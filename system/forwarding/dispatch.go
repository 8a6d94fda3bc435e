package forwarding

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/sessionlog"
)

const (
	// maxUnsentAttempts bounds how often another runner is taken though nothing was sent.
	maxUnsentAttempts = 6
	// maxBufferedResponseBytes is the longest plain answer that is read whole before it is passed on.
	maxBufferedResponseBytes = 256 << 10
	shortRetryAfter          = 200 * time.Millisecond
	// minRetryTime is the time that must be left for another runner to be worth trying.
	minRetryTime         = 50 * time.Millisecond
	endTurnRetryInterval = 50 * time.Millisecond
)

// streamState is what has been passed on of a stream.
type streamState struct {
	started         bool
	lastEventID     string // id of the last event
	lastEventNumber int64  // the same as a number
	output          []byte // data of the events, each with a line feed, if history is kept
	tokens          uint64
	complete        bool // the runner's stream is whole
}

// dispatch sends the query to a runner, and to another where that can't make it run
// twice.
func dispatch(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	ctx, cancel := context.WithDeadline(ctx, exchange.deadline)
	defer cancel()
	if number, numbered := parseEventNumber(exchange.LastEventID); numbered && exchange.route.Resumable {
		exchange.stream.lastEventID, exchange.stream.lastEventNumber = exchange.LastEventID, number
	}
	attempts := newAttemptSet(ctx, forwarder, exchange)
	defer attempts.close()
	unsent := 0
	for {
		retry, failed := attempts.tryNext()
		if failed == nil {
			return true, nil
		}
		if apierror.Of(failed).NeverSent {
			unsent++
		}
		more := retry && unsent < maxUnsentAttempts && exchange.hasAttemptLeft() && ctx.Err() == nil
		if !more {
			failed = attempts.awaitInFlight(failed)
			if failed == nil {
				return true, nil
			}
			forwarder.recordUnansweredTurn(exchange, failed)
			return true, failed
		}
	}
}

// hasAttemptLeft tells whether the query may be sent to one more runner, and has the time.
func (exchange *exchange) hasAttemptLeft() bool {
	return exchange.sendCount < max(exchange.route.MaxAttempts, 1) && time.Until(exchange.deadline) > minRetryTime
}

// recordUnansweredTurn books the end of a turn that has no whole answer.
func (forwarder *Forwarder) recordUnansweredTurn(exchange *exchange, failed error) {
	outcome := sessionlog.OutcomeCut
	if exchange.stream.complete {
		outcome = sessionlog.OutcomeComplete // its commit is unclear: the same end may be booked again
	}
	if apierror.Is(failed, apierror.NotRun) && !exchange.stream.started {
		outcome = sessionlog.OutcomeNotRun
	}
	forwarder.endTurnInBackground(exchange, outcome)
}

// repeatable tells whether the query may run more than once.
func (exchange *exchange) repeatable() bool {
	return exchange.route.Kind == config.Repeatable || (exchange.route.Kind == config.Streaming && exchange.route.Resumable)
}

// mayRetry tells whether another runner may get the query after a failed try.
func (exchange *exchange) mayRetry(failure *apierror.Error) bool {
	return failure.NeverSent || failure.Kind == apierror.NotRun || exchange.repeatable()
}

// callerError is what the caller is told of a failed try: "not run" is a promise, so it is
// told only if no earlier try may have run either.
func (exchange *exchange) callerError(err error) error {
	failure := *apierror.Of(err)
	vouched := failure.NeverSent || failure.Kind == apierror.NotRun
	switch {
	case exchange.stream.started:
		return err
	case !vouched:
		exchange.mayHaveRun = true
		if failure.Kind != apierror.RunnerFailure {
			failure.Kind = apierror.Unknown
		}
	case exchange.mayHaveRun:
		failure.Kind = apierror.Unknown
	default:
		failure.Kind = apierror.NotRun
		if failure.RetryAfter == 0 {
			failure.RetryAfter = shortRetryAfter
		}
	}
	return &failure
}

// isEventStream tells whether an answer is a stream of events.
func (exchange *exchange) isEventStream(response *runnerpool.Response) bool {
	if exchange.route.Kind != config.Streaming || response.Status != http.StatusOK {
		return false
	}
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// relayBuffered reads a plain answer whole, if it is not too long, and passes it on.
func (forwarder *Forwarder) relayBuffered(ctx context.Context, attempts *attemptSet, attempt *attempt) (balancer.Outcome, error) {
	exchange, response := attempts.exchange, attempt.response
	if exchange.stream.started {
		return balancer.Failed, runnerFailure("a stream was to go on, but the runner answered " + strconv.Itoa(response.Status))
	}
	ending := balancer.Answered
	if response.Status >= http.StatusInternalServerError {
		ending = balancer.Failed
	}
	if notRunStatuses[response.Status] {
		// The runner did not vouch for it, so it can't be passed on as a promise.
		exchange.mayHaveRun = true
		return ending, runnerFailure("the runner answered " + strconv.Itoa(response.Status) + " without a vouch")
	}
	data, err := io.ReadAll(io.LimitReader(response, maxBufferedResponseBytes))
	if err != nil {
		exchange.mayHaveRun = true
		return balancer.Lost, err
	}
	if ending == balancer.Failed && exchange.repeatable() && (exchange.hasAttemptLeft() || len(attempts.inFlight) > 0) {
		exchange.mayHaveRun = true
		return ending, runnerFailure("the runner answered " + strconv.Itoa(response.Status))
	}
	outcome := sessionlog.OutcomeCut
	if response.Status < http.StatusMultipleChoices {
		// A success without events says nothing of tokens: it counts at its most, and a
		// turn that is kept must be known before it looks whole.
		outcome, exchange.stream.tokens = sessionlog.OutcomeComplete, exchange.MaxOutputTokens
		if exchange.route.StoresHistory {
			if err := forwarder.commitCompleteTurn(ctx, exchange); err != nil {
				exchange.mayHaveRun = true
				return ending, err
			}
		}
	}
	if err := exchange.writer.Begin(response.Status, response.Header); err != nil {
		return balancer.Cancelled, errors.Join(errNoRetry, err)
	}
	exchange.stream.started = true
	if err := exchange.writer.Write(data); err != nil {
		return balancer.Cancelled, errors.Join(errNoRetry, err)
	}
	if len(data) == maxBufferedResponseBytes {
		if _, err := io.Copy(copyTarget{exchange.writer}, response); err != nil {
			return balancer.Lost, errors.Join(errNoRetry, err)
		}
	}
	if ctx.Err() == nil {
		attempt.lease.FirstEvent(time.Since(attempt.startedAt))
	}
	if !exchange.stream.complete {
		forwarder.endTurnInBackground(exchange, outcome)
	}
	return ending, nil
}

// notRunStatuses are the statuses by which a front tells that a query did not run and never
// will.
var notRunStatuses = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// copyTarget lets an answer be copied to.
type copyTarget struct{ ResponseWriter }

// Write passes data on.
func (target copyTarget) Write(data []byte) (int, error) {
	return len(data), target.ResponseWriter.Write(data)
}

func runnerFailure(message string) error {
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: message, Remedy: "see the runner's own log", Lost: true}
}

// relayStream passes events on as they come. The end is passed on only once a turn that
// is kept is committed whole.
func (forwarder *Forwarder) relayStream(ctx context.Context, exchange *exchange, response *runnerpool.Response, perEvent uint64, first func()) (balancer.Outcome, error) {
	exchange.mayHaveRun = true
	events := runnerpool.NewEventReader(response)
	if !exchange.stream.started {
		if exchange.repeatable() {
			delete(response.Header, "Content-Length") // another runner may go on with it
		}
		if err := exchange.writer.Begin(response.Status, response.Header); err != nil {
			return balancer.Cancelled, errors.Join(errNoRetry, err)
		}
		exchange.stream.started = true
	}
	resumed := exchange.stream.lastEventID != ""
	for fresh := true; ; fresh = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return balancer.Answered, forwarder.commitCompleteTurn(ctx, exchange)
		}
		if err != nil {
			if ctx.Err() != nil {
				return balancer.Cancelled, err
			}
			return balancer.Lost, err
		}
		if fresh {
			first()
		}
		number, numbered := parseEventNumber(event.ID)
		if resumed && numbered && number <= exchange.stream.lastEventNumber {
			continue
		}
		// A token counts as put out from here on, whether or not the caller gets it.
		if event.HasData {
			exchange.stream.tokens += perEvent
			if exchange.route.StoresHistory {
				exchange.stream.output = append(append(exchange.stream.output, event.Data...), '\n')
			}
		}
		if event.ID != "" {
			exchange.stream.lastEventID, exchange.stream.lastEventNumber = event.ID, number
		}
		if err := exchange.writer.Write(event.Raw); err != nil {
			return balancer.Cancelled, errors.Join(errNoRetry, err)
		}
	}
}

func parseEventNumber(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	return number, err == nil
}

// tokensPerEvent tells how many tokens one event of a service's runners carries.
func tokensPerEvent(service *config.Service) uint64 {
	if service == nil || service.Engine == nil {
		return 1
	}
	return max(service.Engine.TokensPerEvent, 1)
}

// commitCompleteTurn commits the end of a turn. What is not kept is booked behind the caller's
// back: until then it counts at its most.
func (forwarder *Forwarder) commitCompleteTurn(ctx context.Context, exchange *exchange) error {
	if exchange.turn == nil {
		return nil
	}
	if !exchange.route.StoresHistory {
		forwarder.endTurnInBackground(exchange, sessionlog.OutcomeComplete)
		return nil
	}
	exchange.stream.complete = true
	err := forwarder.endTurn(ctx, exchange, sessionlog.OutcomeComplete)
	for !isFinal(err) && ctx.Err() == nil {
		select {
		case <-time.After(endTurnRetryInterval):
			err = forwarder.endTurn(ctx, exchange, sessionlog.OutcomeComplete)
		case <-ctx.Done():
		}
	}
	if err != nil {
		log.WithFields(log.Fields{"node": forwarder.settings.Node, "line": exchange.sessionName, "query": exchange.Name, "error": err.Error()}).Warn("turn_not_committed")
		return errors.Join(errNoRetry, &apierror.Error{Kind: apierror.Unknown, Message: "the turn ran, but could not be kept", Remedy: "ask anew"})
	}
	return nil
}
