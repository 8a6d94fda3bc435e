package store

import (
	"context"
	"slices"

	"github.com/apex/log"

	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// An archived range is evicted from the replicated state, so its copies in the cold
// stores are all there is of it. The leader of a group keeps this invariant: a majority of
// the group's voters hold each range that was acknowledged. Two of its tasks could break it
// together: one acknowledges ranges by the voters that it knows, the other changes the
// voters by the ranges that it knows. An archiveGuard lets one of them act at a time.
type archiveGuard struct {
	// token takes a token while one of them acts, which may have to wait for a commit.
	token chan struct{}
	// inDoubtTerm and inDoubtThrough bound the log entries of one term among which may
	// be an acknowledgement whose outcome is not known.
	inDoubtTerm, inDoubtThrough uint64
}

// inDoubt tells whether an acknowledgement may still be committed that is not applied
// here. A leader that has committed an entry of a later term has decided all before it.
func (guard *archiveGuard) inDoubt(status raft.Status) bool {
	return status.Term == guard.inDoubtTerm && status.CommitIndex < guard.inDoubtThrough
}

func (node *Node) archiveGuard(group uint32) *archiveGuard {
	guard, _ := node.archiveGuards.LoadOrStore(group, &archiveGuard{token: make(chan struct{}, 1)})
	return guard.(*archiveGuard)
}

// acquire waits for its turn; false tells that the context ended before.
func (guard *archiveGuard) acquire(ctx context.Context) bool {
	select {
	case guard.token <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (guard *archiveGuard) release() { <-guard.token }

func isMajority(some, all []string) bool {
	counted := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return !slices.Contains(some, name) })
	return len(counted) >= len(all)/2+1
}

// acknowledgeArchived commits how far lines may be evicted, if those that hold the ranges
// are a majority of the voters as they are now.
func (node *Node) acknowledgeArchived(ctx context.Context, group uint32, holders []string, acks []sessionlog.Ack) {
	guard := node.archiveGuard(group)
	if !guard.acquire(ctx) {
		return
	}
	defer guard.release()
	status, _ := node.host.Status(group)
	if len(acks) > 0 && !isMajority(holders, status.Membership.Voters) {
		return
	}
	command := sessionlog.Command{Kind: sessionlog.AckArchived, Now: node.clock(group), Acks: acks}
	if _, err := node.host.Propose(ctx, group, [][]byte{wire.MustEncode(schema.Command_TypeID, &command)}); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "error": err.Error()}).Warn("archive_not_acknowledged")
		status, _ = node.host.Status(group)
		guard.inDoubtTerm, guard.inDoubtThrough = status.Term, status.LastIndex
	}
}

// changeReplicas asks for a one-member change that was decided on the archived ranges with
// these sums. It does nothing if others have been acknowledged since, or may have been.
func (node *Node) changeReplicas(group uint32, decidedOn sessionlog.BucketDigests, next raft.Membership) bool {
	guard := node.archiveGuard(group)
	select {
	case guard.token <- struct{}{}:
	default:
		return false // it is tried again soon
	}
	defer guard.release()
	status, _ := node.host.Status(group)
	if !status.CommittedInTerm || guard.inDoubt(status) || node.stateMachine(group).View().ArchiveDigests() != decidedOn {
		return false
	}
	return node.host.ChangeMembership(group, next)
}
