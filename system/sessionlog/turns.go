package sessionlog

import "slices"

// Turn is one turn of a program in a view. It is immutable once published. A turn that others
// follow is complete and is never replaced.
type Turn struct {
	Name    string
	Session string
	// Seq is that of the event that began the turn, EndSeq that of the event that ended it,
	// or 0 while the turn is open. Adopted and fenced turns have a single event, so both are
	// equal.
	Seq    uint64
	EndSeq uint64
	// Follows is the turn that this one continues; nil if it starts a new history.
	Follows *Turn
	// Outcome is one of the Outcome constants, "" while the turn is open.
	Outcome string
	// Dispatch identifies the only attempt that may run the turn.
	Dispatch string
	// Deadline is the time, in nanoseconds of the group's clock, after which an open turn
	// counts as interrupted. It is 0 for an adopted or fenced turn.
	Deadline int64
	// Tokens is the number of tokens of the session's quota that the turn reserves; 0 once it
	// has ended.
	Tokens uint64
}

// The ProducerSeq of the events that begin and end a turn; their Producer is the turn's name.
// The numbers are stored.
const (
	beginProducerSeq = 1
	endProducerSeq   = 2
)

// Chain returns the turns that lead to this one, followed by the turn itself, oldest first.
//
//	for _, turn := range followed.Chain() { ... }
func (turn *Turn) Chain() []*Turn {
	chain := []*Turn{}
	for current := turn; current != nil; current = current.Follows {
		chain = append(chain, current)
	}
	slices.Reverse(chain)
	return chain
}

// Complete reports whether the turn ended with a complete answer, so that others may follow it.
//
//	if turn.Complete() { ... }
func (turn *Turn) Complete() bool { return turn.EndSeq != 0 && turn.Outcome == OutcomeComplete }

// Open reports whether the turn has neither ended nor passed its deadline. clock is the group's
// clock, in nanoseconds. A turn past its deadline counts as interrupted even if it was not ended.
//
//	if turn.Open(view.Clock()) { ... }
func (turn *Turn) Open(clock int64) bool { return turn.EndSeq == 0 && clock <= turn.Deadline }

// Turn returns a turn of a session by name.
//
//	turn, found := machine.View().Turn("program/3fa81c", "9c41d07b")
func (view *View) Turn(sessionName, name string) (*Turn, bool) {
	turns, _ := view.turns.Get(name)
	for _, turn := range turns {
		if turn.Session == sessionName {
			return turn, true
		}
	}
	return nil, false
}

// TurnInAnySession returns a turn by name from any session of the group that has it and belongs to
// scope (InScope). It prefers a complete one.
//
//	turn, found := machine.View().TurnInAnySession("tenant/depot/", "9c41d07b")
func (view *View) TurnInAnySession(scope, name string) (turn *Turn, found bool) {
	turns, _ := view.turns.Get(name)
	for _, candidate := range turns {
		if !InScope(candidate.Session, scope) {
			continue
		}
		if candidate.Complete() {
			return candidate, true
		}
		if !found {
			turn, found = candidate, true
		}
	}
	return turn, found
}

// beginTurn atomically creates the session if it is absent, reserves the turn's output tokens and
// records the beginning of the turn. Reserved tokens count towards the quota.
func (view *View) beginTurn(command *Command) Result {
	session := view.sessionForUpdate(command)
	if command.Producer == "" || command.Producer == command.Follows {
		return session.result(BadCommand, 0, false)
	}
	if existing, found := view.Turn(command.Session, command.Producer); found {
		return session.result(repeatStatus(existing, command), existing.Seq, true).withCacheLocation(&session, command)
	}
	if session.exceedsQuota(command) {
		return session.result(QuotaExceeded, 0, false)
	}
	followed, status := view.followedTurn(command)
	if status != Done {
		return session.result(status, 0, false)
	}
	if command.HasExpectedSeq && (followed == nil || followed.EndSeq != command.ExpectedSeq) {
		return session.result(UnexpectedSeq, 0, false)
	}
	if followed == nil {
		followed = view.adoptTurns(&session, command)
	}
	turn := view.recordBegin(&session, command, followed)
	view.setSession(&session)
	return session.result(Done, turn.Seq, false).withCacheLocation(&session, command)
}

// withCacheLocation adds the cache location of the command's conversation to the result of
// beginTurn.
func (result Result) withCacheLocation(session *Session, command *Command) Result {
	location := session.cacheLocation(command.Conversation)
	result.Runner, result.CachedTokens = location.Runner, location.Tokens
	return result
}

// repeatStatus returns the status of a BeginTurn whose turn already exists.
func repeatStatus(existing *Turn, command *Command) Status {
	switch {
	case existing.Outcome == OutcomeNotRun:
		return TurnClosed
	case existing.Dispatch != command.Dispatch || existing.EndSeq != 0:
		return TurnTaken
	}
	return Done
}

// exceedsQuota reports whether a turn requests more tokens than its program has left. Tokens is
// compared with Quota first so that the subtraction cannot underflow.
func (session *Session) exceedsQuota(command *Command) bool {
	committed := session.Spent + session.Reserved
	return command.HasQuota && (command.Tokens > command.Quota || committed > command.Quota-command.Tokens)
}

// followedTurn returns the turn that a command continues. It returns nil and Done if the command
// starts a new history, or if the followed turn is the last one in Adopted.
func (view *View) followedTurn(command *Command) (*Turn, Status) {
	if command.Follows == "" {
		return nil, Done
	}
	turn, found := view.Turn(command.Session, command.Follows)
	adopted := len(command.Adopted) > 0 && command.Adopted[len(command.Adopted)-1].Name == command.Follows
	switch {
	case !found && adopted:
		return nil, Done
	case !found:
		return nil, UnknownTurn
	case turn.Complete():
		return turn, Done
	case turn.Open(view.clock):
		return nil, TurnOpen
	}
	return nil, TurnIncomplete
}

// recordBegin adds an admitted turn to a session.
func (view *View) recordBegin(session *Session, command *Command, followed *Turn) *Turn {
	turn := &Turn{
		Name: command.Producer, Session: command.Session, Follows: followed, Dispatch: command.Dispatch,
		Deadline: view.clock + int64(command.Lifetime),
	}
	if command.HasQuota {
		turn.Tokens = command.Tokens
		session.Reserved += command.Tokens
	}
	event := Event{
		At: view.clock, Kind: TurnBegun, Run: session.Head + 1, Dispatch: command.Dispatch, Name: command.Producer,
		Producer: command.Producer, ProducerSeq: beginProducerSeq, Deadline: turn.Deadline,
	}
	if command.KeepData {
		event.Data = command.Data
	}
	if command.Kind == BeginTurnWithPrefix {
		event.Prefix = command.Prefix
		view.addPrefixReference(session, command.Prefix)
	}
	if followed != nil {
		event.Follows = followed.Seq
	}
	view.addTurn(session, turn, event)
	session.RetainUntil = max(session.RetainUntil, turn.Deadline+int64(session.Retention))
	return turn
}

// adoptTurns adds the adopted turns of a command that the session does not have as complete turns
// yet, and returns the last one of the chain.
func (view *View) adoptTurns(session *Session, command *Command) *Turn {
	var last *Turn
	for _, adopted := range command.Adopted {
		existing, found := view.Turn(command.Session, adopted.Name)
		if found && existing.Complete() {
			last = existing
			continue
		}
		if found {
			// The adopted turn replaces the incomplete one. In a snapshot its record must
			// come after that of the turn that it follows, so the name moves to the end.
			session.Turns = withoutName(session.Turns, adopted.Name)
		}
		turn := &Turn{Name: adopted.Name, Session: command.Session, Follows: last, Outcome: OutcomeComplete}
		event := Event{
			At: view.clock, Kind: TurnAdopted, Run: session.Head + 1, Name: adopted.Name,
			Producer: adopted.Name, ProducerSeq: endProducerSeq, Data: adopted.Data, Outcome: OutcomeComplete,
		}
		if last != nil {
			event.Follows = last.Seq
		}
		turn.EndSeq = session.Head + 1
		view.addTurn(session, turn, event)
		last = turn
	}
	return last
}

// endTurn records a turn's output and outcome and settles its tokens. A turn that has not begun
// may be ended with OutcomeNotRun, so that it can no longer begin.
func (view *View) endTurn(command *Command) Result {
	session := view.sessionForUpdate(command)
	turn, found := view.Turn(command.Session, command.Producer)
	switch {
	case command.Producer == "" || command.Outcome == "":
		return session.result(BadCommand, 0, false)
	case !found && command.Outcome != OutcomeNotRun:
		return session.result(UnknownTurn, 0, false)
	case !found:
		return view.fenceTurn(&session, command)
	case turn.EndSeq != 0 && turn.Outcome != command.Outcome:
		return session.result(TurnClosed, turn.EndSeq, true)
	case turn.EndSeq != 0:
		return session.result(Done, turn.EndSeq, true)
	}
	ended := *turn
	ended.Outcome, ended.Tokens = command.Outcome, 0
	session.Reserved -= turn.Tokens
	session.Spent += command.Tokens
	event := Event{
		At: view.clock, Kind: TurnEnded, Run: turn.Seq, Outcome: command.Outcome,
		Producer: command.Producer, ProducerSeq: endProducerSeq, Part: command.Tokens,
	}
	if command.KeepData && ended.Outcome == OutcomeComplete {
		event.Data = command.Data
	}
	session.recordCacheLocation(command)
	ended.EndSeq = session.appendEvent(event)
	view.indexTurn(&ended)
	view.setSession(&session)
	return session.result(Done, ended.EndSeq, false)
}

// fenceTurn closes a turn that has not begun, so that a delayed BeginTurn is rejected.
func (view *View) fenceTurn(session *Session, command *Command) Result {
	seq := session.Head + 1
	turn := &Turn{Name: command.Producer, Session: command.Session, EndSeq: seq, Outcome: OutcomeNotRun, Dispatch: command.Dispatch}
	view.addTurn(session, turn, Event{
		At: view.clock, Kind: Fenced, Run: seq, Producer: command.Producer, ProducerSeq: endProducerSeq, Outcome: OutcomeNotRun,
	})
	view.setSession(session)
	return session.result(Done, seq, false)
}

// addTurn appends a turn's first event to a session and adds the turn to the index.
func (view *View) addTurn(session *Session, turn *Turn, first Event) {
	turn.Seq = session.appendEvent(first)
	session.Turns = append(session.Turns, turn.Name)
	view.indexTurn(turn)
}

func (session *Session) result(status Status, seq uint64, deduped bool) Result {
	return Result{Status: status, Seq: seq, Head: session.Head, Deduped: deduped, Spent: session.Spent, Reserved: session.Reserved}
}

// withoutName returns a copy of names without the given name.
func withoutName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

// indexTurn adds a turn to the index and replaces any of the same session and name.
func (view *View) indexTurn(turn *Turn) {
	view.turns = view.turns.Set(turn.Name, append(view.turnsInOtherSessions(turn.Name, turn.Session), turn))
}

// removeTurns removes all turns of a session from the index.
func (view *View) removeTurns(session *Session) {
	for _, name := range session.Turns {
		others := view.turnsInOtherSessions(name, session.Name)
		if len(others) == 0 {
			view.turns = view.turns.Delete(name)
		} else {
			view.turns = view.turns.Set(name, others)
		}
	}
}

// turnsInOtherSessions returns the turns of a name in all sessions but the given one, as a copy.
func (view *View) turnsInOtherSessions(name, sessionName string) []*Turn {
	turns, _ := view.turns.Get(name)
	return slices.DeleteFunc(slices.Clone(turns), func(turn *Turn) bool { return turn.Session == sessionName })
}
