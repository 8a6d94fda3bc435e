package sessionlog

import (
	"fmt"
	"testing"
)

// endOnRunner ends a turn of a conversation that a runner answered.
func endOnRunner(name, conversation, runner string, tokens uint64) Command {
	return with(endCommand(name, OutcomeComplete, 1), func(command *Command) {
		command.Conversation, command.Runner, command.PromptTokens = conversation, runner, tokens
	})
}

// beginInConversation begins a turn of a conversation, with a quota that suffices.
func beginInConversation(name, conversation string) Command {
	return with(beginCommand(name, ""), func(command *Command) { command.Conversation, command.Quota = conversation, 1000 })
}

// TestBeginTurnReturnsCacheLocation checks the location that a begin tells, for
// each way in which one may be known or not.
func TestBeginTurnReturnsCacheLocation(t *testing.T) {
	machine := NewStateMachine()
	for _, step := range []struct {
		description    string
		command Command
		runner  string
		tokens  uint64
	}{
		{"the first turn of a program", beginInConversation("one", "main"), "", 0},
		{"its end", endOnRunner("one", "main", "runner-1", 100), "", 0},
		{"the second turn", beginInConversation("two", "main"), "runner-1", 100},
		{"the same begin again", beginInConversation("two", "main"), "runner-1", 100},
		{"a sub-agent's first turn", beginInConversation("help", "helper"), "runner-1", 100},
		{"the end of that at another runner", endOnRunner("help", "helper", "runner-2", 40), "", 0},
		{"the sub-agent's second turn", beginInConversation("help-2", "helper"), "runner-2", 40},
		{"the end of the second turn", endOnRunner("two", "main", "runner-3", 150), "", 0},
		{"a turn that no runner began to answer", beginInConversation("three", "main"), "runner-3", 150},
		{"its end", endOnRunner("three", "main", "", 0), "", 0},
		{"the turn after that", beginInConversation("four", "main"), "runner-3", 150},
		{"another sub-agent's first turn", beginInConversation("help-3", "other"), "runner-3", 150},
	} {
		outcome := machine.Apply(&step.command)
		if outcome.Status != Done || outcome.Runner != step.runner || outcome.CachedTokens != step.tokens {
			t.Errorf("%s: %+v", step.description, outcome)
		}
	}
	restored := NewStateMachine()
	if err := restored.Restore(machine.View().Snapshot()); err != nil {
		t.Fatal(err)
	}
	if outcome := restored.Apply(new(beginInConversation("five", "helper"))); outcome.Runner != "runner-2" || outcome.CachedTokens != 40 {
		t.Errorf("after a snapshot: %+v", outcome)
	}
}

// TestCacheLocationsAreBounded has more conversations in a session than it remembers:
// the ones that ended a turn last stay.
func TestCacheLocationsAreBounded(t *testing.T) {
	machine := NewStateMachine()
	for number := range 3 * maxCacheLocations {
		name, conversation := fmt.Sprintf("turn-%d", number), fmt.Sprintf("conversation-%d", number)
		machine.Apply(new(beginInConversation(name, conversation)))
		machine.Apply(new(endOnRunner(name, conversation, "runner-"+name, 10)))
		machine.Apply(new(beginInConversation(name+"-main", "main")))
		machine.Apply(new(endOnRunner(name+"-main", "main", "runner-main", 20)))
	}
	session, _ := machine.View().Session("program/a")
	if len(session.CacheLocations) != maxCacheLocations {
		t.Errorf("%d locations are kept", len(session.CacheLocations))
	}
	if outcome := machine.Apply(new(beginInConversation("last", "main"))); outcome.Runner != "runner-main" {
		t.Errorf("the conversation in use was forgotten: %+v", outcome)
	}
}
