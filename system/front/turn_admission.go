package front

import (
	"context"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
)

// checkFollowed returns an error unless the turn to follow is complete.
func checkFollowed(request *request) error {
	followed, found := request.history.Turn(request.follows)
	switch {
	case !found:
		return apierror.New(apierror.NotFound, "the conversation has no turn "+strconv.FormatUint(request.follows, 10), "read the history and name one of its turns")
	case followed.Ended == nil:
		return apierror.NewRetryable(apierror.Conflict, "the turn to follow has not ended", "tail it until it ends", time.Second)
	case !followed.Complete():
		return apierror.New(apierror.Conflict, "the turn to follow ended as "+followed.Ended.Outcome, "follow the last complete turn before it")
	}
	return nil
}

// checkTurn decides whether a turn may start: the turn it follows must be complete, and no
// other turn may follow that one. A repeated request is answered with the stream of the
// existing turn. Each attempt to follow the same turn has a producer of its own, so that
// another attempt can follow one that was fenced or closed without a complete answer.
func checkTurn(ctx context.Context, node *Node, request *request) (any, error) {
	if request.follows > 0 {
		if err := checkFollowed(request); err != nil {
			return nil, err
		}
	}
	for attempt := 0; ; attempt++ {
		request.producer = request.program + "/turn/" + strconv.FormatUint(request.follows, 10) + "#" + strconv.Itoa(attempt)
		startEvent, found := request.history.StartByProducer(request.producer)
		if !found {
			return nil, nil
		}
		answer, allowsNext, err := checkEarlierAttempt(ctx, node, request, startEvent)
		if !allowsNext {
			return answer, err
		}
	}
}

// checkEarlierAttempt decides what a recorded attempt to follow the same turn means for this
// request: it allows the next attempt, or the request ends with the answer or the error.
func checkEarlierAttempt(ctx context.Context, node *Node, request *request, startEvent sessionlog.Event) (answer any, allowsNext bool, err error) {
	sameDigest := startEvent.Digest == request.digest()
	sameKey := sameDigest && request.idempotencyKey != ""
	if startEvent.Kind == sessionlog.Fenced {
		if sameKey {
			return nil, false, request.fencedEarlierError()
		}
		return nil, true, nil
	}
	turn, _ := request.history.Turn(startEvent.Seq)
	if turn.Overdue(request.history.Clock) || (turn.Ended == nil && node.ownerPresumedDead(ctx, startEvent)) {
		if err := node.closeOverdueRun(ctx, request.sessionName(), startEvent, sessionlog.OutcomeInterrupted); err != nil {
			return nil, false, asNotRun(err)
		}
		answer, err := rereadAndCheckTurn(ctx, node, request)
		return answer, false, err
	}
	switch {
	case turn.Ended != nil && turn.Ended.Outcome == sessionlog.OutcomeNotRun && sameKey:
		return nil, false, request.recordedNotRunError("the turn did not run: " + turn.Ended.Name)
	case turn.Ended != nil && !turn.Complete():
		return nil, true, nil
	case sameDigest:
		return node.tail(request.sessionName(), request.conversation, startEvent.Seq-1, startEvent.Seq), false, nil
	}
	return nil, false, apierror.New(apierror.Conflict,
		"another turn ("+strconv.FormatUint(startEvent.Seq, 10)+") already follows turn "+strconv.FormatUint(request.follows, 10),
		"read the history and follow its last complete turn")
}

// recordedNotRunError returns the NotRun error for an idempotency key under which, as the session
// log proves, nothing ran and nothing will.
func (request *request) recordedNotRunError(message string) error {
	request.provenNotRun = true
	return apierror.NewRetryable(apierror.NotRun, message, "retry with a new query_key", time.Second)
}

// fencedEarlierError is recordedNotRunError for a key that an earlier request fenced.
func (request *request) fencedEarlierError() error {
	return request.recordedNotRunError("an earlier request with this query_key was rejected, and the key is fenced")
}

// rereadAndCheckTurn reads the session again and repeats checkTurn.
func rereadAndCheckTurn(ctx context.Context, node *Node, request *request) (any, error) {
	if answer, err := readSession(ctx, node, request); answer != nil || err != nil {
		return answer, err
	}
	return checkTurn(ctx, node, request)
}

// maxStartAttempts bounds the attempts to record a start while others append to the session.
const maxStartAttempts = 4

// recordTurnStart records the start of a turn. If the session has grown since it was read, by
// another turn, a tool call or a helper, checkTurn decides again whether the turn may start.
func recordTurnStart(ctx context.Context, node *Node, request *request) (any, error) {
	for attempt := 1; ; attempt++ {
		other, err := node.recordStart(ctx, request, sessionlog.Event{Kind: sessionlog.TurnBegun}, atReadHead)
		if other == nil && !apierror.Is(err, apierror.Conflict) {
			return nil, err
		}
		answer, checkErr := rereadAndCheckTurn(ctx, node, request)
		if checkErr != nil || answer != nil {
			return answer, checkErr
		}
		if attempt == maxStartAttempts {
			return nil, apierror.NewRetryable(apierror.NotRun, "other requests kept changing the conversation while this turn was to start", "retry", time.Second)
		}
	}
}
