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

// recoveredNumberStep is how many numbers a recovered feed skips, so that no number that was
// assigned but not acknowledged is ever assigned again.
const recoveredNumberStep = 1_000_000

// storeQuietPeriod is the time without newly discovered stores after which the first store list
// is created if Settings.AutoEnrol is set.
const storeQuietPeriod = 700 * time.Millisecond

// createStoreList proposes the first store list once enough stores are live. If a store has
// synced a view of another fleet, this control plane has lost its disks, and it instead recovers
// the feed from what a majority of that view's stores has synced.
func (node *Node) createStoreList(ctx context.Context) {
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

// storesSettled reports whether no store was discovered within storeQuietPeriod, so that a list
// created now need not change at once.
func (node *Node) storesSettled(stores []feed.Member) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return !slices.ContainsFunc(stores, func(store feed.Member) bool {
		return time.Since(node.liveness[store.Name].firstHeard) < storeQuietPeriod
	})
}

// fetchNewestForeignView queries stores for the newest view that they have synced of a fleet
// other than this one, and returns the newest of all and the names of the stores that answered.
// Stores of another fleet whose control plane is alive are left out.
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
			if foreign && reply.NewestView.ControlConfirmed {
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

// recoverFeed proposes that the feed continues from a view that stores have synced, if a majority
// of that view's stores answered: then no acknowledged change is missing.
func (node *Node) recoverFeed(ctx context.Context, recovered feed.View, answered []string) {
	// Every acknowledged change was synced by a majority of these stores, so every majority of
	// them includes a store that has it.
	answeredCount, replicas := 0, feed.ViewReplicas(recovered.Stores)
	for _, store := range replicas {
		if slices.Contains(answered, store.Name) {
			answeredCount++
		}
	}
	if answeredCount < len(replicas)/2+1 {
		log.WithFields(log.Fields{"node": node.Name(), "number": recovered.Number, "heard": answeredCount, "of": len(replicas)}).Warn("recovery of the feed is waiting for a majority of its stores")
		return
	}
	view := node.View()
	recovered.Number += recoveredNumberStep
	recovered.Controls, recovered.Founding = view.Controls, view.Founding
	log.WithFields(log.Fields{"node": node.Name(), "fleet": recovered.Fleet, "number": recovered.Number}).Info("recovering the feed from the stores")
	node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeRecovered, By: node.Name(), View: recovered})
}
