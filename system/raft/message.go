package raft

// MessageKind is the type of a message. The values are part of the wire format.
type MessageKind uint16

const (
	// MessagePreVote asks whether an election in the next term could be won (thesis 9.6).
	MessagePreVote MessageKind = iota
	// MessagePreVoteReply replies to MessagePreVote.
	MessagePreVoteReply
	// MessageVote requests a vote (RequestVote in the paper).
	MessageVote
	// MessageVoteReply replies to MessageVote.
	MessageVoteReply
	// MessageAppend carries entries (AppendEntries in the paper); without entries it is the
	// heartbeat.
	MessageAppend
	// MessageAppendReply replies to MessageAppend and MessageSnapshot.
	MessageAppendReply
	// MessageSnapshot carries a complete snapshot. Leaders now send MessageSnapshotChunk;
	// this kind is accepted for compatibility with earlier versions.
	MessageSnapshot
	// MessageTimeoutNow tells the target of a leadership transfer, once its log is complete,
	// to start an election immediately (thesis 3.10).
	MessageTimeoutNow
	// MessageSnapshotChunk carries part of a snapshot to a replica that needs entries the
	// leader has already compacted (InstallSnapshot in the paper).
	MessageSnapshotChunk
	// MessageSnapshotReply replies to MessageSnapshotChunk with the number of bytes received
	// or the reason for rejecting the chunk.
	MessageSnapshotReply
)

// Message is a message between two replicas of a group. Which fields are used depends on
// Kind.
type Message struct {
	Group uint32
	Kind  MessageKind
	// From and To are replica names.
	From string
	To   string
	// Term is the sender's current term. In MessagePreVote, and in a reply that grants it, it
	// is the term that the requester would enter.
	Term uint64
	// Index is the candidate's last log index in vote requests, the index preceding the
	// first entry in MessageAppend, the match index (or, if rejected, the index that did
	// not match) in MessageAppendReply, and the snapshot's index in MessageSnapshotReply.
	Index uint64
	// LogTerm is the term of the sender's entry at Index.
	LogTerm uint64
	// Commit is the leader's commit index.
	Commit uint64
	// Round is the leader's read index round; the reply echoes it.
	Round uint64
	// Rejected is set in replies that reject the request.
	Rejected bool
	// Hint is the highest index at which the follower's log may match in a rejected
	// MessageAppendReply, and the offset of the acknowledged or rejected chunk in
	// MessageSnapshotReply.
	Hint uint64
	// Forced marks a vote request of a leadership transfer. Voters process it even during the
	// leader's lease (thesis 4.2.3).
	Forced   bool
	Entries  []Entry
	Snapshot Snapshot
	Chunk    SnapshotChunk
}

// SnapshotChunk describes the part of a snapshot in Message.Snapshot.Data, and, in a reply,
// the progress of the transfer.
type SnapshotChunk struct {
	// Offset is the position of the chunk's first byte in the content. In a reply it is the
	// number of contiguous bytes received from the start of the content.
	Offset uint64
	// Total is the length of the snapshot's content in bytes.
	Total uint64
	// ContentChecksum is the CRC-32C of the complete content. It also distinguishes snapshots
	// that two leaders took at the same index.
	ContentChecksum uint32
	// Checksum is the CRC-32C of the chunk's data and of all fields that identify the chunk.
	Checksum uint32
	// Reason is set in a reply that rejects the chunk.
	Reason SnapshotRejection
}
