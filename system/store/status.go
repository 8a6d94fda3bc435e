package store

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// confirmTimeout bounds the wait for a quorum to confirm leadership in a status query.
const confirmTimeout = 500 * time.Millisecond

// handleStatus replies with the identity of this node and the status of its replicas. It reports
// that it leads a group only if a quorum has confirmed that since the query arrived, because
// stores are decommissioned and replicas deleted on the basis of this reply.
func (node *Node) handleStatus(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	view := node.view.Load()
	statuses := node.host.Statuses()
	// The goroutines below keep pointers into groups, so it must not be reallocated.
	groups := make([]wire.GroupStatus, 0, len(statuses))
	var confirmations sync.WaitGroup
	for group, status := range statuses {
		groups = append(groups, wire.GroupStatus{Group: group, Voters: status.Membership.Voters, Learners: status.Membership.Learners})
		if !status.CommittedInTerm {
			continue
		}
		reported := &groups[len(groups)-1]
		confirmations.Go(func() {
			*reported = node.confirmedStatus(ctx, *reported)
			if reported.Leading && query.Status != nil && query.Status.SharedPrefixes {
				reported.SharedPrefixes = node.prefixStatuses(group)
			}
		})
	}
	confirmations.Wait()
	return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{
		Name: node.Name(), Role: feed.RoleStore, Address: node.settings.Address, Domain: node.settings.Domain,
		Uninitialized: view.Number == 0, Fleet: view.Fleet, ViewNumber: view.Number, Controls: view.Controls, Groups: groups,
	}}, nil
}

// confirmedStatus adds to a group's status whether this node leads it, as confirmed by a quorum,
// and the members as of then. While a membership change is pending, a leader is not reported as
// leading.
func (node *Node) confirmedStatus(ctx context.Context, reported wire.GroupStatus) wire.GroupStatus {
	if err := node.host.AwaitReadIndex(ctx, reported.Group); err != nil {
		return reported
	}
	status, _ := node.host.Status(reported.Group)
	reported.Leading = status.CommittedInTerm && !status.MembershipChangePending
	reported.Voters, reported.Learners = status.Membership.Voters, status.Membership.Learners
	return reported
}

// prefixStatuses returns the status of each shared prefix of a group, without its data.
func (node *Node) prefixStatuses(group uint32) []wire.SharedPrefixStatus {
	statuses := []wire.SharedPrefixStatus{}
	for prefix := range node.stateMachine(group).View().SharedPrefixes() {
		statuses = append(statuses, wire.SharedPrefixStatus{
			Name: prefix.Name, Scope: prefix.Scope, Size: prefix.Size, References: prefix.References, Corrupt: prefix.Corrupt,
		})
	}
	return statuses
}
