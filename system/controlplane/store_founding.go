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

// foundStoreList makes the first store list once enough stores have sessions. If a
// store already holds a view, this control plane has lost its disks, and takes
// what a majority of that view's stores hold instead.
func (node *Node) foundStoreList(ctx context.Context) {
	view := node.View()
	if len(view.Stores) > 0 || view.Number == 0 {
		return
	}
	stores := []feed.Member{}
	for _, member := range node.LiveMembers() {
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
		node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeStores, By: node.Name(), Expects: true, Expected: view.Number, Members: stores})
	}
}

// storesSettled tells that no store has come lately, so that a list that is made now need not be
// changed at once.
func (node *Node) storesSettled(stores []feed.Member) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return !slices.ContainsFunc(stores, func(store feed.Member) bool {
		return time.Since(node.liveness[store.Name].firstHeard) < foundingQuietPeriod
	})
}

// fetchNewestForeignView asks stores for the newest view that each has synced of a fleet that is
// not this one's. A store whose own control plane is alive is left out.
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

func (node *Node) recoverFeed(ctx context.Context, recovered feed.View, answered []string) {
	heard, replicas := 0, feed.ViewReplicas(recovered.Stores)
	for _, store := range replicas {
		if slices.Contains(answered, store.Name) {
			heard++
		}
	}
	if heard < len(replicas)/2+1 {
		log.WithFields(log.Fields{"node": node.Name(), "number": recovered.Number, "heard": heard, "of": len(replicas)}).Warn("recovery_waits_for_stores")
		return
	}
	view := node.View()
	recovered.Number += recoveredNumberStep
	recovered.Controls, recovered.Founding = view.Controls, view.Founding
	log.WithFields(log.Fields{"node": node.Name(), "fleet": recovered.Fleet, "number": recovered.Number}).Info("feed_recovered")
	node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeRecovered, By: node.Name(), View: recovered})
}
