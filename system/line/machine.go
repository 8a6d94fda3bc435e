package line

import (
	"fmt"
	"iter"
	"slices"
	"sync/atomic"
	"time"

	"github.com/benbjohnson/immutable"

	"yardrock.example/system/mishap"
)

// ImageVersion is the newest checkpoint format that this program reads.
const ImageVersion = 1

// Snapshot is a group's content at one applied index. It never changes.
type Snapshot struct {
	sessions *immutable.Map[string, *Session]
	tallies  *immutable.Map[string, *Tally]
	clock    int64
}

// Session finds a line.
//
//	session, found := machine.Snapshot().Session("team/c-1")
func (snapshot *Snapshot) Session(name string) (*Session, bool) { return snapshot.sessions.Get(name) }

// Tally gives a tally; an unknown one is empty.
//
//	spent := machine.Snapshot().Tally("tally:team/helpdesk").Spent
func (snapshot *Snapshot) Tally(name string) Tally {
	if tally, found := snapshot.tallies.Get(name); found {
		return *tally
	}
	return Tally{Name: name}
}

// Sessions iterates over all lines.
//
//	for session := range snapshot.Sessions() { ... }
func (snapshot *Snapshot) Sessions() iter.Seq[*Session] { return values(snapshot.sessions) }

// Tallies iterates over all tallies.
//
//	for tally := range snapshot.Tallies() { ... }
func (snapshot *Snapshot) Tallies() iter.Seq[*Tally] { return values(snapshot.tallies) }

func values[Value any](source *immutable.Map[string, Value]) iter.Seq[Value] {
	return func(yield func(Value) bool) {
		iterator := source.Iterator()
		for !iterator.Done() {
			if _, value, _ := iterator.Next(); !yield(value) {
				return
			}
		}
	}
}

// Machine applies committed commands. One goroutine applies; any may read the
// published Snapshot.
type Machine struct {
	published atomic.Pointer[Snapshot]
}

// NewMachine makes an empty group.
//
//	machine := line.NewMachine()
func NewMachine() *Machine {
	machine := &Machine{}
	machine.published.Store(&Snapshot{sessions: immutable.NewMap[string, *Session](nil), tallies: immutable.NewMap[string, *Tally](nil)})
	return machine
}

// Snapshot gives the newest published content.
//
//	snapshot := machine.Snapshot()
func (machine *Machine) Snapshot() *Snapshot { return machine.published.Load() }

var commandHandlers = map[CommandKind]func(*Snapshot, *Command) Outcome{
	CreateSession: (*Snapshot).createSession,
	AppendEvent:   (*Snapshot).appendEvents,
	AppendEvents:  (*Snapshot).appendEvents,
	AckArchived:   (*Snapshot).ackArchived,
	Reserve:       (*Snapshot).reserve,
	Settle:        (*Snapshot).settle,
}

// Apply carries out one committed command and publishes the result.
//
//	outcome := machine.Apply(&line.Command{Kind: line.CreateSession, Line: "team/c-1", KeepFor: time.Hour})
func (machine *Machine) Apply(command *Command) Outcome {
	next := *machine.published.Load()
	next.clock = max(next.clock, command.Now)
	handler, known := commandHandlers[command.Kind]
	if !known {
		return Outcome{Status: BadCommand}
	}
	outcome := handler(&next, command)
	machine.published.Store(&next)
	return outcome
}

func (snapshot *Snapshot) createSession(command *Command) Outcome {
	if existing, found := snapshot.sessions.Get(command.Line); found {
		return Outcome{Head: existing.Head, Deduped: true}
	}
	snapshot.sessions = snapshot.sessions.Set(command.Line, &Session{
		Line: command.Line, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind,
		CreatedAt: snapshot.clock, TouchedAt: snapshot.clock, KeepFor: command.KeepFor,
	})
	return Outcome{}
}

// A run is open from the event that opens it to the one that closes it; nothing
// joins it before or after. Closing it therefore fences whoever still runs it.
var (
	opens   = map[EventKind]bool{TurnBegun: true, ToolCalled: true}
	belongs = map[EventKind]bool{Piece: true}
	closes  = map[EventKind]bool{TurnEnded: true, ToolAnswered: true}
)

func (snapshot *Snapshot) appendEvents(command *Command) Outcome {
	existing, found := snapshot.sessions.Get(command.Line)
	if !found {
		return Outcome{Status: UnknownLine}
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
	if command.Expects && command.ExpectedSeq != session.Head {
		return Outcome{Status: UnexpectedSeq, Head: session.Head}
	}
	first := session.Head + 1
	open := slices.Clone(session.OpenTurns)
	appended := make([]Event, 0, len(command.Events))
	for _, event := range command.Events {
		session.Head++
		event.Seq = session.Head
		event.At = snapshot.clock
		event.Producer, event.ProducerSeq = command.Producer, command.ProducerSeq
		if opens[event.Kind] {
			event.Turn = event.Seq
			open = append(open, event.Seq)
		}
		if (belongs[event.Kind] || closes[event.Kind]) && !slices.Contains(open, event.Turn) {
			return Outcome{Status: TurnClosed, Head: existing.Head}
		}
		if closes[event.Kind] {
			open = slices.DeleteFunc(open, func(turn uint64) bool { return turn == event.Turn })
		}
		appended = append(appended, event)
	}
	session.OpenTurns = open
	session.Hot = append(slices.Clip(session.Hot), appended...)
	session.TouchedAt = snapshot.clock
	session.Producers = slices.Clone(session.Producers)
	entry := Producer{Name: command.Producer, ProducerSeq: command.ProducerSeq, Seq: first, At: snapshot.clock}
	if at >= 0 {
		session.Producers[at] = entry
	} else {
		session.Producers = append(session.Producers, entry)
	}
	snapshot.sessions = snapshot.sessions.Set(session.Line, &session)
	return Outcome{Seq: first, Head: session.Head}
}

// ackArchived advances archive progress, evicts what the cold store holds, and
// forgets lines and producers whose keeping time is over by the leader's clock.
func (snapshot *Snapshot) ackArchived(command *Command) Outcome {
	for _, ack := range command.Acks {
		existing, found := snapshot.sessions.Get(ack.Line)
		if !found || ack.ArchivedSeq <= existing.ArchivedSeq || ack.ArchivedSeq > existing.Head {
			continue
		}
		session := *existing
		session.ArchivedSeq = ack.ArchivedSeq
		session.Hot = slices.Clone(session.Hot[ack.ArchivedSeq-existing.ArchivedSeq:])
		snapshot.sessions = snapshot.sessions.Set(session.Line, &session)
	}
	now := time.Unix(0, snapshot.clock)
	for session := range snapshot.Sessions() {
		if session.Expires().Before(now) {
			snapshot.sessions = snapshot.sessions.Delete(session.Line)
		}
	}
	return Outcome{}
}

func (snapshot *Snapshot) reserve(command *Command) Outcome {
	tally := snapshot.Tally(command.Line)
	answer := func(status Status, deduped bool) Outcome {
		return Outcome{Status: status, Deduped: deduped, Spent: tally.Spent, Reserved: tally.Reserved()}
	}
	for _, reservation := range tally.Reservations {
		if reservation.Name == command.Reservation {
			return answer(Done, true)
		}
	}
	reserved := tally.Reserved()
	fits := tally.Spent+reserved+command.Words <= command.Allowance
	lastTurn := reserved == 0 && tally.Spent < command.Allowance
	if !fits && !lastTurn {
		return answer(AllowanceExhausted, false)
	}
	tally.Reservations = append(slices.Clip(tally.Reservations), Reservation{Name: command.Reservation, Words: command.Words})
	snapshot.tallies = snapshot.tallies.Set(command.Line, &tally)
	return answer(Done, false)
}

func (snapshot *Snapshot) settle(command *Command) Outcome {
	tally := snapshot.Tally(command.Line)
	at := slices.IndexFunc(tally.Reservations, func(reservation Reservation) bool { return reservation.Name == command.Reservation })
	if at < 0 {
		return Outcome{Deduped: true, Spent: tally.Spent, Reserved: tally.Reserved()}
	}
	tally.Spent += min(command.Words, tally.Reservations[at].Words)
	tally.Reservations = slices.Delete(slices.Clone(tally.Reservations), at, at+1)
	snapshot.tallies = snapshot.tallies.Set(command.Line, &tally)
	return Outcome{Spent: tally.Spent, Reserved: tally.Reserved()}
}

// Image copies a snapshot's content for a checkpoint.
//
//	image := machine.Snapshot().Image()
func (snapshot *Snapshot) Image() Image {
	image := Image{Version: ImageVersion, Clock: snapshot.clock}
	for session := range snapshot.Sessions() {
		image.Sessions = append(image.Sessions, *session)
	}
	for tally := range snapshot.Tallies() {
		image.Tallies = append(image.Tallies, *tally)
	}
	return image
}

// Restore replaces the whole content by a checkpoint's.
//
//	err := machine.Restore(image)
func (machine *Machine) Restore(image Image) error {
	if image.Version > ImageVersion {
		return mishap.New(mishap.FormatTooNew, fmt.Sprintf("checkpoint of format %d, this program knows up to %d", image.Version, ImageVersion), "run the newer version of the program")
	}
	sessions := immutable.NewMapBuilder[string, *Session](nil)
	for _, session := range image.Sessions {
		sessions.Set(session.Line, &session)
	}
	tallies := immutable.NewMapBuilder[string, *Tally](nil)
	for _, tally := range image.Tallies {
		tallies.Set(tally.Name, &tally)
	}
	machine.published.Store(&Snapshot{sessions: sessions.Map(), tallies: tallies.Map(), clock: image.Clock})
	return nil
}
