// Package conversation folds a line's events into the view that turns need: which
// turns there are, how each ended, and what was said up to one of them.
package conversation

import (
	"slices"
	"strings"
	"unicode"

	"yardrock.example/system/runnerclient"
	"yardrock.example/system/sessionlog"
)

// Run is one run of a line: a turn, a tool call, or work that runs once.
type Run struct {
	Begun sessionlog.Event
	Parts []sessionlog.Event
	Ended *sessionlog.Event
}

// Complete tells whether the turn ended as it should.
//
//	if !turn.Complete() { ... }
func (turn *Run) Complete() bool {
	return turn.Ended != nil && turn.Ended.Outcome == sessionlog.OutcomeComplete
}

// Overdue tells whether the turn is open though its runner's time is over, by the
// clock of the line's group.
//
//	if turn.Overdue(reply.Clock) { ... }
func (turn *Run) Overdue(clock int64) bool {
	return turn.Ended == nil && clock > turn.Begun.Deadline
}

// View is a line's events, folded.
type View struct {
	Head uint64
	// Clock is the time of the line's group when the events were read.
	Clock            int64
	runsBySeq        map[uint64]*Run
	runs             []*Run
	startsByProducer map[string]sessionlog.Event
}

// Fold makes the view of a line's events, which must be all from the first on.
//
//	view := conversation.Fold(events)
func Fold(events []sessionlog.Event) *View {
	view := &View{runsBySeq: map[uint64]*Run{}, startsByProducer: map[string]sessionlog.Event{}}
	for _, event := range events {
		view.Head = event.Seq
		switch event.Kind {
		case sessionlog.TurnBegun, sessionlog.ToolCalled:
			turn := &Run{Begun: event}
			view.runsBySeq[event.Seq] = turn
			view.startsByProducer[event.Producer] = event
			view.runs = append(view.runs, turn)
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

// Run finds a turn, tool call or work by the seq of its first event.
//
//	run, found := view.Run(7)
func (view *View) Run(seq uint64) (*Run, bool) {
	run, found := view.runsBySeq[seq]
	return run, found
}

// WordCount counts the words of a turn: those that were new, and those of its answer as
// far as it is recorded.
//
//	words := turn.WordCount()
func (turn *Run) WordCount() uint64 {
	return CountWords(turn.Begun.Text) + CountWords(turn.Output())
}

// Run finds a turn by its name, the seq of its first event.
//
//	turn, found := view.Run(7)
func (view *View) Turn(seq uint64) (*Run, bool) {
	turn, found := view.runsBySeq[seq]
	return turn, found && turn.Begun.Kind == sessionlog.TurnBegun
}

// Messages gives what was said up to and with a turn: the chain of turns that it
// follows, with the tools that those called, in the order of the line.
//
//	history := view.Messages(7)
func (view *View) Messages(seq uint64) []runnerclient.Message {
	chain := map[uint64]bool{}
	for at := seq; at != 0; {
		turn, found := view.Turn(at)
		if !found {
			break
		}
		chain[at] = true
		at = turn.Begun.Follows
	}
	messages := []runnerclient.Message{}
	for _, turn := range view.runs {
		switch {
		case turn.Begun.Kind == sessionlog.TurnBegun && chain[turn.Begun.Seq]:
			messages = append(messages, runnerclient.Message{Role: "caller", Words: turn.Begun.Text}, runnerclient.Message{Role: "model", Words: turn.Output()})
		case turn.Begun.Kind == sessionlog.ToolCalled && chain[turn.Begun.Follows] && turn.Complete():
			messages = append(messages, runnerclient.Message{Role: "tool_call", Name: turn.Begun.Name, Words: turn.Begun.Text}, runnerclient.Message{Role: "tool_result", Name: turn.Begun.Name, Words: turn.Ended.Text})
		}
	}
	return messages
}

// Words joins a turn's pieces.
//
//	answer := turn.Words()
func (turn *Run) Output() string {
	var text strings.Builder
	parts := slices.Clone(turn.Parts)
	slices.SortFunc(parts, func(left, right sessionlog.Event) int { return int(left.Part) - int(right.Part) })
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	return text.String()
}

// WordCounter counts words over pieces that may split them. A word is a longest run
// of characters that are no white space.
type WordCounter struct {
	Count  uint64
	inWord bool
}

// CountUpTo counts a piece as far as a limit allows and gives that part of it; false
// tells that the piece was cut.
//
//	kept, whole := counter.CountUpTo(piece, 500)
func (counter *WordCounter) CountUpTo(text string, limit uint64) (string, bool) {
	for position, character := range text {
		space := unicode.IsSpace(character)
		if !space && !counter.inWord {
			if counter.Count == limit {
				return text[:position], false
			}
			counter.Count++
		}
		counter.inWord = !space
	}
	return text, true
}

// CountWords counts the words of a whole text.
//
//	words := conversation.CountWords("three short words")
func CountWords(text string) uint64 {
	return uint64(len(strings.Fields(text)))
}

// StartByProducer finds the event that opened a run for a producer, or fenced it off.
//
//	event, found := view.StartByProducer("manifest/once/key-7")
func (view *View) StartByProducer(producer string) (sessionlog.Event, bool) {
	event, found := view.startsByProducer[producer]
	return event, found
}
