package forwarding

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/sessionlog"
)

// maxBufferedResponseBytes is the length up to which a plain response is read completely
// before any of it is relayed, so that another runner can be tried if it breaks off.
const maxBufferedResponseBytes = 256 << 10

// streamState is what was relayed of a stream so far, over all attempts.
type streamState struct {
	// started is set once the head of a response, plain or not, was sent to the caller.
	started     bool
	lastEventID string
	// lastEventNumber is lastEventID as a number.
	lastEventNumber int64
	// output is the data of the events, each with a line feed, if the history is stored.
	output []byte
	tokens uint64
	// complete is set once the runner's response ended completely.
	complete bool
	// runner is the incarnation of the runner whose first event came last, and promptTokens
	// the length of the prompt that it has read then.
	runner       string
	promptTokens int
}

// cachedTokens returns how many tokens of the conversation the runner has read or put out.
func (stream *streamState) cachedTokens() uint64 {
	if stream.runner == "" {
		return 0
	}
	return uint64(stream.promptTokens) + stream.tokens
}

// notRunStatuses are the statuses by which a front promises that a request did not run and
// never will.
var notRunStatuses = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// relay sends an attempt's response to the caller and says what it shows of the runner.
func (attempts *attemptSet) relay(attempt *attempt) (balancer.Outcome, error) {
	if attempts.exchange.isEventStream(attempt.response) {
		stream := &attempts.exchange.stream
		first := func() {
			attempt.lease.FirstEvent(time.Since(attempt.startedAt))
			stream.runner, stream.promptTokens = attempt.lease.Incarnation(), attempt.lease.PromptTokens()
		}
		return attempts.forwarder.relayStream(attempts.context, attempts.exchange, attempt.response, tokensPerEvent(attempt.lease.Service), first)
	}
	return attempts.forwarder.relayBuffered(attempts.context, attempts, attempt)
}

// isEventStream reports whether a response is a stream of server-sent events that the
// route expects.
func (exchange *exchange) isEventStream(response *runnerpool.Response) bool {
	if exchange.route.Kind != config.Streaming || response.Status != http.StatusOK {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// relayBuffered relays a plain response. Up to maxBufferedResponseBytes it is read before
// the caller gets any of it; the rest of a longer one is copied as it comes.
func (forwarder *Forwarder) relayBuffered(ctx context.Context, attempts *attemptSet, attempt *attempt) (balancer.Outcome, error) {
	exchange, response := attempts.exchange, attempt.response
	if exchange.stream.started {
		return balancer.Failed, runnerFailure("a stream was to go on, but the runner answered " + strconv.Itoa(response.Status))
	}
	outcome := balancer.Answered
	if response.Status >= http.StatusInternalServerError {
		outcome = balancer.Failed
	}
	if notRunStatuses[response.Status] {
		// The runner did not vouch for it, so it can't be relayed as a promise.
		exchange.mayHaveRun = true
		return outcome, runnerFailure("the runner answered " + strconv.Itoa(response.Status) + " without a vouch")
	}
	data, err := io.ReadAll(io.LimitReader(response, maxBufferedResponseBytes))
	exchange.watch.end(StageFirstEvent)
	if err != nil {
		exchange.mayHaveRun = true
		return balancer.Lost, err
	}
	if outcome == balancer.Failed && exchange.idempotent() && (exchange.hasAttemptLeft() || len(attempts.inFlight) > 0) {
		exchange.mayHaveRun = true
		return outcome, runnerFailure("the runner answered " + strconv.Itoa(response.Status))
	}
	turnOutcome, err := forwarder.commitPlainTurn(ctx, exchange, response.Status)
	if err != nil {
		return outcome, err
	}
	if failed, err := exchange.writeBuffered(response, data); err != nil {
		return failed, err
	}
	if ctx.Err() == nil {
		attempt.lease.FirstEvent(time.Since(attempt.startedAt))
	}
	if !exchange.stream.complete {
		forwarder.endTurnInBackground(exchange, turnOutcome)
	}
	return outcome, nil
}

// commitPlainTurn commits the end of a turn that was answered without a stream, if the
// caller must wait for that, and returns the outcome to record.
func (forwarder *Forwarder) commitPlainTurn(ctx context.Context, exchange *exchange, status int) (string, error) {
	if status >= http.StatusMultipleChoices {
		return sessionlog.OutcomeCut, nil
	}
	// A success without events says nothing about tokens, so it counts as the maximum.
	exchange.stream.tokens = exchange.MaxOutputTokens
	if exchange.route.StoresHistory {
		if err := forwarder.commitCompleteTurn(ctx, exchange); err != nil {
			exchange.mayHaveRun = true
			return "", err
		}
	}
	return sessionlog.OutcomeComplete, nil
}

// writeBuffered writes the head of a plain response, its buffered beginning and, if that
// is not all, the rest to the caller. On an error it returns what that shows of the runner.
func (exchange *exchange) writeBuffered(response *runnerpool.Response, data []byte) (balancer.Outcome, error) {
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
	return balancer.Answered, nil
}

// copyTarget is an io.Writer on a ResponseWriter.
type copyTarget struct{ ResponseWriter }

// Write writes all data or fails.
func (target copyTarget) Write(data []byte) (int, error) {
	return len(data), target.ResponseWriter.Write(data)
}

// runnerFailure makes the error for a runner's response that can't be relayed.
func runnerFailure(message string) error {
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: message, Remedy: "see the runner's own log", Lost: true}
}

// relayStream relays events as they come, and the end only once a turn whose history is
// stored is committed. On a resumed stream it leaves out the events that the caller has.
// first is called at the first event, perEvent is how many tokens an event has.
func (forwarder *Forwarder) relayStream(ctx context.Context, exchange *exchange, response *runnerpool.Response, perEvent uint64, first func()) (balancer.Outcome, error) {
	exchange.mayHaveRun = true
	events := runnerpool.NewEventReader(response)
	if err := exchange.beginStream(response); err != nil {
		return balancer.Cancelled, err
	}
	resumed := exchange.stream.lastEventID != ""
	for isFirst := true; ; isFirst = false {
		event, err := events.Next()
		// Only a complete response ends so: no other error of runnerpool is, or wraps, io.EOF.
		if errors.Is(err, io.EOF) {
			return balancer.Answered, forwarder.commitCompleteTurn(ctx, exchange)
		}
		if err != nil {
			if ctx.Err() != nil {
				return balancer.Cancelled, err
			}
			return balancer.Lost, err
		}
		if isFirst {
			exchange.watch.end(StageFirstEvent)
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

// beginStream writes the head of a stream to the caller, unless an earlier attempt did.
func (exchange *exchange) beginStream(response *runnerpool.Response) error {
	if exchange.stream.started {
		return nil
	}
	if exchange.idempotent() {
		delete(response.Header, "Content-Length") // another runner may continue the stream
	}
	if err := exchange.writer.Begin(response.Status, response.Header); err != nil {
		return errors.Join(errNoRetry, err)
	}
	exchange.stream.started = true
	return nil
}

// parseEventNumber returns an event's id as a number, if it is one.
func parseEventNumber(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	return number, err == nil
}

// tokensPerEvent returns how many tokens one event of a service's runners has; 1 if the
// configuration does not say.
func tokensPerEvent(service *config.Service) uint64 {
	if service == nil || service.Engine == nil {
		return 1
	}
	return max(service.Engine.TokensPerEvent, 1)
}
