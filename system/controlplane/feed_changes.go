package controlplane

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Change commits one change and waits until it is acknowledged: synced by a
// control majority and, if it was ordered, by a majority of the store list.
//
//	reply, err := node.Change(ctx, feed.Change{Kind: feed.ChangeDomain, Domain: feed.Domain{Name: "east", State: feed.Emptied}})
func (node *Node) Change(ctx context.Context, change feed.Change) (*wire.ChangeReply, error) {
	reply, err := node.handleChange(ctx, &wire.Query{Which: schema.Query_Which_change, Change: &wire.ChangeQuery{Change: change}})
	if err != nil {
		return nil, err
	}
	return reply.Change, nil
}

func (node *Node) handleChange(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	if query.Change.AwaitView == 0 {
		compact := *query
		compact.Change = &wire.ChangeQuery{Change: compactForLog(node.View(), query.Change.Change)}
		query = &compact
	}
	if !node.IsLeader() {
		reply, err := node.forwardToLeader(ctx, query)
		if apierror.Is(err, apierror.Unavailable) && !apierror.Of(err).NeverSent {
			return nil, unclearChangeError()
		}
		return reply, err
	}
	if query.Change.AwaitView > 0 {
		return node.handleAwait(ctx, query.Change.AwaitView)
	}
	change := query.Change.Change
	change.At = time.Now().UnixNano()
	outcomes, err := node.host.Propose(ctx, controlGroup, [][]byte{wire.MustEncode(schema.Change_TypeID, &change)})
	if apierror.Is(err, apierror.OutcomeUnknown) {
		return nil, unclearChangeError()
	}
	if err != nil {
		return nil, err
	}
	outcome := outcomes[0].(changeOutcome)
	if outcome.err != nil {
		return nil, outcome.err
	}
	answer := &wire.ChangeReply{Number: outcome.number}
	if change.Kind.IsObservation() {
		answer.Acknowledged = true
		return &wire.Reply{Which: schema.Reply_Which_change, Change: answer}, nil
	}
	answer.Acknowledged = node.awaitStores(ctx, outcome.number, feed.ViewReplicas(outcome.storesBefore)) && node.awaitStores(ctx, outcome.number, feed.ViewReplicas(node.View().Stores))
	return &wire.Reply{Which: schema.Reply_Which_change, Change: answer}, nil
}

// AwaitAcknowledged waits until a change that was taken is acknowledged: a control majority and a
// store majority hold the view of its number, or a newer one.
//
//	reply, err := node.AwaitAcknowledged(ctx, view.ConfigNumber)
func (node *Node) AwaitAcknowledged(ctx context.Context, number uint64) (*wire.ChangeReply, error) {
	reply, err := node.handleChange(ctx, &wire.Query{Which: schema.Query_Which_change, Change: &wire.ChangeQuery{AwaitView: number}})
	if err != nil {
		return nil, err
	}
	return reply.Change, nil
}

func (node *Node) handleAwait(ctx context.Context, number uint64) (*wire.Reply, error) {
	if err := node.host.Read(ctx, controlGroup); err != nil {
		return nil, err
	}
	state := node.stateMachine.state()
	if state.view.Number < number {
		return nil, apierror.New(apierror.Conflict, fmt.Sprintf("number %d was never given", number), "read what is in force and decide anew")
	}
	answer := &wire.ChangeReply{Number: number, Acknowledged: node.awaitStores(ctx, min(number, state.newestCommand), feed.ViewReplicas(state.view.Stores))}
	return &wire.Reply{Which: schema.Reply_Which_change, Change: answer}, nil
}

func unclearChangeError() error {
	return apierror.New(apierror.OutcomeUnknown, "the change may or may not have been taken", "read back what is in force, then decide whether to send it again with the number expected")
}

// awaitStores waits until a majority of the stores has synced a number.
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

// pushViews gives the newest view to every store that is not known to have synced the
// newest order. Stores follow the feed themselves, and tell so how far they are.
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

// pushView gives a store the changes since the number that it holds, or the whole view if
// they are not kept or do not fit.
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
	_ = node.sendView(ctx, state, store, &wire.ReplicateViewQuery{PackedView: node.views.Get(state.view)})
}

// sendView has a store sync a view.
func (node *Node) sendView(ctx context.Context, state *feedState, store string, query *wire.ReplicateViewQuery) error {
	address := node.addressOf(store)
	_, err := node.caller.Call(ctx, address, &wire.Query{Fleet: state.view.Fleet, To: store, Which: schema.Query_Which_hold, ReplicateView: query})
	switch {
	case err == nil:
		node.noteSynced(store, state.view.Number)
	case ctx.Err() != nil:
		node.caller.Drop(address)
	}
	return err
}

// noteSynced remembers up to which number a store has synced what was ordered.
func (node *Node) noteSynced(store string, number uint64) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.syncedNumbers[store] < number {
		node.syncedNumbers[store] = number
		close(node.syncedChanged)
		node.syncedChanged = make(chan struct{})
	}
}

// reconcileFleet is what the control leader does for the fleet. It tells when it is due again:
// soon, while something is being changed.
func (node *Node) reconcileFleet() time.Duration {
	if !node.IsLeader() {
		return reconcileInterval
	}
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	busy := node.reconcileVoters(ctx)
	node.foundStoreList(ctx)
	node.replaceWipedStores(ctx)
	if node.settings.AutoEnrol {
		node.autoEnrolStores(ctx)
	}
	node.updateAddresses(ctx)
	node.pushViews()
	if busy {
		return busyInterval
	}
	return reconcileInterval
}

func (node *Node) proposeOrLog(ctx context.Context, change feed.Change) {
	if _, err := node.Change(ctx, change); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "kind": change.Kind, "error": err.Error()}).Warn("change_refused")
	}
}

// updateAddresses carries a member's new address into the lists.
func (node *Node) updateAddresses(ctx context.Context) {
	live := map[string]feed.Member{}
	for _, member := range node.LiveMembers() {
		live[member.Name] = member
	}
	view := node.View()
	for kind, members := range map[feed.ChangeKind][]feed.Member{feed.ChangeStores: view.Stores, feed.ChangeControls: view.Controls} {
		next := slices.Clone(members)
		for position, member := range next {
			if now, found := live[member.Name]; found {
				now.State = member.State
				next[position] = now
			}
		}
		if len(next) > 0 && !slices.Equal(next, members) {
			node.proposeOrLog(ctx, feed.Change{Kind: kind, By: node.Name(), Expects: true, Expected: view.Number, Members: next})
			return
		}
	}
}
