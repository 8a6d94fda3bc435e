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

// unlistedStores returns the stores that were heard just now and are not in the store list,
// but for those that were decommissioned.
func (node *Node) unlistedStores(view *feed.View) []feed.Member {
	return slices.DeleteFunc(node.liveMembers(), func(member feed.Member) bool {
		listed := slices.ContainsFunc(view.Stores, func(store feed.Member) bool { return store.Name == member.Name })
		return member.Role != feed.RoleStore || listed || view.WasDecommissioned(member) || node.isSilent(member.Name, suspectTimeout)
	})
}

// replaceWipedStores gives the place of a lost store to one with the same address and a new
// name: the same machine with a wiped disk.
func (node *Node) replaceWipedStores(ctx context.Context) {
	view := node.View()
	next := slices.Clone(view.Stores)
	for _, added := range node.unlistedStores(view) {
		at := slices.IndexFunc(next, func(store feed.Member) bool { return store.Address == added.Address })
		if at >= 0 && node.isSilent(next[at].Name, livenessTimeout) {
			node.replaceStore(next, at, added)
		}
	}
	node.proposeStores(ctx, view, next)
}

// replaceStore puts a new store at the place of another one in a list.
func (node *Node) replaceStore(stores []feed.Member, at int, added feed.Member) {
	log.WithFields(log.Fields{"node": node.Name(), "lost": stores[at].Name, "store": added.Name}).Info("replacing a lost store")
	added.State = stores[at].State // a decommission goes on, whatever the disk
	stores[at] = added
}

// newStoresChange makes the change that replaces the store list of a view.
func newStoresChange(view *feed.View, stores []feed.Member) *feed.Change {
	return &feed.Change{Kind: feed.ChangeStores, Expects: true, Expected: view.Number, Members: stores}
}

// proposeStores proposes a store list if it is not the one of the view.
func (node *Node) proposeStores(ctx context.Context, view *feed.View, next []feed.Member) {
	if !slices.Equal(next, view.Stores) {
		change := newStoresChange(view, next)
		change.By = node.Name()
		node.proposeOrLog(ctx, *change)
	}
}

// autoEnrolStores makes the store list follow the live stores without an admin request. The
// groups' own leaders then move the replicas, and give up none before the group has made up
// for it; so a store that was given up by mistake costs only copying.
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

// withNewStore puts a new store into a list, which it may change. The store takes the place of
// one of its domain that is silent; if there is none it is added, once there has been time to
// notice a silent one.
func (node *Node) withNewStore(stores []feed.Member, added feed.Member) []feed.Member {
	if slices.ContainsFunc(stores, func(store feed.Member) bool { return store.Address == added.Address }) {
		return stores // replaceWipedStores decides
	}
	silent := func(timeout time.Duration) int {
		return slices.IndexFunc(stores, func(store feed.Member) bool {
			return store.Domain == added.Domain && store.State != feed.StateDecommissioning && node.isSilent(store.Name, timeout)
		})
	}
	if at := silent(replaceableTimeout); at >= 0 {
		node.replaceStore(stores, at, added)
	} else if node.knownFor(added.Name) >= suspectTimeout && silent(suspectTimeout) < 0 {
		log.WithFields(log.Fields{"node": node.Name(), "store": added.Name}).Info("adding a store to the store list")
		stores = append(stores, added)
	}
	return stores
}

// withoutLostStores removes the lost stores from a list, which it may change, if enough others
// are live for all replicas of a group.
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

// enrolStore adds a live store to the store list and returns once that is acknowledged; if
// the store is listed already it is acknowledged at once. The error is NotFound if no such
// store is live, Conflict if its address belongs to another one.
func (node *Node) enrolStore(ctx context.Context, by, name string) (*wire.ChangeReply, error) {
	request := newAdminRequest(by, nil, "enrol", name)
	return node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, nil, func() (*feed.Change, error) { return node.planEnrol(view, name) })
	})
}

// planEnrol plans the change that lists a store; nil if it is listed already.
func (node *Node) planEnrol(view *feed.View, name string) (*feed.Change, error) {
	at := slices.IndexFunc(view.Stores, hasName(name))
	if at >= 0 && view.Stores[at].State != feed.StateDecommissioning {
		return nil, nil
	}
	live := node.liveMembers()
	found := slices.IndexFunc(live, func(member feed.Member) bool { return member.Name == name && member.Role == feed.RoleStore })
	if found < 0 {
		return nil, apierror.New(apierror.NotFound, "no store named "+name+" has a session", "start it with the seeds of this fleet; the fleet query lists who is there")
	}
	next, member := slices.Clone(view.Stores), live[found]
	if at >= 0 {
		next[at] = member
		return newStoresChange(view, next), nil
	}
	if other := slices.IndexFunc(next, func(store feed.Member) bool { return store.Address == member.Address }); other >= 0 {
		return nil, apierror.New(apierror.Conflict, "the address "+member.Address+" belongs to "+next[other].Name, "retire that store first, or use another address")
	}
	return newStoresChange(view, append(next, member)), nil
}
