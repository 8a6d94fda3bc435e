package sessionlog

import (
	"slices"
	"time"
)

// Session is the ordered event log of one conversation or program, as of a view. It is never
// changed once published. Times are nanoseconds of the group's clock.
type Session struct {
	Name      string
	Team      string
	Program   string
	WorkKind  string
	CreatedAt int64
	// Retention is how long the session is kept after UpdatedAt.
	Retention time.Duration
	UpdatedAt int64
	// Head is the Seq of the newest event, 0 if there is none.
	Head uint64
	// ArchivedSeq is the Seq up to which events are in the archive and evicted from here.
	ArchivedSeq uint64
	// Producers has the last append of each producer, for deduplication. It grows with the
	// number of producers and goes with the session.
	Producers []Producer
	// Unarchived are the events after ArchivedSeq.
	Unarchived []Event
	// OpenTurns has the Seq of the opening event of each open run that AppendEvent and
	// AppendEvents made.
	OpenTurns []uint64
	// RetainUntil is the time until which the session is kept at least.
	RetainUntil int64
	// Spent and Reserved are the tokens of a program's turns: those that were put out, and
	// those that open turns may still put out.
	Spent    uint64
	Reserved uint64
	// Turns names the turns of a program in the order in which they began.
	Turns []string
	// Prefixes names the shared prefixes to which events refer, archived events included.
	Prefixes []string
	// CacheLocations has the runners of the program's conversations, the newest last.
	CacheLocations []CacheLocation
}

// Producer is the last append of one producer: its number, and the Seq of its first event.
type Producer struct {
	Name        string
	ProducerSeq uint64
	Seq         uint64
	At          int64
}

// createSession adds an empty session, unless there is one of that name.
func (view *View) createSession(command *Command) Outcome {
	if existing, found := view.sessions.Get(command.Session); found {
		return Outcome{Head: existing.Head, Deduped: true}
	}
	session := &Session{
		Name: command.Session, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind,
		CreatedAt: view.clock, UpdatedAt: view.clock, Retention: command.Retention,
	}
	view.sessions = view.sessions.Set(command.Session, session)
	view.expiries = view.expiries.Set(expiryKey(session), session.Name)
	return Outcome{}
}

// appendEvents appends a command's events to an existing session, all or none.
func (view *View) appendEvents(command *Command) Outcome {
	existing, found := view.sessions.Get(command.Session)
	if !found {
		return Outcome{Status: UnknownSession}
	}
	if len(command.Events) == 0 || (command.Kind == AppendEvent && len(command.Events) != 1) {
		return Outcome{Status: BadCommand, Head: existing.Head}
	}
	if result, repeated := existing.repeatedAppend(command); repeated {
		return result
	}
	if command.HasExpectedSeq && command.ExpectedSeq != existing.Head {
		return Outcome{Status: UnexpectedSeq, Head: existing.Head}
	}
	session := *existing
	if !session.appendBatch(command, view.clock) {
		return Outcome{Status: TurnClosed, Head: existing.Head}
	}
	session.UpdatedAt = view.clock
	first := existing.Head + 1
	session.recordProducer(Producer{Name: command.Producer, ProducerSeq: command.ProducerSeq, Seq: first, At: view.clock})
	view.setSession(&session)
	return Outcome{Seq: first, Head: session.Head}
}

// repeatedAppend returns the outcome of an append that its producer made already, or followed
// by a later one. Of an earlier append only the later one's position is known.
func (session *Session) repeatedAppend(command *Command) (result Outcome, repeated bool) {
	position := session.producerIndex(command.Producer)
	if position < 0 {
		return Outcome{}, false
	}
	last := session.Producers[position]
	if command.ProducerSeq == last.ProducerSeq {
		return Outcome{Seq: last.Seq, Head: session.Head, Deduped: true}, true
	}
	if command.ProducerSeq < last.ProducerSeq {
		return Outcome{Status: StaleProducer, Seq: last.Seq, Head: session.Head, Deduped: true}, true
	}
	return Outcome{}, false
}

func (session *Session) producerIndex(name string) int {
	return slices.IndexFunc(session.Producers, func(producer Producer) bool { return producer.Name == name })
}

// recordProducer puts a producer's last append in place of the one before.
func (session *Session) recordProducer(last Producer) {
	session.Producers = slices.Clone(session.Producers)
	if position := session.producerIndex(last.Name); position >= 0 {
		session.Producers[position] = last
	} else {
		session.Producers = append(session.Producers, last)
	}
}

// appendBatch appends a command's events to a session that is not published yet. It reports
// false if one of them belongs to a run that is not open; the session must then be discarded.
func (session *Session) appendBatch(command *Command, clock int64) bool {
	openTurns := slices.Clone(session.OpenTurns)
	appended := make([]Event, 0, len(command.Events))
	for _, event := range command.Events {
		session.Head++
		event.Seq, event.At = session.Head, clock
		event.Producer, event.ProducerSeq = command.Producer, command.ProducerSeq
		if opensRun[event.Kind] {
			event.Turn = event.Seq
			event.Deadline += clock
			openTurns = append(openTurns, event.Seq)
		}
		if (belongsToRun[event.Kind] || closesRun[event.Kind]) && !slices.Contains(openTurns, event.Turn) {
			return false
		}
		if closesRun[event.Kind] {
			openTurns = slices.DeleteFunc(openTurns, func(turn uint64) bool { return turn == event.Turn })
		}
		appended = append(appended, event)
	}
	session.OpenTurns = openTurns
	session.Unarchived = append(slices.Clip(session.Unarchived), appended...)
	return true
}

// appendEvent appends one event to a session that is not published yet and returns its Seq.
// It may share the array of Unarchived with earlier views: only the newest version of a
// session is ever appended to, and the earlier ones don't look beyond their own length.
func (session *Session) appendEvent(event Event) uint64 {
	session.Head++
	event.Seq = session.Head
	session.Unarchived = append(session.Unarchived, event)
	return event.Seq
}
