package feed

import (
	"bytes"
	"iter"
	"slices"

	"yardrock.example/system/placement"
)

// View is everything in force at one number.
type View struct {
	Fleet          string      `capnp:"fleet"`
	Number         uint64      `capnp:"number"`
	ConfigNumber   uint64      `capnp:"configNumber"`
	Source         string      `capnp:"source"`
	Compiled       []byte      `capnp:"compiled"`
	Domains        []Domain    `capnp:"domains"`
	Runners        []Runner    `capnp:"runners"`
	FoundingStores []Member    `capnp:"foundingStores"`
	Stores         []Member    `capnp:"stores"`
	Controls       []Member    `capnp:"controls"`
	RoleLeases     []RoleLease `capnp:"assignments"`
	Groups         uint32      `capnp:"groups"`
	// Replicas is how many replicas a group has, fixed when the fleet is founded; 0 is
	// placement.Factor.
	Replicas uint32   `capnp:"copies"`
	Founding []string `capnp:"founding"`
	// Retired are the stores that were emptied and have left the list, the last of them.
	Decommissioned []Member `capnp:"retired"`
	// RoutingRequests are the last orders of the routing, numbered by its revisions;
	// AdminRequests the last others, numbered by the changes that they became.
	RoutingRequests RequestHistory `capnp:"routingOrders"`
	AdminRequests   RequestHistory `capnp:"feedOrders"`
}

// EqualExceptObservations tells whether two views differ at most in what observed changes bring.
//
//	if view.EqualExceptObservations(held) { ... }
func (view *View) EqualExceptObservations(other *View) bool {
	return view.RoutingRequests.equal(&other.RoutingRequests) && view.AdminRequests.equal(&other.AdminRequests) &&
		view.Fleet == other.Fleet && view.ConfigNumber == other.ConfigNumber && view.Groups == other.Groups && view.Source == other.Source &&
		bytes.Equal(view.Compiled, other.Compiled) && slices.Equal(view.Domains, other.Domains) && slices.Equal(view.Founding, other.Founding) &&
		slices.Equal(view.Decommissioned, other.Decommissioned) && slices.Equal(view.FoundingStores, other.FoundingStores) && slices.Equal(view.Stores, other.Stores) && slices.Equal(view.Controls, other.Controls)
}

// DomainDrained tells whether a domain takes no new work.
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

// WasDecommissioned tells whether a store, or another one of its machine, was emptied and has left
// the list: its machine may be switched off, and is not to be enrolled again by itself.
//
//	if view.WasDecommissioned(member) { continue }
func (view *View) WasDecommissioned(store Member) bool {
	return slices.ContainsFunc(view.Decommissioned, store.replaces)
}

// BoundFleet names the fleet that a node with this view belongs to for good. Until there
// is a store list nothing was acknowledged, and the control plane that founded the
// fleet may still find that it is the one of an older fleet that lost its disks.
//
//	query.Fleet = view.BoundFleet()
func (view *View) BoundFleet() string {
	if len(view.Stores) == 0 {
		return ""
	}
	return view.Fleet
}

// RoleLeaseOf finds who holds an assignment.
//
//	assignment := view.RoleLeaseOf("roster")
func (view *View) RoleLeaseOf(key string) RoleLease {
	for _, lease := range view.RoleLeases {
		if lease.Key == key {
			return lease
		}
	}
	return RoleLease{Key: key}
}

// ReplicationFactor is how many replicas a group has.
//
//	names := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
func (view *View) ReplicationFactor() int {
	if view.Replicas == 0 {
		return placement.DefaultReplicas
	}
	return int(view.Replicas)
}

// PlacementCandidates lists the stores that replicas may be put on.
//
//	names := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
func (view *View) PlacementCandidates() []placement.Candidate {
	return PlacementCandidates(view.Stores)
}

// PlacementCandidates turns members into places, leaving out those that go away.
//
//	places := feed.PlacementCandidates(view.FoundingStores)
func PlacementCandidates(members []Member) []placement.Candidate {
	candidates := []placement.Candidate{}
	for _, member := range ViewReplicas(members) {
		candidates = append(candidates, placement.Candidate{Name: member.Name, Domain: member.Domain})
	}
	return candidates
}

// ViewReplicas are the stores of which a majority keeps what was ordered: those that stay.
//
//	majority := len(feed.ViewReplicas(view.Stores))/2 + 1
func ViewReplicas(stores []Member) []Member {
	return slices.DeleteFunc(slices.Clone(stores), func(store Member) bool {
		return store.State == StateDecommissioning || store.State == StateDecommissioned
	})
}

// AddressOf finds a store's or control node's address.
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

// Members iterates over the enrolled stores and control nodes.
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
