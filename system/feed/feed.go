// Package feed defines the feed, the numbered sequence of all changes that must not be obeyed
// late: config, domains, runners, store list, control nodes and role leases. A View is the
// fold of all changes up to its number. The control plane orders the changes
// (package controlplane), and every process follows them (package feedclient).
//
// Guarantees:
//   - Fold is deterministic: whoever folds the same changes has the same view, bytes included.
//     Changes are folded one number after the other, and a config difference only on the
//     config that it was made from.
//   - Views, histories and all that they refer to are immutable, and so may be shared between
//     goroutines without locks.
//   - A History and a RequestHistory are bounded, however many changes there were.
//
// The package owns no state and starts nothing; its users hold the views. The fields of its
// types have their Cap'n Proto names as tags, as views and changes are stored and sent.
package feed

// The states of domains, runners and stores. Their texts travel between nodes and are shown
// to operators.
const (
	// StateServing is the default state of everything: it takes new work.
	StateServing = "serving"
	// StateDrained is a domain that an operator has taken out of service: it gets no new work.
	StateDrained = "emptied"
	// StateDraining is a runner that is about to stop: it finishes its work and gets no more.
	StateDraining = "leaving"
	// StateWarmingUp is a runner that has just started (slow start): it gets a reduced share.
	StateWarmingUp = "cold"
	// StateDecommissioning is a store whose replicas are being moved to other stores.
	StateDecommissioning = "retiring"
	// StateDecommissioned is a store that holds no replica any more and has left the list.
	StateDecommissioned = "retired"
)

// The roles of nodes. A front serves callers, a store keeps session logs, a control node
// orders the feed.
const (
	RoleFront   = "front"
	RoleStore   = "store"
	RoleControl = "control"
)

// Member is one node of the fleet, as its own settings and the store list describe it.
type Member struct {
	// Name identifies the node's disk: a node whose disk was wiped has a new name.
	Name string `capnp:"name"`
	// Role is RoleFront, RoleStore or RoleControl.
	Role string `capnp:"role"`
	// Address is where the other nodes reach it, host and port.
	Address string `capnp:"address"`
	// Domain is the failure domain that it runs in.
	Domain string `capnp:"domain"`
	// State of a store is StateDecommissioning or StateDecommissioned, else empty.
	State string `capnp:"state"`
	// Administration is the address of a control node's admin API, else empty.
	Administration string `capnp:"administration"`
	// Machine is the operators' name of the machine that the node runs on; it may be empty.
	Machine string `capnp:"machine"`
}

// Domain is a failure domain (a zone) that an operator has drained or refilled.
type Domain struct {
	Name string `capnp:"name"`
	// State is StateServing or StateDrained.
	State string `capnp:"state"`
	// Since is when it entered its state, in nanoseconds since 1970, for people.
	Since int64 `capnp:"since"`
}

// RoleLease is the lease on a singleton role: work that one node does at a time. The holder
// keeps it until another node takes it; there is no expiry.
type RoleLease struct {
	// Key names the role.
	Key string `capnp:"key"`
	// Holder is the name of the node that does the work, empty if nobody ever did.
	Holder string `capnp:"owner" json:"Owner"`
	// FencingToken rises by one whenever the lease is taken. Changes made under the lease
	// name it, so that those of an earlier holder are rejected.
	FencingToken uint64 `capnp:"fence" json:"Fence"`
}

// replaces reports whether a store is the same as an earlier one, or runs on its machine.
func (member Member) replaces(earlier Member) bool {
	return member.Name == earlier.Name || (member.Machine != "" && member.Machine == earlier.Machine)
}
