package modelcheck

import (
	"bytes"
	"fmt"
	"strings"

	"yardrock.example/system/raft"
)

// messageKey is a hash of a message's content: equal messages have equal keys.
type messageKey uint64

// packet is one message in flight.
type packet struct {
	key     messageKey
	message *raft.Message
}

var messageNames = map[raft.MessageKind]string{
	raft.MessagePreVote:      "pre-vote",
	raft.MessagePreVoteReply: "pre-vote reply",
	raft.MessageVote:         "vote",
	raft.MessageVoteReply:    "vote reply",
	raft.MessageAppend:       "append",
	raft.MessageAppendReply:  "append reply",
	raft.MessageSnapshot:     "snapshot",
	raft.MessageTimeoutNow:   "timeout now",

	raft.MessageSnapshotChunk: "snapshot chunk",
	raft.MessageSnapshotReply: "snapshot reply",
}

func describeMessage(message *raft.Message) string {
	name, ok := messageNames[message.Kind]
	if !ok {
		name = fmt.Sprintf("message of kind %d", message.Kind)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s->%s term %d index %d/%d commit %d round %d", name, message.From, message.To,
		message.Term, message.Index, message.LogTerm, message.Commit, message.Round)
	if message.Rejected {
		text.WriteString(" rejected")
	}
	for _, entry := range message.Entries {
		fmt.Fprintf(&text, " [%s]", describeEntry(entry))
	}
	if message.Snapshot.Index > 0 {
		fmt.Fprintf(&text, " snapshot %d/%d", message.Snapshot.Index, message.Snapshot.Term)
	}
	if message.Chunk.Total > 0 {
		fmt.Fprintf(&text, " offset %d of %d bytes", message.Chunk.Offset, message.Chunk.Total)
	}
	return text.String()
}

func describeEntry(entry raft.Entry) string {
	switch entry.Kind {
	case raft.EntryMembership:
		return fmt.Sprintf("%d/%d voters %v learners %v", entry.Index, entry.Term, entry.Membership.Voters, entry.Membership.Learners)
	case raft.EntryNoOp:
		return fmt.Sprintf("%d/%d no-op", entry.Index, entry.Term)
	}
	return fmt.Sprintf("%d/%d %s", entry.Index, entry.Term, bytes.TrimRight(entry.Data, "\x00"))
}
