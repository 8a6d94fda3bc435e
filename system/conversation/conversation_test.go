package conversation

import (
	"reflect"
	"strings"
	"testing"

	"yardrock.example/system/runnerclient"
	"yardrock.example/system/sessionlog"
)

// branchedSession returns the events of a session in which two turns follow the first one; the
// second of them makes tool calls.
func branchedSession() []sessionlog.Event {
	events := []sessionlog.Event{
		{Kind: sessionlog.TurnBegun, Producer: "one", Text: "hello there"},
		{Kind: sessionlog.OutputPart, Run: 1, Part: 2, Text: "caller"},
		{Kind: sessionlog.OutputPart, Run: 1, Part: 1, Text: "dear "},
		{Kind: sessionlog.TurnEnded, Run: 1, Outcome: sessionlog.OutcomeComplete},
		{Kind: sessionlog.TurnBegun, Producer: "left", Follows: 1, Text: "left", Deadline: 100},
		{Kind: sessionlog.TurnBegun, Producer: "right", Follows: 1, Text: "right"},
		{Kind: sessionlog.ToolCalled, Producer: "tool", Follows: 6, Name: "clock", Text: "when"},
		{Kind: sessionlog.ToolCalled, Producer: "late", Follows: 6, Name: "clock", Text: "again"},
		{Kind: sessionlog.ToolAnswered, Run: 7, Outcome: sessionlog.OutcomeComplete, Text: "now"},
		{Kind: sessionlog.Fenced, Producer: "fenced"},
		{Kind: sessionlog.TurnEnded, Run: 6, Outcome: sessionlog.OutcomeInterrupted},
	}
	for position := range events {
		events[position].Seq = uint64(position + 1)
	}
	return events
}

func TestFoldFindsRunsAndTheirEnds(t *testing.T) {
	view := Fold(branchedSession())
	first, found := view.Turn(1)
	if !found || !first.Complete() || first.Output() != "dear caller" || first.WordCount() != 4 {
		t.Errorf("first turn: %+v", first)
	}
	left, _ := view.Turn(5)
	if left.Complete() || left.Overdue(100) || !left.Overdue(101) || first.Overdue(101) {
		t.Errorf("open turn: %+v", left)
	}
	if _, found := view.Turn(7); found {
		t.Error("Turn returned a tool call")
	}
	if call, found := view.Run(7); !found || !call.Complete() {
		t.Errorf("tool call: %+v", call)
	}
}

func TestStartByProducer(t *testing.T) {
	view := Fold(branchedSession())
	for producer, seq := range map[string]uint64{"one": 1, "right": 6, "tool": 7, "fenced": 10} {
		if event, found := view.StartByProducer(producer); !found || event.Seq != seq {
			t.Errorf("start of producer %s: got %+v", producer, event)
		}
	}
	if _, found := view.StartByProducer("none"); found || view.Head != 11 {
		t.Errorf("an unknown producer was found, or head %d is not 11", view.Head)
	}
}

func TestMessagesFollowTurnChain(t *testing.T) {
	view := Fold(branchedSession())
	first := []runnerclient.Message{{Role: "caller", Text: "hello there"}, {Role: "model", Text: "dear caller"}}
	for seq, branch := range map[uint64][]runnerclient.Message{
		1: nil,
		5: {{Role: "caller", Text: "left"}, {Role: "model"}},
		6: {{Role: "caller", Text: "right"}, {Role: "model"}, {Role: "tool_call", Name: "clock", Text: "when"}, {Role: "tool_result", Name: "clock", Text: "now"}},
	} {
		want := append(append([]runnerclient.Message{}, first...), branch...)
		if got := view.Messages(seq); !reflect.DeepEqual(got, want) {
			t.Errorf("messages of turn %d: got %+v, want %+v", seq, got, want)
		}
	}
	if got := view.Messages(0); len(got) != 0 {
		t.Errorf("messages without a turn: got %+v, want none", got)
	}
}

func TestWordCountDoesNotDependOnSplit(t *testing.T) {
	text := " one  two\tthree\nfour, five\u00a0six "
	for size := 1; size <= len(text); size++ {
		counter := &WordCounter{}
		for rest := text; rest != ""; {
			part := rest[:min(size, len(rest))]
			if strings.ToValidUTF8(part, "") != part {
				part = rest[:min(size+1, len(rest))] // do not split a UTF-8 sequence
			}
			if accepted, fits := counter.CountUpTo(part, 100); !fits || accepted != part {
				t.Fatalf("accepted %q of %q", accepted, part)
			}
			rest = rest[len(part):]
		}
		if counter.Count != CountWords(text) || counter.Count != 6 {
			t.Fatalf("got %d words in parts of %d bytes", counter.Count, size)
		}
	}
}

func TestCountUpToStopsAtLimit(t *testing.T) {
	counter := &WordCounter{}
	if accepted, fits := counter.CountUpTo("one two thr", 3); !fits || accepted != "one two thr" {
		t.Fatalf("accepted %q below the limit", accepted)
	}
	if accepted, fits := counter.CountUpTo("ee four five", 3); fits || accepted != "ee " || counter.Count != 3 {
		t.Fatalf("accepted %q, %d words", accepted, counter.Count)
	}
}
