package front

import (
	"context"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
)

func checkFollowed(request *request) error {
	followed, found := request.history.Turn(request.follows)
	switch {
	case !found:
		return apierror.New(apierror.NotFound, "the conversation has no turn "+strconv.FormatUint(request.follows, 10), "read the history and name one of its turns")
	case followed.Ended == nil:
		return apierror.NewRetryable(apierror.Conflict, "the turn to follow has not ended", "tail it to its end first", time.Second)
	case !followed.Complete():
		return apierror.New(apierror.Conflict, "the turn to follow ended as "+followed.Ended.Outcome, "follow the last complete turn before it")
	}
	return nil
}

// checkTurn decides whether a turn may begin: the followed one must be complete,
// and no other may follow it. A repeat is answered with the turn that is there. Each
// attempt at one place has a producer of its own; one that was closed without an
// answer, or fenced off, makes room for the next.
func checkTurn(ctx context.Context, node *Node, request *request) (any, error) {
	if request.follows > 0 {
		if err := checkFollowed(request); err != nil {
			return nil, err
		}
	}
	for attempt := 0; ; attempt++ {
		request.producer = request.program + "/turn/" + strconv.FormatUint(request.follows, 10) + "#" + strconv.Itoa(attempt)
		begun, found := request.history.StartByProducer(request.producer)
		if !found {
			return nil, nil
		}
		same := begun.Digest == request.digest()
		if begun.Kind == sessionlog.Fenced {
			if same && request.idempotencyKey != "" {
				return nil, request.fencedEarlierError()
			}
			continue
		}
		turn, _ := request.history.Turn(begun.Seq)
		if turn.Overdue(request.history.Clock) || (turn.Ended == nil && node.ownerPresumedDead(ctx, begun)) {
			if err := node.closeOverdueRun(ctx, request.sessionName(), begun, sessionlog.OutcomeCut); err != nil {
				return nil, asNotRun(err)
			}
			return rereadAndCheckTurn(ctx, node, request)
		}
		switch {
		case turn.Ended != nil && turn.Ended.Outcome == sessionlog.OutcomeNotRun && same && request.idempotencyKey != "":
			return nil, request.recordedNotRun("this turn did not run: " + turn.Ended.Name)
		case turn.Ended != nil && !turn.Complete():
			continue
		case same:
			return node.tail(request.sessionName(), request.conversation, begun.Seq-1, begun.Seq), nil
		}
		return nil, apierror.New(apierror.Conflict, "another turn ("+strconv.FormatUint(begun.Seq, 10)+") already follows turn "+strconv.FormatUint(request.follows, 10), "read the history and follow its last complete turn")
	}
}

// recordedNotRun tells what the record proves: nothing ran, and nothing will, under this
// query key.
func (request *request) recordedNotRun(message string) error {
	request.provenNotRun = true
	return apierror.NewRetryable(apierror.NotRun, message, "send it under a new query key", time.Second)
}

func (request *request) fencedEarlierError() error {
	return request.recordedNotRun("an earlier query under this query key was refused, and the key fenced off")
}

// rereadAndCheckTurn rereads the line and decides anew.
func rereadAndCheckTurn(ctx context.Context, node *Node, request *request) (any, error) {
	if answer, err := readSession(ctx, node, request); answer != nil || err != nil {
		return answer, err
	}
	return checkTurn(ctx, node, request)
}

const maxBeginAttempts = 4

// beginTurn records the begin. When the line went on meanwhile, by a tool, a helper
// or another turn, it looks anew what that means for this one.
func beginTurn(ctx context.Context, node *Node, request *request) (any, error) {
	for attempt := 1; ; attempt++ {
		other, err := node.recordBegin(ctx, request, sessionlog.Event{Kind: sessionlog.TurnBegun}, true)
		if other == nil && !apierror.Is(err, apierror.Conflict) {
			return nil, err
		}
		answer, checked := rereadAndCheckTurn(ctx, node, request)
		if checked != nil || answer != nil {
			return answer, checked
		}
		if attempt == maxBeginAttempts {
			return nil, apierror.NewRetryable(apierror.NotRun, "the conversation goes on faster than this turn can join it", "ask again", time.Second)
		}
	}
}
