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

// groupStateMachine makes a sessionlog.StateMachine the replica.StateMachine of one group: it
// decodes commands and encodes snapshots. The host calls Apply, Restore and Snapshot from its
// loop alone; View may be called from anywhere.
type groupStateMachine struct {
	*sessionlog.StateMachine
	// onApplied is called with the session's name after each command.
	onApplied func(sessionName string)
}

// applyResult is what Apply returns for a command: its outcome, and the view right after it.
type applyResult struct {
	outcome sessionlog.Result
	view    *sessionlog.View
}

// Apply carries out a committed command and returns an applyResult. One that can't be decoded
// is a bad command at every replica alike.
func (machine *groupStateMachine) Apply(entry raft.Entry) any {
	var command sessionlog.Command
	if err := wire.Decode(schema.Command_TypeID, entry.Data, &command); err != nil {
		return applyResult{sessionlog.Result{Status: sessionlog.BadCommand}, machine.View()}
	}
	outcome := machine.StateMachine.Apply(&command)
	machine.onApplied(command.Session)
	return applyResult{outcome, machine.View()}
}

// Snapshot returns a function that encodes the content as it is now, at any later time.
func (machine *groupStateMachine) Snapshot() func() []byte {
	view := machine.View()
	return func() []byte {
		snapshot := view.Snapshot()
		return wire.MustEncode(schema.LineImage_TypeID, &snapshot)
	}
}

// Restore replaces the content by an encoded snapshot's.
func (machine *groupStateMachine) Restore(data []byte) error {
	var snapshot sessionlog.Snapshot
	if err := wire.Decode(schema.LineImage_TypeID, data, &snapshot); err != nil {
		return fmt.Errorf("decode a group's snapshot: %w", err)
	}
	return machine.StateMachine.Restore(snapshot)
}

// newStateMachine makes the empty state machine of a group and remembers it.
func (node *Node) newStateMachine(group uint32) replica.StateMachine {
	machine := &groupStateMachine{StateMachine: sessionlog.NewStateMachine(), onApplied: node.wakeTailReaders}
	node.stateMachines.Store(group, machine)
	return machine
}

// stateMachine returns the state machine of a group, or nil if no replica of it was ever here.
func (node *Node) stateMachine(group uint32) *groupStateMachine {
	machine, found := node.stateMachines.Load(group)
	if !found {
		return nil
	}
	return machine.(*groupStateMachine)
}

// StateMachine returns the state machine of a group, or nil if no replica of it was ever here;
// that of a replica that was removed since stays. It is for measurements, and for tests that
// damage its content.
//
//	view := node.StateMachine(3).View()
func (node *Node) StateMachine(group uint32) *sessionlog.StateMachine {
	if machine := node.stateMachine(group); machine != nil {
		return machine.StateMachine
	}
	return nil
}

// bootstrapGroups creates the replicas that this node has among the fleet's founding stores.
// The host ignores those that exist already.
func (node *Node) bootstrapGroups(view *feed.View) {
	founders := feed.PlacementCandidates(view.FoundingStores)
	for group := uint32(0); len(founders) > 0 && group < view.Groups; group++ {
		voters := placement.ReplicasOf(group, founders, view.ReplicationFactor())
		if slices.Contains(voters, node.Name()) {
			node.host.Bootstrap(group, voters, nil)
		}
	}
}

// propose commits one command to a group that is led here and returns its result.
func (node *Node) propose(ctx context.Context, group uint32, command sessionlog.Command) (applyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	results, err := node.host.Propose(ctx, group, [][]byte{wire.MustEncode(schema.Command_TypeID, &command)})
	if err != nil {
		return applyResult{}, err
	}
	// The host returns what groupStateMachine.Apply returned, one result for each command.
	return results[0].(applyResult), nil
}
