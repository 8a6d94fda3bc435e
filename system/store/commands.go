package store

import (
	"context"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// handleCommand stamps the leader's time on commands and commits them in order.
func (node *Node) handleCommand(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	commands := make([][]byte, len(query.Command.Commands))
	for position, command := range query.Command.Commands {
		command.Now = node.clock(query.Command.Group)
		node.setExpectedSeq(query.Command.Group, &command)
		node.usePrefix(query.Command.Group, &command)
		commands[position] = wire.MustEncode(schema.Command_TypeID, &command)
	}
	outcomes, err := node.host.Propose(ctx, query.Command.Group, commands)
	if err != nil {
		return nil, err
	}
	list := &wire.CommandReply{}
	for position, outcome := range outcomes {
		result := outcome.(applyResult)
		if result.outcome.Status == sessionlog.UnknownPrefix {
			if result, err = node.beginWithFullInput(ctx, query.Command.Group, query.Command.Commands[position]); err != nil {
				return nil, err
			}
		}
		list.Outcomes = append(list.Outcomes, result.outcome)
		if command := &query.Command.Commands[position]; command.Kind == sessionlog.BeginTurn && command.KeepData && result.outcome.Status == sessionlog.Done {
			if list.History, err = node.history(ctx, query.Command.Group, result.view, command.Session, command.Producer); err != nil {
				return nil, err
			}
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_outcomes, Outcomes: list}, nil
}

// setExpectedSeq gives the beginning of a turn the position that it counts on: where the turn
// that it follows ended. The state machine checks it.
func (node *Node) setExpectedSeq(group uint32, command *sessionlog.Command) {
	machine := node.stateMachine(group)
	if command.Kind != sessionlog.BeginTurn || command.Follows == "" || machine == nil {
		return
	}
	if followed, found := machine.View().Turn(command.Session, command.Follows); found && followed.Complete() {
		command.HasExpectedSeq, command.ExpectedSeq = true, followed.EndSeq
	}
}

// beginWithFullInput begins a turn with its whole input: the opening that it was to refer to was
// freed meanwhile, and nothing had begun.
func (node *Node) beginWithFullInput(ctx context.Context, group uint32, command sessionlog.Command) (applyResult, error) {
	command.Now = node.clock(group)
	return node.propose(ctx, group, command)
}
