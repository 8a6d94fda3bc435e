package raft

import "slices"

const (
	// maxEntriesPerMessage and maxBytesPerMessage bound a MessageAppend. An entry that is
	// larger travels by itself.
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 256 << 10
	// entryOverheadBytes is about what an entry takes in a message beside its data.
	entryOverheadBytes = 32
	// maxInflightEntries bounds the entries that are sent to a peer before it acknowledges
	// them. Beyond it the peer gets empty heartbeats.
	maxInflightEntries = 512
)

// handleAppend is AppendEntries of the paper (5.3, figure 2). It appends what is missing, and
// removes entries only where they conflict: a delayed message must not remove later ones. The
// reply to an accepted append waits until the entries are durable.
func (core *Core) handleAppend(message Message) {
	core.followLeader(message.From)
	reply := Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Round: message.Round}
	previous, entries := message.Index, message.Entries
	if previous < core.snapshot.Index {
		// The snapshot stands for committed entries, which match; skip what it covers.
		for len(entries) > 0 && entries[0].Index <= core.snapshot.Index {
			entries = entries[1:]
		}
		if len(message.Entries) == 0 || len(entries) == 0 && message.Entries[len(message.Entries)-1].Index < core.snapshot.Index {
			reply.Index = previous
			core.send(reply)
			return
		}
		previous = core.snapshot.Index
	} else if core.termAt(previous) != message.LogTerm || previous > core.lastIndex() {
		reply.Rejected = true
		reply.Index = previous
		reply.Hint = core.matchHint(previous, message.LogTerm)
		core.send(reply)
		return
	}
	core.appendMissing(entries)
	lastNew := previous + uint64(len(entries))
	core.commitTo(min(message.Commit, lastNew))
	reply.Index = lastNew
	core.send(reply)
}

// matchHint returns the highest index before previous at which this log may match that of a
// leader whose entry at previous has a term. Entries of later terms than that cannot match,
// so that a leader skips them in one step (the optimization at the end of paper 5.3).
func (core *Core) matchHint(previous, leaderTerm uint64) uint64 {
	hint := min(core.lastIndex(), previous-1)
	for hint > core.commitIndex && hint > core.snapshot.Index && core.termAt(hint) > leaderTerm {
		hint--
	}
	return hint
}

// appendMissing appends the leader's entries from the first on that this log does not have,
// in place of those that conflict with them.
func (core *Core) appendMissing(entries []Entry) {
	for position, entry := range entries {
		if entry.Index <= core.lastIndex() && core.termAt(entry.Index) == entry.Term {
			continue
		}
		core.truncate(entry.Index)
		core.entries = append(core.entries, entries[position:]...)
		core.markUnwritten(entry.Index)
		core.refreshMembership()
		return
	}
}

func (core *Core) handleAppendReply(message Message) {
	peer := core.peers[message.From]
	if core.role != roleLeader || peer == nil {
		return
	}
	peer.heard()
	peer.ackedReadRound = max(peer.ackedReadRound, message.Round)
	core.confirmReads()
	if message.Rejected {
		core.handleAppendRejected(message, peer)
		return
	}
	if message.Index > peer.matchIndex {
		peer.matchIndex = message.Index
		core.advanceCommit()
	}
	if message.Index+1 >= peer.nextIndex {
		peer.probing = false
	}
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	if peer.nextIndex > core.snapshot.Index {
		peer.outgoing = nil
	}
	if core.role == roleLeader && peer.nextIndex <= core.lastIndex() {
		core.sendAppend(message.From, peer, false)
	}
	core.continueTransfer(message.From)
}

// handleAppendRejected probes for the index up to which the logs match (paper 5.3).
func (core *Core) handleAppendRejected(message Message, peer *progress) {
	// While probing, only the reply to the last probe counts. Each append that was in flight
	// is rejected too, and each rejection would have all entries sent again.
	stale := message.Index < peer.matchIndex || peer.probing && message.Index != peer.nextIndex-1
	if peer.outgoing == nil && !stale {
		peer.probe(max(peer.matchIndex+1, min(message.Hint+1, core.lastIndex()+1)))
		core.sendAppend(message.From, peer, true)
	}
}

// broadcast sends every peer the entries that it lacks. A heartbeat is sent also to peers that
// lack none.
func (core *Core) broadcast(heartbeat bool) {
	if heartbeat { // this includes the rounds that confirm reads
		core.heartbeatElapsed = 0
	}
	for _, name := range core.peerNames() {
		core.sendAppend(name, core.peers[name], heartbeat)
	}
}

// sendAppend sends a peer the next entries, or the snapshot if they were compacted. Without
// entries it sends only a heartbeat.
func (core *Core) sendAppend(name string, peer *progress, heartbeat bool) {
	if peer.nextIndex <= core.snapshot.Index {
		core.sendSnapshot(name, peer)
		if heartbeat {
			core.send(Message{Kind: MessageAppend, To: name, Term: core.hardState.Term, Round: core.readRound})
		}
		return
	}
	entries := core.entriesToSend(peer)
	if len(entries) == 0 && !heartbeat {
		return
	}
	previous := peer.nextIndex - 1
	core.send(Message{Kind: MessageAppend, To: name, Term: core.hardState.Term, Index: previous, LogTerm: core.termAt(previous),
		Commit: core.commitIndex, Round: core.readRound, Entries: slices.Clone(entries)})
	peer.nextIndex += uint64(len(entries))
}

// entriesToSend returns the entries that go to a peer in its next append.
func (core *Core) entriesToSend(peer *progress) []Entry {
	if peer.probing || peer.nextIndex > peer.matchIndex+maxInflightEntries {
		return nil
	}
	entries, size := core.entriesFrom(peer.nextIndex), 0
	for position, entry := range entries {
		size += len(entry.Data) + entryOverheadBytes
		if position >= maxEntriesPerMessage || (position > 0 && size > maxBytesPerMessage) {
			return entries[:position]
		}
	}
	return entries
}

// advanceCommit commits what is durable on a quorum of the voters, if it is of the leader's
// own term: an entry of an earlier term could still be replaced (paper 5.4.2). A leader that
// is no voter any more steps down once the change that removed it is committed (paper 6).
func (core *Core) advanceCommit() {
	if core.role != roleLeader {
		return
	}
	index := core.quorumValue(core.stableIndex, func(peer *progress) uint64 { return peer.matchIndex })
	if index > core.commitIndex && core.termAt(index) == core.hardState.Term {
		core.commitTo(index)
		if !core.isVoter(core.settings.Name) && !core.membershipChangePending() {
			core.become(roleFollower, "")
		}
	}
}
