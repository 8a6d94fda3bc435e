package sessionlog

import "strconv"

// EventKind is the kind of an event. The numbers are stored.
type EventKind uint16

// The kinds of event.
const (
	// TurnBegun opens a turn and carries its input.
	TurnBegun EventKind = iota + 1
	// OutputPart is a part of an open turn's output.
	OutputPart
	// TurnEnded closes a turn with its outcome.
	TurnEnded
	// ToolCalled opens a tool call; ToolAnswered closes it with the result.
	ToolCalled
	ToolAnswered
	// HelperStarted records that a turn started a helper: a sub-agent with a session of its
	// own.
	HelperStarted
	// Fenced is recorded instead of TurnBegun, so that the turn can no longer begin.
	Fenced
	// TurnAdopted is a complete turn that was copied from another session because a turn of
	// this session continues it.
	TurnAdopted
	// RunJoined records that a request other than the one that began a run may have been sent to
	// the service that the run is bound to. Versions without it append it and pass it on.
	RunJoined
)

// The outcomes of a turn or tool call, as recorded by the event that ends it. The values are
// stored.
const (
	// OutcomeComplete: the answer is complete. For a turn of a program also: its data is stored,
	// so that others may continue it.
	OutcomeComplete = "complete"
	// OutcomeUnsaved: the answer of a program's turn is complete, but the turn's data is not
	// stored, so that no other may continue it. Earlier versions recorded OutcomeComplete.
	OutcomeUnsaved = "unsaved"
	// OutcomeInterrupted: the answer was interrupted.
	OutcomeInterrupted = "cut"
	// OutcomeNotRun: the turn never reached a runner, so it is safe to retry.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown: the turn may have run.
	OutcomeUnknown = "unknown"
)

// Event is one entry of a session. Times are in nanoseconds of the group's clock.
type Event struct {
	// Seq is the sequence number in the session, from 1. The state machine assigns it.
	Seq  uint64    `capnp:"seq"`
	At   int64     `capnp:"at"`
	Kind EventKind `capnp:"kind"`
	// Run is the Seq of the event that opened the run to which this one belongs.
	Run uint64 `capnp:"turn"`
	// Follows is the Seq of the first event of the turn that this one continues, or 0.
	Follows uint64 `capnp:"follows"`
	Text    string `capnp:"words"`
	Outcome string `capnp:"outcome"`
	Runner  string `capnp:"runner"`
	// Dispatch identifies the only attempt that may run the turn.
	Dispatch string `capnp:"dispatch"`
	Digest   string `capnp:"digest"`
	Name     string `capnp:"name"`
	// Part is the number of an OutputPart within its turn. In the TurnEnded of a program's
	// turn it is the number of output tokens.
	Part        uint64 `capnp:"part"`
	Producer    string `capnp:"producer"`
	ProducerSeq uint64 `capnp:"producerSeq"`
	// Config is the number of the configuration by which the turn was routed.
	Config uint64 `capnp:"config"`
	// Deadline is set in an event that opens a run: the time after which the run is overdue.
	// In a command it is relative; the state machine adds the group's clock.
	Deadline int64 `capnp:"deadline"`
	// Data is the input in the event that begins a turn, the output in the one that ends it.
	Data []byte `capnp:"data"`
	// Prefix names the shared prefix that precedes Data; "" is none.
	Prefix string `capnp:"opening"`
}

// A run is a turn or a tool call. It is open between the event that opens it and the event that
// closes it, and accepts events only while it is open. Closing a run therefore fences any node
// that is still executing it.
var (
	opensRun     = map[EventKind]bool{TurnBegun: true, ToolCalled: true}
	belongsToRun = map[EventKind]bool{OutputPart: true}
	closesRun    = map[EventKind]bool{TurnEnded: true, ToolAnswered: true}
)

// closingKinds maps the kind of event that opens a run to the kind that closes it.
var closingKinds = map[EventKind]EventKind{TurnBegun: TurnEnded, ToolCalled: ToolAnswered}

// ClosingKind returns the kind of event that closes a run opened by an event of the given kind,
// or 0 if that kind opens no run.
//
//	kind := sessionlog.ClosingKind(begun.Kind)
func ClosingKind(kind EventKind) EventKind { return closingKinds[kind] }

// CloseOverdue returns the command that closes a run whose node has failed. The producer and its
// number depend only on the run, so that concurrent closers close it once.
//
//	command := sessionlog.CloseOverdue(begun, sessionlog.OutcomeInterrupted)
func CloseOverdue(begun Event, outcome string) Command {
	return Command{Kind: AppendEvent, Producer: "closer/" + strconv.FormatUint(begun.Seq, 10), ProducerSeq: 1, Events: []Event{{
		Kind: closingKinds[begun.Kind], Run: begun.Seq, Outcome: outcome, Name: "overdue",
	}}}
}
