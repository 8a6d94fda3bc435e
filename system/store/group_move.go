package store

import (
	"cmp"
	"slices"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
)

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
