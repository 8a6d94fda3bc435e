package sessionlog

import (
	"strconv"
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

// A run is open from the event that opens it to the one that closes it; nothing
// joins it before or after. Closing it therefore fences whoever still runs it.
var (
	opensRun     = map[EventKind]bool{TurnBegun: true, ToolCalled: true}
	belongsToRun = map[EventKind]bool{OutputPart: true}
	closesRun    = map[EventKind]bool{TurnEnded: true, ToolAnswered: true}
)

var closingKinds = map[EventKind]EventKind{TurnBegun: TurnEnded, ToolCalled: ToolAnswered}

// ClosingKind tells which kind of event closes a run.
//
//	kind := line.ClosingKind(begun.Kind)
func ClosingKind(openingKind EventKind) EventKind { return closingKinds[openingKind] }

// CloseOverdue makes the command that closes a run whose node is gone. Whoever
// closes it uses the same producer pair, so it is closed once.
//
//	command := line.CloseOverdue(begun, line.OutcomeCut)
func CloseOverdue(begun Event, outcome string) Command {
	return Command{Kind: AppendEvent, Producer: "closer/" + strconv.FormatUint(begun.Seq, 10), ProducerSeq: 1, Events: []Event{{
		Kind: closingKinds[begun.Kind], Turn: begun.Seq, Outcome: outcome, Name: "overdue",
	}}}
}
