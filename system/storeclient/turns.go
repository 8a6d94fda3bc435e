package storeclient

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Turn is a turn of a program that is about to begin.
type Turn struct {
	// Session is the program's, Name the query's; a name is used once.
	SessionName string
	Name        string
	// Follows names the turn to go on from; "" starts.
	Follows string
	// Input is what the turn brings. With Keeps it is kept for the turns that follow.
	Input       []byte
	KeepHistory bool
	// PrefixScope is whose opening the input may share; "" shares none.
	PrefixScope string
	// Retention is how long the turn is kept from the end of its answer.
	Retention time.Duration
	// HasQuota turns put out Most tokens at most, of the program's Allowance.
	HasTokenQuota   bool
	MaxOutputTokens uint64
	TokenQuota      uint64
	// DispatchID names the one attempt that may run the turn.
	DispatchID string
	// Lifetime is how long the turn may be open.
	Lifetime time.Duration
}

// BegunTurn is a turn that was begun.
type BegunTurn struct {
	Seq uint64
	// History is, for a turn that is kept, each turn of the chain that it follows, oldest
	// first: its input, then its output.
	History []byte
}

// TurnEnd is how a turn ended. Output is the data of its events, each with a line feed
// after it; Tokens are those that were put out to the caller.
type TurnEnd struct {
	SessionName string
	Name        string
	Seq         uint64
	Output      []byte
	Tokens      uint64
	Outcome     string
	KeepHistory bool
}

const (
	// minSessionRetention is how long a program's line is kept at least, so that its tally is not
	// forgotten while the program still runs.
	minSessionRetention = 10 * time.Minute
	shortRetryAfter     = 200 * time.Millisecond
	retryAfter          = 500 * time.Millisecond
	fenceTimeout        = 5 * time.Second
)

// BeginTurn reserves what a turn may put out and records its beginning, in one commit.
// Its failures: NotFound proves that there is no such turn as Follows, Exhausted that
// the allowance does not bear the turn. NotRun tells that it can't be told in time; then
// nothing that was begun will ever be used. Conflict tells that another dispatch began
// the turn.
//
//	begun, err := origin.BeginTurn(ctx, storeorigin.Turn{Line: "program/3fa81c", Name: "9c41d07b", Input: body, Keeps: true, Keep: time.Minute, Dispatch: "front-1/7", Life: time.Minute})
func (client *Client) BeginTurn(ctx context.Context, turn Turn) (*BegunTurn, error) {
	command := sessionlog.Command{Kind: sessionlog.BeginTurn, Producer: turn.Name, ProducerSeq: 1, Follows: turn.Follows, Dispatch: turn.DispatchID, KeepData: turn.KeepHistory,
		Retention: max(turn.Retention, minSessionRetention), HasQuota: turn.HasTokenQuota, Tokens: turn.MaxOutputTokens, Quota: turn.TokenQuota, Lifetime: turn.Lifetime}
	if turn.KeepHistory {
		command.Scope = turn.PrefixScope
		command.Data = turn.Input
	}
	for {
		outcome, history, err := client.commitTurnCommand(ctx, turn.SessionName, command)
		if apierror.Is(err, apierror.OutcomeUnknown) {
			go client.fenceTurn(turn)
		}
		if err != nil {
			return nil, apierror.NewRetryable(apierror.NotRun, "the turn could not be begun in time: "+apierror.Of(err).Message, "ask again", retryAfter)
		}
		switch outcome.Status {
		case sessionlog.Done:
			return &BegunTurn{Seq: outcome.Seq, History: history}, nil
		case sessionlog.UnknownTurn:
			if len(command.Adopted) > 0 {
				return nil, apierror.NewRetryable(apierror.NotRun, "the turn to go on from could not be adopted", "ask again", retryAfter)
			}
			if command.Adopted, err = client.findTurn(ctx, turn.Follows); err != nil {
				return nil, err
			}
		default:
			return nil, beginErrors[outcome.Status]()
		}
	}
}

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

func unknownTurnError() error {
	return apierror.New(apierror.NotFound, "no turn of that name was answered whole", "check the name; a turn is forgotten when its keeping time is over")
}

// EndTurn records a turn's output and outcome and books its tokens, in one commit.
// Unclear means that it may have been recorded; any other failure that it was not, and
// the answer must not look complete.
//
//	err := origin.EndTurn(ctx, storeorigin.TurnEnd{Line: "program/3fa81c", Name: "9c41d07b", Seq: begun.Seq, Output: data, Tokens: 80, Outcome: sessionlog.OutcomeComplete, Kept: true})
func (client *Client) EndTurn(ctx context.Context, end TurnEnd) error {
	command := sessionlog.Command{Kind: sessionlog.EndTurn, Producer: end.Name, ProducerSeq: 2, Outcome: end.Outcome, Tokens: end.Tokens, KeepData: end.KeepHistory, Retention: minSessionRetention}
	if end.KeepHistory && end.Outcome == sessionlog.OutcomeComplete {
		command.Data = end.Output
	}
	outcome, _, err := client.commitTurnCommand(ctx, end.SessionName, command)
	if err != nil {
		return err
	}
	if outcome.Status == sessionlog.Done {
		return nil
	}
	if failed, known := endErrors[outcome.Status]; known {
		return failed()
	}
	return apierror.New(apierror.Invalid, "a turn's end needs a name and an outcome", "name both")
}

var endErrors = map[sessionlog.Status]func() error{
	sessionlog.UnknownTurn: func() error {
		return apierror.New(apierror.NotFound, "the turn is not in its line any more", "break the answer off")
	},
	sessionlog.TurnClosed: func() error {
		return apierror.New(apierror.Conflict, "the turn was ended otherwise", "break the answer off")
	},
}

// fenceTurn ends a turn of which it is not known whether it began, so that it is not left
// open and what it reserved does not count.
func (client *Client) fenceTurn(turn Turn) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	_ = client.EndTurn(ctx, TurnEnd{SessionName: turn.SessionName, Name: turn.Name, Outcome: sessionlog.OutcomeNotRun}) // else it counts at its most
}

func (client *Client) commitTurnCommand(ctx context.Context, name string, command sessionlog.Command) (sessionlog.Outcome, []byte, error) {
	command.Session = name
	reply, arrived, err := client.call(ctx, name, callTimeout, func(group uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_command, Command: &wire.CommandQuery{Group: group, Commands: []sessionlog.Command{command}}}
	})
	if err != nil && arrived {
		return sessionlog.Outcome{}, nil, apierror.New(apierror.OutcomeUnknown, "the commit was not seen to its end: "+err.Error(), "ask again; repeats are deduped")
	}
	if err != nil {
		return sessionlog.Outcome{}, nil, err
	}
	if reply.Outcomes == nil || len(reply.Outcomes.Outcomes) != 1 {
		return sessionlog.Outcome{}, nil, apierror.New(apierror.OutcomeUnknown, "a store answered out of form", "run matching versions of the programs")
	}
	return reply.Outcomes.Outcomes[0], reply.Outcomes.History, nil
}

// findTurn looks for a turn in all groups. NotFound is proven: the leader of every group,
// confirmed by a quorum, knows no such turn.
func (client *Client) findTurn(ctx context.Context, name string) ([]sessionlog.AdoptedTurn, error) {
	covered := map[uint32]bool{}
	for timeout := hedgeDelay; ; timeout = min(2*timeout, callTimeout) {
		chain, err := client.findTurnOnce(ctx, name, timeout, covered)
		if chain != nil || err != nil {
			return chain, err
		}
		select {
		case <-time.After(maxBackoff):
		case <-ctx.Done():
			return nil, apierror.NewRetryable(apierror.NotRun, "not all groups of lines could be asked for the turn in time", "ask again", retryAfter)
		}
	}
}

// findTurnOnce asks every store for the groups that it leads. It waits for no more answers
// once the turn is found, or every group is covered. Neither a chain nor a failure
// tells that groups are left.
func (client *Client) findTurnOnce(ctx context.Context, name string, timeout time.Duration, covered map[uint32]bool) ([]sessionlog.AdoptedTurn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	view := client.view()
	replies := make(chan *wire.FindTurnReply, len(view.Stores))
	for _, member := range view.Stores {
		go func() {
			reply, err := client.caller.Call(ctx, member.Address, &wire.Query{Fleet: view.Fleet, Which: schema.Query_Which_find, FindTurn: &wire.FindTurnQuery{Name: name}})
			if err != nil || reply.FoundTurn == nil {
				reply = &wire.Reply{FoundTurn: &wire.FindTurnReply{}}
			}
			replies <- reply.FoundTurn
		}()
	}
	for range view.Stores {
		reply := <-replies
		switch {
		case reply.Found:
			return reply.Chain, nil
		case reply.Open:
			return nil, beginErrors[sessionlog.TurnOpen]()
		}
		for _, group := range reply.SearchedGroups {
			covered[group] = true
		}
		if view.Groups > 0 && len(covered) >= int(view.Groups) {
			return nil, unknownTurnError()
		}
	}
	return nil, nil
}
