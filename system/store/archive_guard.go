package store

import (
	"context"
	"slices"

	"github.com/apex/log"

	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
)

// An archiveGuard preserves an invariant of a group that this node leads: a majority of the voters
// has every acknowledged range in its archive. Acknowledged ranges are evicted from the replicated
// state, so the archived copies are the only ones.
//
// Two concurrent tasks could violate it: one acknowledges ranges based on the voters that it has
// read, the other changes the voters based on the ranges that it has read. The guard serializes
// them, and blocks a membership change while the outcome of an acknowledgement is unknown.
type archiveGuard struct {
	// token is a mutex whose acquisition can be canceled: it has one element while a task owns
	// it, possibly for the duration of a commit.
	token chan struct{}
	// An acknowledgement of unknown outcome may be among the log entries of term inDoubtTerm up
	// to index inDoubtThrough.
	inDoubtTerm, inDoubtThrough uint64
}

// inDoubt reports whether an acknowledgement that is not applied on this node may still be
// committed. A leader that has committed an entry of a later term knows the outcome of all
// earlier entries.
func (guard *archiveGuard) inDoubt(status raft.Status) bool {
	return status.Term == guard.inDoubtTerm && status.CommitIndex < guard.inDoubtThrough
}

func (node *Node) archiveGuard(group uint32) *archiveGuard {
	guard, _ := node.archiveGuards.LoadOrStore(group, &archiveGuard{token: make(chan struct{}, 1)})
	return guard.(*archiveGuard)
}

// acquire waits for the guard. It reports false if the context ended first.
func (guard *archiveGuard) acquire(ctx context.Context) bool {
	select {
	case guard.token <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryAcquire acquires the guard if it is free, and reports whether it did.
func (guard *archiveGuard) tryAcquire() bool {
	select {
	case guard.token <- struct{}{}:
		return true
	default:
		return false
	}
}

func (guard *archiveGuard) release() { <-guard.token }

// isMajority reports whether subset includes a majority of all.
func isMajority(subset, all []string) bool {
	included := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return !slices.Contains(subset, name) })
	return len(included) >= len(all)/2+1
}

// acknowledgeArchived commits the acknowledgements that evict archived events, provided that the
// holders of the ranges are a majority of the current voters.
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
			Warn("cannot commit the acknowledgement of archived events; they stay in memory until the next round")
		status, _ = node.host.Status(group)
		guard.inDoubtTerm, guard.inDoubtThrough = status.Term, status.LastIndex
	}
}

// changeReplicas proposes a change of one member that is safe for the archived ranges with the
// given digests. It reports false if other ranges have been acknowledged since, or may have
// been; the caller then retries with a current view.
func (node *Node) changeReplicas(group uint32, expectedDigests sessionlog.BucketDigests, next raft.Membership) bool {
	guard := node.archiveGuard(group)
	if !guard.tryAcquire() {
		return false
	}
	defer guard.release()
	status, _ := node.host.Status(group)
	if !status.CommittedInTerm || guard.inDoubt(status) || node.stateMachine(group).View().ArchiveDigests() != expectedDigests {
		return false
	}
	return node.host.ChangeMembership(group, next)
}
