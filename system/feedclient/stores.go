package feedclient

import (
	"context"
	"slices"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// maxStoreRounds bounds the rounds of pollStores: it asks once more after it adopted a view with
// another store list.
const maxStoreRounds = 2

// pollStores adopts the newest view that any of a majority of the stores that replicate views
// reports, and counts it as confirmed if the stores asked are those that it lists.
func (client *Client) pollStores() {
	for range maxStoreRounds {
		sentAt, stores := time.Now(), feed.ViewReplicas(client.view.Load().Stores)
		newest := client.newestViewAtStores(stores)
		if newest == nil || !client.Adopt(newest) {
			return
		}
		// A change is acknowledged only after a majority of the store list synced it, and two
		// majorities of one list intersect. So a change acknowledged before the round is not
		// newer than the newest view that a majority reported. Majorities of different lists
		// need not intersect, so after a change of the list the new one is asked.
		if slices.EqualFunc(stores, feed.ViewReplicas(newest.Stores), sameStore) {
			client.extendFreshness(sentAt)
			return
		}
	}
}

// sameStore reports whether two members have the same name, and so the same disk.
func sameStore(left, right feed.Member) bool { return left.Name == right.Name }

// newestViewAtStores returns the newest view reported by the first majority of stores to reply, or
// the client's view if none is newer; nil if no majority replied. The requests are cancelled
// when it returns; their goroutines are not waited for.
func (client *Client) newestViewAtStores(stores []feed.Member) *feed.View {
	if len(stores) == 0 {
		return nil
	}
	view := client.view.Load()
	ctx, cancel := context.WithTimeout(client.ctx, requestTimeout)
	defer cancel()
	replies := make(chan *wire.NewestViewReply, len(stores))
	for _, store := range stores {
		go func() { replies <- client.newestViewAt(ctx, store, view) }()
	}
	quorum := len(stores)/2 + 1
	answered, newest := 0, view
	for received := 0; received < len(stores) && answered < quorum; received++ {
		reply := <-replies
		if reply == nil {
			continue
		}
		if reply.Number > newest.Number {
			full, err := reply.FullView()
			if err != nil {
				continue // counts as no reply
			}
			newest = full
		}
		answered++
	}
	if answered < quorum {
		return nil
	}
	return newest
}

// newestViewAt asks a store for its view if that is newer than view; nil if the request fails.
func (client *Client) newestViewAt(ctx context.Context, store feed.Member, view *feed.View) *wire.NewestViewReply {
	reply, err := client.rpc.Call(ctx, store.Address, &wire.Query{Fleet: view.BoundFleet(), To: store.Name, Which: schema.Query_Which_newest, NewestView: &wire.NewestViewQuery{After: view.Number, Packed: true}})
	if err != nil {
		return nil
	}
	return reply.NewestView
}
