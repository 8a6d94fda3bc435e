package raft

import "slices"

const (
	// maxEntriesPerMessage and maxBytesPerMessage limit a MessageAppend. A larger entry is sent
	// in a message of its own.
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 256 << 10
	// entryOverheadBytes approximates the encoded size of an entry without its data.
	entryOverheadBytes = 32
	// maxInflightEntries limits the unacknowledged entries per peer. At the limit the peer
	// receives only empty heartbeats.
	maxInflightEntries = 512
)

// handleAppend implements AppendEntries (paper 5.3, figure 2). It appends missing entries and
// removes only conflicting ones: a delayed message must not truncate entries appended since.
// The reply to an accepted append is sent once the entries are durable.
func (core *Core) handleAppend(message Message) {
	core.followLeader(message.From)
	reply := Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Round: message.Round}
	previous, entries := message.Index, message.Entries
	if previous < core.snapshot.Index {
		// Skip the entries that the snapshot covers: they are committed and therefore match.
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
// leader whose entry at previous has leaderTerm. Entries of later terms cannot match, so the
// leader skips them in one step (the optimization at the end of paper 5.3).
func (core *Core) matchHint(previous, leaderTerm uint64) uint64 {
	hint := min(core.lastIndex(), previous-1)
	for hint > core.commitIndex && hint > core.snapshot.Index && core.termAt(hint) > leaderTerm {
		hint--
	}
	return hint
}

// appendMissing appends the leader's entries from the first one that this log lacks, replacing
// any conflicting entries.
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
	peer.markActive()
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
	// While probing, only the reply to the last probe counts: the appends that were in flight
	// are rejected too, and each rejection would cause all entries to be sent again.
	stale := message.Index < peer.matchIndex || peer.probing && message.Index != peer.nextIndex-1
	if peer.outgoing == nil && !stale {
		peer.probe(max(peer.matchIndex+1, min(message.Hint+1, core.lastIndex()+1)))
		core.sendAppend(message.From, peer, true)
	}
}

// broadcast sends every peer the entries that it lacks. With heartbeat set, peers that lack none
// receive an empty append.
func (core *Core) broadcast(heartbeat bool) {
	if heartbeat { // including the rounds that confirm reads
		core.heartbeatElapsed = 0
	}
	for _, name := range core.peerNames() {
		core.sendAppend(name, core.peers[name], heartbeat)
	}
}

// sendAppend sends a peer the next entries, or the snapshot if they are compacted. If there are
// no entries to send, it sends an empty append, and only with heartbeat set.
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

// entriesToSend returns the entries for the next append to a peer.
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

// advanceCommit commits the entries that are durable on a quorum of the voters, provided that the
// last of them is of the leader's own term: an entry of an earlier term could still be replaced
// (paper 5.4.2). A leader that is no longer a voter steps down once the membership change that
// removed it is committed (paper 6).
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
