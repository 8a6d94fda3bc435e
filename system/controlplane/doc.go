// Package controlplane implements a control node: one replica of the Raft group that orders
// the feed, and what its leader does to keep the fleet's membership in line with its live nodes.
//
// The control group's state machine (feedStateMachine) numbers the committed changes and folds
// them into the view. On top of it a node
//   - serves followers of the feed (feed_serving.go) and admin requests (admin_*.go,
//     routing_requests.go), on any node, through the leader where needed;
//   - records which nodes are live and gossips that to the other control nodes;
//   - as leader, brings the voters of the control group and the store list in line with the
//     live nodes, finishes decommissions and holds the leases on singleton roles.
//
// Guarantees (docs/consistency/orders.md, docs/consistency/membership.md):
//   - What a node says is in force, acknowledges or rejects was confirmed by a majority of the
//     control group after the question came: by a commit, or by a read index.
//   - A change is acknowledged once it is committed and, unless it is an observation, synced by
//     a majority of the stores. So it survives the loss of all disks of the control plane: a
//     new control group recovers the feed from the stores.
//   - Of several requests that build on one number one is carried out, and a request that was
//     carried out is never rejected when it is sent again.
//   - Membership of the control group changes by one member at a time.
//
// A Node owns its Raft host, with it the data directory, its listener, its connections and its
// periodic tasks; Close ends them all. Periodic tasks do not run concurrently with themselves.
// Everything else that a node runs in the background ends with the node's context or a timeout
// of its own.
package controlplane
