package raft

import "slices"

// Membership lists the members of a group. A replica is in at most one of the lists.
type Membership struct {
	// Voters elect leaders and commit entries by majority.
	Voters []string
	// Learners receive the log but do not count toward any majority (thesis 4.2.1).
	Learners []string
}

// MaxLearnerLag is the maximum number of committed entries that a learner may lack when it is
// promoted to voter, so that commits need not wait for it to catch up (thesis 4.2.1).
const MaxLearnerLag = 16

// hasDuplicates reports whether a replica is listed more than once. It would then count more than
// once toward a majority.
func (membership Membership) hasDuplicates() bool {
	names := slices.Concat(membership.Voters, membership.Learners)
	slices.Sort(names)
	return len(slices.Compact(names)) < len(membership.Voters)+len(membership.Learners)
}

// Without returns a copy of names with name removed.
func Without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(member string) bool { return member == name })
}

// refreshMembership sets the membership to the latest one in the log. A membership takes effect
// as soon as it is in the log, whether or not it is committed (paper 6).
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

// quorum returns the number of voters in a majority.
func (core *Core) quorum() int { return len(core.membership.Voters)/2 + 1 }

// membershipChangePending reports whether a new change must wait until the previous change, or
// the leader's first entry, is committed. Without the latter condition, changes by two leaders
// could have majorities that do not overlap (Ongaro's 2015 correction to thesis 4.1).
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

// changeMembership appends a membership that adds or removes at most one voter, so that every
// majority of the old membership overlaps every majority of the new one (thesis 4.1).
func (core *Core) changeMembership(next Membership) {
	if core.role != roleLeader || core.transferTarget != "" || core.membershipChangePending() || len(next.Voters) == 0 || next.hasDuplicates() {
		return
	}
	changedVoters := 0
	for _, name := range core.membership.Voters {
		if !slices.Contains(next.Voters, name) {
			changedVoters++
		}
	}
	for _, name := range next.Voters {
		if !slices.Contains(core.membership.Voters, name) {
			changedVoters++
		}
	}
	if changedVoters > 1 {
		return
	}
	core.output.ProposedIndex = core.appendEntry(Entry{Kind: EntryMembership, Membership: next})
	core.output.ProposedTerm = core.hardState.Term
	core.membership = next
	core.trackPeers()
	core.broadcast(false)
}
