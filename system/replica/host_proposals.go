package replica

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

// notLeaderRetryDelay is when a client should ask again. It is a fraction of the default election
// timeout, so that a new leader is found soon after its election.
const notLeaderRetryDelay = 200 * time.Millisecond

// proposal waits for the entry that the leader appended for a command.
type proposal struct {
	// term is that of the entry. If an entry of another term is applied at the index, the
	// command never will be.
	term uint64
	// commandIndex is the command's position in its call of Propose.
	commandIndex int
	// result has room for the results of all commands of the call.
	result chan<- proposalResult
}

type proposalResult struct {
	commandIndex int
	outcome      any
	err          error
}

// Propose commits commands in a group, in their order, and returns the outcome of applying
// each. The error is an [apierror.Error]: NotLeader if none of the commands ran or will run,
// OutcomeUnknown if some may have run or may still do so.
func (host *Host) Propose(ctx context.Context, groupID uint32, commands [][]byte) ([]any, error) {
	results := make(chan proposalResult, len(commands))
	var rejected error
	accepted := 0
	running := host.runOnLoop(func() {
		accepted, rejected = host.appendCommands(groupID, commands, results)
	})
	if !running {
		return nil, outcomeUnknown()
	}
	if rejected != nil && accepted == 0 {
		return nil, rejected
	}
	outcomes := make([]any, len(commands))
	var failed error
	for range accepted {
		select {
		case result := <-results:
			outcomes[result.commandIndex] = result.outcome
			if result.err != nil {
				failed = result.err
			}
		case <-ctx.Done():
			return nil, outcomeUnknown()
		case <-host.stopped:
			return nil, outcomeUnknown()
		}
	}
	if accepted < len(commands) || (failed != nil && len(commands) > 1) {
		return nil, outcomeUnknown() // some of the commands may have run
	}
	return outcomes, failed
}

// appendCommands has the leader append commands until it rejects one, and returns how many it
// accepted. It must be called on the loop.
func (host *Host) appendCommands(groupID uint32, commands [][]byte, results chan<- proposalResult) (accepted int, rejected error) {
	group := host.groups[groupID]
	for position, data := range commands {
		if group == nil {
			return 0, notLeader(nil)
		}
		output := host.step(groupID, raft.Input{Kind: raft.InputPropose, Data: data})
		if output.ProposedIndex == 0 {
			return accepted, notLeader(group)
		}
		group.proposals[output.ProposedIndex] = proposal{term: output.ProposedTerm, commandIndex: position, result: results}
		accepted++
	}
	return accepted, nil
}

func outcomeUnknown() error {
	return apierror.New(apierror.OutcomeUnknown, "the commit was not seen to its end", "ask again with the same producer pair; it is deduped")
}

// notLeader returns the error of a replica that does not lead, with the leader that it knows
// of. group is nil if the replica is not here.
func notLeader(group *raftGroup) error {
	leader := ""
	if group != nil {
		leader = group.core.Status().Leader
	}
	return &apierror.Error{Kind: apierror.NotLeader, Message: "this replica does not lead the group", Remedy: "ask its leader", Leader: leader, RetryAfter: notLeaderRetryDelay}
}
