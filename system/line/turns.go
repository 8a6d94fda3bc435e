package line

import (
	"slices"

	"github.com/benbjohnson/immutable"
)

// Turn is one turn of a program as of a view. It is never changed once published. One
// that others follow was answered whole and stays as it is.
type Turn struct {
	Name string
	Line string
	// Seq is that of the event that began the turn, Ended of the one that ended it, or
	// 0 while the turn is open. An adopted turn has one event.
	Seq     uint64
	Ended   uint64
	Follows *Turn
	Outcome string
	// Dispatch names the one attempt that may run the turn.
	Dispatch string
	// Deadline is how long the turn may be open, by the group's clock.
	Deadline int64
	// Tokens are reserved while the turn is open.
	Tokens uint64
}

// TurnRecord is a turn as checkpoints carry it.
type TurnRecord struct {
	Line     string
	Name     string
	Seq      uint64
	Ended    uint64
	Follows  string
	Outcome  string
	Dispatch string
	Deadline int64
	Tokens   uint64
}

// Chain gives the turns that lead to this one and itself, oldest first.
//
//	for _, turn := range followed.Chain() { ... }
func (turn *Turn) Chain() []*Turn {
	chain := []*Turn{}
	for at := turn; at != nil; at = at.Follows {
		chain = append(chain, at)
	}
	slices.Reverse(chain)
	return chain
}

// Whole tells whether the turn was answered whole, so that others may follow it.
//
//	if turn.Whole() { ... }
func (turn *Turn) Whole() bool { return turn.Ended != 0 && turn.Outcome == OutcomeComplete }

// Open tells whether the turn may still be answered whole, by the group's clock. One
// whose time is over counts as cut, also while nobody has ended it.
//
//	if turn.Open(view.Clock()) { ... }
func (turn *Turn) Open(clock int64) bool { return turn.Ended == 0 && clock <= turn.Deadline }

// Turn finds a turn in a line.
//
//	turn, found := machine.View().Turn("program/3fa81c", "9c41d07b")
func (view *View) Turn(lineName, name string) (*Turn, bool) {
	known, _ := view.turns.Get(name)
	for _, turn := range known {
		if turn.Line == lineName {
			return turn, true
		}
	}
	return nil, false
}

// TurnAnywhere finds a turn in whichever line of the group it is, rather one that was
// answered whole.
//
//	turn, found := machine.View().TurnAnywhere("9c41d07b")
func (view *View) TurnAnywhere(name string) (*Turn, bool) {
	known, _ := view.turns.Get(name)
	for _, turn := range known {
		if turn.Whole() {
			return turn, true
		}
	}
	if len(known) == 0 {
		return nil, false
	}
	return known[0], true
}

// setTurn puts a turn into the index, in place of what its line knew under its name.
func (view *View) setTurn(turn *Turn) {
	known, _ := view.turns.Get(turn.Name)
	others := slices.DeleteFunc(slices.Clone(known), func(one *Turn) bool { return one.Line == turn.Line })
	view.turns = view.turns.Set(turn.Name, append(others, turn))
}

func (view *View) forgetTurns(session *Session) {
	for _, name := range session.Turns {
		known, _ := view.turns.Get(name)
		others := slices.DeleteFunc(slices.Clone(known), func(one *Turn) bool { return one.Line == session.Line })
		if len(others) == 0 {
			view.turns = view.turns.Delete(name)
		} else {
			view.turns = view.turns.Set(name, others)
		}
	}
}

// put adds an event to a session that is not published yet. Only the newest session of
// a line is ever added to, so sessions of earlier views share the events before it.
func (session *Session) put(event Event) uint64 {
	session.Head++
	event.Seq = session.Head
	session.Hot = append(session.Hot, event)
	return event.Seq
}

// lineFor copies a line to be changed, or makes it, as of the group's clock.
func (view *View) lineFor(command *Command) Session {
	session := Session{Line: command.Line, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind, CreatedAt: view.clock}
	if existing, found := view.sessions.Get(command.Line); found {
		session = *existing
	}
	session.KeepFor = max(session.KeepFor, command.KeepFor)
	session.TouchedAt = view.clock
	return session
}

// publish puts a changed line into the view.
func (view *View) publish(session *Session) {
	if _, found := view.sessions.Get(session.Line); !found {
		view.expiries = view.expiries.Set(expiryKey(session), session.Line)
	}
	view.sessions = view.sessions.Set(session.Line, session)
	if _, hot := view.hot.Get(session.Line); !hot {
		view.hot = view.hot.Set(session.Line, struct{}{})
	}
}

func (session *Session) told(status Status, seq uint64, deduped bool) Outcome {
	return Outcome{Status: status, Seq: seq, Head: session.Head, Deduped: deduped, Spent: session.Spent, Reserved: session.Reserved}
}

// beginTurn makes the line if it is absent, reserves what the turn may put out and
// begins the turn, or does none of it. What is reserved counts as spent.
func (view *View) beginTurn(command *Command) Outcome {
	session := view.lineFor(command)
	if command.Producer == "" || command.Producer == command.Follows {
		return session.told(BadCommand, 0, false)
	}
	if known, found := view.Turn(command.Line, command.Producer); found {
		return session.told(repeated(known, command), known.Seq, true)
	}
	if out := session.Spent + session.Reserved; command.Budgeted && (command.Tokens > command.Allowance || out > command.Allowance-command.Tokens) {
		return session.told(AllowanceExhausted, 0, false)
	}
	followed, status := view.followed(command)
	if status != Done {
		return session.told(status, 0, false)
	}
	if command.Expects && (followed == nil || followed.Ended != command.ExpectedSeq) {
		return session.told(UnexpectedSeq, 0, false)
	}
	if followed == nil {
		followed = view.adopt(&session, command)
	}
	turn := &Turn{Name: command.Producer, Line: command.Line, Follows: followed, Dispatch: command.Dispatch, Deadline: view.clock + int64(command.Life)}
	if command.Budgeted {
		turn.Tokens = command.Tokens
		session.Reserved += command.Tokens
	}
	event := Event{At: view.clock, Kind: TurnBegun, Turn: session.Head + 1, Dispatch: command.Dispatch, Name: command.Producer, Producer: command.Producer, ProducerSeq: 1, Deadline: turn.Deadline}
	if command.Keeps {
		event.Data = command.Data
	}
	if command.Kind == BeginSharedTurn {
		event.Opening = command.Opening
		view.refer(&session, command.Opening)
	}
	if followed != nil {
		event.Follows = followed.Seq
	}
	turn.Seq = session.put(event)
	session.Turns = append(session.Turns, turn.Name)
	session.Until = max(session.Until, turn.Deadline+int64(session.KeepFor))
	view.setTurn(turn)
	view.publish(&session)
	return session.told(Done, turn.Seq, false)
}

// repeated tells what a begin of a turn that is known already answers.
func repeated(known *Turn, command *Command) Status {
	switch {
	case known.Outcome == OutcomeNotRun:
		return TurnClosed
	case known.Dispatch != command.Dispatch || known.Ended != 0:
		return TurnTaken
	}
	return Done
}

// followed finds the turn to go on from; none is found if it comes with the command,
// or if there is none to go on from.
func (view *View) followed(command *Command) (*Turn, Status) {
	if command.Follows == "" {
		return nil, Done
	}
	found, known := view.Turn(command.Line, command.Follows)
	adopted := len(command.Adopted) > 0 && command.Adopted[len(command.Adopted)-1].Name == command.Follows
	switch {
	case !known && adopted:
		return nil, Done
	case !known:
		return nil, UnknownTurn
	case found.Whole():
		return found, Done
	case found.Open(view.clock):
		return nil, TurnOpen
	}
	return nil, TurnCut
}

// adopt copies the turns of another line that come with a command, as far as this
// line does not know them, and gives the last.
func (view *View) adopt(session *Session, command *Command) *Turn {
	var last *Turn
	for _, adopted := range command.Adopted {
		if known, found := view.Turn(command.Line, adopted.Name); found && known.Whole() {
			last = known
			continue
		}
		turn := &Turn{Name: adopted.Name, Line: command.Line, Follows: last, Outcome: OutcomeComplete}
		event := Event{At: view.clock, Kind: TurnAdopted, Turn: session.Head + 1, Name: adopted.Name, Producer: adopted.Name, ProducerSeq: 2, Data: adopted.Data, Outcome: OutcomeComplete}
		if last != nil {
			event.Follows = last.Seq
		}
		turn.Seq = session.put(event)
		turn.Ended = turn.Seq
		session.Turns = append(session.Turns, turn.Name)
		view.setTurn(turn)
		last = turn
	}
	return last
}

// endTurn records a turn's output and outcome and books what it put out, at once. A
// turn that never began may be ended as not run, so that it can't begin any more.
func (view *View) endTurn(command *Command) Outcome {
	session := view.lineFor(command)
	known, found := view.Turn(command.Line, command.Producer)
	switch {
	case command.Producer == "" || command.Outcome == "":
		return session.told(BadCommand, 0, false)
	case !found && command.Outcome != OutcomeNotRun:
		return session.told(UnknownTurn, 0, false)
	case !found:
		return view.fence(&session, command)
	case known.Ended != 0 && known.Outcome != command.Outcome:
		return session.told(TurnClosed, known.Ended, true)
	case known.Ended != 0:
		return session.told(Done, known.Ended, true)
	}
	ended := *known
	ended.Outcome, ended.Tokens = command.Outcome, 0
	session.Reserved -= known.Tokens
	session.Spent += command.Tokens
	event := Event{At: view.clock, Kind: TurnEnded, Turn: known.Seq, Outcome: command.Outcome, Producer: command.Producer, ProducerSeq: 2, Part: command.Tokens}
	if command.Keeps && ended.Outcome == OutcomeComplete {
		event.Data = command.Data
	}
	ended.Ended = session.put(event)
	view.setTurn(&ended)
	view.publish(&session)
	return session.told(Done, ended.Ended, false)
}

// fence closes a turn that has not begun.
func (view *View) fence(session *Session, command *Command) Outcome {
	turn := &Turn{Name: command.Producer, Line: command.Line, Outcome: OutcomeNotRun, Dispatch: command.Dispatch}
	turn.Seq = session.put(Event{At: view.clock, Kind: Fenced, Turn: session.Head + 1, Producer: command.Producer, ProducerSeq: 2, Outcome: OutcomeNotRun})
	turn.Ended = turn.Seq
	session.Turns = append(session.Turns, turn.Name)
	view.setTurn(turn)
	view.publish(session)
	return session.told(Done, turn.Seq, false)
}

func (view *View) appendRecords(records []TurnRecord, session *Session) []TurnRecord {
	for _, name := range session.Turns {
		turn, found := view.Turn(session.Line, name)
		if !found {
			continue
		}
		record := TurnRecord{Line: turn.Line, Name: turn.Name, Seq: turn.Seq, Ended: turn.Ended, Outcome: turn.Outcome, Dispatch: turn.Dispatch, Deadline: turn.Deadline, Tokens: turn.Tokens}
		if turn.Follows != nil {
			record.Follows = turn.Follows.Name
		}
		records = append(records, record)
	}
	return records
}

// restoredTurns makes the index of turns anew; each turn comes after the one that it
// follows.
func restoredTurns(records []TurnRecord) *immutable.Map[string, []*Turn] {
	type key struct{ line, name string }
	made, turns := map[key]*Turn{}, map[string][]*Turn{}
	for _, record := range records {
		turn := &Turn{Line: record.Line, Name: record.Name, Seq: record.Seq, Ended: record.Ended, Outcome: record.Outcome, Dispatch: record.Dispatch, Deadline: record.Deadline, Tokens: record.Tokens,
			Follows: made[key{record.Line, record.Follows}]}
		made[key{record.Line, record.Name}] = turn
		turns[record.Name] = append(turns[record.Name], turn)
	}
	builder := immutable.NewMapBuilder[string, []*Turn](nil)
	for name, known := range turns {
		builder.Set(name, known)
	}
	return builder.Map()
}
