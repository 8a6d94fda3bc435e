package controlplane

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// awaitStores waits until a majority of the given stores has synced a number, and reports
// false if the context ends first. No stores are a majority of themselves: before there is a
// store list a change is acknowledged by its commit. The pushes that it starts are ended by the
// node's context and by callTimeout; nobody waits for them.
func (node *Node) awaitStores(ctx context.Context, number uint64, stores []feed.Member) bool {
	for {
		node.mutex.Lock()
		changed, synced := node.syncedChanged, 0
		for _, store := range stores {
			if node.syncedNumbers[store.Name] >= number {
				synced++
			}
		}
		node.mutex.Unlock()
		if len(stores) == 0 || synced >= len(stores)/2+1 {
			return true
		}
		go node.pushViews()
		select {
		case <-changed:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// pushViews sends the newest view to every store that is not known to have synced the newest
// command, and returns once each has answered or callTimeout has passed. Stores follow the feed
// by themselves too, and report how far they are.
func (node *Node) pushViews() {
	state := node.stateMachine.state()
	var pushes sync.WaitGroup
	for _, store := range state.view.Stores {
		node.mutex.Lock()
		synced := node.syncedNumbers[store.Name]
		node.mutex.Unlock()
		if synced < state.newestCommand {
			pushes.Go(func() { node.pushView(state, store.Name, synced) })
		}
	}
	pushes.Wait()
}

// pushView sends a store the changes since the number that it has synced. It sends the
// complete view if the history does not reach back so far, or if the store cannot fold them.
func (node *Node) pushView(state *feedState, store string, synced uint64) {
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	changes, complete := state.history.Since(state.view, synced)
	if synced > 0 && complete && len(changes) > 0 {
		err := node.sendView(ctx, state, store, &wire.ReplicateViewQuery{Changes: changes})
		if !apierror.Is(err, apierror.Conflict) {
			return
		}
	}
	// An error leaves the store's number as it is, so the next round sends again.
	_ = node.sendView(ctx, state, store, &wire.ReplicateViewQuery{PackedView: node.views.Get(state.view)})
}

// sendView has a store sync a view, and records that it did.
func (node *Node) sendView(ctx context.Context, state *feedState, store string, query *wire.ReplicateViewQuery) error {
	address := node.addressOf(store)
	_, err := node.client.Call(ctx, address, &wire.Query{Fleet: state.view.Fleet, To: store, Which: schema.Query_Which_hold, ReplicateView: query})
	switch {
	case err == nil:
		node.recordSynced(store, state.view.Number)
	case ctx.Err() != nil:
		node.client.Drop(address) // the connection may be dead, and the next call needs a new one
	}
	return err
}

// recordSynced records up to which number a store has synced the feed.
func (node *Node) recordSynced(store string, number uint64) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.syncedNumbers[store] < number {
		node.syncedNumbers[store] = number
		close(node.syncedChanged)
		node.syncedChanged = make(chan struct{})
	}
}
