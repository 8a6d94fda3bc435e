package sessionlog

import "time"

// CommandKind selects the operation of a command. The numbers are stored in the log.
type CommandKind uint16

// The kinds of command. The first four are those of the Starcite paper. Reserve and Settle
// maintain the quota usage of programs. BeginTurn and EndTurn each combine in one commit all
// changes that the beginning or end of a program's turn requires.
const (
	// CreateSession creates a session. A repeat returns Deduped and the session's head.
	CreateSession CommandKind = iota + 1
	// AppendEvent appends one event to a session.
	AppendEvent
	// AppendEvents appends a batch of events, all or none.
	AppendEvents
	// AckArchived advances the archive progress of the sessions in Acks and evicts their
	// archived events. It also removes expired sessions and idle prefixes.
	AckArchived
	// Reserve reserves words of a quota for a turn that is about to run.
	Reserve
	// Settle replaces a reservation with the number of words that the turn used.
	Settle
	// BeginTurn creates the session if it is absent, reserves tokens and records a turn's
	// input.
	BeginTurn
	// EndTurn records a turn's output and outcome and settles its tokens.
	EndTurn
	// SharePrefix stores a prefix once for the group. Those sessions in Acks whose first
	// turns begin with the prefix then refer to it.
	SharePrefix
	// BeginTurnWithPrefix is a BeginTurn whose input is a shared prefix of the group followed
	// by Data. It is a separate kind so that versions without shared prefixes reject it.
	BeginTurnWithPrefix
)

// Ack names a session and, in AckArchived, the sequence number up to which its events are
// archived.
type Ack struct {
	Session     string
	ArchivedSeq uint64
}

// Command is one entry of a group's log. Kind determines which fields are used. All times and
// durations are in nanoseconds of the group's clock.
type Command struct {
	Kind CommandKind
	// Session names the session to change; for Reserve and Settle, the quota.
	Session string
	// Now is the leader's estimate of the group's clock when it proposed the command. It may
	// be behind real time but is never ahead of it, so that nothing expires early.
	Now int64
	// Retention is the minimum time that the session is kept after its last change.
	Retention time.Duration
	// Team, Program and WorkKind describe a session that the command creates.
	Team     string
	Program  string
	WorkKind string
	// Producer and ProducerSeq make appends idempotent: a producer numbers its appends to a
	// session in increasing order, and each number is appended at most once. For turns of
	// programs, Producer is the turn's name.
	Producer    string
	ProducerSeq uint64
	// ExpectedSeq is a precondition if HasExpectedSeq is set: an append succeeds only if it
	// is the session's head, BeginTurn only if the followed turn ended at it.
	HasExpectedSeq bool
	ExpectedSeq    uint64
	// Events are the events to append: exactly one for AppendEvent, at least one for
	// AppendEvents.
	Events []Event
	// Reservation names the reservation of Reserve and Settle. Words is the number of words
	// to reserve, or that were used.
	Reservation string
	Words       uint64
	// Quota limits the sum of what is spent and reserved: in words for Reserve, in tokens for
	// BeginTurn (if HasQuota is set).
	Quota uint64
	Acks  []Ack
	// Lifetime is the time after which package store settles an abandoned reservation (Reserve),
	// or after which an open turn counts as interrupted (BeginTurn).
	Lifetime time.Duration

	// The fields below are for turns of programs.

	// Follows names the turn that this one continues; "" starts a new history.
	Follows string
	// Dispatch identifies the only attempt that may run the turn.
	Dispatch string
	// Outcome records how a turn ended (see OutcomeComplete).
	Outcome string
	// Data is a turn's input or output, or the content of a prefix.
	Data []byte
	// Tokens is the maximum number of output tokens (BeginTurn) or the actual number
	// (EndTurn).
	Tokens   uint64
	HasQuota bool
	// KeepData stores Data in the event, so that later turns can continue from it.
	KeepData bool
	// Adopted has the turns that lead to Follows, oldest first, if they are in another
	// session.
	Adopted []AdoptedTurn
	// Scope identifies the set of sessions that may share prefixes; "" shares none.
	Scope string
	// Prefix names the shared prefix that precedes Data (BeginTurnWithPrefix).
	Prefix string
	// Conversation names the sequence of turns within the program to which a turn belongs.
	Conversation string
	// Runner and PromptTokens become the CacheLocation of the conversation (EndTurn). Runner
	// is "" if no runner started to answer.
	Runner       string
	PromptTokens uint64
}

// AdoptedTurn is a complete turn copied from another session. Data is its input followed by its
// output.
type AdoptedTurn struct {
	Name string `capnp:"name"`
	Data []byte `capnp:"data"`
}

// Status is the status of an applied command. The numbers are part of the wire protocol.
type Status uint16

// The statuses of a command. With any other than Done the content is unchanged.
const (
	Done Status = iota
	// UnknownSession: no session of that name exists, or it was removed.
	UnknownSession
	// UnexpectedSeq: the precondition ExpectedSeq does not hold.
	UnexpectedSeq
	// TurnClosed: the run is not open, or the turn was ended as not run or with another outcome.
	TurnClosed
	// StaleProducer: the producer has already appended a higher ProducerSeq, or the
	// reservation is already settled.
	StaleProducer
	// QuotaExceeded: the quota does not cover what the command requests.
	QuotaExceeded
	// BadCommand: the command is malformed or of an unknown kind.
	BadCommand
	// UnknownTurn: the session has no turn of that name.
	UnknownTurn
	// TurnOpen: the turn to continue has not ended yet.
	TurnOpen
	// TurnIncomplete: the turn to continue ended, or passed its deadline, without a complete
	// answer.
	TurnIncomplete
	// TurnTaken: another dispatch began the turn, or it has ended already.
	TurnTaken
	// UnknownPrefix: the group has no such prefix in that scope, or it was freed.
	UnknownPrefix
	// TooManyPrefixes: the scope already has the maximum number of prefixes in the group.
	TooManyPrefixes
)

// Result reports how a command was applied. Seq is the sequence number of the first event that the
// command appended or, if Deduped is set, that an earlier copy of it appended. Head is the
// session's last sequence number. Spent and Reserved are the quota usage after the command:
// in words for a quota, in tokens for a session. Runner and CachedTokens are the CacheLocation
// of the conversation of a turn that began.
type Result struct {
	Status   Status
	Seq      uint64
	Head     uint64
	Deduped  bool
	Spent    uint64
	Reserved uint64

	Runner       string
	CachedTokens uint64
}
