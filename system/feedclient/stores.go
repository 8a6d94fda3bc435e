package feedclient

import (
	"context"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// pollStores adopts the newest view that a majority of the stores that replicate views has
// synced. A change is acknowledged only after a majority synced it, and two majorities have a
// store in common: if none of them has a newer view than the client's, that one is confirmed.
// The requests are cancelled when it returns; their goroutines are not waited for.
func (client *Client) pollStores() {
	sentAt, view := time.Now(), client.view.Load()
	stores := feed.ViewReplicas(view.Stores)
	if len(stores) == 0 {
		return
	}
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
		return
	}
	client.Adopt(newest)
	// Only a round that finds nothing newer confirms the view; one that was just adopted is
	// confirmed by the next round.
	if newest == view {
		client.extendFreshness(sentAt)
	}
}

// newestViewAt asks a store for the view that it has if that is newer; nil without a reply.
func (client *Client) newestViewAt(ctx context.Context, store feed.Member, view *feed.View) *wire.NewestViewReply {
	reply, err := client.rpc.Call(ctx, store.Address, &wire.Query{Fleet: view.BoundFleet(), To: store.Name, Which: schema.Query_Which_newest, NewestView: &wire.NewestViewQuery{After: view.Number, Packed: true}})
	if err != nil {
		return nil
	}
	return reply.NewestView
}
