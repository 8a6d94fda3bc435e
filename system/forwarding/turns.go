package forwarding

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
)

const (
	// beginTurnFraction is the fraction of the request's total time within which the start
	// of a turn must be recorded. After that the request is rejected, so that the client has
	// time left to retry elsewhere.
	beginTurnFraction = 0.45
	// minBeginTurnTimeout and maxBeginTurnTimeout bound the resulting timeout.
	minBeginTurnTimeout = 100 * time.Millisecond
	maxBeginTurnTimeout = 2500 * time.Millisecond
	// endTurnRetryInterval is the delay between attempts to commit the end of a turn while
	// the client waits for it.
	endTurnRetryInterval = 50 * time.Millisecond
	// backgroundEndTurnTimeout is how long a commit of a turn end is retried in the
	// background. Until it succeeds, the turn's whole reservation counts as used.
	backgroundEndTurnTimeout       = 20 * time.Second
	backgroundEndTurnRetryInterval = 100 * time.Millisecond
	// turnLifetimeMargin is how long after its request's deadline a turn may stay open
	// before the stores close it.
	turnLifetimeMargin = 10 * time.Second
)

// isRecorded reports whether the request is a turn with an output budget or stored history.
func (exchange *exchange) isRecorded() bool {
	return exchange.route.Kind == config.Streaming && (exchange.HasOutputBudget || exchange.usesHistory())
}

// usesHistory reports whether the request contains only the new input of a turn, and the stores have
// the conversation before it: on a route that stores history, and on every route if the request
// continues a turn, as its client leaves the conversation to the stores.
func (exchange *exchange) usesHistory() bool {
	return exchange.route.StoresHistory || exchange.Follows != ""
}

// savesHistory reports whether the turn's data is stored, so that others may continue it. That of a
// response which the client had resumed after an event isn't: the events before it are missing.
func (exchange *exchange) savesHistory() bool {
	return exchange.usesHistory() && exchange.LastEventID == ""
}

// beginTurn is the filter that reserves the turn's maximum output and records its start, in
// one commit. If the stores have the history, they return that of the conversation, which
// is sent to the runner before the turn's own input.
func beginTurn(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	exchange.body = [][]byte{exchange.Body}
	if !exchange.isRecorded() {
		return false, nil
	}
	exchange.sessionName = exchange.tenantScope() + sessionNameOf(exchange.Request)
	lifetime := time.Until(exchange.deadline) + turnLifetimeMargin
	ctx, cancel := context.WithTimeout(ctx, exchange.beginTurnTimeout())
	defer cancel()
	begun, err := forwarder.settings.TurnStore.BeginTurn(ctx, storeclient.Turn{
		SessionName: exchange.sessionName, Name: exchange.ID, Scope: exchange.tenantScope(), Follows: exchange.Follows, Conversation: exchange.Session, Input: exchange.Body,
		KeepHistory: exchange.usesHistory(), Retention: time.Duration(exchange.route.Retention), PrefixScope: exchange.prefixScope(),
		HasTokenQuota: exchange.HasOutputBudget, MaxOutputTokens: exchange.MaxOutputTokens, TokenQuota: exchange.OutputBudget,
		DispatchID: forwarder.newDispatch(), Lifetime: lifetime,
	})
	exchange.timer.end(StageBeginTurn)
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

// beginTurnTimeout returns the remaining time for recording the start of the turn.
func (exchange *exchange) beginTurnTimeout() time.Duration {
	total := exchange.deadline.Sub(exchange.ReceivedAt)
	wait := time.Until(exchange.ReceivedAt.Add(time.Duration(float64(total) * beginTurnFraction)))
	return min(max(wait, minBeginTurnTimeout), maxBeginTurnTimeout)
}

// prefixScope identifies the turns that the input may share a stored prefix with: those of
// the same tenant and route if the configuration enables sharing, otherwise "", which means none.
func (exchange *exchange) prefixScope() string {
	if !exchange.current.SharedPrefixes.Enabled {
		return ""
	}
	return sessionlog.PrefixScope(nameOf(exchange.tenant), exchange.route.Name)
}

// sessionNameOf returns the name of the session log that records the turn: that of the
// request's program or session, otherwise one for this request alone.
func sessionNameOf(request *Request) string {
	switch {
	case request.Program != "":
		return sessionlog.ProgramPrefix + request.Program
	case request.Session != "":
		return sessionlog.ConversationPrefix + request.Session
	}
	return sessionlog.RequestPrefix + request.ID
}

// commitCompleteTurn commits the complete end of the turn. The client waits for the commit
// only if the history is stored, as the next turn needs it. Otherwise the commit runs in the
// background, and the whole reservation counts as used until it succeeds.
func (forwarder *Forwarder) commitCompleteTurn(ctx context.Context, exchange *exchange) error {
	if exchange.turn == nil {
		return nil
	}
	if !exchange.savesHistory() {
		forwarder.endTurnInBackground(exchange, sessionlog.OutcomeComplete)
		return nil
	}
	exchange.stream.complete = true
	exchange.timer.end(StageStream)
	defer exchange.timer.end(StageEndTurn)
	err := forwarder.endTurn(ctx, exchange, sessionlog.OutcomeComplete)
	for !isFinal(err) && ctx.Err() == nil {
		select {
		case <-time.After(endTurnRetryInterval):
			err = forwarder.endTurn(ctx, exchange, sessionlog.OutcomeComplete)
		case <-ctx.Done():
		}
	}
	if err != nil {
		log.WithFields(log.Fields{"node": forwarder.settings.Node, "session": exchange.sessionName, "request": exchange.ID, "error": err.Error()}).Warn("could not commit the turn end; aborting the response")
		return errors.Join(errNoRetry, &apierror.Error{Kind: apierror.Unknown, Message: "the turn ran, but its end could not be committed", Remedy: "send a new request", Cause: err})
	}
	return nil
}

// recordUnansweredTurn records the end of a turn whose client got no complete response.
func (forwarder *Forwarder) recordUnansweredTurn(exchange *exchange, cause error) {
	outcome := sessionlog.OutcomeInterrupted
	if exchange.stream.complete {
		// The complete end may already be committed, so the same outcome is sent again:
		// any other would conflict with it.
		outcome = sessionlog.OutcomeComplete
	}
	if apierror.Is(cause, apierror.NotRun) && !exchange.stream.started {
		outcome = sessionlog.OutcomeNotRun
	}
	forwarder.endTurnInBackground(exchange, outcome)
}

// endTurn makes one attempt to commit the end of the turn.
func (forwarder *Forwarder) endTurn(ctx context.Context, exchange *exchange, outcome string) error {
	return forwarder.settings.TurnStore.EndTurn(ctx, storeclient.TurnEnd{
		SessionName: exchange.sessionName, Name: exchange.ID, Seq: exchange.turn.Seq, KeepHistory: exchange.savesHistory(),
		Output: exchange.stream.output, Tokens: exchange.stream.tokens, Outcome: outcome,
		Conversation: exchange.Session, Runner: exchange.stream.runner, CachedTokens: exchange.stream.cachedTokens(),
	})
}

// endTurnInBackground records the end of the turn without making the client wait. It
// retries until the result is final, backgroundEndTurnTimeout passes or Close is called.
func (forwarder *Forwarder) endTurnInBackground(exchange *exchange, outcome string) {
	if exchange.turn == nil {
		return
	}
	forwarder.turnCommits.Go(func() {
		ctx, cancel := context.WithTimeout(forwarder.context, backgroundEndTurnTimeout)
		defer cancel()
		for ctx.Err() == nil && !isFinal(forwarder.endTurn(ctx, exchange, outcome)) {
			select {
			case <-time.After(backgroundEndTurnRetryInterval):
			case <-ctx.Done():
			}
		}
	})
}

// isFinal reports whether a result of endTurn is final, so that a retry cannot change it.
func isFinal(err error) bool {
	return err == nil || apierror.Is(err, apierror.NotFound) || apierror.Is(err, apierror.Conflict) || apierror.Is(err, apierror.Invalid)
}
