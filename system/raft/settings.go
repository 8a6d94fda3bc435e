package raft

// Settings configure one replica. They do not change while it runs.
type Settings struct {
	// Group is the group ID, which is sent in every message.
	Group uint32
	// Name identifies this replica. It must be unique among all replicas that have ever been
	// in the group.
	Name string
	// ElectionTicks is the lower bound of the election timeout, in ticks; the timeout is
	// chosen at random from [ElectionTicks, 2*ElectionTicks). It must be greater than
	// HeartbeatTicks unless message delivery is instantaneous.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats, in ticks.
	HeartbeatTicks int
	// Seed, together with Group, seeds the random number generator for election timeouts.
	Seed uint64
	// InstallSnapshot, if set, restores the state machine from a peer's snapshot before the
	// replica adopts it. If it returns an error, it must have left the state machine
	// unchanged, and the snapshot is rejected. If nil, every snapshot is adopted and reported
	// only in [Output.Snapshot].
	InstallSnapshot func(Snapshot) error
	// ChunkBytes is the size of a snapshot chunk in bytes; 0 means 128 KiB.
	ChunkBytes int
}
