package sessionlog

import "time"

// CommandKind selects what a command does. Its numbers are stored in the log.
type CommandKind uint16

// The commands. The first four are those of the Starcite paper; Reserve and Settle keep the
// quota usage of programs; BeginTurn and EndTurn each do in one commit all that a turn of a
// program needs at its beginning or end.
const (
	// CreateSession creates a session; a repeat answers with Deduped and the session's head.
	CreateSession CommandKind = iota + 1
	// AppendEvent appends one event to a session.
	AppendEvent
	// AppendEvents appends a batch of events, all or none.
	AppendEvents
	// AckArchived advances the archive progress of the sessions in Acks and evicts their
	// archived events. It also removes expired sessions and idle prefixes.
	AckArchived
	// Reserve sets words of a quota aside for a turn that is about to run.
	Reserve
	// Settle replaces a reservation by the words that the turn really used.
	Settle
	// BeginTurn creates the session if need be, reserves tokens and records a turn's input.
	BeginTurn
	// EndTurn records a turn's output and outcome and settles its tokens.
	EndTurn
	// SharePrefix stores a prefix once for the group, and makes the sessions in Acks refer
	// to it whose first turns begin with it.
	SharePrefix
	// BeginTurnWithPrefix is BeginTurn whose Data follows on a shared prefix of the group. It
	// has a number of its own so that a program which knows no prefixes rejects it.
	BeginTurnWithPrefix
)

// Ack names a session, and in AckArchived the sequence number up to which its events are in
// the archive.
type Ack struct {
	Session     string
	ArchivedSeq uint64
}

// Command is one entry of a group's log. Which fields count depends on Kind; all durations
// and times are nanoseconds by the group's clock.
type Command struct {
	Kind CommandKind
	// Session names the session to change; for Reserve and Settle, the quota.
	Session string
	// Now is the group's clock as its leader carried it on when it proposed the command. It
	// may be behind the real time, never ahead, so that nothing expires early.
	Now int64
	// Retention is how long the session is kept after its last change, at least.
	Retention time.Duration
	// Team, Program and WorkKind describe a session that the command creates.
	Team     string
	Program  string
	WorkKind string
	// Producer and ProducerSeq make appends idempotent: a producer numbers its appends to a
	// session in increasing order, and a number is appended once. In turns of programs
	// Producer is the turn's name.
	Producer    string
	ProducerSeq uint64
	// ExpectedSeq counts if HasExpectedSeq is set. An append then succeeds only if it is the
	// session's head; BeginTurn only if the followed turn ended there.
	HasExpectedSeq bool
	ExpectedSeq    uint64
	// Events are appended by AppendEvent (one) and AppendEvents.
	Events []Event
	// Reservation names what Reserve reserves and Settle settles, Words is how many words.
	Reservation string
	Words       uint64
	// Quota is the limit that Spent and reserved together may reach: in words for Reserve,
	// in tokens for BeginTurn (if HasQuota is set).
	Quota uint64
	Acks  []Ack
	// Lifetime is how long a reservation lasts before the settler looks into it, or how long
	// a turn may stay open.
	Lifetime time.Duration

	// The fields below are for turns of programs.

	// Follows names the turn that this one continues; "" begins a history.
	Follows string
	// Dispatch names the one attempt that may run the turn.
	Dispatch string
	// Outcome is how a turn ended, one of the Outcome constants.
	Outcome string
	// Data is a turn's input or output, or the content of a prefix.
	Data []byte
	// Tokens is the most that a turn may put out (BeginTurn) or what it did put out (EndTurn).
	Tokens   uint64
	HasQuota bool
	// KeepData records Data in the event, so that later turns may continue from it.
	KeepData bool
	// Adopted are the turns that lead to Follows, oldest first, if another session has them.
	Adopted []AdoptedTurn
	// Scope is whose sessions may share prefixes with each other; "" shares none.
	Scope string
	// Prefix names the shared prefix that Data follows on (BeginTurnWithPrefix).
	Prefix string
	// Conversation names the line of turns within the program to which a turn belongs.
	Conversation string
	// Runner and PromptTokens become the CacheLocation of the conversation (EndTurn); "" if no
	// runner began to answer.
	Runner       string
	PromptTokens uint64
}

// AdoptedTurn is a completed turn of another session: its input with its output.
type AdoptedTurn struct {
	Name string `capnp:"name"`
	Data []byte `capnp:"data"`
}

// Status tells how a command ended. Its numbers go over the wire.
type Status uint16

// The ways a command can end. All but Done leave the content as it was.
const (
	Done Status = iota
	// UnknownSession: there is no session of that name (any more).
	UnknownSession
	// UnexpectedSeq: ExpectedSeq does not hold.
	UnexpectedSeq
	// TurnClosed: the turn has ended otherwise, or must never begin.
	TurnClosed
	// StaleProducer: the producer has appended a later number already, or the reservation
	// is settled.
	StaleProducer
	// QuotaExceeded: the quota does not cover what the command asks for.
	QuotaExceeded
	// BadCommand: the command is malformed or of an unknown kind.
	BadCommand
	// UnknownTurn: the session has no turn of the name that was given.
	UnknownTurn
	// TurnOpen: the turn to continue has not ended yet.
	TurnOpen
	// TurnIncomplete: the turn to continue was not answered completely, and never will be.
	TurnIncomplete
	// TurnTaken: another dispatch began the turn, or it has ended.
	TurnTaken
	// UnknownPrefix: the group has no such prefix for that scope (any more).
	UnknownPrefix
	// TooManyPrefixes: the scope has maxPrefixesPerScope prefixes.
	TooManyPrefixes
)

// Outcome is the result of applying a command. Seq is the sequence number of the first event
// that was appended (now or, with Deduped, by an earlier copy of the command), Head the
// session's last one. Spent and Reserved are the quota usage after the command, in words of
// the quota or tokens of the session. Runner and CachedTokens are the CacheLocation of the
// conversation whose turn a BeginTurn began.
type Outcome struct {
	Status   Status
	Seq      uint64
	Head     uint64
	Deduped  bool
	Spent    uint64
	Reserved uint64

	Runner       string
	CachedTokens uint64
}
