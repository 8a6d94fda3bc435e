package raft

import "slices"

// Membership is the set of a group's members. A replica is in one of the lists at most.
type Membership struct {
	// Voters elect the leader and commit entries by majority.
	Voters []string
	// Learners receive the log but do not count for any majority (thesis 4.2.1).
	Learners []string
}

// MaxLearnerLag is how many entries of the leader's log a learner may lack when it is made a
// voter, so that the group does not wait for it afterwards (thesis 4.2.1).
const MaxLearnerLag = 16

// hasDuplicates reports whether a replica is named more than once; it would be counted more
// than once.
func (membership Membership) hasDuplicates() bool {
	names := slices.Concat(membership.Voters, membership.Learners)
	slices.Sort(names)
	return len(slices.Compact(names)) < len(membership.Voters)+len(membership.Learners)
}

// Without returns names without one of them. It does not change names.
func Without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(one string) bool { return one == name })
}

// refreshMembership sets the membership to the latest in the log. A replica uses it from the
// time that it is in its log, whether or not it is committed (paper 6).
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

// quorum returns how many voters are a majority.
func (core *Core) quorum() int { return len(core.membership.Voters)/2 + 1 }

// membershipChangePending reports whether a change must wait: for the commit of the change
// before it, or for that of the leader's first entry. Without the latter, changes of two
// leaders could have majorities that do not overlap (Ongaro's correction of 2015 to thesis
// 4.1).
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

// changeMembership appends a membership that adds or removes one voter at most: then every
// majority of the old one overlaps every majority of the new one (thesis 4.1).
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
