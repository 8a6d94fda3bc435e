package replica

import "yardrock.example/system/raft"

// StateMachine is the replicated state machine of one group. The host never calls two of its
// methods at the same time.
type StateMachine interface {
	// Apply applies a committed command and returns its result, which [Host.Propose] returns on
	// the proposing node. It must be deterministic: it may depend only on the state and the entry.
	Apply(entry raft.Entry) any
	// Snapshot returns a function that encodes the state as of this call. The function is
	// called once, from another goroutine, while later entries are applied.
	Snapshot() func() []byte
	// Restore replaces the state with an encoded one. After an error the state is unchanged.
	Restore(data []byte) error
}
