// Package conversation folds a line's events into the view that turns need: which
// turns there are, how each ended, and what was said up to one of them.
package conversation

import (
	"slices"
	"strings"
	"unicode"

	"yardrock.example/system/line"
	"yardrock.example/system/runnerorigin"
)

// Turn is one run of a line: a turn, a tool call, or work that runs once.
type Turn struct {
	Begun  line.Event
	Pieces []line.Event
	Ended  *line.Event
}

// Complete tells whether the turn ended as it should.
//
//	if !turn.Complete() { ... }
func (turn *Turn) Complete() bool {
	return turn.Ended != nil && turn.Ended.Outcome == line.OutcomeComplete
}

// Overdue tells whether the turn is open though its runner's time is over, by the
// clock of the line's group.
//
//	if turn.Overdue(reply.Clock) { ... }
func (turn *Turn) Overdue(clock int64) bool {
	return turn.Ended == nil && clock > turn.Begun.Deadline
}

// View is a line's events, folded.
type View struct {
	Head uint64
	// Clock is the time of the line's group when the events were read.
	Clock  int64
	turns  map[uint64]*Turn
	order  []*Turn
	opened map[string]line.Event
}

// Fold makes the view of a line's events, which must be all from the first on.
//
//	view := conversation.Fold(events)
func Fold(events []line.Event) *View {
	view := &View{turns: map[uint64]*Turn{}, opened: map[string]line.Event{}}
	for _, event := range events {
		view.Head = event.Seq
		switch event.Kind {
		case line.TurnBegun, line.ToolCalled:
			turn := &Turn{Begun: event}
			view.turns[event.Seq] = turn
			view.opened[event.Producer] = event
			view.order = append(view.order, turn)
		case line.Fenced:
			view.opened[event.Producer] = event
		case line.Piece:
			view.turns[event.Turn].Pieces = append(view.turns[event.Turn].Pieces, event)
		case line.TurnEnded, line.ToolAnswered:
			view.turns[event.Turn].Ended = &event
		}
	}
	return view
}

// Run finds a turn, tool call or work by the seq of its first event.
//
//	run, found := view.Run(7)
func (view *View) Run(name uint64) (*Turn, bool) {
	run, found := view.turns[name]
	return run, found
}

// Spent counts the words of a turn: those that were new, and those of its answer as
// far as it is recorded.
//
//	words := turn.Spent()
func (turn *Turn) Spent() uint64 {
	return CountWords(turn.Begun.Words) + CountWords(turn.Words())
}

// Turn finds a turn by its name, the seq of its first event.
//
//	turn, found := view.Turn(7)
func (view *View) Turn(name uint64) (*Turn, bool) {
	turn, found := view.turns[name]
	return turn, found && turn.Begun.Kind == line.TurnBegun
}

// Said gives what was said up to and with a turn: the chain of turns that it
// follows, with the tools that those called, in the order of the line.
//
//	history := view.Said(7)
func (view *View) Said(name uint64) []runnerorigin.Message {
	chain := map[uint64]bool{}
	for at := name; at != 0; {
		turn, found := view.Turn(at)
		if !found {
			break
		}
		chain[at] = true
		at = turn.Begun.Follows
	}
	said := []runnerorigin.Message{}
	for _, turn := range view.order {
		switch {
		case turn.Begun.Kind == line.TurnBegun && chain[turn.Begun.Seq]:
			said = append(said, runnerorigin.Message{Role: "caller", Words: turn.Begun.Words}, runnerorigin.Message{Role: "model", Words: turn.Words()})
		case turn.Begun.Kind == line.ToolCalled && chain[turn.Begun.Follows] && turn.Complete():
			said = append(said, runnerorigin.Message{Role: "tool_call", Name: turn.Begun.Name, Words: turn.Begun.Words}, runnerorigin.Message{Role: "tool_result", Name: turn.Begun.Name, Words: turn.Ended.Words})
		}
	}
	return said
}

// Words joins a turn's pieces.
//
//	answer := turn.Words()
func (turn *Turn) Words() string {
	var text strings.Builder
	pieces := slices.Clone(turn.Pieces)
	slices.SortFunc(pieces, func(left, right line.Event) int { return int(left.Part) - int(right.Part) })
	for _, piece := range pieces {
		text.WriteString(piece.Words)
	}
	return text.String()
}

// Counter counts words over pieces that may split them. A word is a longest run
// of characters that are no white space.
type Counter struct {
	Count  uint64
	inside bool
}

// Take counts a piece as far as a limit allows and gives that part of it; false
// tells that the piece was cut.
//
//	kept, whole := counter.Take(piece, 500)
func (counter *Counter) Take(piece string, limit uint64) (string, bool) {
	for position, character := range piece {
		space := unicode.IsSpace(character)
		if !space && !counter.inside {
			if counter.Count == limit {
				return piece[:position], false
			}
			counter.Count++
		}
		counter.inside = !space
	}
	return piece, true
}

// CountWords counts the words of a whole text.
//
//	words := conversation.CountWords("three short words")
func CountWords(text string) uint64 {
	return uint64(len(strings.Fields(text)))
}

// ByProducer finds the event that opened a run for a producer, or fenced it off.
//
//	event, found := view.ByProducer("manifest/once/key-7")
func (view *View) ByProducer(name string) (line.Event, bool) {
	event, found := view.opened[name]
	return event, found
}
