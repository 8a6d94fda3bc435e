package raft

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
