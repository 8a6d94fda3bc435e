// Package conversation folds the events of a session into a read model: the runs, how each of
// them ended, and the messages of the chain of turns that leads to one of them. It also counts
// words, the unit of quotas and of recorded output.
//
// A View is built once from all events of a session and holds no resources. It may be read
// concurrently as long as its fields are not modified.
package conversation

import (
	"cmp"
	"slices"
	"strings"

	"yardrock.example/system/runnerclient"
	"yardrock.example/system/sessionlog"
)

// Run is a turn or a tool call of a session; other recorded requests are stored as turns. One
// event opens it, any number of events record parts of its output, and one event closes it.
type Run struct {
	// Begun is the event that opened the run.
	Begun sessionlog.Event
	// Parts are the recorded parts of the output, in session order.
	Parts []sessionlog.Event
	// Ended is the event that closed the run; nil while it is open.
	Ended *sessionlog.Event
}

// Complete reports whether the run ended with a complete answer.
//
//	if !turn.Complete() { ... }
func (run *Run) Complete() bool {
	return run.Ended != nil && run.Ended.Outcome == sessionlog.OutcomeComplete
}

// Overdue reports whether the run is still open after its deadline. clock is the clock of the
// session's group, in nanoseconds. The front of an overdue run is presumed to have failed.
//
//	if turn.Overdue(reply.Clock) { ... }
func (run *Run) Overdue(clock int64) bool {
	return run.Ended == nil && clock > run.Begun.Deadline
}

// Output returns the recorded parts of the run's output, joined in the order of their numbers.
//
//	answer := turn.Output()
func (run *Run) Output() string {
	var text strings.Builder
	parts := slices.Clone(run.Parts)
	slices.SortFunc(parts, func(left, right sessionlog.Event) int { return cmp.Compare(left.Part, right.Part) })
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	return text.String()
}

// WordCount returns the number of words that a turn uses of its quota: those of its input,
// without the history, and those of its recorded output.
//
//	words := turn.WordCount()
func (run *Run) WordCount() uint64 {
	return CountWords(run.Begun.Text) + CountWords(run.Output())
}

// View is the read model of a session.
type View struct {
	// Head is the sequence number of the newest event, or 0 if there are no events.
	Head uint64
	// Clock is the clock of the session's group when the events were read, in nanoseconds.
	// Fold leaves it at 0.
	Clock int64

	runsBySeq        map[uint64]*Run
	runs             []*Run // in session order
	startsByProducer map[string]sessionlog.Event
}

// Fold builds a view of a session. events must be all of its events from the first on: Fold
// expects the opening event of a run before its parts and its closing event, which the session's
// state machine guarantees.
//
//	view := conversation.Fold(events)
func Fold(events []sessionlog.Event) *View {
	view := &View{runsBySeq: map[uint64]*Run{}, startsByProducer: map[string]sessionlog.Event{}}
	for _, event := range events {
		view.Head = event.Seq
		switch event.Kind {
		case sessionlog.TurnBegun, sessionlog.ToolCalled:
			run := &Run{Begun: event}
			view.runsBySeq[event.Seq] = run
			view.startsByProducer[event.Producer] = event
			view.runs = append(view.runs, run)
		case sessionlog.Fenced:
			view.startsByProducer[event.Producer] = event
		case sessionlog.OutputPart:
			view.runsBySeq[event.Run].Parts = append(view.runsBySeq[event.Run].Parts, event)
		case sessionlog.TurnEnded, sessionlog.ToolAnswered:
			view.runsBySeq[event.Run].Ended = &event
		}
	}
	return view
}

// Run returns a run by the sequence number of its opening event.
//
//	run, found := view.Run(7)
func (view *View) Run(seq uint64) (*Run, bool) {
	run, found := view.runsBySeq[seq]
	return run, found
}

// Turn returns a run that is a turn by the sequence number of its opening event.
//
//	turn, found := view.Turn(7)
func (view *View) Turn(seq uint64) (*Run, bool) {
	run, found := view.runsBySeq[seq]
	return run, found && run.Begun.Kind == sessionlog.TurnBegun
}

// StartByProducer returns the event that opened a producer's run, or that fenced it.
//
//	event, found := view.StartByProducer("manifest/once/key-7")
func (view *View) StartByProducer(producer string) (sessionlog.Event, bool) {
	event, found := view.startsByProducer[producer]
	return event, found
}

// Messages returns the prompt of a turn: the messages of the turn and of the chain of turns that
// it follows, with the complete tool calls of these turns, in session order.
//
//	history := view.Messages(7)
func (view *View) Messages(seq uint64) []runnerclient.Message {
	chain := view.chain(seq)
	messages := []runnerclient.Message{}
	for _, run := range view.runs {
		switch {
		case run.Begun.Kind == sessionlog.TurnBegun && chain[run.Begun.Seq]:
			messages = append(messages,
				runnerclient.Message{Role: "caller", Text: run.Begun.Text},
				runnerclient.Message{Role: "model", Text: run.Output()})
		case run.Begun.Kind == sessionlog.ToolCalled && chain[run.Begun.Follows] && run.Complete():
			messages = append(messages,
				runnerclient.Message{Role: "tool_call", Name: run.Begun.Name, Text: run.Begun.Text},
				runnerclient.Message{Role: "tool_result", Name: run.Begun.Name, Text: run.Ended.Text})
		}
	}
	return messages
}

// chain returns the sequence numbers of a turn and of all turns that it follows, directly or
// indirectly.
func (view *View) chain(seq uint64) map[uint64]bool {
	chain := map[uint64]bool{}
	for current := seq; current != 0; {
		turn, found := view.Turn(current)
		if !found {
			break
		}
		chain[current] = true
		current = turn.Begun.Follows
	}
	return chain
}
