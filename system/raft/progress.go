package raft

import "slices"

// progress is a leader's view of one peer (paper, figure 2: nextIndex and matchIndex).
//
// A peer is in one of three modes. Normally, entries are pipelined: up to maxInflightEntries
// are sent before they are acknowledged. While probing is set, the peer receives empty appends
// until one matches its log. While outgoing is set, it receives the snapshot.
type progress struct {
	// matchIndex is the index of the last entry known to be durable in the peer's log.
	matchIndex uint64
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// ackedReadRound is the last read index round that the peer replied to.
	ackedReadRound uint64
	// recentlyActive is set if a message from the peer arrived since the last quorum check.
	recentlyActive bool
	// ticksSinceActive counts the ticks since the last message from the peer.
	ticksSinceActive int
	// probing is set while the index up to which the peer's log matches is unknown.
	probing bool
	// outgoing is the snapshot transfer to the peer in progress, or nil.
	outgoing *outgoingSnapshot
}

// markActive records a message from the peer in the current term.
func (peer *progress) markActive() {
	peer.recentlyActive, peer.ticksSinceActive = true, 0
}

// probe switches to probing: the next append is empty and checks whether the peer's log matches
// at the index before next.
func (peer *progress) probe(next uint64) {
	peer.probing, peer.nextIndex = true, next
}

// isUnresponsive reports whether no message from a peer arrived for an election timeout.
func (core *Core) isUnresponsive(peer *progress) bool {
	return peer.ticksSinceActive >= core.settings.ElectionTicks
}

// trackPeers updates peers to the current membership: it adds new members and deletes removed
// ones.
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

// peerNames returns the names of the peers in sorted order, for deterministic output.
func (core *Core) peerNames() []string {
	names := make([]string, 0, len(core.peers))
	for name := range core.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// quorumValue returns the highest value that a quorum of the voters has reached, given this
// replica's own value and a function that returns a peer's. It is valid only on a leader, where
// trackPeers ensures that every other voter has progress.
func (core *Core) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(core.membership.Voters))
	for _, name := range core.membership.Voters {
		if name == core.settings.Name {
			values = append(values, own)
		} else if peer := core.peers[name]; peer != nil {
			values = append(values, valueOf(peer))
		}
	}
	slices.Sort(values)
	return values[len(values)-core.quorum()]
}
