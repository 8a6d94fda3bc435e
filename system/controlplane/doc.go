// Package controlplane implements a control node: a replica of the Raft group that orders the
// feed, and the leader's reconciliation of the fleet's membership with its live nodes.
//
// The control group's state machine (feedStateMachine) numbers the committed changes and applies
// them to the view. On top of it a node
//   - serves followers of the feed (feed_serving.go) and admin requests (admin_*.go,
//     routing_requests.go) on any node, through the leader where needed;
//   - tracks which nodes are live and gossips that to the other control nodes;
//   - as leader, reconciles the voters of the control group and the store list with the live
//     nodes, finishes decommissions and holds the leases on singleton roles.
//
// Guarantees (docs/consistency/orders.md, docs/consistency/membership.md):
//   - Every acknowledgement, every rejection and every state reported as current is confirmed by
//     a majority of the control group after the request arrived: by a commit or a read index.
//   - A change is acknowledged once it is committed and, unless it is an observation, synced by
//     a majority of the stores. It therefore survives the loss of all control plane disks: a
//     new control group recovers the feed from the stores.
//   - Of several requests based on the same number, only one is executed. A request that was
//     executed is never rejected when it is sent again.
//   - Membership of the control group changes by one member at a time.
//
// A Node owns its Raft host (including the data directory), listener, connections and periodic
// tasks; Close ends them all. A periodic task never runs concurrently with itself. All other
// background work ends with the node's context or with its own timeout.
package controlplane
