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
	result := make(chan error, 1)
	running := host.runOnLoop(func() {
		group := host.groups[groupID]
		if group == nil {
			result <- notLeaderError(nil)
			return
		}
		host.lastReadID++
		group.reads[host.lastReadID] = result
		host.step(groupID, raft.Input{Kind: raft.InputReadIndex, Context: host.lastReadID})
	})
	if !running {
		return notLeaderError(nil)
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return apierror.NewRetryable(apierror.NoQuorum, "no quorum confirmed the read in time", "retry the request", noQuorumRetryAfter)
	case <-host.stopped:
		return notLeaderError(nil)
	}
}
