// Package sessionlog is the replicated state machine of one store group. It holds the sessions of
// conversations and programs with their ordered events, producer deduplication and archive
// progress, the quota usage of programs, and the prefixes that sessions share. It implements the
// "Raft FSM" of the Starcite paper's data plane and extends the paper's four commands.
//
// Guarantees:
//
//   - Commands are deterministic: the result of a command depends only on the preceding
//     commands. Time is the group's clock, which is advanced only by the times that leaders
//     put into commands. Replicas that applied the same log entries have the same content.
//   - Commands are atomic. A rejected command changes nothing but the clock, and neither does
//     a repeated append, reservation, settlement or turn.
//   - A View is immutable once published, so any goroutine may read it without a lock.
//   - The sequence numbers of a session begin at 1 and have no gaps. Events up to
//     Session.ArchivedSeq are in the archive, all later ones in Session.Unarchived.
//
// The package has no goroutines, files or connections. Package store replicates it through Raft
// and provides what needs the disk or other nodes: the archive, repair and settlement.
package sessionlog

import "sync/atomic"

// StateMachine holds the content of one group and applies committed commands to it. Calls of
// Apply and Restore must not overlap; View may be called concurrently with them.
type StateMachine struct {
	published atomic.Pointer[View]
}

// NewStateMachine returns the state machine of an empty group.
//
//	machine := sessionlog.NewStateMachine()
func NewStateMachine() *StateMachine {
	machine := &StateMachine{}
	machine.published.Store(newView())
	return machine
}

// View returns the content after the last applied command.
//
//	view := machine.View()
func (machine *StateMachine) View() *View { return machine.published.Load() }

// commandHandlers maps each kind of command to its handler. A handler modifies a copy of the
// newest view, which is then published regardless of the status.
var commandHandlers = map[CommandKind]func(*View, *Command) Result{
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

// Apply applies one committed command and publishes the resulting view. For a command of an
// unknown kind it returns BadCommand and publishes nothing.
//
//	result := machine.Apply(&sessionlog.Command{Kind: sessionlog.CreateSession, Session: "team/c-1", Retention: time.Hour})
func (machine *StateMachine) Apply(command *Command) Result {
	next := *machine.published.Load()
	next.clock = max(next.clock, command.Now)
	handler, known := commandHandlers[command.Kind]
	if !known {
		return Result{Status: BadCommand}
	}
	result := handler(&next, command)
	machine.published.Store(&next)
	return result
}
