package sessionlog

import "slices"

// Turn is one turn of a program, as of a view. It is never changed once published. A turn that
// others follow is complete and stays as it is.
type Turn struct {
	Name    string
	Session string
	// Seq is that of the event that began the turn, EndSeq of the one that ended it, or 0
	// while the turn is open. An adopted or fenced turn has one event, so they are the same.
	Seq    uint64
	EndSeq uint64
	// Follows is the turn that this one continues; nil if it begins a history.
	Follows *Turn
	// Outcome is one of the Outcome constants, "" while the turn is open.
	Outcome string
	// Dispatch names the one attempt that may run the turn.
	Dispatch string
	// Deadline is the time, in nanoseconds by the group's clock, after which an open turn
	// counts as cut. It is 0 for an adopted or fenced turn.
	Deadline int64
	// Tokens is how many tokens of the session's quota the turn reserves; 0 once it has ended.
	Tokens uint64
}

// The producer numbers of a turn's events, whose producer is the turn's name. They are stored.
const (
	beginProducerSeq = 1
	endProducerSeq   = 2
)

// Chain returns the turns that lead to this one and itself, oldest first.
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

// Complete tells whether the turn was answered completely, so that others may follow it.
//
//	if turn.Complete() { ... }
func (turn *Turn) Complete() bool { return turn.EndSeq != 0 && turn.Outcome == OutcomeComplete }

// Open tells whether the turn may still become complete, by the group's clock. One whose
// deadline has passed counts as cut, also while nobody has ended it.
//
//	if turn.Open(view.Clock()) { ... }
func (turn *Turn) Open(clock int64) bool { return turn.EndSeq == 0 && clock <= turn.Deadline }

// Turn finds a turn of a session.
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

// TurnInAnySession finds a turn in whichever session of the group has it. A complete one is
// preferred.
//
//	turn, found := machine.View().TurnInAnySession("9c41d07b")
func (view *View) TurnInAnySession(name string) (*Turn, bool) {
	turns, _ := view.turns.Get(name)
	for _, turn := range turns {
		if turn.Complete() {
			return turn, true
		}
	}
	if len(turns) == 0 {
		return nil, false
	}
	return turns[0], true
}

// beginTurn creates the session if it is absent, reserves what the turn may put out and
// records its beginning, or does nothing of this. Reserved tokens count as spent.
func (view *View) beginTurn(command *Command) Outcome {
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

// withCacheLocation adds to the outcome of a begin where the turn's conversation is cached.
func (result Outcome) withCacheLocation(session *Session, command *Command) Outcome {
	location := session.cacheLocation(command.Conversation)
	result.Runner, result.CachedTokens = location.Runner, location.Tokens
	return result
}

// repeatStatus returns the status of a BeginTurn whose turn exists already.
func repeatStatus(existing *Turn, command *Command) Status {
	switch {
	case existing.Outcome == OutcomeNotRun:
		return TurnClosed
	case existing.Dispatch != command.Dispatch || existing.EndSeq != 0:
		return TurnTaken
	}
	return Done
}

// exceedsQuota tells whether a turn may put out more tokens than its program has left. The
// subtraction can't overflow, as Tokens is compared with Quota first.
func (session *Session) exceedsQuota(command *Command) bool {
	committed := session.Spent + session.Reserved
	return command.HasQuota && (command.Tokens > command.Quota || committed > command.Quota-command.Tokens)
}

// followedTurn finds the turn that a command continues. It is nil with status Done if there is
// none to continue, or if it comes with the command.
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

// recordBegin adds a turn that was admitted to a session.
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
		At: view.clock, Kind: TurnBegun, Turn: session.Head + 1, Dispatch: command.Dispatch, Name: command.Producer,
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

// adoptTurns copies the completed turns of another session that come with a command, as far
// as this session does not have them, and returns the last.
func (view *View) adoptTurns(session *Session, command *Command) *Turn {
	var last *Turn
	for _, adopted := range command.Adopted {
		existing, found := view.Turn(command.Session, adopted.Name)
		if found && existing.Complete() {
			last = existing
			continue
		}
		if found {
			// The adopted turn takes its place. In a snapshot its record must come after the
			// one that it follows, so the name moves to the end.
			session.Turns = withoutName(session.Turns, adopted.Name)
		}
		turn := &Turn{Name: adopted.Name, Session: command.Session, Follows: last, Outcome: OutcomeComplete}
		event := Event{
			At: view.clock, Kind: TurnAdopted, Turn: session.Head + 1, Name: adopted.Name,
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

// endTurn records a turn's output and outcome and settles its tokens. A turn that never began
// may be ended as not run, so that it can't begin any more.
func (view *View) endTurn(command *Command) Outcome {
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
		At: view.clock, Kind: TurnEnded, Turn: turn.Seq, Outcome: command.Outcome,
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

// fenceTurn closes a turn that has not begun, so that a late BeginTurn finds it closed.
func (view *View) fenceTurn(session *Session, command *Command) Outcome {
	seq := session.Head + 1
	turn := &Turn{Name: command.Producer, Session: command.Session, EndSeq: seq, Outcome: OutcomeNotRun, Dispatch: command.Dispatch}
	view.addTurn(session, turn, Event{
		At: view.clock, Kind: Fenced, Turn: seq, Producer: command.Producer, ProducerSeq: endProducerSeq, Outcome: OutcomeNotRun,
	})
	view.setSession(session)
	return session.result(Done, seq, false)
}

// addTurn appends a turn's first event to a session and puts the turn into the index.
func (view *View) addTurn(session *Session, turn *Turn, first Event) {
	turn.Seq = session.appendEvent(first)
	session.Turns = append(session.Turns, turn.Name)
	view.indexTurn(turn)
}

func (session *Session) result(status Status, seq uint64, deduped bool) Outcome {
	return Outcome{Status: status, Seq: seq, Head: session.Head, Deduped: deduped, Spent: session.Spent, Reserved: session.Reserved}
}

// withoutName returns a copy of a list of names without one of them.
func withoutName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

// indexTurn puts a turn into the index, in place of the one that its session had under its
// name.
func (view *View) indexTurn(turn *Turn) {
	view.turns = view.turns.Set(turn.Name, append(view.turnsInOtherSessions(turn.Name, turn.Session), turn))
}

// removeTurns takes all turns of a session out of the index.
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

// turnsInOtherSessions returns a copy of what other sessions than one have under a turn's name.
func (view *View) turnsInOtherSessions(name, sessionName string) []*Turn {
	turns, _ := view.turns.Get(name)
	return slices.DeleteFunc(slices.Clone(turns), func(turn *Turn) bool { return turn.Session == sessionName })
}
