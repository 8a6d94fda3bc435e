package store

import (
	"context"
	"fmt"
	"slices"

	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/raft"
	"yardrock.example/system/replica"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// groupStateMachine adapts a sessionlog.StateMachine to the replica.StateMachine of one group:
// it decodes commands and encodes snapshots. The host calls Apply, Restore and Snapshot one at
// a time; View is safe for concurrent use.
type groupStateMachine struct {
	*sessionlog.StateMachine
	// onApplied is called after each command with the name of its session.
	onApplied func(sessionName string)
}

// applyResult is the result of Apply: that of the command and the view right after it.
type applyResult struct {
	commandResult sessionlog.Result
	view          *sessionlog.View
}

// Apply applies a committed command and returns an applyResult. A command that cannot be decoded
// yields BadCommand, which is the same on every replica.
func (machine *groupStateMachine) Apply(entry raft.Entry) any {
	var command sessionlog.Command
	if err := wire.Decode(schema.Command_TypeID, entry.Data, &command); err != nil {
		return applyResult{sessionlog.Result{Status: sessionlog.BadCommand}, machine.View()}
	}
	commandResult := machine.StateMachine.Apply(&command)
	machine.onApplied(command.Session)
	return applyResult{commandResult, machine.View()}
}

// Snapshot captures the current state and returns a function that encodes it, which may be
// called at any later time.
func (machine *groupStateMachine) Snapshot() func() []byte {
	view := machine.View()
	return func() []byte {
		snapshot := view.Snapshot()
		return wire.MustEncode(schema.LineImage_TypeID, &snapshot)
	}
}

// Restore replaces the state with an encoded snapshot.
func (machine *groupStateMachine) Restore(data []byte) error {
	var snapshot sessionlog.Snapshot
	if err := wire.Decode(schema.LineImage_TypeID, data, &snapshot); err != nil {
		return fmt.Errorf("decode group snapshot: %w", err)
	}
	return machine.StateMachine.Restore(snapshot)
}

// newStateMachine creates and registers an empty state machine for a group.
func (node *Node) newStateMachine(group uint32) replica.StateMachine {
	machine := &groupStateMachine{StateMachine: sessionlog.NewStateMachine(), onApplied: node.wakeTailReaders}
	node.stateMachines.Store(group, machine)
	return machine
}

// stateMachine returns the state machine of a group, or nil if this process has had no replica
// of the group.
func (node *Node) stateMachine(group uint32) *groupStateMachine {
	machine, found := node.stateMachines.Load(group)
	if !found {
		return nil
	}
	return machine.(*groupStateMachine)
}

// StateMachine returns the state machine of a group, also after its replica was deleted, or nil
// if this process has had no replica of the group. It is for measurements, and for tests that
// corrupt its state.
//
//	view := node.StateMachine(3).View()
func (node *Node) StateMachine(group uint32) *sessionlog.StateMachine {
	if machine := node.stateMachine(group); machine != nil {
		return machine.StateMachine
	}
	return nil
}

// bootstrapGroups creates the replicas that the initial placement over the founding stores
// assigns to this node. The host ignores replicas that exist already.
func (node *Node) bootstrapGroups(view *feed.View) {
	candidates := feed.PlacementCandidates(view.FoundingStores)
	for group := uint32(0); len(candidates) > 0 && group < view.Groups; group++ {
		voters := placement.ReplicasOf(group, candidates, view.ReplicationFactor())
		if slices.Contains(voters, node.Name()) {
			node.host.Bootstrap(group, voters, nil)
		}
	}
}

// propose commits one command to a group that this node leads and returns its result.
func (node *Node) propose(ctx context.Context, group uint32, command sessionlog.Command) (applyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	results, err := node.host.Propose(ctx, group, [][]byte{wire.MustEncode(schema.Command_TypeID, &command)})
	if err != nil {
		return applyResult{}, err
	}
	// The host returns the result of groupStateMachine.Apply for each command.
	return results[0].(applyResult), nil
}
