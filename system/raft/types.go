// Package agreement is the pure Raft core that both planes share.
//
// A Core holds one replica of one group. It owns no goroutine, socket, file or
// clock: Step takes one input (a message, a tick, a notice that a write was
// synced, a proposal, ...) and returns what the shell round it must do. The same
// inputs in the same order always give the same outputs.
package raft

import (
	"fmt"
	"slices"
)

// EntryKind tells what a log entry carries.
type EntryKind uint16

const (
	// EntryCommand carries an opaque command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp is what a new leader appends so that it may commit.
	EntryNoOp
	// EntryMembership changes the replica set by one member.
	EntryMembership
)

// Membership is the membership of a group.
type Membership struct {
	Voters   []string
	Learners []string
}

// Entry is one slot of the replicated log.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership Membership
}

// HardState is what a replica must never forget.
type HardState struct {
	Term     uint64
	VotedFor string
}

// Snapshot is a state machine's whole content as of Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

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

// Write is what must be synced before the messages held back behind it leave.
// Entries replace every stored entry from Entries[0].Index on.
type Write struct {
	Number    uint64
	HardState HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

// ReadResult tells that a read may be served once Index is applied, or that
// this replica cannot say.
type ReadResult struct {
	Context  uint64
	Index    uint64
	Rejected bool
}

// Output is what the shell must do after a step, in this order: apply Restore
// and Committed, store Write, send Messages, answer Reads.
type Output struct {
	Messages         []Message
	Write            *Write
	Snapshot         *Snapshot
	CommittedEntries []Entry
	ReadResults      []ReadResult
	// ProposedIndex is where a proposal was put; 0 means it was refused.
	ProposedIndex uint64
	// ProposedTerm is the term of ProposedIndex.
	ProposedTerm uint64
	// SnapshotRejected is set when a peer's snapshot was not taken.
	SnapshotRejected *SnapshotError
}

// InputKind selects the handler of an input.
type InputKind uint16

const (
	// InputTick tells that one tick went by, and the Number of ticks of the node.
	InputTick InputKind = iota
	// InputMessage brings a peer's message.
	InputMessage
	// InputSynced tells that the write with this Number lasts.
	InputSynced
	// InputPropose asks the leader to append a command.
	InputPropose
	// InputChangeMembership asks the leader for a one-member change.
	InputChangeMembership
	// InputReadIndex asks the leader for a read index.
	InputReadIndex
	// InputCompact hands over a checkpoint that replaces the log up to Index.
	InputCompact
	// InputTransferLeadership asks the leader to give leadership to Peer.
	InputTransferLeadership
	// InputSuspect tells that the connection from Peer has ended: it may be gone.
	InputSuspect
)

// Input is one event for Step.
type Input struct {
	Kind       InputKind
	Message    Message
	Number     uint64
	Data       []byte
	Membership Membership
	Context    uint64
	Index      uint64
	Peer       string
}

// PersistentState is what a replica finds on its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Settings fix a replica's name and pace.
type Settings struct {
	Group          uint32
	Name           string
	ElectionTicks  int
	HeartbeatTicks int
	Seed           uint64
	// InstallSnapshot, if set, puts a peer's snapshot into the state machine before the replica
	// takes it. If it fails it must have changed nothing; the snapshot is then refused.
	// Without it every snapshot counts as readable, and Output.Restore is all there is.
	InstallSnapshot func(Snapshot) error
	// ChunkBytes is how much of a snapshot goes in one message; 0 means 128 KiB.
	ChunkBytes int
}

// Status is a copy of what a replica believes.
type Status struct {
	Term                    uint64
	Leader                  string
	Leading                 bool
	CommitIndex             uint64
	LastIndex               uint64
	Membership              Membership
	MatchIndex              map[string]uint64
	MembershipChangePending bool
	CommittedInTerm         bool // the leader has committed an entry of its own term
}

// With folds a write into what the disk holds. The receiver's entries must not be
// used afterwards: the usual write only adds to them.
//
//	stored = stored.With(output.Write)
func (stored PersistentState) With(write *Write) PersistentState {
	stored.HardState = write.HardState
	if write.Snapshot != nil {
		stored.Snapshot = *write.Snapshot
		stored.Entries = slices.DeleteFunc(stored.Entries, func(entry Entry) bool {
			return entry.Index <= write.Snapshot.Index || len(write.Entries) == 0
		})
	}
	if len(write.Entries) > 0 {
		first := write.Entries[0].Index
		at, _ := slices.BinarySearchFunc(stored.Entries, first, func(entry Entry, index uint64) int { return int(entry.Index) - int(index) })
		stored.Entries = append(stored.Entries[:at], write.Entries...)
	}
	return stored
}

// Check tells whether what the disk holds can be a replica's state: a log without gaps
// that begins where the snapshot ends, whose terms never fall nor pass the current one.
//
//	if err := stored.Check(); err != nil { return err }
func (stored PersistentState) Check() error {
	index, term := stored.Snapshot.Index, stored.Snapshot.Term
	for _, entry := range stored.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("the stored log has entry %d after %d", entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("the stored log has term %d at %d after term %d", entry.Term, entry.Index, term)
		}
		index, term = entry.Index, entry.Term
	}
	if term > stored.HardState.Term {
		return fmt.Errorf("the stored log has term %d, later than the stored term %d", term, stored.HardState.Term)
	}
	return nil
}

// MaxLearnerLag is how many entries a learner may lack when it becomes a voter.
const MaxLearnerLag = 16

// Without gives names less one of them.
//
//	next := agreement.Membership{Voters: agreement.Without(replicas.Voters, "c")}
func Without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(one string) bool { return one == name })
}
