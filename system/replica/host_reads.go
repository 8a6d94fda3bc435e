package replica

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

// noQuorumRetryAfter is the delay after which a client should retry a read that no quorum
// confirmed: about one default election timeout, after which a new leader may be elected.
const noQuorumRetryAfter = time.Second

// AwaitReadIndex waits until this node can serve a linearizable read of a group: a quorum has
// confirmed that this replica is the leader, and everything committed before the call is applied
// (Raft thesis, section 6.4). The error is an [apierror.Error]: NotLeader, or NoQuorum if ctx ended
// first.
func (host *Host) AwaitReadIndex(ctx context.Context, groupID uint32) error {
	_, err := host.ConfirmLeadership(ctx, groupID)
	return err
}

// ConfirmLeadership is AwaitReadIndex, and also returns the term in which this replica led the group
// when a quorum confirmed it, some time after the call.
func (host *Host) ConfirmLeadership(ctx context.Context, groupID uint32) (term uint64, err error) {
	result := make(chan error, 1)
	running := host.runOnLoop(func() {
		group := host.groups[groupID]
		if group == nil {
			result <- notLeaderError(nil)
			return
		}
		// A read fails if the term changes before it is confirmed.
		term, _ = group.core.Leading()
		host.lastReadID++
		group.reads[host.lastReadID] = result
		host.step(groupID, raft.Input{Kind: raft.InputReadIndex, Context: host.lastReadID})
	})
	if !running {
		return 0, notLeaderError(nil)
	}
	select {
	case err := <-result:
		return term, err
	case <-ctx.Done():
		return 0, apierror.NewRetryable(apierror.NoQuorum, "no quorum confirmed the read in time", "retry the request", noQuorumRetryAfter)
	case <-host.stopped:
		return 0, notLeaderError(nil)
	}
}
