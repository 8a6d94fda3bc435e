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
