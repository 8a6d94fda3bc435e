package storeclient

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
)

// Turn is a turn of a program that is about to begin.
type Turn struct {
	// SessionName names the session that records the turn, Name the turn in it. A name
	// identifies one turn in the fleet; the same begin again finds it.
	SessionName string
	Name        string
	// Follows names the turn that this one continues; "" starts a conversation.
	Follows string
	// Conversation names the line of turns within the program; it may be "".
	Conversation string
	// Input is what the turn brings. With KeepHistory it is stored for the turns that
	// follow.
	Input       []byte
	KeepHistory bool
	// PrefixScope names the turns that the input may share a stored prefix with; "" means
	// that it shares none.
	PrefixScope string
	// Retention is how long the turn is stored after the end of its answer.
	Retention time.Duration
	// HasTokenQuota says whether the turn's output counts against TokenQuota, the tokens
	// that all turns of the session may put out. MaxOutputTokens are reserved of it.
	HasTokenQuota   bool
	MaxOutputTokens uint64
	TokenQuota      uint64
	// DispatchID names the one attempt that may run the turn.
	DispatchID string
	// Lifetime is how long the turn may stay open before the stores close it.
	Lifetime time.Duration
}

// BegunTurn is a turn whose begin is committed.
type BegunTurn struct {
	// Seq is the position of the begin in the session.
	Seq uint64
	// History is, for a turn with KeepHistory, that of each turn in the chain that it
	// follows, oldest first: its input, then its output.
	History []byte
	// Runner is the incarnation of the runner that served the conversation last, CachedTokens
	// how much of it that had read then; "" and 0 if that is not known.
	Runner       string
	CachedTokens uint64
}

// TurnEnd is how a turn ended.
type TurnEnd struct {
	SessionName string
	Name        string
	Seq         uint64
	// Output is the data of the answer's events, each with a line feed after it. It is
	// stored only with KeepHistory and a complete outcome.
	Output []byte
	// Tokens are those that were put out, whether or not the caller got them.
	Tokens uint64
	// Outcome is one of sessionlog's outcomes.
	Outcome     string
	KeepHistory bool
	// Conversation is as in Turn. Runner is the incarnation of the runner that answered, ""
	// if none began to, and CachedTokens how much of the conversation that has read now.
	Conversation string
	Runner       string
	CachedTokens uint64
}

const (
	// minSessionRetention is how long a program's session is stored at least, so that its
	// quota usage is not forgotten while the program runs.
	minSessionRetention = 10 * time.Minute
	// shortRetryAfter is when to retry what another turn prevents, retryAfter when to retry
	// what the stores could not do in time.
	shortRetryAfter = 200 * time.Millisecond
	retryAfter      = 500 * time.Millisecond
	// fenceTimeout bounds the background task that closes a turn of unknown state.
	fenceTimeout = 5 * time.Second
	// beginProducerSeq and endProducerSeq are the producer sequence numbers of a turn's
	// begin and end: each turn is a producer of these two commands, so repeats are deduped.
	beginProducerSeq = 1
	endProducerSeq   = 2
)

// BeginTurn reserves a turn's maximal output and records its begin, in one commit.
//
// Kinds of errors: NotFound proves that there is no such turn as Follows. QuotaExhausted
// means that the quota does not allow the turn. Conflict means that another dispatch began
// the turn. NotRun means that the begin could not be committed in time; if it was committed
// after all, nobody will use it, and it is closed in the background.
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
		outcome, history, err := client.commitTurn(ctx, turn.SessionName, command)
		if apierror.Is(err, apierror.OutcomeUnknown) {
			go client.fenceTurn(turn)
		}
		if err != nil {
			return nil, apierror.WrapRetryable(err, apierror.NotRun, "the turn could not be begun in time: "+apierror.Of(err).Message, "ask again", retryAfter)
		}
		switch outcome.Status {
		case sessionlog.Done:
			return &BegunTurn{Seq: outcome.Seq, History: history, Runner: outcome.Runner, CachedTokens: outcome.CachedTokens}, nil
		case sessionlog.UnknownTurn:
			if len(command.Adopted) > 0 {
				return nil, apierror.NewRetryable(apierror.NotRun, "the turn to go on from could not be adopted", "ask again", retryAfter)
			}
			if command.Adopted, err = client.findTurn(ctx, turn.Follows); err != nil {
				return nil, err
			}
		default:
			if rejected, known := beginErrors[outcome.Status]; known {
				return nil, rejected()
			}
			// A store of a later version may have statuses that this one does not know.
			return nil, outOfFormError()
		}
	}
}

// beginErrors are the errors of BeginTurn for the statuses that forbid a turn.
var beginErrors = map[sessionlog.Status]func() error{
	sessionlog.QuotaExceeded: func() error {
		return apierror.New(apierror.QuotaExhausted, "the program's allowance does not bear one more turn", "raise the allowance, or end the program")
	},
	sessionlog.TurnIncomplete: func() error { return unknownTurnError() },
	sessionlog.TurnOpen: func() error {
		return apierror.NewRetryable(apierror.NotRun, "the turn to go on from has not ended", "ask again", shortRetryAfter)
	},
	sessionlog.TurnTaken: func() error {
		return apierror.New(apierror.Conflict, "another dispatch began the turn", "give each query a name of its own")
	},
	sessionlog.TurnClosed: func() error {
		return apierror.NewRetryable(apierror.NotRun, "the turn was given up before it began", "ask again under another name", shortRetryAfter)
	},
	sessionlog.UnexpectedSeq: func() error {
		return apierror.NewRetryable(apierror.NotRun, "the line was changed meanwhile", "ask again", shortRetryAfter)
	},
	sessionlog.BadCommand: func() error {
		return apierror.New(apierror.Invalid, "a turn needs a name, and can't follow itself", "name the turn")
	},
}

// unknownTurnError is for a turn to follow that no session has as complete.
func unknownTurnError() error {
	return apierror.New(apierror.NotFound, "no turn of that name was answered whole", "check the name; a turn is forgotten when its keeping time is over")
}

// EndTurn records a turn's output and outcome and settles its reservation, in one commit.
// An error of the kind OutcomeUnknown means that the end may be recorded; any other that it
// is not, and that the response must not look complete.
//
//	err := client.EndTurn(ctx, storeclient.TurnEnd{SessionName: "program/3fa81c", Name: "9c41d07b", Seq: begun.Seq, Output: data, Tokens: 80, Outcome: sessionlog.OutcomeComplete, KeepHistory: true})
func (client *Client) EndTurn(ctx context.Context, end TurnEnd) error {
	command := sessionlog.Command{
		Kind: sessionlog.EndTurn, Producer: end.Name, ProducerSeq: endProducerSeq,
		Outcome: end.Outcome, Tokens: end.Tokens, KeepData: end.KeepHistory, Retention: minSessionRetention,
		Conversation: end.Conversation, Runner: end.Runner, PromptTokens: end.CachedTokens,
	}
	if end.KeepHistory && end.Outcome == sessionlog.OutcomeComplete {
		command.Data = end.Output
	}
	outcome, _, err := client.commitTurn(ctx, end.SessionName, command)
	if err != nil {
		return err
	}
	if outcome.Status == sessionlog.Done {
		return nil
	}
	if rejected, known := endErrors[outcome.Status]; known {
		return rejected()
	}
	return apierror.New(apierror.Invalid, "a turn's end needs a name and an outcome", "name both")
}

// endErrors are the errors of EndTurn for the statuses that forbid an end.
var endErrors = map[sessionlog.Status]func() error{
	sessionlog.UnknownTurn: func() error {
		return apierror.New(apierror.NotFound, "the turn is not in its line any more", "break the answer off")
	},
	sessionlog.TurnClosed: func() error {
		return apierror.New(apierror.Conflict, "the turn was ended otherwise", "break the answer off")
	},
}

// fenceTurn closes a turn of which it is not known whether it began, so that it does not
// stay open with its reservation. It runs in a goroutine of its own, which nobody waits for
// and fenceTimeout ends.
func (client *Client) fenceTurn(turn Turn) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	// If it fails, the reservation counts until the turn's lifetime is over.
	_ = client.EndTurn(ctx, TurnEnd{SessionName: turn.SessionName, Name: turn.Name, Outcome: sessionlog.OutcomeNotRun})
}

// commitTurn commits one command of a turn. The history is that of the turn it follows.
func (client *Client) commitTurn(ctx context.Context, name string, command sessionlog.Command) (outcome sessionlog.Result, history []byte, err error) {
	reply, err := client.commit(ctx, name, []sessionlog.Command{command})
	if err != nil {
		return sessionlog.Result{}, nil, err
	}
	return reply.Outcomes[0], reply.History, nil
}
