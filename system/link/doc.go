// Package link carries calls between the processes of a fleet: Cap'n Proto messages
// (package wire) in frames, over any Network that can dial and listen.
//
// A Client has at most one connection to each address, opened at the first call and opened
// again after it ended; calls on it run concurrently and are identified by number. A Server
// answers each query on a goroutine of its own, and notifications of one connection one after
// the other.
//
// Guarantees:
//   - A query is sent at most once; nothing is sent again. A failure marked NeverSent is sure
//     to have left nothing at the other side; after any other one the query may have run.
//   - A reply reaches the call that it belongs to, or nobody.
//   - Notifications of one connection arrive in order. Any of them may be lost.
//   - No call waits longer than its context allows, whatever the other side does: writing is
//     done by a goroutine of the connection, and what may be queued for it is bounded.
//   - Frames of an unknown kind are skipped, so that later versions may add kinds.
//
// Connections have no authentication and no encryption: the network is trusted.
package link
