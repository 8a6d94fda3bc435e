// Package durablelog stores the complete durable state of a node in one data directory: the
// records of all its groups, in one log that is compacted into snapshot files. A snapshot here is
// the state of the whole node; the snapshots of package raft, each of one group, are contained in
// records.
//
// # Files
//
//   - identity: the random name of the directory, created with it (JSON, see [Identity]).
//   - log-N: the log of generation N. Each [Log.Append] writes one frame (see frame.go) and
//     syncs once, so that all groups share the cost of a sync.
//   - slot-0 and slot-1: snapshot files, written alternately. The snapshot of generation N
//     contains the state at the end of log N-1; log N continues it.
//
// The state consists of the newest complete snapshot and the logs from its generation on. The
// previous snapshot, and the log between the two, are kept until the next snapshot is complete,
// so that the loss of one snapshot file loses no state.
//
// # Guarantees
//
//   - Records for which [Log.Append] or [Log.WriteSnapshot] returned without error are returned
//     by every later [Open], also after a power loss, provided that the disk keeps synced data.
//   - Records are returned in the order in which they were appended. An append that was
//     interrupted before it returned is recovered completely or not at all.
//   - A directory that lacks durable data, because a file was lost or damaged, is rejected with
//     [apierror.Damaged] and left unchanged. A node must not run on it: it would forget votes
//     and acknowledged entries. A torn tail of the newest log is not damage but an interrupted
//     append.
package durablelog
