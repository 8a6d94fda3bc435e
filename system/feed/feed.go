// Package feed defines the feed, the numbered sequence of all changes to the state that nodes
// must not use when it is stale: config, domains, runners, store list, control nodes and role
// leases. A View is the fold of all changes up to its number. The control plane orders the
// changes (package controlplane), and every process follows them (package feedclient).
//
// Guarantees:
//   - Fold is deterministic: the same changes give the same view, byte for byte. Changes are
//     folded in the order of their numbers without gaps, and a config delta only onto its base
//     config.
//   - Views, histories and all that they refer to are immutable, so they may be shared between
//     goroutines without locks.
//   - The size of a History and of a RequestHistory does not grow with the number of changes.
//
// The package has no state of its own and starts no goroutines; its callers hold the views. The
// field tags are Cap'n Proto names, as views and changes are stored and sent.
package feed

// The states of domains, runners and stores. Their values are sent between nodes and shown to
// operators.
const (
	// StateServing is the default state: new work is accepted.
	StateServing = "serving"
	// StateDrained is a domain that an operator has drained: it gets no new work.
	StateDrained = "emptied"
	// StateDraining is a runner that is shutting down: it finishes its work and gets no more.
	StateDraining = "leaving"
	// StateWarmingUp is a runner that is warming up: it gets a reduced share of the work.
	StateWarmingUp = "cold"
	// StateDecommissioning is a store whose replicas are being moved to other stores.
	StateDecommissioning = "retiring"
	// StateDecommissioned is a store without replicas that was removed from the store list.
	StateDecommissioned = "retired"
)

// The roles of nodes. A front serves clients, a store replicates session logs, a control node
// orders the feed.
const (
	RoleFront   = "front"
	RoleStore   = "store"
	RoleControl = "control"
)

// Member is one node of the fleet, as its own settings and the store list describe it.
type Member struct {
	// Name identifies the node's disk: a node whose disk was wiped gets a new name.
	Name string `capnp:"name"`
	// Role is RoleFront, RoleStore or RoleControl.
	Role string `capnp:"role"`
	// Address is the host and port at which other nodes reach it.
	Address string `capnp:"address"`
	// Domain is the failure domain that it runs in.
	Domain string `capnp:"domain"`
	// State is StateDecommissioning or StateDecommissioned for such a store, else empty.
	State string `capnp:"state"`
	// AdminAddress is the host and port of a control node's admin API; empty for other roles.
	AdminAddress string `capnp:"administration"`
	// Machine is the operators' name for the machine that the node runs on; it may be empty.
	Machine string `capnp:"machine"`
}

// Domain is a failure domain (a zone) that an operator has drained or returned to service.
type Domain struct {
	Name string `capnp:"name"`
	// State is StateServing or StateDrained.
	State string `capnp:"state"`
	// Since is when it entered its state, as Unix time in nanoseconds; for display only.
	Since int64 `capnp:"since"`
}

// RoleLease is the lease on a singleton role, which one node holds at a time. It does not
// expire: the holder keeps it until another node acquires it.
type RoleLease struct {
	// Key names the role.
	Key string `capnp:"key"`
	// Holder is the name of the node that holds the lease, empty if it was never acquired.
	Holder string `capnp:"owner" json:"Owner"`
	// FencingToken increases by one whenever the lease is acquired. Changes made under the
	// lease carry it, so that those of an earlier holder are rejected.
	FencingToken uint64 `capnp:"fence" json:"Fence"`
}

// replaces reports whether a store is the same as an earlier one or runs on the same machine.
func (member Member) replaces(earlier Member) bool {
	return member.Name == earlier.Name || (member.Machine != "" && member.Machine == earlier.Machine)
}
