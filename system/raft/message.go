package raft

// MessageKind tells what a message asks or answers.
type MessageKind uint16

const (
	// MessagePreVote asks whether an election could be won.
	MessagePreVote MessageKind = iota
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries entries; with none it is the heartbeat.
	MessageAppend
	// MessageAppendReply answers MessageAppend and MessageSnapshot.
	MessageAppendReply
	// MessageSnapshot carries a whole checkpoint in one message, as versions before
	// MessageSnapshotChunk send it.
	MessageSnapshot
	// MessageTimeoutNow tells a caught-up voter to stand for election at once.
	MessageTimeoutNow
	// MessageSnapshotChunk carries a part of a snapshot to a replica far behind.
	MessageSnapshotChunk
	// MessageSnapshotReply tells up to where a snapshot is held, or why a chunk is refused.
	MessageSnapshotReply
)

// Message is what replicas of one group send each other.
type Message struct {
	Group    uint32
	Kind     MessageKind
	From     string
	To       string
	Term     uint64
	Index    uint64 // last log index, previous index, or matched index
	LogTerm  uint64 // term at Index
	Commit   uint64
	Round    uint64 // read-index round, echoed by the reply
	Rejected bool
	Hint     uint64 // a refusing follower's last index
	Forced   bool   // a handed-over election, which ignores the leader's lease
	Entries  []Entry
	Snapshot Snapshot
	Chunk    SnapshotChunk
}

// SnapshotChunk places the part of a snapshot that Message.Checkpoint.Data holds. In a
// reply Offset is what the receiver holds, and Message.Hint the offset of the chunk that
// is answered.
type SnapshotChunk struct {
	Offset uint64
	Total  uint64
	// ContentChecksum is the checksum of the whole content, and tells apart snapshots that
	// two leaders made of one index.
	ContentChecksum uint32
	// Checksum covers the chunk and all that places it.
	Checksum uint32
	Reason   SnapshotRejection
}
