package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

// unlistedStores returns the live stores that are not in the store list, except those that are
// suspected or were decommissioned.
func (node *Node) unlistedStores(view *feed.View) []feed.Member {
	return slices.DeleteFunc(node.liveMembers(), func(member feed.Member) bool {
		listed := slices.ContainsFunc(view.Stores, func(store feed.Member) bool { return store.Name == member.Name })
		return member.Role != feed.RoleStore || listed || view.WasDecommissioned(member) || node.isSilent(member.Name, suspectTimeout)
	})
}

// replaceWipedStores replaces a lost store in the store list by one with the same address and a
// new name: the same machine with a wiped disk.
func (node *Node) replaceWipedStores(ctx context.Context) {
	view := node.View()
	next := slices.Clone(view.Stores)
	for _, added := range node.unlistedStores(view) {
		index := slices.IndexFunc(next, func(store feed.Member) bool { return store.Address == added.Address })
		if index >= 0 && node.isSilent(next[index].Name, livenessTimeout) {
			node.replaceStore(next, index, added)
		}
	}
	node.proposeStores(ctx, view, next)
}

// replaceStore replaces the store at an index of a list by a new one.
func (node *Node) replaceStore(stores []feed.Member, index int, added feed.Member) {
	log.WithFields(log.Fields{"node": node.Name(), "lost": stores[index].Name, "store": added.Name}).Info("replacing a lost store")
	added.State = stores[index].State // a decommission continues on the new disk
	stores[index] = added
}

// newStoresChange returns the change that replaces the store list of a view.
func newStoresChange(view *feed.View, stores []feed.Member) *feed.Change {
	return &feed.Change{Kind: feed.ChangeStores, Expects: true, Expected: view.Number, Members: stores}
}

// proposeStores proposes a store list if it differs from that of the view.
func (node *Node) proposeStores(ctx context.Context, view *feed.View, next []feed.Member) {
	if !slices.Equal(next, view.Stores) {
		change := newStoresChange(view, next)
		change.By = node.Name()
		node.proposeOrLog(ctx, *change)
	}
}

// autoEnrolStores reconciles the store list with the live stores without an admin request. The
// groups' leaders then move the replicas and remove none before its replacement is complete, so
// a store that was removed by mistake costs only copying.
func (node *Node) autoEnrolStores(ctx context.Context) {
	view := node.View()
	if len(view.Stores) == 0 {
		return
	}
	next := slices.Clone(view.Stores)
	for _, added := range node.unlistedStores(view) {
		next = node.withNewStore(next, added)
	}
	node.proposeStores(ctx, view, node.withoutLostStores(next, view.ReplicationFactor()))
}

// withNewStore returns a list with a new store, and may modify the list. The store replaces a
// silent one of its domain. If there is none it is appended, once it has been known for long
// enough to detect a silent store.
func (node *Node) withNewStore(stores []feed.Member, added feed.Member) []feed.Member {
	if slices.ContainsFunc(stores, func(store feed.Member) bool { return store.Address == added.Address }) {
		return stores // replaceWipedStores decides
	}
	silent := func(timeout time.Duration) int {
		return slices.IndexFunc(stores, func(store feed.Member) bool {
			return store.Domain == added.Domain && store.State != feed.StateDecommissioning && node.isSilent(store.Name, timeout)
		})
	}
	if index := silent(replaceableTimeout); index >= 0 {
		node.replaceStore(stores, index, added)
	} else if node.knownFor(added.Name) >= suspectTimeout && silent(suspectTimeout) < 0 {
		log.WithFields(log.Fields{"node": node.Name(), "store": added.Name}).Info("adding a store to the store list")
		stores = append(stores, added)
	}
	return stores
}

// withoutLostStores returns a list without the lost stores, and may modify the list. It removes
// none unless enough others are live for all replicas of a group.
func (node *Node) withoutLostStores(stores []feed.Member, replicas int) []feed.Member {
	reachable := 0
	for _, candidate := range feed.PlacementCandidates(stores) {
		if !node.isSilent(candidate.Name, replaceableTimeout) {
			reachable++
		}
	}
	if reachable < replicas {
		return stores
	}
	return slices.DeleteFunc(stores, func(store feed.Member) bool {
		lost := store.State != feed.StateDecommissioning && node.isSilent(store.Name, lostTimeout)
		if lost {
			log.WithFields(log.Fields{"node": node.Name(), "store": store.Name}).Info("removing a lost store from the store list")
		}
		return lost
	})
}

// enrolStore adds a live store to the store list and returns once that is acknowledged. For a
// store that is already listed it waits only for the current view to be acknowledged. The error is
// NotFound if no such store is live, Conflict if its address belongs to another store.
func (node *Node) enrolStore(ctx context.Context, by, name string) (*wire.ChangeReply, error) {
	request := newAdminRequest(by, nil, "enrol", name)
	return node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, nil, func() (*feed.Change, error) { return node.planEnrol(view, name) })
	})
}

// planEnrol returns the change that adds a store to the store list, nil if it is already listed.
// For a store that is being decommissioned, the change cancels the decommission.
func (node *Node) planEnrol(view *feed.View, name string) (*feed.Change, error) {
	index := slices.IndexFunc(view.Stores, hasName(name))
	if index >= 0 && view.Stores[index].State != feed.StateDecommissioning {
		return nil, nil
	}
	live := node.liveMembers()
	liveIndex := slices.IndexFunc(live, func(member feed.Member) bool { return member.Name == name && member.Role == feed.RoleStore })
	if liveIndex < 0 {
		return nil, apierror.New(apierror.NotFound, "no store named "+name+" is live", "start it with the seeds of this fleet; the fleet query lists the live nodes")
	}
	next, member := slices.Clone(view.Stores), live[liveIndex]
	if index >= 0 {
		next[index] = member
		return newStoresChange(view, next), nil
	}
	if other := slices.IndexFunc(next, func(store feed.Member) bool { return store.Address == member.Address }); other >= 0 {
		return nil, apierror.New(apierror.Conflict, "the address "+member.Address+" belongs to store "+next[other].Name, "retire that store first, or use another address")
	}
	return newStoresChange(view, append(next, member)), nil
}
