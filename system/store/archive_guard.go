package store

import (
	"context"
	"slices"

	"github.com/apex/log"

	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
)

// An archiveGuard keeps an invariant of a group led here: a majority of its voters have each
// range in their archives that was acknowledged. Such a range is evicted from the replicated
// state, so these copies are all there is of it.
//
// Two tasks could break it together: one acknowledges ranges by the voters that it knows, the
// other changes the voters by the ranges that it knows. The guard lets one of them act at a
// time, and the second one if the first's outcome is known.
type archiveGuard struct {
	// token has one element while a task acts, which may have to wait for a commit.
	token chan struct{}
	// inDoubtTerm and inDoubtThrough bound the log entries, of one term and up to an index,
	// among which may be an acknowledgement whose outcome is not known.
	inDoubtTerm, inDoubtThrough uint64
}

// inDoubt tells whether an acknowledgement may still be committed that is not applied here. A
// leader that has committed an entry of a later term knows the outcome of all before it.
func (guard *archiveGuard) inDoubt(status raft.Status) bool {
	return status.Term == guard.inDoubtTerm && status.CommitIndex < guard.inDoubtThrough
}

func (node *Node) archiveGuard(group uint32) *archiveGuard {
	guard, _ := node.archiveGuards.LoadOrStore(group, &archiveGuard{token: make(chan struct{}, 1)})
	return guard.(*archiveGuard)
}

// acquire waits until the caller may act, and reports false if the context ended before.
func (guard *archiveGuard) acquire(ctx context.Context) bool {
	select {
	case guard.token <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryAcquire reports whether the caller may act now.
func (guard *archiveGuard) tryAcquire() bool {
	select {
	case guard.token <- struct{}{}:
		return true
	default:
		return false
	}
}

func (guard *archiveGuard) release() { <-guard.token }

// isMajority tells whether a majority of all names is among some.
func isMajority(some, all []string) bool {
	counted := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return !slices.Contains(some, name) })
	return len(counted) >= len(all)/2+1
}

// acknowledgeArchived commits how far sessions may be evicted, if the holders of the ranges
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
	if _, err := node.propose(ctx, group, command); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "group": group, "error": err.Error()}).
			Warn("cannot commit that events are archived, they stay in memory until the next round")
		status, _ = node.host.Status(group)
		guard.inDoubtTerm, guard.inDoubtThrough = status.Term, status.LastIndex
	}
}

// changeReplicas proposes a change of one member that was decided on certain archived ranges.
// It reports false, and the move is tried again soon, if others have been acknowledged since,
// or may have been.
func (node *Node) changeReplicas(group uint32, decidedOn sessionlog.BucketDigests, next raft.Membership) bool {
	guard := node.archiveGuard(group)
	if !guard.tryAcquire() {
		return false
	}
	defer guard.release()
	status, _ := node.host.Status(group)
	if !status.CommittedInTerm || guard.inDoubt(status) || node.stateMachine(group).View().ArchiveDigests() != decidedOn {
		return false
	}
	return node.host.ChangeMembership(group, next)
}
