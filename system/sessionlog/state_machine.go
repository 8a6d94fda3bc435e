// Package line is the state machine of one group of lines: sessions with their
// ordered events, producer dedupe, archive progress, and spending tallies. It is
// pure: time comes only from the leader's commands, so replicas agree.
package sessionlog

import (
	"sync/atomic"
)

// StateMachine applies committed commands. One goroutine applies; any may read the
// published View.
type StateMachine struct {
	published atomic.Pointer[View]
}

// NewStateMachine makes an empty group.
//
//	machine := line.NewStateMachine()
func NewStateMachine() *StateMachine {
	machine := &StateMachine{}
	machine.published.Store(newView())
	return machine
}

// View gives the newest published content.
//
//	view := machine.View()
func (machine *StateMachine) View() *View { return machine.published.Load() }

var commandHandlers = map[CommandKind]func(*View, *Command) Outcome{
	CreateSession: (*View).createSession,
	AppendEvent:   (*View).appendEvents,
	AppendEvents:  (*View).appendEvents,
	AckArchived:   (*View).ackArchived,
	Reserve:       (*View).reserve,
	Settle:        (*View).settle,
	BeginTurn:     (*View).beginTurn,
	EndTurn:       (*View).endTurn,

	SharePrefix:         (*View).sharePrefix,
	BeginTurnWithPrefix: (*View).beginTurnWithPrefix,
}

// Apply carries out one committed command and publishes the result.
//
//	outcome := machine.Apply(&line.Command{Kind: line.CreateSession, Line: "team/c-1", Retention: time.Hour})
func (machine *StateMachine) Apply(command *Command) Outcome {
	next := *machine.published.Load()
	next.clock = max(next.clock, command.Now)
	handler, known := commandHandlers[command.Kind]
	if !known {
		return Outcome{Status: BadCommand}
	}
	outcome := handler(&next, command)
	machine.published.Store(&next)
	return outcome
}
