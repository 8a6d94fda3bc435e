package replica

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

type proposal struct {
	term         uint64
	commandIndex int
	result       chan<- proposalResult
}

type proposalResult struct {
	commandIndex int
	outcome      any
	err          error
}

// Propose commits commands, in order, in one group and gives what applying each
// answered. NotLeader proves that none ran; Unclear leaves it open.
//
//	outcomes, err := host.Propose(ctx, 7, [][]byte{data})
func (host *Host) Propose(ctx context.Context, groupID uint32, commands [][]byte) ([]any, error) {
	answers := make(chan proposalResult, len(commands))
	var refused error
	accepted := 0
	running := host.runOnLoop(func() {
		group := host.groups[groupID]
		for position, data := range commands {
			index, term := uint64(0), uint64(0)
			if group != nil {
				output := host.step(groupID, raft.Input{Kind: raft.InputPropose, Data: data})
				index, term = output.ProposedIndex, output.ProposedTerm
			}
			if index == 0 {
				refused = host.notLeader(group)
				return
			}
			group.proposals[index] = proposal{term: term, commandIndex: position, result: answers}
			accepted++
		}
	})
	if !running {
		return nil, outcomeUnknown()
	}
	if refused != nil && accepted == 0 {
		return nil, refused
	}
	outcomes := make([]any, len(commands))
	var failed error
	for range accepted {
		select {
		case answer := <-answers:
			outcomes[answer.commandIndex] = answer.outcome
			if answer.err != nil {
				failed = answer.err
			}
		case <-ctx.Done():
			return nil, outcomeUnknown()
		case <-host.stopped:
			return nil, outcomeUnknown()
		}
	}
	if accepted < len(commands) || (failed != nil && len(commands) > 1) {
		return nil, outcomeUnknown()
	}
	return outcomes, failed
}

func outcomeUnknown() error {
	return apierror.New(apierror.OutcomeUnknown, "the commit was not seen to its end", "ask again with the same producer pair; it is deduped")
}

func (host *Host) notLeader(group *raftGroup) error {
	leader := ""
	if group != nil {
		leader = group.core.Status().Leader
	}
	return &apierror.Error{Kind: apierror.NotLeader, Message: "this replica does not lead the group", Remedy: "ask its leader", Leader: leader, RetryAfter: 200 * time.Millisecond}
}
