package controlplane

import (
	"context"
	"slices"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
)

// minVoters is the number of voters, including lost ones, that is kept unless a learner is ready
// to replace a lost one.
const minVoters = 3

// membershipStep is a change of the control group by one member.
type membershipStep struct {
	message string // logged when the change is proposed
	control string // name of the affected control node
	next    raft.Membership
}

// reconcileVoters takes one step towards a control group of live nodes, changing one member at a
// time (Raft thesis, section 4.1), and reports whether a change is pending.
func (node *Node) reconcileVoters(ctx context.Context) bool {
	status, _ := node.host.Status(controlGroup)
	if !status.Leading {
		return false
	}
	if status.MembershipChangePending {
		return true
	}
	live := node.liveMembers()
	if step := node.nextMembershipStep(status, live); step != nil {
		log.WithFields(log.Fields{"node": node.Name(), "control": step.control}).Info(step.message)
		return node.host.ChangeMembership(controlGroup, step.next)
	}
	node.publishControls(ctx, status.Membership.Voters, live)
	return len(status.Membership.Learners) > 0
}

// nextMembershipStep returns the next change of the control group, nil if none is needed. A live
// control node first becomes a learner, and a voter once it has caught up with the log. A lost
// voter is removed when a learner is ready to replace it, or if enough voters remain; if it
// returns, it joins as a learner again. It is removed before the learner becomes a voter, so that
// the quorum never counts both (docs/consistency/membership.md).
func (node *Node) nextMembershipStep(status raft.Status, live []feed.Member) *membershipStep {
	voters, learners := status.Membership.Voters, status.Membership.Learners
	if lost := node.removableVoter(voters, learners, status); lost != "" {
		return &membershipStep{"removing a lost voter from the control group", lost, raft.Membership{Voters: raft.Without(voters, lost), Learners: learners}}
	}
	suspected := slices.ContainsFunc(voters, func(name string) bool { return node.isSilent(name, suspectTimeout) })
	for _, learner := range learners {
		if !suspected && node.isReady(status, learner) {
			return &membershipStep{"promoting a learner of the control group to voter", learner, raft.Membership{Voters: append(slices.Clone(voters), learner), Learners: raft.Without(learners, learner)}}
		}
	}
	for _, learner := range learners {
		if node.isSilent(learner, replaceableTimeout) {
			return &membershipStep{"removing a lost learner from the control group", learner, raft.Membership{Voters: voters, Learners: raft.Without(learners, learner)}}
		}
	}
	if added := node.nextLearner(voters, learners, live); added != "" {
		return &membershipStep{"adding a learner to the control group", added, raft.Membership{Voters: voters, Learners: append(slices.Clone(learners), added)}}
	}
	return nil
}

// nextLearner returns a live control node that is to become a learner, or an empty string if
// there is none. Lost voters do not count against Settings.MaxControls, so that they can be
// replaced.
func (node *Node) nextLearner(voters, learners []string, live []feed.Member) string {
	members, present := slices.Concat(voters, learners), len(learners)
	for _, voter := range voters {
		if !node.isSilent(voter, replaceableTimeout) {
			present++
		}
	}
	for _, member := range live {
		if member.Role == feed.RoleControl && !slices.Contains(members, member.Name) && !node.isSilent(member.Name, suspectTimeout) && present < node.settings.MaxControls {
			return member.Name
		}
	}
	return ""
}

// removableVoter returns a lost voter that may be removed, or an empty string if there is none. It
// may be removed if a caught-up learner is ready to replace it, or while there are more than
// minVoters and either their number is even, which tolerates no more failures than one voter
// less, or it has been lost for lostTimeout.
func (node *Node) removableVoter(voters, learners []string, status raft.Status) string {
	ready := slices.ContainsFunc(learners, func(name string) bool { return node.isReady(status, name) })
	for _, name := range voters {
		if node.isSilent(name, replaceableTimeout) && (ready || (len(voters) > minVoters && (len(voters)%2 == 0 || node.isSilent(name, lostTimeout)))) {
			return name
		}
	}
	return ""
}

// isReady reports whether a learner is live and has caught up with the log.
func (node *Node) isReady(status raft.Status, learner string) bool {
	return status.CaughtUp(learner) && !node.isSilent(learner, replaceableTimeout)
}

// Voters returns the names of the control group's voters as known to this node.
//
//	names := node.Voters()
func (node *Node) Voters() []string { return node.host.Statuses()[controlGroup].Membership.Voters }

// publishControls updates the control nodes listed on the feed to the voters of the control group.
func (node *Node) publishControls(ctx context.Context, voters []string, live []feed.Member) {
	view := node.View()
	listed := []feed.Member{}
	for _, member := range view.Controls {
		if slices.Contains(voters, member.Name) {
			listed = append(listed, member)
		}
	}
	for _, member := range live {
		known := slices.ContainsFunc(listed, func(control feed.Member) bool { return control.Name == member.Name })
		if !known && slices.Contains(voters, member.Name) {
			listed = append(listed, member)
		}
	}
	if !slices.Equal(listed, view.Controls) {
		node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeControls, By: node.Name(), Expects: true, Expected: view.Number, Members: listed})
	}
}
