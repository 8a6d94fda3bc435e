package replica

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

// Read returns once all that was committed before the call is applied here and
// a quorum confirmed that this replica leads.
//
//	if err := host.Read(ctx, 7); err != nil { return err }
//	session, found := machine.View().Session(name)
func (host *Host) Read(ctx context.Context, groupID uint32) error {
	answer := make(chan error, 1)
	running := host.runOnLoop(func() {
		group := host.groups[groupID]
		if group == nil {
			answer <- host.notLeader(nil)
			return
		}
		host.lastReadID++
		group.reads[host.lastReadID] = answer
		host.step(groupID, raft.Input{Kind: raft.InputReadIndex, Context: host.lastReadID})
	})
	if !running {
		return host.notLeader(nil)
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return apierror.NewRetryable(apierror.NoQuorum, "no quorum confirmed the read in time", "ask again", time.Second)
	case <-host.stopped:
		return host.notLeader(nil)
	}
}
