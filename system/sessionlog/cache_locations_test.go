package sessionlog

import (
	"fmt"
	"testing"
)

// endOnRunner returns the command that ends a turn which a runner served.
func endOnRunner(name, conversation, runner string, tokens uint64) Command {
	return with(endCommand(name, OutcomeComplete, 1), func(command *Command) {
		command.Conversation, command.Runner, command.PromptTokens = conversation, runner, tokens
	})
}

// beginInConversation returns the command that begins a turn of a conversation, with a sufficient
// quota.
func beginInConversation(name, conversation string) Command {
	return with(beginCommand(name, ""), func(command *Command) { command.Conversation, command.Quota = conversation, 1000 })
}

// TestBeginTurnReturnsCacheLocation checks the cache location that BeginTurn returns for known,
// new and restored conversations.
func TestBeginTurnReturnsCacheLocation(t *testing.T) {
	machine := NewStateMachine()
	for _, step := range []struct {
		description string
		command     Command
		runner      string
		tokens      uint64
	}{
		{"first turn of a program", beginInConversation("one", "main"), "", 0},
		{"end of the first turn", endOnRunner("one", "main", "runner-1", 100), "", 0},
		{"second turn", beginInConversation("two", "main"), "runner-1", 100},
		{"repeated begin", beginInConversation("two", "main"), "runner-1", 100},
		{"first turn of a sub-agent", beginInConversation("help", "helper"), "runner-1", 100},
		{"its end on another runner", endOnRunner("help", "helper", "runner-2", 40), "", 0},
		{"second turn of the sub-agent", beginInConversation("help-2", "helper"), "runner-2", 40},
		{"end of the second turn", endOnRunner("two", "main", "runner-3", 150), "", 0},
		{"turn that no runner served", beginInConversation("three", "main"), "runner-3", 150},
		{"its end", endOnRunner("three", "main", "", 0), "", 0},
		{"next turn", beginInConversation("four", "main"), "runner-3", 150},
		{"first turn of another sub-agent", beginInConversation("help-3", "other"), "runner-3", 150},
	} {
		result := machine.Apply(&step.command)
		if result.Status != Done || result.Runner != step.runner || result.CachedTokens != step.tokens {
			t.Errorf("%s: %+v", step.description, result)
		}
	}
	restored := NewStateMachine()
	if err := restored.Restore(machine.View().Snapshot()); err != nil {
		t.Fatal(err)
	}
	if result := restored.Apply(new(beginInConversation("five", "helper"))); result.Runner != "runner-2" || result.CachedTokens != 40 {
		t.Errorf("after restoring a snapshot: %+v", result)
	}
}

// TestCacheLocationsAreBounded checks that a session with too many conversations keeps the
// locations of those that ended a turn last.
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
		t.Errorf("got %d cache locations, want the maximum", len(session.CacheLocations))
	}
	if result := machine.Apply(new(beginInConversation("last", "main"))); result.Runner != "runner-main" {
		t.Errorf("cache location of the active conversation was dropped: %+v", result)
	}
}
