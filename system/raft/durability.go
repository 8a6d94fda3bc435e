package raft

import "slices"

// pendingWrite is a write that is not durable yet, and the last entry of the log as of it.
type pendingWrite struct {
	number    uint64
	lastIndex uint64
	lastTerm  uint64
}

// pendingMessage is a message that may be sent once a write is durable.
type pendingMessage struct {
	writeNumber uint64
	message     Message
}

// send queues a message of this step; flush decides when it may leave.
func (core *Core) send(message Message) {
	message.Group = core.settings.Group
	message.From = core.settings.Name
	core.outbox = append(core.outbox, message)
}

// requiredWrite returns the number of the write that must be durable before a message may be
// sent, or 0.
//
// A leader's entries may travel while its own disk still writes them (thesis 10.2.1), since
// it counts itself only up to stableIndex. But its term must be durable: a single voter that
// loses power would otherwise lead the same term again with other entries. Pre-votes and
// their grants promise nothing, as nobody has entered their term. Everything else promises
// something that must be durable first; so does a rejected pre-vote, which has the term.
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

// flush ends a step: it puts what has changed into one write, and the messages that need not
// wait for a write into the output.
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

// nextWrite returns the write of all changes since the last one.
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

// handleSynced notes that the writes up to a number are durable, and releases the messages
// that waited for them.
func (core *Core) handleSynced(number uint64) {
	core.lastSynced = max(core.lastSynced, number)
	for len(core.pendingWrites) > 0 && core.pendingWrites[0].number <= number {
		write := core.pendingWrites[0]
		core.pendingWrites = core.pendingWrites[1:]
		// Entries that were replaced after the write was handed out do not count.
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
