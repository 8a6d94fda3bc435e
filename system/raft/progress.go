package raft

import "slices"

type progress struct {
	matchIndex     uint64
	nextIndex      uint64
	ackedReadRound uint64
	recentlyActive bool
	// transfer is set while the peer is sent a snapshot.
	outgoing *outgoingSnapshot
	// probing tells that it is not known up to where the peer holds the log: it is
	// asked with empty appends, and gets entries only once it has agreed to one.
	probing bool
	// ticksSinceHeard counts the ticks since the peer was heard.
	ticksSinceHeard int
}

// heard notes that a message of the peer in the current term has arrived.
func (peer *progress) heard() {
	peer.recentlyActive, peer.ticksSinceHeard = true, 0
}

// probe has the peer asked up to where it holds the log, from an index downwards.
func (peer *progress) probe(next uint64) {
	peer.probing, peer.nextIndex = true, next
}

func (core *Core) isUnresponsive(peer *progress) bool {
	return peer.ticksSinceHeard >= core.settings.ElectionTicks
}

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

// quorumValue returns the highest value that a quorum of the voters has reached, given this
// replica's own value and that of a peer's progress.
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
