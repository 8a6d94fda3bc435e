package raft

// MessageKind says what a message requests or replies to. The values are sent.
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
	// MessageSnapshot carries a snapshot in one message. Leaders send MessageSnapshotChunk
	// instead; versions before it sent this kind, and it is still received.
	MessageSnapshot
	// MessageTimeoutNow tells a voter whose log is complete to start an election at once
	// (thesis 3.10).
	MessageTimeoutNow
	// MessageSnapshotChunk carries a part of a snapshot to a replica whose missing entries
	// the leader has discarded (InstallSnapshot in the paper).
	MessageSnapshotChunk
	// MessageSnapshotReply replies to MessageSnapshotChunk: how many bytes have been
	// received, or why the chunk was rejected.
	MessageSnapshotReply
)

// Message is what the replicas of one group send each other. Which fields have a meaning
// depends on the kind.
type Message struct {
	Group uint32
	Kind  MessageKind
	// From and To are names of replicas.
	From string
	To   string
	// Term is the sender's term, except in MessagePreVote and its grant: the term that the
	// sender of the request would enter.
	Term uint64
	// Index is the candidate's last log index in requests for votes, the index before the
	// first entry in MessageAppend, the match index (or, if rejected, the index that did
	// not match) in MessageAppendReply, and the snapshot's index in MessageSnapshotReply.
	Index uint64
	// LogTerm is the term of the sender's entry at Index.
	LogTerm uint64
	// Commit is the leader's commit index.
	Commit uint64
	// Round is the leader's read index round, which the reply repeats.
	Round uint64
	// Rejected is set in replies that reject the request.
	Rejected bool
	// Hint is, in a rejected MessageAppendReply, the highest index at which the follower's
	// log may match, and in MessageSnapshotReply the offset of the chunk replied to.
	Hint uint64
	// Forced marks the election of a leadership transfer: voters grant it although they
	// hear a leader (thesis 4.2.3).
	Forced   bool
	Entries  []Entry
	Snapshot Snapshot
	Chunk    SnapshotChunk
}

// SnapshotChunk locates the part of a snapshot that Message.Snapshot.Data holds.
type SnapshotChunk struct {
	// Offset is the chunk's first byte. In a reply it is the number of bytes that the
	// receiver has, from the first on without gaps.
	Offset uint64
	// Total is the length of the snapshot's content in bytes.
	Total uint64
	// ContentChecksum is the CRC-32C of the complete content. It also distinguishes the
	// snapshots that two leaders took at one index.
	ContentChecksum uint32
	// Checksum is the CRC-32C of the chunk and of all fields that locate it.
	Checksum uint32
	// Reason is set in a reply that rejects the chunk.
	Reason SnapshotRejection
}
