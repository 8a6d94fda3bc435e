package raft

import "slices"

// pendingWrite is a write that is not durable yet. lastIndex and lastTerm identify the last log
// entry at the time of the write.
type pendingWrite struct {
	number    uint64
	lastIndex uint64
	lastTerm  uint64
}

// pendingMessage is a message that can be sent once the write with writeNumber is durable.
type pendingMessage struct {
	writeNumber uint64
	message     Message
}

// send queues a message of this step; flush outputs it or holds it until a write is durable.
func (core *Core) send(message Message) {
	message.Group = core.settings.Group
	message.From = core.settings.Name
	core.outbox = append(core.outbox, message)
}

// requiredWrite returns the number of the write that must be durable before a message can be
// sent, or 0.
//
// A leader sends entries in parallel with its own write of them (thesis 10.2.1), since it counts
// itself only up to stableIndex. Its term must be durable, though: otherwise a single voter that
// loses power could lead the same term again with different entries. Pre-vote requests and
// grants make no commitment, since no replica has entered their term. All other messages depend
// on the last write, including pre-vote rejections, which carry this replica's term.
func (core *Core) requiredWrite(message Message) uint64 {
	switch message.Kind {
	case MessageAppend, MessageSnapshotChunk, MessageTimeoutNow:
		return core.hardStateWrite
	case MessagePreVote:
		return 0
	case MessagePreVoteReply:
		if !message.Rejected {
			return 0
		}
	}
	return core.lastWrite
}

// flush ends a step: it outputs all changes as one write, and the messages that need not wait
// for a write.
func (core *Core) flush() {
	if core.hardStateChanged || core.firstUnwritten != 0 || core.snapshotChanged {
		core.output.Write = core.nextWrite()
	}
	for _, message := range core.outbox {
		if number := core.requiredWrite(message); core.lastSynced >= number {
			core.output.Messages = append(core.output.Messages, message)
		} else {
			core.pendingMessages = append(core.pendingMessages, pendingMessage{writeNumber: number, message: message})
		}
	}
	core.outbox = core.outbox[:0]
}

// nextWrite returns a write of all changes since the previous one.
func (core *Core) nextWrite() *Write {
	core.lastWrite++
	write := &Write{Number: core.lastWrite, HardState: core.hardState}
	if core.firstUnwritten != 0 {
		write.Entries = slices.Clone(core.entriesFrom(max(core.firstUnwritten, core.snapshot.Index+1)))
	}
	if core.snapshotChanged {
		snapshot := core.snapshot
		write.Snapshot = &snapshot
	}
	if core.hardStateChanged {
		core.hardStateWrite = core.lastWrite
	}
	core.pendingWrites = append(core.pendingWrites, pendingWrite{number: core.lastWrite, lastIndex: core.lastIndex(), lastTerm: core.termAt(core.lastIndex())})
	core.hardStateChanged, core.firstUnwritten, core.snapshotChanged = false, 0, false
	return write
}

// handleSynced records that the writes up to number are durable, and outputs the messages that
// waited for them.
func (core *Core) handleSynced(number uint64) {
	core.lastSynced = max(core.lastSynced, number)
	for len(core.pendingWrites) > 0 && core.pendingWrites[0].number <= number {
		write := core.pendingWrites[0]
		core.pendingWrites = core.pendingWrites[1:]
		// Ignore the write if its last entry has since been replaced.
		if write.lastIndex <= core.lastIndex() && (write.lastIndex < core.snapshot.Index || core.termAt(write.lastIndex) == write.lastTerm) {
			core.stableIndex = max(core.stableIndex, write.lastIndex)
		}
	}
	remaining := core.pendingMessages[:0]
	for _, pending := range core.pendingMessages {
		if pending.writeNumber <= number {
			core.output.Messages = append(core.output.Messages, pending.message)
		} else {
			remaining = append(remaining, pending)
		}
	}
	core.pendingMessages = remaining
	if core.role == roleLeader {
		core.advanceCommit()
	}
}
