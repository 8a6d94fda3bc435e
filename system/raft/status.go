package raft

// Status is a copy of what a replica believes about its group. Other replicas may know better.
type Status struct {
	Term uint64
	// Leader is the leader of Term as far as known, or "".
	Leader string
	// Leading says that this replica is the leader of Term.
	Leading     bool
	CommitIndex uint64
	// LastIndex is the index of the last log entry, committed or not; 0 if there was never
	// one, that is, if the replica is a member of no group yet.
	LastIndex uint64
	// Membership is the latest in the log, committed or not.
	Membership Membership
	// MatchIndex is, by member, up to where its log is known to match the leader's and to
	// be durable. Only a leader knows it; elsewhere it is nil.
	MatchIndex map[string]uint64
	// MembershipChangePending says, on a leader, that a membership change would be rejected
	// now because the one before, or the leader's first entry, is not committed.
	MembershipChangePending bool
	// CommittedInTerm says, on a leader, that it has committed an entry of its own term. Only
	// then are its commit index and its state machine up to date (paper 8).
	CommittedInTerm bool
}

// CaughtUp reports, on a leader, whether a member has the log but for at most MaxLearnerLag
// entries that are on their way; elsewhere it is false.
func (status Status) CaughtUp(member string) bool {
	matched := status.MatchIndex[member]
	return matched > 0 && matched+MaxLearnerLag >= status.CommitIndex
}

// Status returns what this replica believes now.
func (core *Core) Status() Status {
	status := Status{
		Term: core.hardState.Term, Leader: core.leader, Leading: core.role == roleLeader,
		CommitIndex: core.commitIndex, LastIndex: core.lastIndex(), Membership: core.membership,
		CommittedInTerm: core.role == roleLeader && core.committedInTerm(),
	}
	if core.role == roleLeader {
		status.MatchIndex = map[string]uint64{core.settings.Name: core.stableIndex}
		for name, peer := range core.peers {
			status.MatchIndex[name] = peer.matchIndex
		}
		status.MembershipChangePending = core.membershipChangePending()
	}
	return status
}

// Leading returns the current term, and whether this replica leads it.
func (core *Core) Leading() (term uint64, leading bool) {
	return core.hardState.Term, core.role == roleLeader
}

// Applied returns the index of the last entry that was given to the driver to be applied, in
// [Output.CommittedEntries] or as part of a snapshot.
func (core *Core) Applied() uint64 { return core.lastApplied }

// committedInTerm reports whether the last committed entry is of the current term.
func (core *Core) committedInTerm() bool {
	return core.termAt(core.commitIndex) == core.hardState.Term
}
