// Package line is the state machine of one group of lines: sessions with their
// ordered events, producer dedupe, archive progress, and spending tallies. It is
// pure: time comes only from the leader's commands, so replicas agree.
package sessionlog

import (
	"strings"
	"time"
)

// EventKind tells what an event of a line records.
type EventKind uint16

// The kinds of event.
const (
	TurnBegun EventKind = iota + 1
	OutputPart
	TurnEnded
	ToolCalled
	ToolAnswered
	HelperStarted
	// Fenced takes the place of a TurnBegun, so that it can never begin later.
	Fenced
	// TurnAdopted is a whole turn of another line that a turn of this one goes on from.
	TurnAdopted
)

// The outcomes that a TurnEnded or ToolAnswered event may record.
const (
	OutcomeComplete = "complete"
	OutcomeCut      = "cut"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// Event is one entry of a line. Its Seq is given by the group's leader. At and
// Deadline are by the group's clock; a command gives Deadline as a duration.
type Event struct {
	Seq         uint64    `capnp:"seq"`
	At          int64     `capnp:"at"`
	Kind        EventKind `capnp:"kind"`
	Turn        uint64    `capnp:"turn"`
	Follows     uint64    `capnp:"follows"`
	Text        string    `capnp:"words"`
	Outcome     string    `capnp:"outcome"`
	Runner      string    `capnp:"runner"`
	Dispatch    string    `capnp:"dispatch"`
	Digest      string    `capnp:"digest"`
	Name        string    `capnp:"name"`
	Part        uint64    `capnp:"part"`
	Producer    string    `capnp:"producer"`
	ProducerSeq uint64    `capnp:"producerSeq"`
	Config      uint64    `capnp:"config"`
	Deadline    int64     `capnp:"deadline"`
	// Data is a turn's input in its beginning, and its output in its end.
	Data []byte `capnp:"data"`
	// Prefix names what comes before Data; "" is nothing.
	Prefix string `capnp:"opening"`
}

// CommandKind selects what a command does.
type CommandKind uint16

// The commands. The first four are Starcite's; the next two keep tallies; the last two
// each do at once all that a turn of a program needs at its beginning or its end.
const (
	CreateSession CommandKind = iota + 1
	AppendEvent
	AppendEvents
	AckArchived
	Reserve
	Settle
	BeginTurn
	EndTurn
	// SharePrefix lets a group hold an opening once, and refers the lines to it that
	// are named in Acks and still hold it whole.
	SharePrefix
	// BeginTurnWithPrefix is BeginTurn whose Data comes after an opening that the group holds.
	// It has a number of its own, so that a program that knows no openings refuses it.
	BeginTurnWithPrefix
)

// Ack tells how far a line's events are in the cold store.
type Ack struct {
	Session     string
	ArchivedSeq uint64
}

// Command is what the leader puts into the log. Now is the group's clock as its
// leader carries it on: it never runs ahead of the time that went by.
type Command struct {
	Kind           CommandKind
	Session        string
	Now            int64
	Retention      time.Duration
	Team           string
	Program        string
	WorkKind       string
	Producer       string
	ProducerSeq    uint64
	HasExpectedSeq bool
	ExpectedSeq    uint64
	Events         []Event
	Reservation    string
	Words          uint64
	Quota          uint64
	Acks           []Ack
	// Lifetime is how long a reservation may be out before it is looked into, or a turn be
	// open.
	Lifetime time.Duration

	// What follows is for turns of programs, whose name is Producer. Data is the input
	// or the output, Tokens what may be or was put out.
	Follows  string
	Dispatch string
	Outcome  string
	Data     []byte
	Tokens   uint64
	HasQuota bool
	KeepData bool
	Adopted  []AdoptedTurn
	// Scope is whose opening may be shared; "" shares none. Opening names the one that
	// Data follows.
	Scope  string
	Prefix string
}

// AdoptedTurn is a turn that was answered whole in another line: its input with its
// output.
type AdoptedTurn struct {
	Name string `capnp:"name"`
	Data []byte `capnp:"data"`
}

// Status tells how a command ended.
type Status uint16

// The ways a command can end.
const (
	Done Status = iota
	UnknownSession
	UnexpectedSeq
	TurnClosed
	StaleProducer
	QuotaExceeded
	BadCommand
	// UnknownTurn: the line knows no turn of the name that was given.
	UnknownTurn
	// TurnOpen: the turn to go on from has not ended yet.
	TurnOpen
	// TurnIncomplete: the turn to go on from was not answered whole, and never will be.
	TurnIncomplete
	// TurnTaken: another dispatch began the turn, or it has ended.
	TurnTaken
	// UnknownPrefix: the group holds no such opening for that scope (any more).
	UnknownPrefix
	// TooManyPrefixes: the scope has as many openings as it may.
	TooManyPrefixes
)

// Outcome is what applying a command answers.
type Outcome struct {
	Status   Status
	Seq      uint64
	Head     uint64
	Deduped  bool
	Spent    uint64
	Reserved uint64
}

// Producer is the last append that one producer made.
type Producer struct {
	Name        string
	ProducerSeq uint64
	Seq         uint64
	At          int64
}

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

// ExpiresAt tells when the line's keeping time ends.
//
//	if session.ExpiresAt().Before(now) { ... }
func (session *Session) ExpiresAt() time.Time {
	return time.Unix(0, max(session.UpdatedAt+int64(session.Retention), session.RetainUntil))
}

// Reservation is what a running turn may still speak, and until when by the
// group's clock it may be out.
type Reservation struct {
	Name      string
	Words     uint64
	ExpiresAt int64
}

// ReservationName names a turn's reservation after its line and its dispatch, so
// that whoever finds it can look what became of the turn.
//
//	name := line.ReservationName("team/c-1", dispatch)
func ReservationName(sessionName, dispatch string) string {
	return sessionName + reservationSeparator + dispatch
}

const reservationSeparator = "|"

// Turn gives the line and the dispatch that a reservation is for.
//
//	sessionName, dispatch := reservation.Turn()
func (reservation Reservation) Turn() (string, string) {
	sessionName, dispatch, _ := strings.Cut(reservation.Name, reservationSeparator)
	return sessionName, dispatch
}

// QuotaName names the tally of a team's program for a period.
//
//	name := line.QuotaName("depot", "dialogue", "first")
func QuotaName(team, program, period string) string {
	return "tally:" + team + "/" + program + "/" + period
}

// QuotaUsage is a program's spending. What is reserved counts as spent. Settled holds,
// for a while, what was settled, so that a late Reserve can't reserve it again.
type QuotaUsage struct {
	Name         string
	Spent        uint64
	Reservations []Reservation
	Settled      []Reservation
}

// Reserved sums what running turns may still speak.
//
//	used := tally.Spent + tally.Reserved()
func (usage *QuotaUsage) Reserved() uint64 {
	total := uint64(0)
	for _, reservation := range usage.Reservations {
		total += reservation.Words
	}
	return total
}

// Snapshot is a group's whole content, as checkpoints carry it.
type Snapshot struct {
	Version     uint32
	Clock       int64
	Sessions    []Session
	QuotaUsages []QuotaUsage
	Turns       []TurnRecord
	Prefixes    []SharedPrefixRecord
}
