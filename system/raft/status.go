package raft

// Status is a copy of a replica's view of its group. The view may be out of date.
type Status struct {
	Term uint64
	// Leader is the known leader of Term, or "".
	Leader string
	// Leading is set if this replica is the leader of Term.
	Leading     bool
	CommitIndex uint64
	// LastIndex is the index of the last log entry, committed or not. It is 0 if there has
	// never been one, that is, if the replica has not been added to a group yet.
	LastIndex uint64
	// Membership is the latest one in the log, committed or not.
	Membership Membership
	// MatchIndex has, for each member, the index up to which its log is known to be durable
	// and to match the leader's. It is nil except on a leader.
	MatchIndex map[string]uint64
	// MembershipChangePending is set on a leader while it rejects membership changes because
	// the previous change, or the leader's first entry, is not committed yet.
	MembershipChangePending bool
	// CommittedInTerm is set on a leader once it has committed an entry of its own term. Before
	// that, its commit index and state machine may be out of date (paper 8).
	CommittedInTerm bool
}

// CaughtUp reports whether a member lacks at most MaxLearnerLag committed entries. It is always
// false except on a leader.
func (status Status) CaughtUp(member string) bool {
	matched := status.MatchIndex[member]
	return matched > 0 && matched+MaxLearnerLag >= status.CommitIndex
}

// Status returns this replica's current view of its group.
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

// Leading returns the current term and whether this replica is its leader.
func (core *Core) Leading() (term uint64, leading bool) {
	return core.hardState.Term, core.role == roleLeader
}

// AppliedIndex returns the index of the last entry passed to the driver to be applied, in
// [Output.CommittedEntries] or as part of a snapshot.
func (core *Core) AppliedIndex() uint64 { return core.lastApplied }

// committedInTerm reports whether the last committed entry is of the current term.
func (core *Core) committedInTerm() bool {
	return core.termAt(core.commitIndex) == core.hardState.Term
}
