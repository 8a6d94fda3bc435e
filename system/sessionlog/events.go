package sessionlog

import "strconv"

// EventKind tells what an event of a session records. Its numbers are stored.
type EventKind uint16

// The kinds of event.
const (
	// TurnBegun opens a turn and carries its input.
	TurnBegun EventKind = iota + 1
	// OutputPart is a part of an open turn's output.
	OutputPart
	// TurnEnded closes a turn with its outcome.
	TurnEnded
	// ToolCalled opens a call of a tool, ToolAnswered closes it with the result.
	ToolCalled
	ToolAnswered
	// HelperStarted records that a turn started a sub-agent with a session of its own.
	HelperStarted
	// Fenced stands in place of a TurnBegun, so that the turn can never begin later.
	Fenced
	// TurnAdopted is a completed turn, copied from another session that a turn of this one
	// continues.
	TurnAdopted
)

// The outcomes that a TurnEnded or ToolAnswered event may record. The texts are stored.
const (
	// OutcomeComplete: the answer is complete.
	OutcomeComplete = "complete"
	// OutcomeCut: the answer was broken off.
	OutcomeCut = "cut"
	// OutcomeNotRun: the turn never reached a runner, so it may safely be sent again.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown: the turn may have run.
	OutcomeUnknown = "unknown"
)

// Event is one entry of a session. Times are nanoseconds of the group's clock.
type Event struct {
	// Seq is the position in the session, from 1. The state machine assigns it.
	Seq  uint64    `capnp:"seq"`
	At   int64     `capnp:"at"`
	Kind EventKind `capnp:"kind"`
	// Turn is the Seq of the event that opened the run to which this one belongs.
	Turn uint64 `capnp:"turn"`
	// Follows is the Seq of the beginning of the turn that this one continues, or 0.
	Follows uint64 `capnp:"follows"`
	Text    string `capnp:"words"`
	Outcome string `capnp:"outcome"`
	Runner  string `capnp:"runner"`
	// Dispatch names the attempt that may run the turn.
	Dispatch string `capnp:"dispatch"`
	Digest   string `capnp:"digest"`
	Name     string `capnp:"name"`
	// Part is the number of an OutputPart within its turn; in the TurnEnded of a program's
	// turn, the tokens that were put out.
	Part        uint64 `capnp:"part"`
	Producer    string `capnp:"producer"`
	ProducerSeq uint64 `capnp:"producerSeq"`
	// Config is the number of the configuration by which the turn was routed.
	Config uint64 `capnp:"config"`
	// Deadline is set in an event that opens a run: the time after which the run is overdue.
	// In a command it is a duration, to which the state machine adds the group's clock.
	Deadline int64 `capnp:"deadline"`
	// Data is a turn's input in its beginning, and its output in its end.
	Data []byte `capnp:"data"`
	// Prefix names the shared prefix that comes before Data; "" is none.
	Prefix string `capnp:"opening"`
}

// A run is a turn or a tool call. It is open from the event that opens it to the one that
// closes it, and events belong to it only in between. So closing a run fences whoever may
// still work on it.
var (
	opensRun     = map[EventKind]bool{TurnBegun: true, ToolCalled: true}
	belongsToRun = map[EventKind]bool{OutputPart: true}
	closesRun    = map[EventKind]bool{TurnEnded: true, ToolAnswered: true}
)

// closingKinds has the kind that closes a run by the one that opens it.
var closingKinds = map[EventKind]EventKind{TurnBegun: TurnEnded, ToolCalled: ToolAnswered}

// ClosingKind returns the kind of event that closes a run which a kind opens, or 0 if it
// opens none.
//
//	kind := sessionlog.ClosingKind(begun.Kind)
func ClosingKind(kind EventKind) EventKind { return closingKinds[kind] }

// CloseOverdue returns the command that closes a run whose node has failed. Everybody who
// closes a run this way uses the same producer and number, so it is closed once.
//
//	command := sessionlog.CloseOverdue(begun, sessionlog.OutcomeCut)
func CloseOverdue(begun Event, outcome string) Command {
	return Command{Kind: AppendEvent, Producer: "closer/" + strconv.FormatUint(begun.Seq, 10), ProducerSeq: 1, Events: []Event{{
		Kind: closingKinds[begun.Kind], Turn: begun.Seq, Outcome: outcome, Name: "overdue",
	}}}
}
