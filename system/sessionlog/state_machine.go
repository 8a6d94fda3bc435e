// Package sessionlog is the replicated state machine of one store group: the sessions of
// conversations and programs with their ordered events, producer deduplication and archive
// progress; the quota usage of programs; and the prefixes that sessions share. It is the "Raft
// FSM" of the Starcite paper (data plane, "Raft FSM"), with commands of its own beside that
// paper's four.
//
// Guarantees:
//
//   - It is deterministic: a command's outcome depends on the commands before it alone. Time
//     is the group's clock, which moves only by what leaders put into commands. So replicas
//     that applied the same log entries hold the same content.
//   - A command takes effect completely or not at all. A rejected one changes nothing but the
//     clock, and so does a repeated append, reservation, settlement or turn.
//   - A View never changes once it is published, so any goroutine may read it without a lock.
//   - Sequence numbers of a session begin at 1 and have no gap. Events up to
//     Session.ArchivedSeq are in the archive, all later ones in Session.Unarchived.
//
// The package owns no goroutine, file or connection. Package store replicates it through Raft
// and adds what needs the disk or other nodes: the archive, repair and settlement.
package sessionlog

import "sync/atomic"

// StateMachine holds the content of one group and applies committed commands to it. One
// goroutine at a time may call Apply or Restore; any may read the published View.
type StateMachine struct {
	published atomic.Pointer[View]
}

// NewStateMachine returns the state machine of a group that has no content yet.
//
//	machine := sessionlog.NewStateMachine()
func NewStateMachine() *StateMachine {
	machine := &StateMachine{}
	machine.published.Store(newView())
	return machine
}

// View returns the content after the newest command that was applied.
//
//	view := machine.View()
func (machine *StateMachine) View() *View { return machine.published.Load() }

// commandHandlers has the function that carries out each kind of command. It works on a copy
// of the newest view that is published afterwards, whatever the outcome is.
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

// Apply carries out one committed command and publishes the result. A command of an unknown
// kind gives BadCommand and publishes nothing.
//
//	outcome := machine.Apply(&sessionlog.Command{Kind: sessionlog.CreateSession, Session: "team/c-1", Retention: time.Hour})
func (machine *StateMachine) Apply(command *Command) Outcome {
	next := *machine.published.Load()
	next.clock = max(next.clock, command.Now)
	handler, known := commandHandlers[command.Kind]
	if !known {
		return Outcome{Status: BadCommand}
	}
	result := handler(&next, command)
	machine.published.Store(&next)
	return result
}
