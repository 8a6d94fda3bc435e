package raft

import "slices"

const (
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 256 << 10
	// maxInflightEntries bounds the entries that are on their way to one peer.
	maxInflightEntries = 512
)

func (core *Core) handleAppend(message Message) {
	core.followLeader(message.From)
	reply := Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Round: message.Round}
	previous, entries := message.Index, message.Entries
	if previous < core.snapshot.Index {
		// The checkpoint stands for committed entries; skip what it covers.
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
		reply.Hint = min(core.lastIndex(), previous-1)
		for reply.Hint > core.commitIndex && reply.Hint > core.snapshot.Index && core.termAt(reply.Hint) > message.LogTerm {
			reply.Hint--
		}
		core.send(reply)
		return
	}
	lastNew := previous + uint64(len(entries))
	for position, entry := range entries {
		if entry.Index <= core.lastIndex() && core.termAt(entry.Index) == entry.Term {
			continue
		}
		core.truncate(entry.Index)
		core.entries = append(core.entries, entries[position:]...)
		core.markUnwritten(entry.Index)
		core.refreshMembership()
		break
	}
	core.commitTo(min(message.Commit, lastNew))
	reply.Index = lastNew
	core.send(reply)
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
		// While probing, only the answer to the last probe counts: each append that was
		// on its way is refused, and each would have all entries sent anew.
		stale := message.Index < peer.matchIndex || peer.probing && message.Index != peer.nextIndex-1
		if peer.outgoing == nil && !stale {
			peer.probe(max(peer.matchIndex+1, min(message.Hint+1, core.lastIndex()+1)))
			core.sendAppend(message.From, peer, true)
		}
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

func (core *Core) broadcast(heartbeat bool) {
	if heartbeat { // a round of reads is one too
		core.heartbeatElapsed = 0
	}
	for _, name := range core.peerNames() {
		core.sendAppend(name, core.peers[name], heartbeat)
	}
}

func (core *Core) sendAppend(name string, peer *progress, heartbeat bool) {
	if peer.nextIndex <= core.snapshot.Index {
		core.sendSnapshot(name, peer)
		if heartbeat {
			core.send(Message{Kind: MessageAppend, To: name, Term: core.hardState.Term, Round: core.readRound})
		}
		return
	}
	entries := core.entriesFrom(peer.nextIndex)
	if peer.probing || peer.nextIndex > peer.matchIndex+maxInflightEntries {
		entries = nil
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	size := 0
	for position, entry := range entries {
		size += len(entry.Data) + 32
		if position >= maxEntriesPerMessage || (position > 0 && size > maxBytesPerMessage) {
			entries = entries[:position]
			break
		}
	}
	previous := peer.nextIndex - 1
	core.send(Message{Kind: MessageAppend, To: name, Term: core.hardState.Term, Index: previous, LogTerm: core.termAt(previous),
		Commit: core.commitIndex, Round: core.readRound, Entries: slices.Clone(entries)})
	peer.nextIndex += uint64(len(entries))
}

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
