package sessionlog

import (
	"slices"
	"time"
)

// Session is the ordered event log of one conversation or program in a view. It is immutable once
// published. Times are in nanoseconds of the group's clock.
type Session struct {
	Name      string
	Team      string
	Program   string
	WorkKind  string
	CreatedAt int64
	// Retention is how long the session is kept after UpdatedAt.
	Retention time.Duration
	UpdatedAt int64
	// Head is the Seq of the newest event, or 0 if there are no events.
	Head uint64
	// ArchivedSeq is the Seq up to which events are archived and evicted from Unarchived.
	ArchivedSeq uint64
	// Producers has the last append of each producer, for deduplication. It grows with the
	// number of producers for the lifetime of the session.
	Producers []Producer
	// Unarchived are the events after ArchivedSeq.
	Unarchived []Event
	// OpenRuns has the Seq of the opening event of each open run that was appended by
	// AppendEvent or AppendEvents.
	OpenRuns []uint64
	// RetainUntil is the earliest time at which the session may expire.
	RetainUntil int64
	// Spent and Reserved are the tokens of a program's turns: the output tokens of ended
	// turns, and the tokens reserved for open turns.
	Spent    uint64
	Reserved uint64
	// Turns has the names of a program's turns in the order in which they began.
	Turns []string
	// Prefixes has the names of the shared prefixes to which events refer, including archived
	// events.
	Prefixes []string
	// CacheLocations has the cache locations of the program's conversations, newest last.
	CacheLocations []CacheLocation
}

// Producer is the last append of one producer: its ProducerSeq and the Seq of its first event.
type Producer struct {
	Name        string
	ProducerSeq uint64
	Seq         uint64
	At          int64
}

// createSession adds an empty session unless one of that name exists.
func (view *View) createSession(command *Command) Result {
	if existing, found := view.sessions.Get(command.Session); found {
		return Result{Head: existing.Head, Deduped: true}
	}
	session := &Session{
		Name: command.Session, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind,
		CreatedAt: view.clock, UpdatedAt: view.clock, Retention: command.Retention,
	}
	view.sessions = view.sessions.Set(command.Session, session)
	view.expiries = view.expiries.Set(expiryKey(session), session.Name)
	return Result{}
}

// appendEvents atomically appends a command's events to an existing session.
func (view *View) appendEvents(command *Command) Result {
	existing, found := view.sessions.Get(command.Session)
	if !found {
		return Result{Status: UnknownSession}
	}
	if len(command.Events) == 0 || (command.Kind == AppendEvent && len(command.Events) != 1) {
		return Result{Status: BadCommand, Head: existing.Head}
	}
	if result, repeated := existing.repeatedAppend(command); repeated {
		return result
	}
	if command.HasExpectedSeq && command.ExpectedSeq != existing.Head {
		return Result{Status: UnexpectedSeq, Head: existing.Head}
	}
	session := *existing
	if !session.appendBatch(command, view.clock) {
		return Result{Status: TurnClosed, Head: existing.Head}
	}
	session.UpdatedAt = view.clock
	first := existing.Head + 1
	session.recordProducer(Producer{Name: command.Producer, ProducerSeq: command.ProducerSeq, Seq: first, At: view.clock})
	view.setSession(&session)
	return Result{Seq: first, Head: session.Head}
}

// repeatedAppend returns the result of an append that was already applied, or that is older than
// the producer's last one. For an older append, Seq is that of the last one, as only the
// last one is recorded.
func (session *Session) repeatedAppend(command *Command) (result Result, repeated bool) {
	position := session.producerIndex(command.Producer)
	if position < 0 {
		return Result{}, false
	}
	last := session.Producers[position]
	if command.ProducerSeq == last.ProducerSeq {
		return Result{Seq: last.Seq, Head: session.Head, Deduped: true}, true
	}
	if command.ProducerSeq < last.ProducerSeq {
		return Result{Status: StaleProducer, Seq: last.Seq, Head: session.Head, Deduped: true}, true
	}
	return Result{}, false
}

func (session *Session) producerIndex(name string) int {
	return slices.IndexFunc(session.Producers, func(producer Producer) bool { return producer.Name == name })
}

// recordProducer replaces the recorded last append of a producer.
func (session *Session) recordProducer(last Producer) {
	session.Producers = slices.Clone(session.Producers)
	if position := session.producerIndex(last.Name); position >= 0 {
		session.Producers[position] = last
	} else {
		session.Producers = append(session.Producers, last)
	}
}

// appendBatch appends a command's events to an unpublished session. It returns false if one of
// them belongs to a run that is not open; the session must then be discarded.
func (session *Session) appendBatch(command *Command, clock int64) bool {
	openTurns := slices.Clone(session.OpenRuns)
	appended := make([]Event, 0, len(command.Events))
	for _, event := range command.Events {
		session.Head++
		event.Seq, event.At = session.Head, clock
		event.Producer, event.ProducerSeq = command.Producer, command.ProducerSeq
		if opensRun[event.Kind] {
			event.Run = event.Seq
			event.Deadline += clock
			openTurns = append(openTurns, event.Seq)
		}
		if (belongsToRun[event.Kind] || closesRun[event.Kind]) && !slices.Contains(openTurns, event.Run) {
			return false
		}
		if closesRun[event.Kind] {
			openTurns = slices.DeleteFunc(openTurns, func(turn uint64) bool { return turn == event.Run })
		}
		appended = append(appended, event)
	}
	session.OpenRuns = openTurns
	session.Unarchived = append(slices.Clip(session.Unarchived), appended...)
	return true
}

// appendEvent appends one event to an unpublished session and returns its Seq. Sharing the backing
// array of Unarchived with earlier views is safe: events are only appended to the newest version
// of a session, and earlier versions do not read beyond their own length.
func (session *Session) appendEvent(event Event) uint64 {
	session.Head++
	event.Seq = session.Head
	session.Unarchived = append(session.Unarchived, event)
	return event.Seq
}
