package controlplane

import (
	"context"
	"slices"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
)

// reconcileVoters takes live control nodes in: first as learners, then, once they
// hold the log, as voters; one step at a time. A voter that is lost goes as long as
// enough are left, or when a learner is ready to take its place; if it comes back it is
// taken in again. It goes before the learner votes, so that it is never counted beside it.
// It tells whether a change is under way.
func (node *Node) reconcileVoters(ctx context.Context) bool {
	status, _ := node.host.Status(controlGroup)
	if !status.Leading || status.MembershipChangePending {
		return status.Leading
	}
	voters, learners := status.Membership.Voters, status.Membership.Learners
	live := node.LiveMembers()
	change := func(event, name string, next raft.Membership) bool {
		log.WithFields(log.Fields{"node": node.Name(), "control": name}).Info(event)
		return node.host.ChangeMembership(controlGroup, next)
	}
	if lost := node.removableVoter(voters, learners, status); lost != "" {
		return change("control_removed", lost, raft.Membership{Voters: raft.Without(voters, lost), Learners: learners})
	}
	suspected := slices.ContainsFunc(voters, func(name string) bool { return node.isSilent(name, suspectTimeout) })
	for _, learner := range learners {
		if !suspected && node.isCaughtUp(status, learner) {
			return change("control_votes", learner, raft.Membership{Voters: append(slices.Clone(voters), learner), Learners: raft.Without(learners, learner)})
		}
	}
	for _, learner := range learners {
		if node.isSilent(learner, replaceableTimeout) {
			return change("control_removed", learner, raft.Membership{Voters: voters, Learners: raft.Without(learners, learner)})
		}
	}
	members := slices.Concat(voters, learners)
	silent := slices.DeleteFunc(slices.Clone(voters), func(name string) bool { return !node.isSilent(name, replaceableTimeout) })
	for _, member := range live {
		if member.Role == feed.RoleControl && !slices.Contains(members, member.Name) && !node.isSilent(member.Name, suspectTimeout) && len(members)-len(silent) < node.settings.MaxControls {
			return change("control_enrolled", member.Name, raft.Membership{Voters: voters, Learners: append(slices.Clone(learners), member.Name)})
		}
	}
	node.publishControls(ctx, voters, live)
	return len(learners) > 0
}

// removableVoter finds a voter to let go: one whose place a caught-up learner is ready to take,
// one that makes the voters an even number, which bears no more losses than one less, or
// one that is lost while enough are left.
func (node *Node) removableVoter(voters, learners []string, status raft.Status) string {
	ready := slices.ContainsFunc(learners, func(name string) bool { return node.isCaughtUp(status, name) })
	for _, name := range voters {
		if node.isSilent(name, replaceableTimeout) && (ready || (len(voters) > minVoters && (len(voters)%2 == 0 || node.isSilent(name, lostTimeout)))) {
			return name
		}
	}
	return ""
}

// isCaughtUp tells that a learner is heard, and holds the log but for what is on its way.
func (node *Node) isCaughtUp(status raft.Status, learner string) bool {
	matched := status.MatchIndex[learner]
	holdsLog := matched > 0 && matched+raft.MaxLearnerLag >= status.CommitIndex
	return holdsLog && !node.isSilent(learner, replaceableTimeout)
}

// Voters gives the members of the control group that vote, as this node knows them, for
// measuring.
//
//	names := node.Voters()
func (node *Node) Voters() []string { return node.host.Statuses()[controlGroup].Membership.Voters }

// publishControls carries the voters of the control group into the feed.
func (node *Node) publishControls(ctx context.Context, voters []string, live []feed.Member) {
	view := node.View()
	listed := []feed.Member{}
	for _, member := range view.Controls {
		if slices.Contains(voters, member.Name) {
			listed = append(listed, member)
		}
	}
	for _, member := range live {
		known := slices.ContainsFunc(listed, func(one feed.Member) bool { return one.Name == member.Name })
		if !known && slices.Contains(voters, member.Name) {
			listed = append(listed, member)
		}
	}
	if !slices.Equal(listed, view.Controls) {
		node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeControls, By: node.Name(), Expects: true, Expected: view.Number, Members: listed})
	}
}
