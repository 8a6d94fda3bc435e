// Package agreement is the pure Raft core that both planes share.
//
// A Core holds one replica of one group. It owns no goroutine, socket, file or
// clock: Step takes one input (a message, a tick, a notice that a write was
// synced, a proposal, ...) and returns what the shell round it must do. The same
// inputs in the same order always give the same outputs.
package raft
