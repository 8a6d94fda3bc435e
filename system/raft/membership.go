package raft

import (
	"slices"
)

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

func (core *Core) trackPeers() {
	members := slices.Concat(core.membership.Voters, core.membership.Learners)
	for _, name := range members {
		if name != core.settings.Name && core.peers[name] == nil {
			core.peers[name] = &progress{nextIndex: core.lastIndex() + 1, recentlyActive: true}
		}
	}
	for name := range core.peers {
		if !slices.Contains(members, name) {
			delete(core.peers, name)
		}
	}
}

// peerNames gives the peers in a fixed order, so that steps replay exactly.
func (core *Core) peerNames() []string {
	names := make([]string, 0, len(core.peers))
	for name := range core.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (core *Core) membershipChangePending() bool {
	if core.termAt(core.commitIndex) != core.hardState.Term {
		return true
	}
	for _, entry := range core.entriesFrom(core.commitIndex + 1) {
		if entry.Kind == EntryMembership {
			return true
		}
	}
	return false
}

// hasDuplicates tells that a replica is named more than once. Its vote would count as often.
func (replicas Membership) hasDuplicates() bool {
	names := slices.Concat(replicas.Voters, replicas.Learners)
	slices.Sort(names)
	return len(slices.Compact(names)) < len(replicas.Voters)+len(replicas.Learners)
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
