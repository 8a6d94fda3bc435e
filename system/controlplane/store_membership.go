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

const (
	// recoveredNumberStep is how far a recovered feed jumps ahead, so that no number
	// that was given out but not acknowledged is ever given out again.
	recoveredNumberStep = 1_000_000
)

// unlistedStores gives the stores that were heard just now and are not in the list.
func (node *Node) unlistedStores(view *feed.View) []feed.Member {
	return slices.DeleteFunc(node.LiveMembers(), func(member feed.Member) bool {
		listed := slices.ContainsFunc(view.Stores, func(store feed.Member) bool { return store.Name == member.Name })
		return member.Role != feed.RoleStore || listed || view.WasDecommissioned(member) || node.isSilent(member.Name, suspectTimeout)
	})
}

// replaceWipedStores puts a wiped machine's new identity into the place of its lost
// one: same address, another disk.
func (node *Node) replaceWipedStores(ctx context.Context) {
	view := node.View()
	next := slices.Clone(view.Stores)
	for _, fresh := range node.unlistedStores(view) {
		at := slices.IndexFunc(next, func(store feed.Member) bool { return store.Address == fresh.Address })
		if at >= 0 && node.isSilent(next[at].Name, livenessTimeout) {
			node.replaceStore(next, at, fresh)
		}
	}
	node.proposeStores(ctx, view, next)
}

func (node *Node) replaceStore(stores []feed.Member, at int, fresh feed.Member) {
	log.WithFields(log.Fields{"node": node.Name(), "lost": stores[at].Name, "store": fresh.Name}).Info("store_replaced")
	fresh.State = stores[at].State // it is emptied whatever disk it has
	stores[at] = fresh
}

func (node *Node) proposeStores(ctx context.Context, view *feed.View, next []feed.Member) {
	if !slices.Equal(next, view.Stores) {
		node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeStores, By: node.Name(), Expects: true, Expected: view.Number, Members: next})
	}
}

// autoEnrolStores keeps the store list by itself: a new store takes the place of one of its
// domain that is silent, or, once there has been time to notice such a one, is added; one that is lost goes, as long as enough others are
// there. Groups then move by their own leaders, who give nothing up before they have made
// up for it; so a store that was given up too early has cost no more than some copying.
func (node *Node) autoEnrolStores(ctx context.Context) {
	view := node.View()
	if len(view.Stores) == 0 {
		return
	}
	next := slices.Clone(view.Stores)
	for _, fresh := range node.unlistedStores(view) {
		if slices.ContainsFunc(next, func(store feed.Member) bool { return store.Address == fresh.Address }) {
			continue // replaceWipedStores decides
		}
		silent := func(timeout time.Duration) int {
			return slices.IndexFunc(next, func(store feed.Member) bool {
				return store.Domain == fresh.Domain && store.State != feed.StateDecommissioning && node.isSilent(store.Name, timeout)
			})
		}
		if at := silent(replaceableTimeout); at >= 0 {
			node.replaceStore(next, at, fresh)
		} else if node.knownFor(fresh.Name) >= suspectTimeout && silent(suspectTimeout) < 0 {
			log.WithFields(log.Fields{"node": node.Name(), "store": fresh.Name}).Info("store_enrolled")
			next = append(next, fresh)
		}
	}
	reachable := 0
	for _, candidate := range feed.PlacementCandidates(next) {
		if !node.isSilent(candidate.Name, replaceableTimeout) {
			reachable++
		}
	}
	if reachable >= view.ReplicationFactor() {
		next = slices.DeleteFunc(next, func(store feed.Member) bool {
			lost := store.State != feed.StateDecommissioning && node.isSilent(store.Name, lostTimeout)
			if lost {
				log.WithFields(log.Fields{"node": node.Name(), "store": store.Name}).Info("store_removed")
			}
			return lost
		})
	}
	node.proposeStores(ctx, view, next)
}

// EnrolStore puts a live store that has a session into the store list, and returns once
// that is acknowledged; so it does if the store is listed already.
//
//	reply, err := node.EnrolStore(ctx, "root", "store-…")
func (node *Node) EnrolStore(ctx context.Context, by, name string) (*wire.ChangeReply, error) {
	request := newAdminRequest(by, nil, "enrol", name)
	return node.execute(ctx, func(view *feed.View) (decision, error) {
		return request.decide(view, nil, func() (*feed.Change, error) { return node.planEnrol(view, name) })
	})
}

// planEnrol makes the change that lists a store, none if it is listed already.
func (node *Node) planEnrol(view *feed.View, name string) (*feed.Change, error) {
	at := slices.IndexFunc(view.Stores, hasName(name))
	if at >= 0 && view.Stores[at].State != feed.StateDecommissioning {
		return nil, nil
	}
	live := node.LiveMembers()
	found := slices.IndexFunc(live, func(member feed.Member) bool { return member.Name == name && member.Role == feed.RoleStore })
	if found < 0 {
		return nil, apierror.New(apierror.NotFound, "no store named "+name+" has a session", "start it with the seeds of this fleet; the fleet query lists who is there")
	}
	next, member := slices.Clone(view.Stores), live[found]
	if at >= 0 {
		next[at] = member
		return &feed.Change{Kind: feed.ChangeStores, Expects: true, Expected: view.Number, Members: next}, nil
	}
	if other := slices.IndexFunc(next, func(store feed.Member) bool { return store.Address == member.Address }); other >= 0 {
		return nil, apierror.New(apierror.Conflict, "the address "+member.Address+" belongs to "+next[other].Name, "retire that store first, or use another address")
	}
	return &feed.Change{Kind: feed.ChangeStores, Expects: true, Expected: view.Number, Members: append(next, member)}, nil
}
