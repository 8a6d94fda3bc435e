package feed

import (
	"bytes"
	"iter"
	"slices"

	"yardrock.example/system/placement"
)

// View is the state after the change with its number. A view and all that it refers to are
// immutable: Fold returns a new one.
type View struct {
	// Fleet is the ID of the fleet, a digest of the names in Founding.
	Fleet string `capnp:"fleet"`
	// Number is the number of the last change folded, 0 for an empty view.
	Number uint64 `capnp:"number"`
	// ConfigNumber is the number of the change that set the config, 0 if there is no config.
	ConfigNumber uint64 `capnp:"configNumber"`
	// Source is the config as its operator wrote it; Compiled is the form that nodes decode.
	Source   string `capnp:"source"`
	Compiled []byte `capnp:"compiled"`
	// Domains are those that were ever drained. A domain that is not listed is serving.
	Domains []Domain `capnp:"domains"`
	// Runners are the platform's runners, sorted by address, then by incarnation.
	Runners []Runner `capnp:"runners"`
	// FoundingStores is the first store list, used for the initial placement of groups.
	FoundingStores []Member `capnp:"foundingStores"`
	// Stores is the store list, on which the replicas of session logs are placed.
	Stores []Member `capnp:"stores"`
	// Controls are the voters of the control group.
	Controls []Member `capnp:"controls"`
	// RoleLeases has one lease for each singleton role that was ever leased.
	RoleLeases []RoleLease `capnp:"assignments"`
	// Groups is the number of session log groups, fixed when the fleet is bootstrapped.
	Groups uint32 `capnp:"groups"`
	// Replicas is the replication factor of the groups, fixed when the fleet is bootstrapped; 0
	// means placement.DefaultReplicas. Use ReplicationFactor to read it.
	Replicas uint32 `capnp:"copies"`
	// Founding are the sorted names of the control nodes that bootstrapped the fleet.
	Founding []string `capnp:"founding"`
	// Decommissioned are the last maxDecommissioned stores that were decommissioned.
	Decommissioned []Member `capnp:"retired"`
	// RoutingRequests records the last routing requests by their revisions, AdminRequests the
	// last other admin requests by the numbers of their changes.
	RoutingRequests RequestHistory `capnp:"routingOrders"`
	AdminRequests   RequestHistory `capnp:"feedOrders"`
}

// EqualExceptObservations reports whether two views are equal but for their numbers and the
// fields that observations change (runners and role leases). Replicas is not compared: it is
// fixed when the fleet is bootstrapped. A new field that commands change must be added here.
//
//	if view.EqualExceptObservations(previous) { ... }
func (view *View) EqualExceptObservations(other *View) bool {
	return view.RoutingRequests.equal(&other.RoutingRequests) && view.AdminRequests.equal(&other.AdminRequests) &&
		view.Fleet == other.Fleet && view.ConfigNumber == other.ConfigNumber && view.Groups == other.Groups && view.Source == other.Source &&
		bytes.Equal(view.Compiled, other.Compiled) && slices.Equal(view.Domains, other.Domains) && slices.Equal(view.Founding, other.Founding) &&
		slices.Equal(view.Decommissioned, other.Decommissioned) && slices.Equal(view.FoundingStores, other.FoundingStores) && slices.Equal(view.Stores, other.Stores) && slices.Equal(view.Controls, other.Controls)
}

// IsZero reports whether the view is the empty one, before any change. A view of a fleet names it.
//
//	if change.View.IsZero() { ... }
func (view *View) IsZero() bool {
	return view.Fleet == "" && view.Number == 0 && view.ConfigNumber == 0
}

// DomainDrained reports whether a domain is drained and so gets no new work.
//
//	if view.DomainDrained(runner.Domain) { continue }
func (view *View) DomainDrained(name string) bool {
	for _, domain := range view.Domains {
		if domain.Name == name {
			return domain.State == StateDrained
		}
	}
	return false
}

// WasDecommissioned reports whether a store, or an earlier one on its machine, was
// decommissioned. Its machine may be shut down, so only an operator may enrol it again.
//
//	if view.WasDecommissioned(member) { continue }
func (view *View) WasDecommissioned(store Member) bool {
	return slices.ContainsFunc(view.Decommissioned, store.replaces)
}

// BoundFleet returns the ID of the fleet that a node with this view is permanently bound to,
// empty if it is not bound yet. Before there is a store list nothing can have been
// acknowledged, and a control plane that has just bootstrapped a fleet may still discover that
// it belongs to an existing fleet whose control disks were lost.
//
//	query.Fleet = view.BoundFleet()
func (view *View) BoundFleet() string {
	if len(view.Stores) == 0 {
		return ""
	}
	return view.Fleet
}

// RoleLeaseOf returns the lease on a role, without a holder if the role was never leased.
//
//	lease := view.RoleLeaseOf("roster")
func (view *View) RoleLeaseOf(key string) RoleLease {
	for _, lease := range view.RoleLeases {
		if lease.Key == key {
			return lease
		}
	}
	return RoleLease{Key: key}
}

// ReplicationFactor returns the number of replicas of each session log group.
//
//	names := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
func (view *View) ReplicationFactor() int {
	if view.Replicas == 0 {
		return placement.DefaultReplicas
	}
	return int(view.Replicas)
}

// PlacementCandidates returns the stores on which replicas may be placed.
//
//	names := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
func (view *View) PlacementCandidates() []placement.Candidate {
	return PlacementCandidates(view.Stores)
}

// PlacementCandidates returns the stores on which replicas may be placed: all that are not being
// decommissioned.
//
//	candidates := feed.PlacementCandidates(view.FoundingStores)
func PlacementCandidates(members []Member) []placement.Candidate {
	candidates := []placement.Candidate{}
	for _, member := range ViewReplicas(members) {
		candidates = append(candidates, placement.Candidate{Name: member.Name, Domain: member.Domain})
	}
	return candidates
}

// ViewReplicas returns the stores that replicate the view: all that are not being
// decommissioned. A command is acknowledged once a majority of them has synced it.
//
//	majority := len(feed.ViewReplicas(view.Stores))/2 + 1
func ViewReplicas(stores []Member) []Member {
	return slices.DeleteFunc(slices.Clone(stores), func(store Member) bool {
		return store.State == StateDecommissioning || store.State == StateDecommissioned
	})
}

// AddressOf returns the address of the listed store or control node with a name, empty if there
// is none.
//
//	address := view.AddressOf(name)
func (view *View) AddressOf(name string) string {
	for member := range view.Members() {
		if member.Name == name {
			return member.Address
		}
	}
	return ""
}

// Members iterates over the listed stores, then the control nodes.
//
//	for member := range view.Members() { ... }
func (view *View) Members() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, member := range view.Stores {
			if !yield(member) {
				return
			}
		}
		for _, member := range view.Controls {
			if !yield(member) {
				return
			}
		}
	}
}
