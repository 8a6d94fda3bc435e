// Package raft is the Raft consensus algorithm without input or output: elections,
// replication, membership changes, snapshots and linearizable reads of one group.
//
// It follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
// (the paper), and Ongaro's dissertation "Consensus: Bridging Theory and Practice" (the
// thesis). Comments cite their sections. Beyond the paper it has
//
//   - pre-vote (thesis 9.6), so that a replica that was cut off deposes no leader;
//   - a leader that steps down when it hears no quorum for an election timeout (thesis
//     6.2), and followers that ignore elections while they hear a leader (thesis 4.2.3);
//   - learners, members that receive the log but do not vote (thesis 4.2.1);
//   - membership changes of one voter at a time (thesis 4.1);
//   - leadership transfer (thesis 3.10) and read index (thesis 6.4);
//   - snapshots that travel in checksummed chunks beside the heartbeats.
//
// A [Core] holds one replica of one group. It owns no goroutine, socket, file or clock: the
// driver (package replica) gives [Core.Step] one [Input] at a time and carries out the
// [Output]. The same inputs in the same order give the same outputs, which package
// modelcheck relies on.
//
// # What the core guarantees
//
//   - Election safety: at most one leader in a term (paper 5.2).
//   - Log matching, leader completeness and state machine safety (paper 5.3, 5.4): an entry
//     in [Output.CommittedEntries] is never replaced, and is given in order and once.
//   - A message that promises something, such as a vote or an acknowledged append, is in
//     [Output.Messages] only after the driver has reported the [Write] with that promise as
//     durable ([InputSynced]).
//   - A read with a [ReadResult] that is not rejected sees every command that was committed
//     before the read was requested.
//
// # What the driver must guarantee
//
//   - It carries out an output before it steps the core again, in the order that [Output]
//     states, and reports a write as synced only when it and all earlier ones are durable.
//   - After a restart it gives [New] the [PersistentState] that all durable writes amount
//     to. A replica that lost its disk must come back under a new name.
//   - Messages may be lost, delayed, repeated and reordered, but not altered.
package raft
