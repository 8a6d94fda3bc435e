// Package raft implements the Raft consensus algorithm for one group as a deterministic
// state machine without I/O: elections, log replication, membership changes, snapshots and
// linearizable reads.
//
// It follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
// (the paper), and Ongaro's dissertation "Consensus: Bridging Theory and Practice" (the
// thesis). Comments cite their sections. In addition to the basic algorithm it provides
//
//   - pre-vote (thesis 9.6), so that a replica rejoining after a partition does not depose
//     the leader;
//   - a quorum check: a leader steps down if it receives no messages from a quorum for an
//     election timeout (thesis 6.2);
//   - a leader lease: followers ignore vote requests while a leader is active (thesis 4.2.3);
//   - learners, members that receive the log but do not vote (thesis 4.2.1);
//   - membership changes of one voter at a time (thesis 4.1);
//   - leadership transfer (thesis 3.10) and read index (thesis 6.4);
//   - snapshot transfer in checksummed chunks, interleaved with heartbeats.
//
// A [Core] is one replica of one group. It owns no goroutine, socket, file or clock: the
// driver (package replica) passes [Core.Step] one [Input] at a time and carries out the
// [Output]. The same inputs in the same order produce the same outputs, which package
// modelcheck relies on.
//
// # What the core guarantees
//
//   - Election safety: at most one leader in a term (paper 5.2).
//   - Log matching, leader completeness and state machine safety (paper 5.3, 5.4): an entry
//     in [Output.CommittedEntries] is never replaced, and is delivered once and in order.
//   - A message that depends on stored state, such as a vote or an acknowledged append,
//     appears in [Output.Messages] only after the driver has reported the corresponding
//     [Write] as durable ([InputSynced]).
//   - Linearizable reads: a read whose [ReadResult] is not rejected sees every command that
//     was committed before the read was requested.
//
// # What the driver must guarantee
//
//   - It carries out each output, in the order documented at [Output], before the next step,
//     and reports a write as synced only once that write and all earlier ones are durable.
//   - After a restart it passes to [New] the [PersistentState] that results from all durable
//     writes. A replica that lost its disk must rejoin under a new name.
//   - Messages may be lost, delayed, duplicated and reordered, but not altered.
package raft
