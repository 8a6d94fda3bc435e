package feedclient

import (
	"context"
	"slices"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// maxStoreRounds bounds how often pollStores asks: once more after a view whose store list is
// another one.
const maxStoreRounds = 2

// pollStores adopts the newest view that a majority of the stores that replicate views has
// synced, and counts it as confirmed if the stores asked are those that it lists.
func (client *Client) pollStores() {
	for range maxStoreRounds {
		sentAt, stores := time.Now(), feed.ViewReplicas(client.view.Load().Stores)
		newest := client.newestViewAtStores(stores)
		if newest == nil || !client.Adopt(newest) {
			return
		}
		// A change is acknowledged only after a majority of the list synced it, and two
		// majorities of one list have a store in common: what was acknowledged before the
		// round is not newer than the newest that a majority reported. Of another list they
		// need not have one, so that is asked in its turn.
		if slices.EqualFunc(stores, feed.ViewReplicas(newest.Stores), sameStore) {
			client.extendFreshness(sentAt)
			return
		}
	}
}

// sameStore reports whether two members are the same incarnation of a store.
func sameStore(left, right feed.Member) bool { return left.Name == right.Name }

// newestViewAtStores returns the newest view that a majority of stores reported, or that of the
// client if none is newer; nil if no majority answered. The requests are cancelled when it
// returns; their goroutines are not waited for.
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

// newestViewAt asks a store for the view that it has if that is newer; nil without a reply.
func (client *Client) newestViewAt(ctx context.Context, store feed.Member, view *feed.View) *wire.NewestViewReply {
	reply, err := client.rpc.Call(ctx, store.Address, &wire.Query{Fleet: view.BoundFleet(), To: store.Name, Which: schema.Query_Which_newest, NewestView: &wire.NewestViewQuery{After: view.Number, Packed: true}})
	if err != nil {
		return nil
	}
	return reply.NewestView
}
