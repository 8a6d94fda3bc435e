package feed

import (
	"bytes"
	"iter"
	"slices"

	"yardrock.example/system/placement"
)

// View is everything in force at one number of the feed. A view and what it refers to are
// immutable: Fold makes a new one.
type View struct {
	// Fleet identifies the fleet; it is a digest of the founding control nodes' names.
	Fleet string `capnp:"fleet"`
	// Number is that of the last change folded in, 0 for no view.
	Number uint64 `capnp:"number"`
	// ConfigNumber is that of the change which brought the config, 0 if there is none.
	ConfigNumber uint64 `capnp:"configNumber"`
	// Source is the config as its operator wrote it, Compiled the form that nodes decode.
	Source   string `capnp:"source"`
	Compiled []byte `capnp:"compiled"`
	// Domains are those that were ever drained. A domain that is not listed serves.
	Domains []Domain `capnp:"domains"`
	// Runners are the platform's runners, sorted by address, then by life.
	Runners []Runner `capnp:"runners"`
	// FoundingStores are the first store list, from which groups were first placed.
	FoundingStores []Member `capnp:"foundingStores"`
	// Stores are the store list, on which the replicas of session logs are placed.
	Stores []Member `capnp:"stores"`
	// Controls are the voters of the control group.
	Controls []Member `capnp:"controls"`
	// RoleLeases are the leases on singleton roles, one for each role ever leased.
	RoleLeases []RoleLease `capnp:"assignments"`
	// Groups is the number of session log groups, fixed when the fleet is founded.
	Groups uint32 `capnp:"groups"`
	// Replicas is how many replicas a group has, fixed when the fleet is founded; 0 is
	// placement.DefaultReplicas. ReplicationFactor resolves it.
	Replicas uint32 `capnp:"copies"`
	// Founding are the names of the control nodes that founded the fleet, sorted.
	Founding []string `capnp:"founding"`
	// Decommissioned are the last maxDecommissioned stores that left the store list empty.
	Decommissioned []Member `capnp:"retired"`
	// RoutingRequests remember the last routing requests by their revisions, AdminRequests all
	// other admin requests by the numbers of their changes.
	RoutingRequests RequestHistory `capnp:"routingOrders"`
	AdminRequests   RequestHistory `capnp:"feedOrders"`
}

// EqualExceptObservations reports whether two views differ in nothing but what observations
// bring (runners and role leases) and their numbers. Replicas is not compared: it is fixed when
// the fleet is founded. A new field that commands change must be added here.
//
//	if view.EqualExceptObservations(previous) { ... }
func (view *View) EqualExceptObservations(other *View) bool {
	return view.RoutingRequests.equal(&other.RoutingRequests) && view.AdminRequests.equal(&other.AdminRequests) &&
		view.Fleet == other.Fleet && view.ConfigNumber == other.ConfigNumber && view.Groups == other.Groups && view.Source == other.Source &&
		bytes.Equal(view.Compiled, other.Compiled) && slices.Equal(view.Domains, other.Domains) && slices.Equal(view.Founding, other.Founding) &&
		slices.Equal(view.Decommissioned, other.Decommissioned) && slices.Equal(view.FoundingStores, other.FoundingStores) && slices.Equal(view.Stores, other.Stores) && slices.Equal(view.Controls, other.Controls)
}

// DomainDrained reports whether a domain was drained and so gets no new work.
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
// decommissioned. Its machine may be switched off, so only an operator enrols it again.
//
//	if view.WasDecommissioned(member) { continue }
func (view *View) WasDecommissioned(store Member) bool {
	return slices.ContainsFunc(view.Decommissioned, store.replaces)
}

// BoundFleet returns the name of the fleet that a node with this view belongs to for good,
// empty if none yet. Before there is a store list nothing can have been acknowledged, and
// a control plane that has just founded a fleet may still find that it belongs to an older
// fleet whose control disks were lost.
//
//	query.Fleet = view.BoundFleet()
func (view *View) BoundFleet() string {
	if len(view.Stores) == 0 {
		return ""
	}
	return view.Fleet
}

// RoleLeaseOf returns the lease on a role; it has no holder if the role was never leased.
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

// ReplicationFactor returns how many replicas each session log group has.
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

// PlacementCandidates returns those of the stores on which replicas may be placed: all that
// are not being decommissioned.
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
// decommissioned. A change other than an observation is acknowledged once a majority of them
// has synced it.
//
//	majority := len(feed.ViewReplicas(view.Stores))/2 + 1
func ViewReplicas(stores []Member) []Member {
	return slices.DeleteFunc(slices.Clone(stores), func(store Member) bool {
		return store.State == StateDecommissioning || store.State == StateDecommissioned
	})
}

// AddressOf returns the address of an enrolled store or control node, empty if there is none
// of that name.
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

// Members iterates over the enrolled stores, then the control nodes.
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
