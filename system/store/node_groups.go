package store

import (
	"context"
	"slices"

	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/raft"
	"yardrock.example/system/replica"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// groupStateMachine puts a sessionlog.Machine under the host.
type groupStateMachine struct {
	*sessionlog.StateMachine
	onApplied func(name string)
}

// Apply carries out a committed command.
func (machine *groupStateMachine) Apply(entry raft.Entry) any {
	var command sessionlog.Command
	if err := wire.Decode(schema.Command_TypeID, entry.Data, &command); err != nil {
		return applyResult{sessionlog.Outcome{Status: sessionlog.BadCommand}, machine.View()}
	}
	outcome := machine.StateMachine.Apply(&command)
	machine.onApplied(command.Session)
	return applyResult{outcome, machine.View()}
}

// applied is what a command answered, and the view right after it.
type applyResult struct {
	outcome sessionlog.Outcome
	view    *sessionlog.View
}

// Snapshot gives the checkpoint of what the view holds now.
func (machine *groupStateMachine) Snapshot() func() []byte {
	view := machine.View()
	return func() []byte {
		snapshot := view.Snapshot()
		return wire.MustEncode(schema.LineImage_TypeID, &snapshot)
	}
}

// Restore takes a checkpoint.
func (machine *groupStateMachine) Restore(data []byte) error {
	var snapshot sessionlog.Snapshot
	if err := wire.Decode(schema.LineImage_TypeID, data, &snapshot); err != nil {
		return err
	}
	return machine.StateMachine.Restore(snapshot)
}

func (node *Node) newStateMachine(group uint32) replica.StateMachine {
	machine := &groupStateMachine{StateMachine: sessionlog.NewStateMachine(), onApplied: node.wakeTailReaders}
	node.stateMachines.Store(group, machine)
	return machine
}

func (node *Node) stateMachine(group uint32) *groupStateMachine {
	machine, found := node.stateMachines.Load(group)
	if !found {
		return nil
	}
	return machine.(*groupStateMachine)
}

// StateMachine gives the state machine of a group that has a replica here, for tests that
// damage it; nil is none.
//
//	view := node.StateMachine(3).View()
func (node *Node) StateMachine(group uint32) *sessionlog.StateMachine {
	if machine := node.stateMachine(group); machine != nil {
		return machine.StateMachine
	}
	return nil
}

func (node *Node) bootstrapGroups(view *feed.View) {
	founders := feed.PlacementCandidates(view.FoundingStores)
	for group := uint32(0); len(founders) > 0 && group < view.Groups; group++ {
		voters := placement.ReplicasOf(group, founders, view.ReplicationFactor())
		if slices.Contains(voters, node.Name()) {
			node.host.Bootstrap(group, voters, nil)
		}
	}
}

func (node *Node) propose(ctx context.Context, group uint32, command sessionlog.Command) (applyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	outcomes, err := node.host.Propose(ctx, group, [][]byte{wire.MustEncode(schema.Command_TypeID, &command)})
	if err != nil {
		return applyResult{}, err
	}
	return outcomes[0].(applyResult), nil
}
