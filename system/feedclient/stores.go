package feedclient

import (
	"context"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// pollStores takes the newest view of a store majority; that majority meets every
// one that a change was acknowledged by.
func (client *Client) pollStores() {
	sentAt, view := time.Now(), client.view.Load()
	stores := feed.ViewReplicas(view.Stores)
	if len(stores) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(client.context, requestTimeout)
	defer cancel()
	answers := make(chan *wire.NewestViewReply, len(stores))
	for _, store := range stores {
		go func() {
			reply, err := client.rpc.Call(ctx, store.Address, &wire.Query{Fleet: view.BoundFleet(), To: store.Name, Which: schema.Query_Which_newest, NewestView: &wire.NewestViewQuery{After: view.Number, Packed: true}})
			if err != nil {
				answers <- nil
				return
			}
			answers <- reply.NewestView
		}()
	}
	answered, newest := 0, view
	for range stores {
		answer := <-answers
		if answer == nil {
			continue
		}
		if answer.Number > newest.Number {
			full, err := answer.FullView()
			if err != nil {
				continue // as if it had not answered
			}
			newest = full
		}
		answered++
		if answered >= len(stores)/2+1 {
			break
		}
	}
	if answered < len(stores)/2+1 {
		return
	}
	client.Adopt(newest)
	if newest == view {
		client.extendFreshness(sentAt)
	}
}
