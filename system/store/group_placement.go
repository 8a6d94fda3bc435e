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
	// placementInterval is how often the placement of groups is checked, movingInterval how
	// often while this node is moving groups.
	placementInterval = time.Second
	movingInterval    = 50 * time.Millisecond
	// maxConcurrentMoves bounds the groups that a node moves at a time, as each learner
	// receives the complete state of its group.
	maxConcurrentMoves = 4
)

// runPlacement runs reconcilePlacement whenever the view changes, and at an interval, as stores
// fail and come back without a change of the view.
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

// reconcilePlacement moves the groups that this node leads one step toward their target stores,
// and reports whether any is moving. Only a group's leader moves it, by entries of its log, so
// the term is the fencing token. Replicas that were removed from their groups are deleted.
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
			node.deleteIfRemoved(group, status, target)
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

// canMove reports whether a group is not on its target stores and a step toward them is
// possible now.
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

// deleteIfRemoved deletes this node's replica of a group if it was removed from the group: it
// knows no leader, and the leader, confirmed by a quorum, does not list it as a member.
func (node *Node) deleteIfRemoved(group uint32, status raft.Status, target []string) {
	if status.Leader != "" || slices.Contains(target, node.Name()) {
		return
	}
	for _, name := range target {
		reported, found := node.leaderStatusAt(name, group)
		if !found || slices.Contains(reported.Voters, node.Name()) || slices.Contains(reported.Learners, node.Name()) {
			continue
		}
		// If the group has added this replica again since, its log or term has advanced.
		if current, _ := node.host.Status(group); current.Leader == "" && current.LastIndex == status.LastIndex && current.Term == status.Term {
			log.WithFields(log.Fields{"node": node.Name(), "group": group}).Info("deleting a replica that was removed from its group")
			node.host.DeleteReplica(group)
		}
		return
	}
}

// leaderStatusAt asks a store for its status of a group; found is false unless that store leads it.
func (node *Node) leaderStatusAt(store string, group uint32) (reported wire.GroupStatus, found bool) {
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	reply, err := node.caller.Call(ctx, node.addressOf(store), &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
	if err != nil || reply.Status == nil {
		return wire.GroupStatus{}, false
	}
	index := slices.IndexFunc(reply.Status.Groups, func(status wire.GroupStatus) bool { return status.Group == group && status.Leading })
	if index < 0 {
		return wire.GroupStatus{}, false
	}
	return reply.Status.Groups[index], true
}
