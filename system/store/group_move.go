package store

import (
	"cmp"
	"slices"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
)

// groupMove is one look at a group that is led here and not where it should be.
type groupMove struct {
	node   *Node
	group  uint32
	status raft.Status
	// content is what the group held at that time. Who must have which archived ranges is
	// decided on it, and changeReplicas checks that it still holds.
	content *sessionlog.View
	// target are the stores where the store list wants the group.
	target []string
	// surplus are the voters that are not in target.
	surplus []string
}

// moveGroup takes one step of a group's move: it adds a missing replica as a learner, makes a
// learner a voter that has the log and all archived ranges, or removes a surplus voter. One
// whose store has departed is removed before the learner votes, so that the two never count
// together. One member changes at a time (Raft thesis 4.1).
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

// change proposes a membership and logs what it does if it was proposed.
func (move *groupMove) change(message, replica string, next raft.Membership) {
	if move.node.changeReplicas(move.group, move.content.ArchiveDigests(), next) {
		log.WithFields(log.Fields{"node": move.node.Name(), "group": move.group, "replica": replica}).Info(message)
	}
}

func (move *groupMove) addLearner(name string) {
	members := move.status.Membership
	move.change("adding a replica as a learner", name, raft.Membership{Voters: members.Voters, Learners: append(slices.Clone(members.Learners), name)})
}

// promoteOrRemoveLearner makes a learner a voter once it has the log and the archived ranges,
// or removes it if it is not wanted any more.
func (move *groupMove) promoteOrRemoveLearner(learner string) {
	members := move.status.Membership
	without := raft.Without(members.Learners, learner)
	if !slices.Contains(move.target, learner) {
		move.change("removing a learner", learner, raft.Membership{Voters: members.Voters, Learners: without})
		return
	}
	if !move.status.CaughtUp(learner) || !move.node.repairReplica(move.group, move.content, learner) {
		return
	}
	if departed := slices.IndexFunc(move.surplus, move.node.hasDeparted); departed >= 0 && len(members.Voters) >= len(move.target) {
		move.removeDepartedVoter(move.surplus[departed])
		return
	}
	move.change("making a learner a voter", learner, raft.Membership{Voters: append(slices.Clone(members.Voters), learner), Learners: without})
}

// removeDepartedVoter removes a voter whose store has left the list and is not live, once a
// majority of the others have all that is archived.
func (move *groupMove) removeDepartedVoter(name string) {
	next := raft.Without(move.status.Membership.Voters, name)
	if move.countComplete(next) >= len(next)/2+1 {
		move.change("removing a voter whose store has departed", name, raft.Membership{Voters: next, Learners: move.status.Membership.Learners})
	}
}

// removeVoter removes a voter whose store may be switched off, with its disk, as soon as it has
// no replicas: each of those that stay must have all that it has. A leader that is to go
// transfers its leadership first.
func (move *groupMove) removeVoter(name string) {
	next := raft.Without(move.status.Membership.Voters, name)
	behind := func(voter string) bool { return !move.status.CaughtUp(voter) }
	if slices.ContainsFunc(move.target, behind) || move.countComplete(move.target) < len(move.target) {
		return
	}
	if name == move.node.Name() {
		matched := move.status.MatchIndex
		best := slices.MaxFunc(move.target, func(left, right string) int { return cmp.Compare(matched[left], matched[right]) })
		move.node.host.TransferLeadership(move.group, best)
		return
	}
	move.change("removing a surplus voter", name, raft.Membership{Voters: next, Learners: move.status.Membership.Learners})
}

// countComplete counts the replicas that have all that is archived, and repairs the others.
func (move *groupMove) countComplete(names []string) int {
	complete := 0
	for _, name := range names {
		if move.node.isLive(name) && move.node.repairReplica(move.group, move.content, name) {
			complete++
		}
	}
	return complete
}
