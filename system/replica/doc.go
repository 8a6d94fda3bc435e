// Package replica runs the Raft replicas of one node: it drives the cores of package raft with
// time, the network and the disk.
//
// A [Host] owns all groups of the node, their state machines, the durable log and what waits
// for it. It has these goroutines, which end after [Host.Close]:
//
//   - The loop owns the state: every step of a core and every call of a state machine, except
//     for the encoding of a snapshot, runs on it. Other goroutines have functions run there.
//   - The disk goroutine makes records durable, one job at a time. While one job is written,
//     the records of all groups gather for the next, so that a sync serves many writes.
//   - For each snapshot that is being taken, one goroutine encodes it.
//
// A [Transport] sends the messages. It has two goroutines for each peer: one for all messages
// but snapshot chunks, and one for these, so that they do not delay heartbeats.
//
// # Guarantees
//
//   - A command for which [Host.Propose] returned an outcome is durable on a quorum and will
//     not be lost. After a NotLeader error it never runs; after an OutcomeUnknown error it may.
//   - After [Host.Read] returned nil, the state machine here includes every command that was
//     committed before the call.
//   - What a message promises is durable before the message is sent (see package raft).
//   - A replica whose stored state cannot be read does not start: it might vote or lead without
//     what it promised.
//   - Memory and the data folder are bounded by the size of the state, not by its history.
package replica
