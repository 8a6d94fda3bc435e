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

// maxBufferedResponseBytes is the length up to which a non-streaming response is read
// completely before any of it is relayed, so that another runner can be tried if the
// connection fails.
const maxBufferedResponseBytes = 256 << 10

// streamState is the progress of the response relayed to the client, over all attempts.
type streamState struct {
	// started is set once the head of any response, streaming or not, was sent to the client.
	started     bool
	lastEventID string
	// lastEventNumber is lastEventID as a number.
	lastEventNumber int64
	// output is the data of the events, each followed by a line feed. It is kept only if the
	// history is stored.
	output []byte
	tokens uint64
	// complete is set before the complete end of a turn with stored history is committed.
	complete bool
	// runner is the incarnation of the runner that sent a first event most recently, and
	// promptTokens the length of the prompt that it had processed by then.
	runner       string
	promptTokens int
}

// cachedTokens returns how many tokens of the conversation the runner has processed or
// generated.
func (stream *streamState) cachedTokens() uint64 {
	if stream.runner == "" {
		return 0
	}
	return uint64(stream.promptTokens) + stream.tokens
}

// notRunStatuses are the statuses that guarantee to the client that the request did not run
// and never will.
var notRunStatuses = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}

// relay sends an attempt's response to the client. It returns the outcome for the balancer.
func (attempts *attemptSet) relay(attempt *attempt) (balancer.Outcome, error) {
	if attempts.exchange.isEventStream(attempt.response) {
		stream := &attempts.exchange.stream
		onFirstEvent := func() {
			attempt.lease.FirstEvent(time.Since(attempt.startedAt))
			stream.runner, stream.promptTokens = attempt.lease.Incarnation(), attempt.lease.PromptTokens()
		}
		return attempts.forwarder.relayStream(attempts.context, attempts.exchange, attempt.response, tokensPerEvent(attempt.lease.Service), onFirstEvent)
	}
	return attempts.forwarder.relayBuffered(attempts.context, attempts, attempt)
}

// isEventStream reports whether the route is a streaming one and the response a successful stream of
// server-sent events. Malformed parameters of its type do not matter.
func (exchange *exchange) isEventStream(response *runnerpool.Response) bool {
	if exchange.route.Kind != config.Streaming || !isSuccess(response.Status) {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return mediaType == "text/event-stream" && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// isSuccess reports whether a final status is one of success.
func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// relayBuffered relays a non-streaming response. The first maxBufferedResponseBytes are read
// before any of it is sent to the client; the rest is copied as it arrives.
func (forwarder *Forwarder) relayBuffered(ctx context.Context, attempts *attemptSet, attempt *attempt) (balancer.Outcome, error) {
	exchange, response := attempts.exchange, attempt.response
	if exchange.stream.started {
		return balancer.Failed, runnerFailure("the stream could not be resumed: the runner responded with status " + strconv.Itoa(response.Status))
	}
	outcome := balancer.Answered
	if response.Status >= http.StatusInternalServerError {
		outcome = balancer.Failed
	}
	if notRunStatuses[response.Status] {
		// The runner did not confirm that the request did not run, so a status that guarantees
		// it must not be relayed.
		exchange.mayHaveRun = true
		return outcome, runnerFailure("the runner responded with status " + strconv.Itoa(response.Status) + " without confirming that the request did not run")
	}
	data, err := io.ReadAll(io.LimitReader(response, maxBufferedResponseBytes))
	exchange.timer.end(StageFirstEvent)
	if err != nil {
		exchange.mayHaveRun = true
		return balancer.Lost, err
	}
	if outcome == balancer.Failed && exchange.idempotent() && (exchange.hasAttemptLeft() || len(attempts.inFlight) > 0) {
		exchange.mayHaveRun = true
		return outcome, runnerFailure("the runner responded with status " + strconv.Itoa(response.Status))
	}
	turnOutcome, err := forwarder.commitBufferedTurn(ctx, exchange, response.Status)
	if err != nil {
		return outcome, err
	}
	if err := forwarder.recordResponse(ctx, exchange, response.Status, response.Header, data, len(data) < maxBufferedResponseBytes); err != nil {
		return outcome, err
	}
	if writeOutcome, err := exchange.writeBuffered(response, data); err != nil {
		return writeOutcome, err
	}
	if ctx.Err() == nil {
		attempt.lease.FirstEvent(time.Since(attempt.startedAt))
	}
	if !exchange.stream.complete {
		forwarder.endTurnInBackground(exchange, turnOutcome)
	}
	return outcome, nil
}

// commitBufferedTurn commits the end of a turn with a non-streaming response if the client
// must wait for the commit. It returns the outcome to record.
func (forwarder *Forwarder) commitBufferedTurn(ctx context.Context, exchange *exchange, status int) (string, error) {
	if !isSuccess(status) {
		return sessionlog.OutcomeInterrupted, nil
	}
	// Without events the number of generated tokens is unknown, so the maximum is counted.
	exchange.stream.tokens = exchange.MaxOutputTokens
	if exchange.savesHistory() {
		if err := forwarder.commitCompleteTurn(ctx, exchange); err != nil {
			exchange.mayHaveRun = true
			return "", err
		}
	}
	return sessionlog.OutcomeComplete, nil
}

// writeBuffered writes the head of a non-streaming response, its buffered data and any
// remaining data to the client. It returns the outcome for the balancer.
func (exchange *exchange) writeBuffered(response *runnerpool.Response, data []byte) (balancer.Outcome, error) {
	if err := exchange.writer.Begin(response.Status, response.Header); err != nil {
		return balancer.Cancelled, errors.Join(errNoRetry, err)
	}
	exchange.stream.started = true
	if err := exchange.writer.Write(data); err != nil {
		return balancer.Cancelled, errors.Join(errNoRetry, err)
	}
	if len(data) == maxBufferedResponseBytes {
		if _, err := io.Copy(bodyWriter{exchange.writer}, response); err != nil {
			return balancer.Lost, errors.Join(errNoRetry, err)
		}
	}
	return balancer.Answered, nil
}

// bodyWriter adapts a ResponseWriter to io.Writer.
type bodyWriter struct{ ResponseWriter }

// Write implements io.Writer.
func (writer bodyWriter) Write(data []byte) (int, error) {
	return len(data), writer.ResponseWriter.Write(data)
}

// runnerFailure returns the error for a response that cannot be relayed.
func runnerFailure(message string) error {
	return &apierror.Error{Kind: apierror.RunnerFailure, Message: message, Remedy: "check the runner's log", Lost: true}
}

// relayStream relays events as they arrive. If the history is stored, the stream ends for the
// client only after the turn end is committed, however the runner frames it. On a resumed stream,
// events that the client already received are skipped. onFirstEvent is called on the runner's first
// event; eventTokens is the number of tokens per event.
func (forwarder *Forwarder) relayStream(ctx context.Context, exchange *exchange, response *runnerpool.Response, eventTokens uint64, onFirstEvent func()) (balancer.Outcome, error) {
	exchange.mayHaveRun = true
	events := runnerpool.NewEventReader(response)
	if err := exchange.beginStream(response); err != nil {
		return balancer.Cancelled, err
	}
	resumed := exchange.stream.lastEventID != ""
	for isFirst := true; ; isFirst = false {
		event, err := events.Next()
		// Only a complete response ends with io.EOF: no other runnerpool error wraps it.
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
			exchange.timer.end(StageFirstEvent)
			onFirstEvent()
		}
		number, numbered := parseEventNumber(event.ID)
		if resumed && numbered && number <= exchange.stream.lastEventNumber {
			continue
		}
		// Tokens count as generated whether or not the client receives them.
		if event.HasData {
			exchange.stream.tokens += eventTokens
			if exchange.savesHistory() {
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

// beginStream writes the response head of a stream to the client, unless an earlier attempt
// did. The stream has no length, so that only its end shows that it is complete.
func (exchange *exchange) beginStream(response *runnerpool.Response) error {
	if exchange.stream.started {
		return nil
	}
	// With a length the client would have the whole answer with its last event: before the end of the
	// turn is committed, and even if the stream is broken off and another runner continues it.
	delete(response.Header, "Content-Length")
	if err := exchange.writer.Begin(response.Status, response.Header); err != nil {
		return errors.Join(errNoRetry, err)
	}
	exchange.stream.started = true
	return nil
}

// parseEventNumber parses an event ID as a number. It returns false if it is not numeric.
func parseEventNumber(text string) (int64, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	return number, err == nil
}

// tokensPerEvent returns the number of tokens per event of a service's runners, 1 if not
// configured.
func tokensPerEvent(service *config.Service) uint64 {
	if service == nil || service.Engine == nil {
		return 1
	}
	return max(service.Engine.TokensPerEvent, 1)
}
