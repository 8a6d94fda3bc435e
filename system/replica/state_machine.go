package replica

import "yardrock.example/system/raft"

// StateMachine is the replicated state machine of one group. The host calls its methods from
// one goroutine.
type StateMachine interface {
	// Apply applies a committed command and returns its outcome, which Propose returns on the
	// node that proposed it. It must depend on nothing but the state and the entry.
	Apply(entry raft.Entry) any
	// Snapshot returns a function that encodes the content as of this call. The function is
	// called once, from another goroutine, while later entries are applied.
	Snapshot() func() []byte
	// Restore replaces the content by an encoded one. On error the content is unchanged.
	Restore(data []byte) error
}
