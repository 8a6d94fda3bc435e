// Package replica runs the Raft replicas of one node: it connects the cores of package raft to
// timers, the network and the disk.
//
// A [Host] owns all groups of the node, their state machines, the durable log and the pending
// writes. It runs these goroutines, which end after [Host.Close]:
//
//   - The event loop (the loop for short) owns the state: it runs every step of a core and every
//     call of a state machine, except for the encoding of snapshots. Other goroutines submit
//     functions to it.
//   - The disk goroutine makes records durable, one job at a time. While a job is written, the
//     records of all groups are collected for the next one, so that one sync serves many writes.
//   - A snapshot is encoded on a goroutine of its own.
//
// A [Transport] sends the messages. It runs two goroutines per peer: one for snapshot chunks and
// one for all other messages, so that chunks do not delay heartbeats.
//
// # Guarantees
//
//   - A command for which [Host.Propose] returned a result is durable on a quorum and will
//     not be lost. After a NotLeader error it is never applied; after an OutcomeUnknown error it
//     may be.
//   - Once a read index is confirmed (host_reads.go), the local state machine includes every
//     command that was committed before the read was requested.
//   - State that a message reveals, such as a vote or an acknowledged entry, is durable before
//     the message is sent (see package raft).
//   - A replica whose stored state is unreadable does not start: without its votes and
//     acknowledged entries it must neither vote nor lead.
//   - The use of memory and disk is bounded by the size of the state, not by its history.
package replica
