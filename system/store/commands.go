package store

import (
	"context"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// handleCommand commits a batch of commands, in order, to a group that this node leads and
// replies with their results (the write path of the Starcite paper). For a turn that began, the
// reply includes the history that the turn continues.
func (node *Node) handleCommand(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	group, requested := query.Command.Group, query.Command.Commands
	encoded := make([][]byte, len(requested))
	for position, command := range requested {
		// prepare changes a copy, because beginWithFullInput needs the original command.
		node.prepare(group, &command)
		encoded[position] = wire.MustEncode(schema.Command_TypeID, &command)
	}
	results, err := node.host.Propose(ctx, group, encoded)
	if err != nil {
		return nil, err
	}
	reply := &wire.CommandReply{}
	for position, applied := range results {
		command, result := &requested[position], applied.(applyResult) // returned by groupStateMachine.Apply
		if result.commandResult.Status == sessionlog.UnknownPrefix {
			if result, err = node.beginWithFullInput(ctx, group, *command); err != nil {
				return nil, err
			}
		}
		reply.Results = append(reply.Results, result.commandResult)
		if command.Kind == sessionlog.BeginTurn && command.Follows != "" && result.commandResult.Status == sessionlog.Done {
			if err := node.addHistory(ctx, group, command, result, reply); err != nil {
				return nil, err
			}
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_outcomes, Command: reply}, nil
}

// prepare sets the fields of a command that the group's leader determines: the group's clock,
// the sequence number that a turn expects, and the shared prefix that its input refers to.
func (node *Node) prepare(group uint32, command *sessionlog.Command) {
	command.Now = node.clock(group)
	node.setExpectedSeq(group, command)
	node.usePrefix(group, command)
}

// setExpectedSeq makes the begin of a turn conditional on the sequence number at which the
// followed turn ended, as seen now. The state machine checks the condition.
func (node *Node) setExpectedSeq(group uint32, command *sessionlog.Command) {
	machine := node.stateMachine(group)
	if command.Kind != sessionlog.BeginTurn || command.Follows == "" || machine == nil {
		return
	}
	if followed, found := machine.View().Turn(command.Session, command.Follows); found && followed.Complete() {
		command.HasExpectedSeq, command.ExpectedSeq = true, followed.EndSeq
	}
}

// beginWithFullInput proposes the begin of a turn again with its full input, after the first
// attempt failed because the shared prefix that it referred to had been removed.
func (node *Node) beginWithFullInput(ctx context.Context, group uint32, command sessionlog.Command) (applyResult, error) {
	command.Now = node.clock(group)
	return node.propose(ctx, group, command)
}
