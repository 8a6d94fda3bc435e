// Package conversation folds the events of a session into what a turn needs to know: which
// runs there are, how each ended, and which messages lead to one of them. It also counts words,
// the unit of quotas and of recorded answers.
//
// A View is made once from complete events and holds no resources. It may be read by any
// goroutine as long as nobody changes its fields.
package conversation

import (
	"cmp"
	"slices"
	"strings"

	"yardrock.example/system/runnerclient"
	"yardrock.example/system/sessionlog"
)

// Run is a turn, a tool call or work that runs once. It begins with one event, may have parts
// of its output, and ends with another event.
type Run struct {
	Begun sessionlog.Event
	// Parts are the recorded parts of the output, in the order of the session.
	Parts []sessionlog.Event
	// Ended is the event that closed the run; nil while it is open.
	Ended *sessionlog.Event
}

// Complete tells whether the run ended with a complete answer.
//
//	if !turn.Complete() { ... }
func (run *Run) Complete() bool {
	return run.Ended != nil && run.Ended.Outcome == sessionlog.OutcomeComplete
}

// Overdue tells whether the run is open though its deadline has passed, by the clock of the
// session's group in nanoseconds. Its front is presumed to have failed.
//
//	if turn.Overdue(reply.Clock) { ... }
func (run *Run) Overdue(clock int64) bool {
	return run.Ended == nil && clock > run.Begun.Deadline
}

// Output joins the parts of a run's output, as far as it is recorded.
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

// WordCount returns the words that a turn uses of its quota: those of its input, without the
// history, and those of its output as far as it is recorded.
//
//	words := turn.WordCount()
func (run *Run) WordCount() uint64 {
	return CountWords(run.Begun.Text) + CountWords(run.Output())
}

// View is the folded content of a session.
type View struct {
	// Head is the sequence number of the newest event, 0 without events.
	Head uint64
	// Clock is the time of the session's group when the events were read, in nanoseconds.
	// Fold leaves it 0.
	Clock int64

	runsBySeq        map[uint64]*Run
	runs             []*Run // in the order of the session
	startsByProducer map[string]sessionlog.Event
}

// Fold makes a view of a session's events, which must be all from the first on. Then the run of
// each part and end is known, as the session's state machine appends these to open runs only.
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
			view.runsBySeq[event.Turn].Parts = append(view.runsBySeq[event.Turn].Parts, event)
		case sessionlog.TurnEnded, sessionlog.ToolAnswered:
			view.runsBySeq[event.Turn].Ended = &event
		}
	}
	return view
}

// Run finds a run by the sequence number of its first event.
//
//	run, found := view.Run(7)
func (view *View) Run(seq uint64) (*Run, bool) {
	run, found := view.runsBySeq[seq]
	return run, found
}

// Turn finds a run that is a turn by the sequence number of its first event.
//
//	turn, found := view.Turn(7)
func (view *View) Turn(seq uint64) (*Run, bool) {
	run, found := view.runsBySeq[seq]
	return run, found && run.Begun.Kind == sessionlog.TurnBegun
}

// StartByProducer finds the event that opened a run for a producer, or that fenced it.
//
//	event, found := view.StartByProducer("manifest/once/key-7")
func (view *View) StartByProducer(producer string) (sessionlog.Event, bool) {
	event, found := view.startsByProducer[producer]
	return event, found
}

// Messages returns the messages that a turn's model must see: those of the chain of turns that
// it follows and of itself, with the complete tool calls of these turns, in the order of the
// session.
//
//	history := view.Messages(7)
func (view *View) Messages(seq uint64) []runnerclient.Message {
	chain := view.chain(seq)
	messages := []runnerclient.Message{}
	for _, run := range view.runs {
		switch {
		case run.Begun.Kind == sessionlog.TurnBegun && chain[run.Begun.Seq]:
			messages = append(messages,
				runnerclient.Message{Role: "caller", Words: run.Begun.Text},
				runnerclient.Message{Role: "model", Words: run.Output()})
		case run.Begun.Kind == sessionlog.ToolCalled && chain[run.Begun.Follows] && run.Complete():
			messages = append(messages,
				runnerclient.Message{Role: "tool_call", Name: run.Begun.Name, Words: run.Begun.Text},
				runnerclient.Message{Role: "tool_result", Name: run.Begun.Name, Words: run.Ended.Text})
		}
	}
	return messages
}

// chain returns the sequence numbers of a turn and of those that it follows.
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
