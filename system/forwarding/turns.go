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
	// beginTurnShare is the share of its whole time after which a turn no longer waits for
	// its record: what can't be sent to a runner by then is rejected, so that the caller
	// has time left to ask elsewhere.
	beginTurnShare = 0.45
	// minBeginTurnTimeout and maxBeginTurnTimeout bound the wait for the record.
	minBeginTurnTimeout = 100 * time.Millisecond
	maxBeginTurnTimeout = 2500 * time.Millisecond
	// endTurnRetryInterval is the pause between two attempts to commit the end of a turn
	// while the caller waits for it.
	endTurnRetryInterval = 50 * time.Millisecond
	// backgroundEndTurnTimeout is how long the commit of an end is tried in the background.
	// Until the end is committed, the turn's whole reservation counts as used.
	backgroundEndTurnTimeout  = 20 * time.Second
	backgroundEndTurnInterval = 100 * time.Millisecond
	// turnLifetimeMargin is how much longer than its request a turn may stay open before
	// the stores close it.
	turnLifetimeMargin = 10 * time.Second
)

// isRecorded reports whether the request is a turn that uses a budget or whose history is
// stored.
func (exchange *exchange) isRecorded() bool {
	return exchange.route.Kind == config.Streaming && (exchange.HasOutputBudget || exchange.route.StoresHistory)
}

// beginTurn is the filter that reserves the turn's maximal output and records its begin,
// in one commit. For turns that bring only their new input, the reply has the history of
// the conversation, which is sent to the runner before the input.
func beginTurn(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	exchange.body = [][]byte{exchange.Body}
	if !exchange.isRecorded() {
		return false, nil
	}
	exchange.sessionName = sessionNameOf(exchange.Request)
	lifetime := time.Until(exchange.deadline) + turnLifetimeMargin
	ctx, cancel := context.WithTimeout(ctx, exchange.beginTurnTimeout())
	defer cancel()
	begun, err := forwarder.settings.TurnStore.BeginTurn(ctx, storeclient.Turn{
		SessionName: exchange.sessionName, Name: exchange.Name, Follows: exchange.Follows, Conversation: exchange.Session, Input: exchange.Body,
		KeepHistory: exchange.route.StoresHistory, Retention: time.Duration(exchange.route.Retention), PrefixScope: exchange.prefixScope(),
		HasTokenQuota: exchange.HasOutputBudget, MaxOutputTokens: exchange.MaxOutputTokens, TokenQuota: exchange.OutputBudget,
		DispatchID: forwarder.settings.Node, Lifetime: lifetime,
	})
	exchange.watch.end(StageBegin)
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

// beginTurnTimeout returns how long the turn may wait for its record from now on.
func (exchange *exchange) beginTurnTimeout() time.Duration {
	total := exchange.deadline.Sub(exchange.ReceivedAt)
	wait := time.Until(exchange.ReceivedAt.Add(time.Duration(float64(total) * beginTurnShare)))
	return min(max(wait, minBeginTurnTimeout), maxBeginTurnTimeout)
}

// prefixScope names the turns that the input may share a stored prefix with: those of the
// same route, if the configuration enables sharing; else "".
func (exchange *exchange) prefixScope() string {
	if !exchange.active.SharedPrefixes.Enabled {
		return ""
	}
	return exchange.route.Name
}

// sessionNameOf names the session log that records the turn: that of the request's program
// or session, or one of its own.
func sessionNameOf(request *Request) string {
	switch {
	case request.Program != "":
		return "program/" + request.Program
	case request.Session != "":
		return "session/" + request.Session
	}
	return "query/" + request.Name
}

// commitCompleteTurn commits that the turn was answered completely. The caller waits for
// that only if the history is stored: the next turn needs it. Else the end is committed in
// the background, and until then the whole reservation counts as used.
func (forwarder *Forwarder) commitCompleteTurn(ctx context.Context, exchange *exchange) error {
	if exchange.turn == nil {
		return nil
	}
	if !exchange.route.StoresHistory {
		forwarder.endTurnInBackground(exchange, sessionlog.OutcomeComplete)
		return nil
	}
	exchange.stream.complete = true
	exchange.watch.end(StageStream)
	defer exchange.watch.end(StageEnd)
	err := forwarder.endTurn(ctx, exchange, sessionlog.OutcomeComplete)
	for !isFinal(err) && ctx.Err() == nil {
		select {
		case <-time.After(endTurnRetryInterval):
			err = forwarder.endTurn(ctx, exchange, sessionlog.OutcomeComplete)
		case <-ctx.Done():
		}
	}
	if err != nil {
		log.WithFields(log.Fields{"node": forwarder.settings.Node, "session": exchange.sessionName, "request": exchange.Name, "error": err.Error()}).Warn("turn end not committed, response aborted")
		return errors.Join(errNoRetry, &apierror.Error{Kind: apierror.Unknown, Message: "the turn ran, but could not be kept", Remedy: "ask anew", Cause: err})
	}
	return nil
}

// recordUnansweredTurn records the end of a turn whose caller has no complete response.
func (forwarder *Forwarder) recordUnansweredTurn(exchange *exchange, cause error) {
	outcome := sessionlog.OutcomeCut
	if exchange.stream.complete {
		// Whether the complete end was committed is not known: only the same end again
		// can't contradict it.
		outcome = sessionlog.OutcomeComplete
	}
	if apierror.Is(cause, apierror.NotRun) && !exchange.stream.started {
		outcome = sessionlog.OutcomeNotRun
	}
	forwarder.endTurnInBackground(exchange, outcome)
}

// endTurn records how the turn ended and returns once that is committed.
func (forwarder *Forwarder) endTurn(ctx context.Context, exchange *exchange, outcome string) error {
	return forwarder.settings.TurnStore.EndTurn(ctx, storeclient.TurnEnd{
		SessionName: exchange.sessionName, Name: exchange.Name, Seq: exchange.turn.Seq, KeepHistory: exchange.route.StoresHistory,
		Output: exchange.stream.output, Tokens: exchange.stream.tokens, Outcome: outcome,
		Conversation: exchange.Session, Runner: exchange.stream.runner, CachedTokens: exchange.stream.cachedTokens(),
	})
}

// endTurnInBackground records how the turn ended without making the caller wait. It is
// tried until it is committed, or backgroundEndTurnTimeout or Close ends it.
func (forwarder *Forwarder) endTurnInBackground(exchange *exchange, outcome string) {
	if exchange.turn == nil {
		return
	}
	forwarder.turnCommits.Go(func() {
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

// isFinal reports whether another attempt to record an end would change nothing.
func isFinal(err error) bool {
	return err == nil || apierror.Is(err, apierror.NotFound) || apierror.Is(err, apierror.Conflict) || apierror.Is(err, apierror.Invalid)
}
