package raft

// InputKind is the type of an [Input].
type InputKind uint16

const (
	// InputTick reports that one tick has elapsed. Number is the node's tick counter, shared by
	// all of its groups, or 0 if there is none.
	InputTick InputKind = iota
	// InputMessage delivers Message from a peer.
	InputMessage
	// InputSynced reports that the write with this Number and all earlier writes are durable.
	InputSynced
	// InputPropose asks the leader to append the command Data; [Output.ProposedIndex] is its
	// index.
	InputPropose
	// InputChangeMembership asks the leader to append Membership, which may differ from the
	// current membership by at most one voter and any number of learners;
	// [Output.ProposedIndex] is its index.
	InputChangeMembership
	// InputReadIndex requests a read index from the leader. This step or a later one returns a
	// [ReadResult] with the same Context.
	InputReadIndex
	// InputCompact replaces the log up to Index with a snapshot whose content is Data. See
	// [Core.CanCompact].
	InputCompact
	// InputTransferLeadership asks the leader to transfer leadership to the voter Peer.
	InputTransferLeadership
	// InputSuspect reports that the connection from Peer was closed, so that Peer is suspected
	// to have failed.
	InputSuspect
)

// Input is one event for [Core.Step]. Which fields are used depends on Kind.
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
