// Package link implements RPC between the processes of a fleet: Cap'n Proto messages (package
// wire) in length-prefixed frames, over any Network.
//
// A Client keeps at most one connection per address. It dials on the first call and again after
// the connection has ended. Concurrent calls share the connection and are identified by call
// ID. A Server handles queries concurrently, and the notifications of one connection in order.
//
// Guarantees:
//   - A query is sent at most once; there are no retransmissions. An error with NeverSent set
//     proves that the peer received nothing; after any other error the query may have been
//     executed.
//   - A reply is delivered to the call that it belongs to, or dropped.
//   - Notifications on one connection arrive in order. Any of them may be lost.
//   - A call returns when its context ends, even if the peer stops reading: a goroutine of the
//     connection does the writes, and its queue is bounded.
//   - Frames of unknown kinds are skipped, so that later versions may add kinds.
//
// Connections are neither authenticated nor encrypted: the network is trusted.
package link
