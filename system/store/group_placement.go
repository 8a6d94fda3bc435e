package store

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
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

// groupMove is one look at a group led here that is not where it should be.
type groupMove struct {
	node   *Node
	group  uint32
	status raft.Status
	// content is what the group holds at the time of the look: who is to keep what is
	// archived is judged by it.
	content *sessionlog.View
	target  []string
	// surplus are the voters that the store list does not want there.
	surplus []string
}

// moveGroup takes one step for a group: enrol a missing replica as learner, make a
// learner that holds everything a voter, or let a voter go that is not wanted. One whose
// store is gone goes before the learner votes, so that it is never counted beside it.
func (node *Node) moveGroup(group uint32, target []string, view *feed.View) {
	status, _ := node.host.Status(group)
	if !status.CommittedInTerm || status.MembershipChangePending {
		return
	}
	surplus := slices.DeleteFunc(slices.Clone(status.Membership.Voters), func(voter string) bool { return slices.Contains(target, voter) })
	move := &groupMove{node: node, group: group, status: status, content: node.stateMachine(group).View(), target: target, surplus: surplus}
	if len(status.Membership.Learners) > 0 {
		move.promoteOrRemoveLearner(status.Membership.Learners[0])
		return
	}
	for _, wanted := range target {
		if !slices.Contains(status.Membership.Voters, wanted) && view.AddressOf(wanted) != "" && node.isLive(wanted) {
			move.addLearner(wanted)
			return
		}
	}
	if len(surplus) > 0 && len(status.Membership.Voters) > len(target) {
		move.removeVoter(surplus[0])
	}
}

func (move *groupMove) change(event, name string, next raft.Membership) {
	if move.node.changeReplicas(move.group, move.content.ArchiveDigests(), next) {
		log.WithFields(log.Fields{"node": move.node.Name(), "group": move.group, "replica": name}).Info(event)
	}
}

func (move *groupMove) addLearner(name string) {
	replicas := move.status.Membership
	move.change("replica_enrolled", name, raft.Membership{Voters: replicas.Voters, Learners: append(slices.Clone(replicas.Learners), name)})
}

// promoteOrRemoveLearner lets a learner vote once it holds the log and the archived ranges, or lets
// it go if it is not wanted any more.
func (move *groupMove) promoteOrRemoveLearner(learner string) {
	replicas := move.status.Membership
	without := raft.Without(replicas.Learners, learner)
	if !slices.Contains(move.target, learner) {
		move.change("replica_removed", learner, raft.Membership{Voters: replicas.Voters, Learners: without})
		return
	}
	if !move.isCaughtUp(learner) || !move.node.repairReplica(move.group, move.content, learner) {
		return
	}
	if at := slices.IndexFunc(move.surplus, move.node.hasDeparted); at >= 0 && len(replicas.Voters) >= len(move.target) {
		move.removeDepartedVoter(move.surplus[at])
		return
	}
	move.change("replica_votes", learner, raft.Membership{Voters: append(slices.Clone(replicas.Voters), learner), Learners: without})
}

// isCaughtUp tells whether a replica holds the group's log but for what is on its way.
func (move *groupMove) isCaughtUp(name string) bool {
	matched := move.status.MatchIndex[name]
	return matched > 0 && matched+raft.MaxLearnerLag >= move.status.CommitIndex
}

// removeDepartedVoter lets a voter go whose store has left the list and has no session, once a
// majority of those that are left hold all that is archived.
func (move *groupMove) removeDepartedVoter(name string) {
	next := raft.Without(move.status.Membership.Voters, name)
	if move.countComplete(next) >= len(next)/2+1 {
		move.change("replica_removed", name, raft.Membership{Voters: next, Learners: move.status.Membership.Learners})
	}
}

// removeVoter lets a voter go that may be switched off, with its disk, as soon as it is told
// to be free: each of those that stay must hold all that it holds. A leader that is not
// wanted has one of them lead first.
func (move *groupMove) removeVoter(name string) {
	next := raft.Without(move.status.Membership.Voters, name)
	behind := func(voter string) bool { return !move.isCaughtUp(voter) }
	if slices.ContainsFunc(move.target, behind) || move.countComplete(move.target) < len(move.target) {
		return
	}
	if name == move.node.Name() {
		matched := move.status.MatchIndex
		best := slices.MaxFunc(move.target, func(left, right string) int { return cmp.Compare(matched[left], matched[right]) })
		move.node.host.TransferLeadership(move.group, best)
		return
	}
	move.change("replica_removed", name, raft.Membership{Voters: next, Learners: move.status.Membership.Learners})
}

// countComplete counts the replicas that hold all that is archived, and mends the others.
func (move *groupMove) countComplete(names []string) int {
	complete := 0
	for _, name := range names {
		if move.node.isLive(name) && move.node.repairReplica(move.group, move.content, name) {
			complete++
		}
	}
	return complete
}

// hasDeparted tells that a store has left the list and has no session.
func (node *Node) hasDeparted(name string) bool {
	return !slices.ContainsFunc(node.view.Load().Stores, func(member feed.Member) bool { return member.Name == name }) && !node.isLive(name)
}

// isLive tells that a store has a session.
func (node *Node) isLive(name string) bool {
	return name == node.Name() || slices.ContainsFunc(node.members(), func(member feed.Member) bool { return member.Name == name })
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
