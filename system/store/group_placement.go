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
	placementInterval = time.Second
	movingInterval    = 50 * time.Millisecond // while groups led here are moving
	// maxConcurrentMoves bounds the groups that one leader lets catch up at a time.
	maxConcurrentMoves = 4
)

// runPlacement moves groups whenever the view changes, and goes on while any is moving.
func (node *Node) runPlacement() {
	tick := time.NewTimer(placementInterval)
	defer tick.Stop()
	for {
		select {
		case <-node.context.Done():
			return
		case <-node.viewChanged:
		case <-tick.C:
		}
		next := placementInterval
		if node.reconcilePlacement() {
			next = movingInterval
		}
		tick.Reset(next)
	}
}

// reconcilePlacement brings the groups led here one step nearer to where the store list
// wants them, and tells whether any is under way. The leader of a group does this
// alone; its term is the fence.
func (node *Node) reconcilePlacement() bool {
	view := node.view.Load()
	if len(view.Stores) == 0 {
		return false
	}
	places, moving := view.PlacementCandidates(), 0
	var steps sync.WaitGroup
	for group, status := range node.host.Statuses() {
		target := placement.ReplicasOf(group, places, view.ReplicationFactor())
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

// canMove tells that a group is not where it should be, and that a step towards there can
// be taken now.
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

// leaveIfRemoved forgets a replica that its group has let go: it hears of no
// leader, and the confirmed leader's replica set lacks it.
func (node *Node) leaveIfRemoved(group uint32, status raft.Status, target []string) {
	if status.Leader != "" || slices.Contains(target, node.Name()) {
		return
	}
	for _, name := range target {
		ctx, cancel := context.WithTimeout(node.context, callTimeout)
		reply, err := node.caller.Call(ctx, node.addressOf(name), &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
		cancel()
		if err != nil || reply.Status == nil {
			continue
		}
		for _, reported := range reply.Status.Groups {
			if reported.Group == group && reported.Leading && !slices.Contains(reported.Voters, node.Name()) && !slices.Contains(reported.Learners, node.Name()) {
				// It may have been taken in again meanwhile.
				if now, _ := node.host.Status(group); now.Leader == "" && now.LastIndex == status.LastIndex && now.Term == status.Term {
					log.WithFields(log.Fields{"node": node.Name(), "group": group}).Info("replica_left")
					node.host.Remove(group)
				}
				return
			}
		}
	}
}
