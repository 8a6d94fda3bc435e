package raft

// Settings configure one replica. They do not change while it runs.
type Settings struct {
	// Group is the group's number, which is sent in every message.
	Group uint32
	// Name is this replica's name, unique among all replicas that ever were in the group.
	Name string
	// ElectionTicks is the lower bound of the election timeout, in ticks; the timeout is
	// drawn from [ElectionTicks, 2*ElectionTicks). It must be greater than HeartbeatTicks
	// wherever messages take time.
	ElectionTicks int
	// HeartbeatTicks is how many ticks lie between a leader's heartbeats.
	HeartbeatTicks int
	// Seed seeds the generator of election timeouts, together with Group.
	Seed uint64
	// InstallSnapshot, if set, restores the state machine from a peer's snapshot before the
	// replica adopts it. On failure it must have changed nothing; the snapshot is rejected
	// then. If nil, every snapshot is adopted and [Output.Snapshot] is the only notice.
	InstallSnapshot func(Snapshot) error
	// ChunkBytes is the size of a snapshot chunk in bytes; 0 means 128 KiB.
	ChunkBytes int
}
