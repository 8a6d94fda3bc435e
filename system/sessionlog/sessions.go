package sessionlog

import (
	"slices"
	"time"
)

// Session is one line as of a view. It is never changed once published.
type Session struct {
	Name        string
	Team        string
	Program     string
	WorkKind    string
	CreatedAt   int64
	Retention   time.Duration
	UpdatedAt   int64
	Head        uint64
	ArchivedSeq uint64
	Producers   []Producer
	Unarchived  []Event
	OpenTurns   []uint64
	// Until is the least time to which the line is kept, by the group's clock.
	RetainUntil int64
	// Spent and Reserved are the tokens of a program's turns: those that were put out,
	// and those that open turns may still put out.
	Spent    uint64
	Reserved uint64
	// Turns names the line's turns in the order in which they began.
	Turns []string
	// Prefixes names those that events of the line refer to, archived ones too.
	Prefixes []string
}

// Producer is the last append that one producer made.
type Producer struct {
	Name        string
	ProducerSeq uint64
	Seq         uint64
	At          int64
}

func (view *View) createSession(command *Command) Outcome {
	if existing, found := view.sessions.Get(command.Session); found {
		return Outcome{Head: existing.Head, Deduped: true}
	}
	made := &Session{
		Name: command.Session, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind,
		CreatedAt: view.clock, UpdatedAt: view.clock, Retention: command.Retention,
	}
	view.sessions = view.sessions.Set(command.Session, made)
	view.expiries = view.expiries.Set(expiryKey(made), made.Name)
	return Outcome{}
}

func (view *View) appendEvents(command *Command) Outcome {
	existing, found := view.sessions.Get(command.Session)
	if !found {
		return Outcome{Status: UnknownSession}
	}
	if len(command.Events) == 0 || (command.Kind == AppendEvent && len(command.Events) != 1) {
		return Outcome{Status: BadCommand, Head: existing.Head}
	}
	session := *existing
	at := slices.IndexFunc(session.Producers, func(producer Producer) bool { return producer.Name == command.Producer })
	if at >= 0 {
		last := session.Producers[at]
		if command.ProducerSeq == last.ProducerSeq {
			return Outcome{Seq: last.Seq, Head: session.Head, Deduped: true}
		}
		if command.ProducerSeq < last.ProducerSeq {
			return Outcome{Status: StaleProducer, Seq: last.Seq, Head: session.Head, Deduped: true}
		}
	}
	if command.HasExpectedSeq && command.ExpectedSeq != session.Head {
		return Outcome{Status: UnexpectedSeq, Head: session.Head}
	}
	first := session.Head + 1
	open := slices.Clone(session.OpenTurns)
	appended := make([]Event, 0, len(command.Events))
	for _, event := range command.Events {
		session.Head++
		event.Seq = session.Head
		event.At = view.clock
		event.Producer, event.ProducerSeq = command.Producer, command.ProducerSeq
		if opensRun[event.Kind] {
			event.Turn = event.Seq
			event.Deadline += view.clock
			open = append(open, event.Seq)
		}
		if (belongsToRun[event.Kind] || closesRun[event.Kind]) && !slices.Contains(open, event.Turn) {
			return Outcome{Status: TurnClosed, Head: existing.Head}
		}
		if closesRun[event.Kind] {
			open = slices.DeleteFunc(open, func(turn uint64) bool { return turn == event.Turn })
		}
		appended = append(appended, event)
	}
	session.OpenTurns = open
	session.Unarchived = append(slices.Clip(session.Unarchived), appended...)
	session.UpdatedAt = view.clock
	session.Producers = slices.Clone(session.Producers)
	entry := Producer{Name: command.Producer, ProducerSeq: command.ProducerSeq, Seq: first, At: view.clock}
	if at >= 0 {
		session.Producers[at] = entry
	} else {
		session.Producers = append(session.Producers, entry)
	}
	view.sessions = view.sessions.Set(session.Name, &session)
	if len(existing.Unarchived) == 0 {
		view.unarchived = view.unarchived.Set(session.Name, struct{}{})
	}
	return Outcome{Seq: first, Head: session.Head}
}

// appendEvent adds an event to a session that is not published yet. Only the newest session of
// a line is ever added to, so sessions of earlier views share the events before it.
func (session *Session) appendEvent(event Event) uint64 {
	session.Head++
	event.Seq = session.Head
	session.Unarchived = append(session.Unarchived, event)
	return event.Seq
}
