package raft

// InputKind selects what an [Input] means.
type InputKind uint16

const (
	// InputTick reports that one tick has passed. Number counts the ticks of the node, the
	// same for all of its groups; it may be 0.
	InputTick InputKind = iota
	// InputMessage delivers Message from a peer.
	InputMessage
	// InputSynced reports that the write with this Number, and all before it, are durable.
	InputSynced
	// InputPropose asks the leader to append the command Data, at [Output.ProposedIndex].
	InputPropose
	// InputChangeMembership asks the leader to append Membership, which may differ from the
	// present one by one voter and any learners, at [Output.ProposedIndex].
	InputChangeMembership
	// InputReadIndex asks the leader for a read index. A [ReadResult] with the same Context
	// follows, from this step or a later one.
	InputReadIndex
	// InputCompact gives the state machine's content Data as of Index: a snapshot that
	// replaces the log up to there. See [Core.CanCompact].
	InputCompact
	// InputTransferLeadership asks the leader to hand leadership to the voter Peer.
	InputTransferLeadership
	// InputSuspect reports that the connection from Peer ended, so that it may have failed.
	InputSuspect
)

// Input is one event for [Core.Step]. Which fields have a meaning depends on the kind.
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
