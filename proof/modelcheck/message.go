package modelcheck

import (
	"bytes"
	"fmt"
	"strings"

	"yardrock.example/system/agreement"
)

// messageKey names a message by its content: equal messages have equal keys.
type messageKey uint64

// packet is one message in flight.
type packet struct {
	key     messageKey
	message *agreement.Message
}

var messageNames = map[agreement.MessageKind]string{
	agreement.MessagePreVote:      "pre-vote",
	agreement.MessagePreVoteReply: "pre-vote reply",
	agreement.MessageVote:         "vote",
	agreement.MessageVoteReply:    "vote reply",
	agreement.MessageAppend:       "append",
	agreement.MessageAppendReply:  "append reply",
	agreement.MessageSnapshot:     "checkpoint",
	agreement.MessageTimeoutNow:   "elect now",

	agreement.MessageSnapshotChunk: "snapshot chunk",
	agreement.MessageSnapshotReply: "snapshot reply",
}

func describeMessage(message *agreement.Message) string {
	name, known := messageNames[message.Kind]
	if !known {
		name = fmt.Sprintf("message of kind %d", message.Kind)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s->%s term %d index %d/%d commit %d round %d", name, message.From, message.To,
		message.Term, message.Index, message.LogTerm, message.Commit, message.Round)
	if message.Rejected {
		text.WriteString(" refused")
	}
	for _, entry := range message.Entries {
		fmt.Fprintf(&text, " [%s]", describeEntry(entry))
	}
	if message.Snapshot.Index > 0 {
		fmt.Fprintf(&text, " checkpoint %d/%d", message.Snapshot.Index, message.Snapshot.Term)
	}
	if message.Chunk.Total > 0 {
		fmt.Fprintf(&text, " bytes from %d of %d", message.Chunk.Offset, message.Chunk.Total)
	}
	return text.String()
}

func describeEntry(entry agreement.Entry) string {
	switch entry.Kind {
	case agreement.EntryMembership:
		return fmt.Sprintf("%d/%d voters %v learners %v", entry.Index, entry.Term, entry.Membership.Voters, entry.Membership.Learners)
	case agreement.EntryNoOp:
		return fmt.Sprintf("%d/%d empty", entry.Index, entry.Term)
	}
	return fmt.Sprintf("%d/%d %s", entry.Index, entry.Term, bytes.TrimRight(entry.Data, "\x00"))
}
