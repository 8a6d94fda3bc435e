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

// awaitStores waits until a majority of the given stores has synced a number, and returns false
// if the context ends first. With no stores it returns true: before there is a store list, a
// change is acknowledged by its commit alone. The pushes that it starts run in the background,
// bounded by the node's context and callTimeout.
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
// command, and returns once each push has finished or timed out. Stores also follow the feed on
// their own and report the number that they have synced.
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

// pushView sends a store the changes since the number that it has synced. It sends the full
// view if the history does not reach back that far or the store cannot fold the changes.
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
	// On an error the store's synced number stays, so the next push sends the view again.
	_ = node.sendView(ctx, state, store, &wire.ReplicateViewQuery{PackedView: node.views.Get(state.view)})
}

// sendView has a store sync a view, and records the store's synced number.
func (node *Node) sendView(ctx context.Context, state *feedState, store string, query *wire.ReplicateViewQuery) error {
	address := node.addressOf(store)
	_, err := node.client.Call(ctx, address, &wire.Query{Fleet: state.view.Fleet, To: store, Which: schema.Query_Which_hold, ReplicateView: query})
	switch {
	case err == nil:
		node.recordSynced(store, state.view.Number)
	case ctx.Err() != nil:
		node.client.Drop(address) // the connection may be dead; the next call opens a new one
	}
	return err
}

// recordSynced records the number up to which a store has synced the feed. A lower number than
// the recorded one is ignored.
func (node *Node) recordSynced(store string, number uint64) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.syncedNumbers[store] < number {
		node.syncedNumbers[store] = number
		close(node.syncedChanged)
		node.syncedChanged = make(chan struct{})
	}
}
