package store

import (
	"context"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// handleCommand commits a batch of commands to a group that is led here, in their order, and
// answers with their outcomes (the write path of the Starcite paper). For a turn that began it
// adds the history that the turn continues.
func (node *Node) handleCommand(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	group, requested := query.Command.Group, query.Command.Commands
	encoded := make([][]byte, len(requested))
	for position, command := range requested {
		// A copy is prepared: beginWithFullInput needs the command as it came.
		node.prepare(group, &command)
		encoded[position] = wire.MustEncode(schema.Command_TypeID, &command)
	}
	results, err := node.host.Propose(ctx, group, encoded)
	if err != nil {
		return nil, err
	}
	reply := &wire.CommandReply{}
	for position, applied := range results {
		command, result := &requested[position], applied.(applyResult) // as groupStateMachine.Apply returned it
		if result.outcome.Status == sessionlog.UnknownPrefix {
			if result, err = node.beginWithFullInput(ctx, group, *command); err != nil {
				return nil, err
			}
		}
		reply.Outcomes = append(reply.Outcomes, result.outcome)
		if command.Kind == sessionlog.BeginTurn && command.KeepData && result.outcome.Status == sessionlog.Done {
			if reply.History, err = node.history(ctx, group, result.view, command.Session, command.Producer); err != nil {
				return nil, err
			}
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_outcomes, Outcomes: reply}, nil
}

// prepare adds to a command what its group's leader decides: the group's clock, the position
// that a turn counts on, and the shared prefix to which its input may refer.
func (node *Node) prepare(group uint32, command *sessionlog.Command) {
	command.Now = node.clock(group)
	node.setExpectedSeq(group, command)
	node.usePrefix(group, command)
}

// setExpectedSeq has a turn begin only if the turn that it follows ended where it did as of
// now. The state machine checks it.
func (node *Node) setExpectedSeq(group uint32, command *sessionlog.Command) {
	machine := node.stateMachine(group)
	if command.Kind != sessionlog.BeginTurn || command.Follows == "" || machine == nil {
		return
	}
	if followed, found := machine.View().Turn(command.Session, command.Follows); found && followed.Complete() {
		command.HasExpectedSeq, command.ExpectedSeq = true, followed.EndSeq
	}
}

// beginWithFullInput begins a turn with its complete input. The shared prefix to which it was
// to refer was freed in between, so it did not begin.
func (node *Node) beginWithFullInput(ctx context.Context, group uint32, command sessionlog.Command) (applyResult, error) {
	command.Now = node.clock(group)
	return node.propose(ctx, group, command)
}
