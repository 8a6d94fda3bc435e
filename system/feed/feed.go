// Package feed holds the numbered feed of changes that orders all that must not
// be obeyed late: config, domains, runner roster, store list, assignments. A View is
// the fold of all changes up to its number; views are never changed in place.
package feed

// The states of domains, runners and stores.
const (
	StateServing         = "serving"
	StateDrained         = "emptied"
	StateDraining        = "leaving"
	StateWarmingUp       = "cold"
	StateDecommissioning = "retiring"
	StateDecommissioned  = "retired"
)

// The roles of nodes.
const (
	RoleFront   = "front"
	RoleStore   = "store"
	RoleControl = "control"
)

// Member is one node of the fleet.
type Member struct {
	Name           string `capnp:"name"`
	Role           string `capnp:"role"`
	Address        string `capnp:"address"`
	Domain         string `capnp:"domain"`
	State          string `capnp:"state"`
	Administration string `capnp:"administration"`
	// Machine is what the operator calls the node's machine; it may be empty.
	Machine string `capnp:"machine"`
}

// Domain is a zone, and whether it takes work.
type Domain struct {
	Name  string `capnp:"name"`
	State string `capnp:"state"`
	Since int64  `capnp:"since"`
}

// RoleLease is a single-node assignment: its owner holds it under a fence number.
type RoleLease struct {
	Key          string `capnp:"key"`
	Holder       string `capnp:"owner" json:"Owner"`
	FencingToken uint64 `capnp:"fence" json:"Fence"`
}

// replaces tells whether a store is the same as another, or on the same machine.
func (member Member) replaces(earlier Member) bool {
	return member.Name == earlier.Name || (member.Machine != "" && member.Machine == earlier.Machine)
}
