package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/placement"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// placementInterval is how often the placement of groups is looked at, movingInterval
	// how often while groups led here are moving.
	placementInterval = time.Second
	movingInterval    = 50 * time.Millisecond
	// maxConcurrentMoves bounds the groups that one leader moves at a time, as each learner
	// gets the whole content of its group.
	maxConcurrentMoves = 4
)

// runPlacement moves groups to where the store list wants them: whenever the view changes, and
// at an interval, as stores come and go.
func (node *Node) runPlacement() {
	timer := time.NewTimer(placementInterval)
	defer timer.Stop()
	for {
		select {
		case <-node.context.Done():
			return
		case <-node.viewChanged:
		case <-timer.C:
		}
		next := placementInterval
		if node.reconcilePlacement() {
			next = movingInterval
		}
		timer.Reset(next)
	}
}

// reconcilePlacement brings the groups led here one step nearer to where the store list wants
// them, and tells whether any is moving. Only a group's leader does this, and its membership
// changes are entries of its log, so the term is the fencing token.
func (node *Node) reconcilePlacement() bool {
	view := node.view.Load()
	if len(view.Stores) == 0 {
		return false
	}
	candidates, moving := view.PlacementCandidates(), 0
	var steps sync.WaitGroup
	for group, status := range node.host.Statuses() {
		target := placement.ReplicasOf(group, candidates, view.ReplicationFactor())
		if !status.CommittedInTerm {
			node.leaveIfRemoved(group, status, target)
			continue
		}
		if moving < maxConcurrentMoves && node.canMove(status, target) {
			moving++
			steps.Go(func() { node.moveGroup(group, target, view) })
		}
	}
	steps.Wait()
	return moving > 0
}

// canMove tells whether a group is not where it should be and a step towards there can be
// taken now.
func (node *Node) canMove(status raft.Status, target []string) bool {
	voters, learners := status.Membership.Voters, status.Membership.Learners
	if status.MembershipChangePending {
		return true
	}
	if len(learners) > 0 {
		return slices.ContainsFunc(learners, func(name string) bool { return !slices.Contains(target, name) || node.isLive(name) })
	}
	missing := slices.DeleteFunc(slices.Clone(target), func(name string) bool { return slices.Contains(voters, name) })
	if len(missing) > 0 {
		return slices.ContainsFunc(missing, node.isLive)
	}
	return len(voters) > len(target) && !slices.ContainsFunc(target, func(name string) bool { return !node.isLive(name) })
}

// leaveIfRemoved deletes a replica that was removed from its group: it hears of no leader, and
// the leader, confirmed by a majority, does not count it among the members.
func (node *Node) leaveIfRemoved(group uint32, status raft.Status, target []string) {
	if status.Leader != "" || slices.Contains(target, node.Name()) {
		return
	}
	for _, name := range target {
		reported, found := node.leaderStatusAt(name, group)
		if !found || slices.Contains(reported.Voters, node.Name()) || slices.Contains(reported.Learners, node.Name()) {
			continue
		}
		// The group may have added this replica again since; then its log or term has moved.
		if now, _ := node.host.Status(group); now.Leader == "" && now.LastIndex == status.LastIndex && now.Term == status.Term {
			log.WithFields(log.Fields{"node": node.Name(), "group": group}).Info("deleting a replica that was removed from its group")
			node.host.Remove(group)
		}
		return
	}
}

// leaderStatusAt returns a store's status of a group, if that store leads it.
func (node *Node) leaderStatusAt(store string, group uint32) (reported wire.GroupStatus, found bool) {
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	reply, err := node.caller.Call(ctx, node.addressOf(store), &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
	if err != nil || reply.Status == nil {
		return wire.GroupStatus{}, false
	}
	at := slices.IndexFunc(reply.Status.Groups, func(status wire.GroupStatus) bool { return status.Group == group && status.Leading })
	if at < 0 {
		return wire.GroupStatus{}, false
	}
	return reply.Status.Groups[at], true
}
