package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// recoveredNumberStep is how far a recovered feed jumps ahead, so that no number that was given
// out but not acknowledged is ever given out again.
const recoveredNumberStep = 1_000_000

// foundingQuietPeriod is how long no store may have been discovered before the first list is
// made.
const foundingQuietPeriod = 700 * time.Millisecond

// foundStoreList makes the first store list once enough stores are live. If a store has
// synced a view of another fleet, this control plane has lost its disks, and recovers the
// feed from what a majority of that view's stores has synced instead.
func (node *Node) foundStoreList(ctx context.Context) {
	view := node.View()
	if len(view.Stores) > 0 || view.Number == 0 {
		return
	}
	stores := []feed.Member{}
	for _, member := range node.liveMembers() {
		if member.Role == feed.RoleStore {
			stores = append(stores, member)
		}
	}
	synced, answered := node.fetchNewestForeignView(ctx, stores)
	if synced.Number > 0 {
		node.recoverFeed(ctx, synced, answered)
		return
	}
	if node.settings.AutoEnrol && !node.storesSettled(stores) {
		return
	}
	if len(stores) >= node.settings.FoundingStores && len(answered) == len(stores) {
		change := newStoresChange(view, stores)
		change.By = node.Name()
		node.proposeOrLog(ctx, *change)
	}
}

// storesSettled reports whether no store has been discovered lately, so that a list made now
// need not be changed at once.
func (node *Node) storesSettled(stores []feed.Member) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return !slices.ContainsFunc(stores, func(store feed.Member) bool {
		return time.Since(node.liveness[store.Name].firstHeard) < foundingQuietPeriod
	})
}

// fetchNewestForeignView asks stores for the newest view that they have synced of a fleet
// other than this one, and returns the newest of all with the names of the stores that
// answered. Stores whose own control plane is alive are left out.
func (node *Node) fetchNewestForeignView(ctx context.Context, stores []feed.Member) (feed.View, []string) {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	newest, answered := feed.View{}, []string{}
	for _, store := range stores {
		calls.Go(func() {
			reply, err := node.client.Call(ctx, store.Address, &wire.Query{To: store.Name, Which: schema.Query_Which_newest, NewestView: &wire.NewestViewQuery{Packed: true}})
			if err != nil || reply.NewestView == nil {
				return
			}
			view, err := reply.NewestView.FullView()
			if err != nil {
				return
			}
			foreign := reply.NewestView.Number > 0 && view.Fleet != node.View().Fleet
			if foreign && reply.NewestView.HeardControlQuorum {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			answered = append(answered, store.Name)
			if foreign && reply.NewestView.Number > newest.Number {
				newest = *view
			}
		})
	}
	calls.Wait()
	return newest, answered
}

// recoverFeed proposes a view that stores had synced as the one in force, if a majority of
// that view's stores has answered: then no acknowledged change is missing.
func (node *Node) recoverFeed(ctx context.Context, recovered feed.View, answered []string) {
	// Every acknowledged change was synced by a majority of these stores, so any other majority
	// of them has a store that knows it.
	heard, replicas := 0, feed.ViewReplicas(recovered.Stores)
	for _, store := range replicas {
		if slices.Contains(answered, store.Name) {
			heard++
		}
	}
	if heard < len(replicas)/2+1 {
		log.WithFields(log.Fields{"node": node.Name(), "number": recovered.Number, "heard": heard, "of": len(replicas)}).Warn("recovery of the feed waits for a majority of its stores")
		return
	}
	view := node.View()
	recovered.Number += recoveredNumberStep
	recovered.Controls, recovered.Founding = view.Controls, view.Founding
	log.WithFields(log.Fields{"node": node.Name(), "fleet": recovered.Fleet, "number": recovered.Number}).Info("recovering the feed from the stores")
	node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeRecovered, By: node.Name(), View: recovered})
}
