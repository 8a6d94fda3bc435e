package raft

import "slices"

type pendingWrite struct {
	number    uint64
	lastIndex uint64
	lastTerm  uint64
}

type pendingMessage struct {
	writeNumber uint64
	message     Message
}

func (core *Core) send(message Message) {
	message.Group = core.settings.Group
	message.From = core.settings.Name
	core.outbox = append(core.outbox, message)
}

// requiredWrite gives the number of the write that must be synced before a message may leave.
// A leader's entries may travel while its own disk still writes them, since its own copy
// counts only once synced; but its term must last, or a lone voter that loses its power
// would lead the same term again with other entries. Pre-votes and their grants speak of a
// term that nobody has entered. All else promises something that the disk must hold
// first; a refused pre-vote tells the own term.
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

func (core *Core) flush() {
	if core.hardStateChanged || core.firstUnwritten != 0 || core.snapshotChanged {
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
		core.output.Write = write
		core.pendingWrites = append(core.pendingWrites, pendingWrite{number: core.lastWrite, lastIndex: core.lastIndex(), lastTerm: core.termAt(core.lastIndex())})
		core.hardStateChanged, core.firstUnwritten, core.snapshotChanged = false, 0, false
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

func (core *Core) handleSynced(number uint64) {
	core.lastSynced = max(core.lastSynced, number)
	for len(core.pendingWrites) > 0 && core.pendingWrites[0].number <= number {
		write := core.pendingWrites[0]
		core.pendingWrites = core.pendingWrites[1:]
		if write.lastIndex <= core.lastIndex() && (write.lastIndex < core.snapshot.Index || core.termAt(write.lastIndex) == write.lastTerm) {
			core.stableIndex = max(core.stableIndex, write.lastIndex)
		}
	}
	kept := core.pendingMessages[:0]
	for _, waiting := range core.pendingMessages {
		if waiting.writeNumber <= number {
			core.output.Messages = append(core.output.Messages, waiting.message)
		} else {
			kept = append(kept, waiting)
		}
	}
	core.pendingMessages = kept
	if core.role == roleLeader {
		core.advanceCommit()
	}
}
