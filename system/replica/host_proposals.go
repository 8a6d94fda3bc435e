package replica

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

// notLeaderRetryAfter is the delay after which a client should retry. It is a fraction of the
// default election timeout, so that clients find a new leader soon after its election.
const notLeaderRetryAfter = 200 * time.Millisecond

// proposal is a command whose log entry has not been applied yet.
type proposal struct {
	// term is the term of the entry. If an entry of another term is applied at its index, the
	// command will never be applied.
	term uint64
	// commandIndex is the position of the command in its call of Propose.
	commandIndex int
	// result is buffered for the results of all commands of the call.
	result chan<- proposalResult
}

type proposalResult struct {
	commandIndex int
	applyResult  any
	err          error
}

// Propose commits commands in a group, in order, and returns the result of applying each. The
// error is an [apierror.Error]: NotLeader if no command was or will be applied, OutcomeUnknown
// if some may have been or may still be.
func (host *Host) Propose(ctx context.Context, groupID uint32, commands [][]byte) ([]any, error) {
	results := make(chan proposalResult, len(commands))
	var rejectErr error
	accepted := 0
	running := host.runOnLoop(func() {
		accepted, rejectErr = host.appendCommands(groupID, commands, results)
	})
	if !running {
		return nil, outcomeUnknownError()
	}
	if rejectErr != nil && accepted == 0 {
		return nil, rejectErr
	}
	applyResults := make([]any, len(commands))
	var commandErr error
	for range accepted {
		select {
		case result := <-results:
			applyResults[result.commandIndex] = result.applyResult
			if result.err != nil {
				commandErr = result.err
			}
		case <-ctx.Done():
			return nil, outcomeUnknownError()
		case <-host.stopped:
			return nil, outcomeUnknownError()
		}
	}
	if accepted < len(commands) || (commandErr != nil && len(commands) > 1) {
		return nil, outcomeUnknownError() // some of the commands may have been applied
	}
	return applyResults, commandErr
}

// appendCommands proposes commands until one is rejected, and returns the number accepted. It
// must be called on the loop.
func (host *Host) appendCommands(groupID uint32, commands [][]byte, results chan<- proposalResult) (accepted int, err error) {
	group := host.groups[groupID]
	for position, data := range commands {
		if group == nil {
			return 0, notLeaderError(nil)
		}
		output := host.step(groupID, raft.Input{Kind: raft.InputPropose, Data: data})
		if output.ProposedIndex == 0 {
			return accepted, notLeaderError(group)
		}
		group.proposals[output.ProposedIndex] = proposal{term: output.ProposedTerm, commandIndex: position, result: results}
		accepted++
	}
	return accepted, nil
}

func outcomeUnknownError() error {
	return apierror.New(apierror.OutcomeUnknown, "the outcome of the write is unknown", "retry with the same producer and sequence number; the retry is deduplicated")
}

// notLeaderError returns the error of a replica that is not the leader, with the leader if it is
// known. group is nil if this node has no replica of the group.
func notLeaderError(group *raftGroup) error {
	leader := ""
	if group != nil {
		leader = group.core.Status().Leader
	}
	return &apierror.Error{Kind: apierror.NotLeader, Message: "this replica is not the leader of the group", Remedy: "send the request to the leader", Leader: leader, RetryAfter: notLeaderRetryAfter}
}
