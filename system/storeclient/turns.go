package storeclient

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

// Turn is a turn of a program to begin.
type Turn struct {
	// SessionName is the session that records the turn. Name identifies the turn in the whole
	// fleet and makes its begin idempotent.
	SessionName string
	Name        string
	// Scope identifies the sessions in which the turn to continue may be (sessionlog.InScope); ""
	// means those without a tenant.
	Scope string
	// Follows is the name of the turn that this one continues; "" starts a conversation.
	Follows string
	// Conversation is the conversation of the program to which the turn belongs; it may be "".
	Conversation string
	// Input is the data that the turn adds to the history. It is stored, for the turns that
	// follow, only with KeepHistory.
	Input       []byte
	KeepHistory bool
	// PrefixScope is the scope within which inputs may share a stored prefix; "" disables
	// sharing.
	PrefixScope string
	// Retention is how long the turn is stored after it has ended.
	Retention time.Duration
	// HasTokenQuota is set if the turn's output counts against TokenQuota, the limit on the
	// output tokens of all turns of the session. MaxOutputTokens is reserved from it.
	HasTokenQuota   bool
	MaxOutputTokens uint64
	TokenQuota      uint64
	// DispatchID identifies the only attempt that may run the turn.
	DispatchID string
	// Lifetime is how long the turn may stay open before the stores close it.
	Lifetime time.Duration
}

// BegunTurn is the result of BeginTurn, a turn whose begin is committed.
type BegunTurn struct {
	// Seq is the sequence number of the begin event in the session.
	Seq uint64
	// History is the data of the turns that it follows, oldest first: the input, then the output
	// of each.
	History []byte
	// Runner is the incarnation of the runner that last served the conversation, CachedTokens the
	// number of its tokens that the runner had processed then; "" and 0 if unknown.
	Runner       string
	CachedTokens uint64
}

// TurnEnd describes how a turn ended.
type TurnEnd struct {
	SessionName string
	Name        string
	Seq         uint64
	// Output is the data of the response events, each followed by a line feed. It is stored
	// only with KeepHistory and a complete outcome.
	Output []byte
	// Tokens is the number of output tokens, whether or not the caller received them.
	Tokens uint64
	// Outcome is one of the Outcome constants of package sessionlog. Without KeepHistory,
	// OutcomeComplete is recorded as OutcomeUnsaved.
	Outcome     string
	KeepHistory bool
	// Conversation is as in Turn. Runner is the incarnation of the runner that responded, or ""
	// if none began to. CachedTokens is the number of tokens of the conversation that the runner
	// has processed.
	Conversation string
	Runner       string
	CachedTokens uint64
}

const (
	// minSessionRetention is the minimum retention of a program's session, so that its quota
	// usage is not lost while the program runs.
	minSessionRetention = 10 * time.Minute
	// shortRetryAfter is the retry delay after a conflict with another turn, retryAfter that
	// after the stores did not respond in time.
	shortRetryAfter = 200 * time.Millisecond
	retryAfter      = 500 * time.Millisecond
	// fenceTimeout bounds the background attempt to close a turn whose begin has an unknown outcome.
	fenceTimeout = 5 * time.Second
	// beginProducerSeq and endProducerSeq are the producer sequence numbers of a turn's begin
	// and end. Each turn is the producer of these two commands, which are thereby idempotent.
	beginProducerSeq = 1
	endProducerSeq   = 2
)

// BeginTurn reserves a turn's maximum output and records its begin, in one commit.
//
// Error kinds: NotFound means that there is no complete turn named Follows, or that its data or that
// of a turn before it was not saved; QuotaExhausted that the quota does not allow the turn; Conflict
// that another dispatch began the turn; Invalid that the turn has no name or follows itself; NotRun
// that the turn did not begin but may be retried. In the last case, a begin that was committed after
// all is not used and is closed in the background.
//
//	begun, err := client.BeginTurn(ctx, storeclient.Turn{SessionName: "program/3fa81c", Name: "9c41d07b", Input: body, KeepHistory: true, Retention: time.Minute, DispatchID: "front-1/7", Lifetime: time.Minute})
func (client *Client) BeginTurn(ctx context.Context, turn Turn) (*BegunTurn, error) {
	command := sessionlog.Command{
		Kind: sessionlog.BeginTurn, Producer: turn.Name, ProducerSeq: beginProducerSeq,
		Follows: turn.Follows, Conversation: turn.Conversation, Dispatch: turn.DispatchID, KeepData: turn.KeepHistory, Retention: max(turn.Retention, minSessionRetention),
		HasQuota: turn.HasTokenQuota, Tokens: turn.MaxOutputTokens, Quota: turn.TokenQuota, Lifetime: turn.Lifetime,
	}
	if turn.KeepHistory {
		command.Scope = turn.PrefixScope
		command.Data = turn.Input
	}
	for {
		result, history, err := client.commitTurn(ctx, turn.SessionName, command)
		if apierror.Is(err, apierror.OutcomeUnknown) {
			go client.fenceTurn(turn)
		}
		if err != nil {
			return nil, apierror.WrapRetryable(err, apierror.NotRun, "the turn could not begin in time: "+apierror.Of(err).Message, "retry", retryAfter)
		}
		switch result.Status {
		case sessionlog.Done:
			if turn.Follows != "" && len(history) == 0 {
				// Stores of an earlier version let a turn continue one whose data was not saved.
				go client.fenceTurn(turn)
				return nil, unknownTurnError()
			}
			return &BegunTurn{Seq: result.Seq, History: history, Runner: result.Runner, CachedTokens: result.CachedTokens}, nil
		case sessionlog.UnknownTurn:
			if len(command.Adopted) > 0 {
				return nil, apierror.NewRetryable(apierror.NotRun, "the turn to continue could not be adopted from its session", "retry", retryAfter)
			}
			if command.Adopted, err = client.findTurn(ctx, wire.FindTurnQuery{Scope: turn.Scope, Name: turn.Follows}); err != nil {
				return nil, err
			}
		default:
			if newError, known := beginErrors[result.Status]; known {
				return nil, newError()
			}
			// A store of a later version may return statuses that this version does not know.
			return nil, malformedReplyError()
		}
	}
}

// beginErrors maps the statuses of a rejected begin to the errors of BeginTurn.
var beginErrors = map[sessionlog.Status]func() error{
	sessionlog.QuotaExceeded: func() error {
		return apierror.New(apierror.QuotaExhausted, "the program's token quota does not allow another turn", "raise the quota, or end the program")
	},
	sessionlog.TurnIncomplete: func() error { return unknownTurnError() },
	sessionlog.TurnOpen: func() error {
		return apierror.NewRetryable(apierror.NotRun, "the turn to continue has not ended", "retry", shortRetryAfter)
	},
	sessionlog.TurnTaken: func() error {
		return apierror.New(apierror.Conflict, "another dispatch began the turn", "give each turn a unique name")
	},
	sessionlog.TurnClosed: func() error {
		return apierror.NewRetryable(apierror.NotRun, "the turn was closed before it began", "retry under another name", shortRetryAfter)
	},
	sessionlog.UnexpectedSeq: func() error {
		return apierror.NewRetryable(apierror.NotRun, "the session was changed concurrently", "retry", shortRetryAfter)
	},
	sessionlog.BadCommand: func() error {
		return apierror.New(apierror.Invalid, "a turn needs a name and cannot follow itself", "name the turn")
	},
}

// unknownTurnError is the error for a turn to continue that is not complete in any session.
func unknownTurnError() error {
	return apierror.New(apierror.NotFound, "there is no complete turn of that name", "check the name; a turn is removed when its retention ends")
}

// EndTurn records a turn's output and outcome and settles its reservation, in one commit. After
// an error of the kind OutcomeUnknown the end may be recorded; after any other error it is not,
// and the response must not look complete.
//
//	err := client.EndTurn(ctx, storeclient.TurnEnd{SessionName: "program/3fa81c", Name: "9c41d07b", Seq: begun.Seq, Output: data, Tokens: 80, Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
func (client *Client) EndTurn(ctx context.Context, end TurnEnd) error {
	command := sessionlog.Command{
		Kind: sessionlog.EndTurn, Producer: end.Name, ProducerSeq: endProducerSeq,
		Outcome: end.Outcome, Tokens: end.Tokens, KeepData: end.KeepHistory, Retention: minSessionRetention,
		Conversation: end.Conversation, Runner: end.Runner, PromptTokens: end.CachedTokens,
	}
	switch {
	case end.Outcome != sessionlog.OutcomeComplete:
	case end.KeepHistory:
		command.Data = end.Output
	default:
		command.Outcome = sessionlog.OutcomeUnsaved
	}
	result, _, err := client.commitTurn(ctx, end.SessionName, command)
	if err != nil {
		return err
	}
	if result.Status == sessionlog.Done {
		return nil
	}
	if newError, known := endErrors[result.Status]; known {
		return newError()
	}
	return apierror.New(apierror.Invalid, "the end of a turn needs a name and an outcome", "specify both")
}

// endErrors maps the statuses of a rejected end to the errors of EndTurn.
var endErrors = map[sessionlog.Status]func() error{
	sessionlog.UnknownTurn: func() error {
		return apierror.New(apierror.NotFound, "the turn is no longer in its session", "abort the response")
	},
	sessionlog.TurnClosed: func() error {
		return apierror.New(apierror.Conflict, "the turn has already ended differently", "abort the response")
	},
}

// fenceTurn closes a turn whose begin has an unknown outcome or that may not run, so that neither
// the turn nor its reservation stays open. It runs in a goroutine that is not waited for; fenceTimeout bounds it.
func (client *Client) fenceTurn(turn Turn) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	// If this fails, the reservation counts until the turn's lifetime ends.
	_ = client.EndTurn(ctx, TurnEnd{SessionName: turn.SessionName, Name: turn.Name, Outcome: sessionlog.OutcomeNotRun})
}

// commitTurn commits one command of a turn. For a begin, it returns the history that the turn
// continues.
func (client *Client) commitTurn(ctx context.Context, sessionName string, command sessionlog.Command) (result sessionlog.Result, history []byte, err error) {
	reply, err := client.commit(ctx, sessionName, []sessionlog.Command{command})
	if err != nil {
		return sessionlog.Result{}, nil, err
	}
	return reply.Results[0], reply.History, nil
}
