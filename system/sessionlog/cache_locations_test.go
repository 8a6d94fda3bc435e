package sessionlog

import (
	"fmt"
	"testing"
)

// endAt ends a turn of a conversation that a runner answered.
func endAt(name, conversation, runner string, tokens uint64) Command {
	return with(endCommand(name, OutcomeComplete, 1), func(command *Command) {
		command.Conversation, command.Runner, command.PromptTokens = conversation, runner, tokens
	})
}

// beginIn begins a turn of a conversation, with a quota that suffices.
func beginIn(name, conversation string) Command {
	return with(beginCommand(name, ""), func(command *Command) { command.Conversation, command.Quota = conversation, 1000 })
}

// TestBeginOfATurnTellsWhereItsConversationIsCached checks the location that a begin tells, for
// each way in which one may be known or not.
func TestBeginOfATurnTellsWhereItsConversationIsCached(t *testing.T) {
	machine := NewStateMachine()
	for _, step := range []struct {
		what    string
		command Command
		runner  string
		tokens  uint64
	}{
		{"the first turn of a program", beginIn("one", "main"), "", 0},
		{"its end", endAt("one", "main", "runner-1", 100), "", 0},
		{"the second turn", beginIn("two", "main"), "runner-1", 100},
		{"the same begin again", beginIn("two", "main"), "runner-1", 100},
		{"a sub-agent's first turn", beginIn("help", "helper"), "runner-1", 100},
		{"the end of that at another runner", endAt("help", "helper", "runner-2", 40), "", 0},
		{"the sub-agent's second turn", beginIn("help-2", "helper"), "runner-2", 40},
		{"the end of the second turn", endAt("two", "main", "runner-3", 150), "", 0},
		{"a turn that no runner began to answer", beginIn("three", "main"), "runner-3", 150},
		{"its end", endAt("three", "main", "", 0), "", 0},
		{"the turn after that", beginIn("four", "main"), "runner-3", 150},
		{"another sub-agent's first turn", beginIn("help-3", "other"), "runner-3", 150},
	} {
		outcome := machine.Apply(&step.command)
		if outcome.Status != Done || outcome.Runner != step.runner || outcome.CachedTokens != step.tokens {
			t.Errorf("%s: %+v", step.what, outcome)
		}
	}
	restored := NewStateMachine()
	if err := restored.Restore(machine.View().Snapshot()); err != nil {
		t.Fatal(err)
	}
	if outcome := restored.Apply(new(beginIn("five", "helper"))); outcome.Runner != "runner-2" || outcome.CachedTokens != 40 {
		t.Errorf("after a snapshot: %+v", outcome)
	}
}

// TestCacheLocationsOfASessionAreBounded has more conversations in a session than it remembers:
// the ones that ended a turn last stay.
func TestCacheLocationsOfASessionAreBounded(t *testing.T) {
	machine := NewStateMachine()
	for number := range 3 * maxCacheLocations {
		name, conversation := fmt.Sprintf("turn-%d", number), fmt.Sprintf("conversation-%d", number)
		machine.Apply(new(beginIn(name, conversation)))
		machine.Apply(new(endAt(name, conversation, "runner-"+name, 10)))
		machine.Apply(new(beginIn(name+"-main", "main")))
		machine.Apply(new(endAt(name+"-main", "main", "runner-main", 20)))
	}
	session, _ := machine.View().Session("program/a")
	if len(session.CacheLocations) != maxCacheLocations {
		t.Errorf("%d locations are kept", len(session.CacheLocations))
	}
	if outcome := machine.Apply(new(beginIn("last", "main"))); outcome.Runner != "runner-main" {
		t.Errorf("the conversation in use was forgotten: %+v", outcome)
	}
}
