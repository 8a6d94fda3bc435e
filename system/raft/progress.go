package raft

import "slices"

// progress is what a leader knows about one peer (paper, figure 2: nextIndex and matchIndex).
//
// A peer is in one of three modes. Ordinarily entries are sent ahead of their
// acknowledgements, up to maxInflightEntries. While probing, it gets empty appends until one
// matches its log. While outgoing is set, it is sent the snapshot.
type progress struct {
	// matchIndex is the last entry that is known to be durable in the peer's log.
	matchIndex uint64
	// nextIndex is the next entry to send.
	nextIndex uint64
	// ackedReadRound is the last round of read index heartbeats that the peer replied to.
	ackedReadRound uint64
	// recentlyActive says that the peer was heard since the last quorum check.
	recentlyActive bool
	// ticksSinceHeard counts the ticks since the peer was heard.
	ticksSinceHeard int
	// probing says that it is unknown up to where the peer's log matches.
	probing bool
	// outgoing is the snapshot that is being sent to the peer, or nil.
	outgoing *outgoingSnapshot
}

// heard notes that a message of the peer in the current term has arrived.
func (peer *progress) heard() {
	peer.recentlyActive, peer.ticksSinceHeard = true, 0
}

// probe has the next empty append test whether the peer's log matches before an index.
func (peer *progress) probe(next uint64) {
	peer.probing, peer.nextIndex = true, next
}

// isUnresponsive reports whether a peer was silent for an election timeout.
func (core *Core) isUnresponsive(peer *progress) bool {
	return peer.ticksSinceHeard >= core.settings.ElectionTicks
}

// trackPeers has the leader track the progress of exactly the other members.
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

// peerNames returns the peers in a fixed order, so that equal inputs give equal outputs.
func (core *Core) peerNames() []string {
	names := make([]string, 0, len(core.peers))
	for name := range core.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// quorumValue returns the highest value that a quorum of the voters has reached, given this
// replica's own value and that of a peer's progress. Only a leader has progress, and trackPeers
// keeps it for every other voter, so that each voter has a value.
func (core *Core) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(core.membership.Voters))
	for _, name := range core.membership.Voters {
		if name == core.settings.Name {
			values = append(values, own)
		} else if peer := core.peers[name]; peer != nil {
			values = append(values, of(peer))
		}
	}
	slices.Sort(values)
	return values[len(values)-core.quorum()]
}
