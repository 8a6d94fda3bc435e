// Package durablelog stores the complete durable state of a node in one data folder: records of
// all its groups, in one log that is compacted into snapshot files.
//
// # Files
//
//   - identity: the random name of the folder, made when it was empty (JSON, see [Identity]).
//   - log-N: the log of generation N. Each [Log.Append] is one frame (see frame.go) and one
//     sync, so that many groups share the cost of a sync.
//   - slot-0 and slot-1: snapshot files, written in turn. The snapshot of generation N has
//     the state as of the end of log N-1; log N continues it.
//
// The state is that of the newest complete snapshot, followed by the logs from its generation
// on. The snapshot before it, and the log between the two, stay until the next snapshot is
// complete, so that one damaged snapshot file loses nothing.
//
// # Guarantees
//
//   - What [Log.Append] or [Log.WriteSnapshot] returned for without error is found by every
//     later [Open], whatever power loss happens, as long as the disk keeps what it synced.
//   - Records are found in the order in which they were appended. An append whose process
//     ended before it returned is found completely or not at all.
//   - A folder that lacks something that was durable, because a file was lost or damaged, is
//     rejected with [apierror.Damaged] and is not changed. A node must not run on it: it would
//     forget votes and acknowledged entries. A torn end of the newest log is no damage but an
//     append that was interrupted.
package durablelog
