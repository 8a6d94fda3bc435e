package replica

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

// noQuorumRetryDelay is when a client should ask again after a read that no quorum confirmed: about
// an election timeout with the default settings, after which there may be another leader.
const noQuorumRetryDelay = time.Second

// Read waits until a linearizable read of a group may be served here: a quorum has confirmed
// that this replica leads, and all that was committed before the call is applied (thesis
// 6.4). The error is an [apierror.Error]: NotLeader, or NoQuorum if ctx ended first.
func (host *Host) Read(ctx context.Context, groupID uint32) error {
	result := make(chan error, 1)
	running := host.runOnLoop(func() {
		group := host.groups[groupID]
		if group == nil {
			result <- notLeader(nil)
			return
		}
		host.lastReadID++
		group.reads[host.lastReadID] = result
		host.step(groupID, raft.Input{Kind: raft.InputReadIndex, Context: host.lastReadID})
	})
	if !running {
		return notLeader(nil)
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return apierror.NewRetryable(apierror.NoQuorum, "no quorum confirmed the read in time", "ask again", noQuorumRetryDelay)
	case <-host.stopped:
		return notLeader(nil)
	}
}
