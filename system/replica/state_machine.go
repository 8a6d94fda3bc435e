package replica

import "yardrock.example/system/raft"

// StateMachine is the state machine of one group. Apply, Restore and Image are called
// from the host's loop only. What Image gives encodes the content as it is now, and
// may be called at leisure elsewhere.
type StateMachine interface {
	Apply(entry raft.Entry) any
	Snapshot() func() []byte
	Restore(data []byte) error
}
