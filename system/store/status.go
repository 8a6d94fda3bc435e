package store

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// confirmTimeout is how long a leader may take to hear from a majority when it is asked what
// it leads.
const confirmTimeout = 500 * time.Millisecond

// handleStatus tells who this node is and which groups it has replicas of. It says that it
// leads a group only after a majority has confirmed that since the query came: on this word
// stores are switched off, and replicas deleted.
func (node *Node) handleStatus(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	view := node.view.Load()
	statuses := node.host.Statuses()
	// The goroutines below keep pointers into groups, so it must never be allocated anew.
	groups := make([]wire.GroupStatus, 0, len(statuses))
	var confirming sync.WaitGroup
	for number, status := range statuses {
		groups = append(groups, wire.GroupStatus{Group: number, Voters: status.Membership.Voters, Learners: status.Membership.Learners})
		if !status.CommittedInTerm {
			continue
		}
		reported := &groups[len(groups)-1]
		confirming.Go(func() {
			*reported = node.confirmedStatus(ctx, *reported)
			if reported.Leading && query.Status != nil && query.Status.SharedPrefixes {
				reported.SharedPrefixes = node.prefixStatuses(number)
			}
		})
	}
	confirming.Wait()
	return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{
		Name: node.Name(), Role: feed.RoleStore, Address: node.settings.Address, Domain: node.settings.Domain,
		Uninitialized: view.Number == 0, Fleet: view.Fleet, ViewNumber: view.Number, Controls: view.Controls, Groups: groups,
	}}, nil
}

// confirmedStatus adds to a group's status whether it is led here, as a majority confirms, and
// its members. A leader whose membership is about to change does not count as leading.
func (node *Node) confirmedStatus(ctx context.Context, reported wire.GroupStatus) wire.GroupStatus {
	if err := node.host.Read(ctx, reported.Group); err != nil {
		return reported
	}
	status, _ := node.host.Status(reported.Group)
	reported.Leading = status.CommittedInTerm && !status.MembershipChangePending
	reported.Voters, reported.Learners = status.Membership.Voters, status.Membership.Learners
	return reported
}

// prefixStatuses describes the shared prefixes of a group, without their content.
func (node *Node) prefixStatuses(group uint32) []wire.SharedPrefixStatus {
	statuses := []wire.SharedPrefixStatus{}
	for prefix := range node.stateMachine(group).View().SharedPrefixes() {
		statuses = append(statuses, wire.SharedPrefixStatus{
			Name: prefix.Name, Scope: prefix.Scope, Size: prefix.Size, References: prefix.References, Corrupt: prefix.Corrupt,
		})
	}
	return statuses
}
