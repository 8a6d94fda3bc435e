package store

import (
	"cmp"
	"slices"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
)

// groupMove is one step of moving a group that this node leads to its target stores.
type groupMove struct {
	node   *Node
	group  uint32
	status raft.Status
	// state is the group's replicated state at the start of the step. It determines which
	// archived ranges the replicas must have; changeReplicas checks that these are unchanged.
	state *sessionlog.View
	// target are the stores that should have the group according to the store list.
	target []string
	// surplus are the voters that are not in target.
	surplus []string
}

// moveGroup takes one step of a group's move: it adds a missing replica as a learner, promotes a
// learner that has the log and all archived ranges to a voter, or removes a surplus voter. A
// surplus voter whose store has departed is removed before a learner is promoted, so that the
// two never count toward the same majority. One member changes at a time (Raft thesis 4.1).
func (node *Node) moveGroup(group uint32, target []string, view *feed.View) {
	status, _ := node.host.Status(group)
	if !status.CommittedInTerm || status.MembershipChangePending {
		return
	}
	surplus := slices.DeleteFunc(slices.Clone(status.Membership.Voters), func(voter string) bool { return slices.Contains(target, voter) })
	move := &groupMove{node: node, group: group, status: status, state: node.stateMachine(group).View(), target: target, surplus: surplus}
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

// change proposes a membership, and logs the message if it was proposed.
func (move *groupMove) change(message, replica string, next raft.Membership) {
	if move.node.changeReplicas(move.group, move.state.ArchiveDigests(), next) {
		log.WithFields(log.Fields{"node": move.node.Name(), "group": move.group, "replica": replica}).Info(message)
	}
}

func (move *groupMove) addLearner(name string) {
	members := move.status.Membership
	move.change("adding a replica as a learner", name, raft.Membership{Voters: members.Voters, Learners: append(slices.Clone(members.Learners), name)})
}

// promoteOrRemoveLearner promotes a learner to a voter once it has the log and the archived
// ranges, or removes it if it is no longer in target.
func (move *groupMove) promoteOrRemoveLearner(learner string) {
	members := move.status.Membership
	remaining := raft.Without(members.Learners, learner)
	if !slices.Contains(move.target, learner) {
		move.change("removing a learner", learner, raft.Membership{Voters: members.Voters, Learners: remaining})
		return
	}
	if !move.status.CaughtUp(learner) || !move.node.repairReplica(move.group, move.state, learner) {
		return
	}
	if departed := slices.IndexFunc(move.surplus, move.node.hasDeparted); departed >= 0 && len(members.Voters) >= len(move.target) {
		move.removeDepartedVoter(move.surplus[departed])
		return
	}
	move.change("promoting a learner to a voter", learner, raft.Membership{Voters: append(slices.Clone(members.Voters), learner), Learners: remaining})
}

// removeDepartedVoter removes a voter whose store has departed, once a majority of the remaining
// voters has all archived ranges.
func (move *groupMove) removeDepartedVoter(name string) {
	next := raft.Without(move.status.Membership.Voters, name)
	if move.countComplete(next) >= len(next)/2+1 {
		move.change("removing a voter whose store has departed", name, raft.Membership{Voters: next, Learners: move.status.Membership.Learners})
	}
}

// removeVoter removes a surplus voter once every target replica has the log and all archived
// ranges: its store may be decommissioned, with its disk, as soon as it has no replicas. If the
// surplus voter is this node, it transfers the leadership instead, and the next leader removes
// it.
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

// countComplete counts the live replicas whose archives have all archived ranges, after
// repairing those that lack some.
func (move *groupMove) countComplete(names []string) int {
	complete := 0
	for _, name := range names {
		if move.node.isLive(name) && move.node.repairReplica(move.group, move.state, name) {
			complete++
		}
	}
	return complete
}
