package sessionlog

import (
	"time"
)

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
