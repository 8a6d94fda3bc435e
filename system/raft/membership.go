package raft

import "slices"

// Membership is the membership of a group.
type Membership struct {
	Voters   []string
	Learners []string
}

// hasDuplicates tells that a replica is named more than once. Its vote would count as often.
func (replicas Membership) hasDuplicates() bool {
	names := slices.Concat(replicas.Voters, replicas.Learners)
	slices.Sort(names)
	return len(slices.Compact(names)) < len(replicas.Voters)+len(replicas.Learners)
}

// Without gives names less one of them.
//
//	next := agreement.Membership{Voters: agreement.Without(replicas.Voters, "c")}
func Without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(one string) bool { return one == name })
}

// MaxLearnerLag is how many entries a learner may lack when it becomes a voter.
const MaxLearnerLag = 16

func (core *Core) refreshMembership() {
	core.membership = core.snapshot.Membership
	for position := len(core.entries) - 1; position >= 0; position-- {
		if core.entries[position].Kind == EntryMembership {
			core.membership = core.entries[position].Membership
			return
		}
	}
}

func (core *Core) isVoter(name string) bool { return slices.Contains(core.membership.Voters, name) }

func (core *Core) quorum() int { return len(core.membership.Voters)/2 + 1 }

func (core *Core) membershipChangePending() bool {
	if !core.committedInTerm() {
		return true
	}
	for _, entry := range core.entriesFrom(core.commitIndex + 1) {
		if entry.Kind == EntryMembership {
			return true
		}
	}
	return false
}

// changeMembership takes one step only: at most one voter joins or leaves.
func (core *Core) changeMembership(next Membership) {
	if core.role != roleLeader || core.transferTarget != "" || core.membershipChangePending() || len(next.Voters) == 0 || next.hasDuplicates() {
		return
	}
	changed := 0
	for _, name := range core.membership.Voters {
		if !slices.Contains(next.Voters, name) {
			changed++
		}
	}
	for _, name := range next.Voters {
		if !slices.Contains(core.membership.Voters, name) {
			changed++
		}
	}
	if changed > 1 {
		return
	}
	core.output.ProposedIndex = core.appendEntry(Entry{Kind: EntryMembership, Membership: next})
	core.output.ProposedTerm = core.hardState.Term
	core.membership = next
	core.trackPeers()
	core.broadcast(false)
}
