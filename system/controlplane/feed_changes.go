package controlplane

import (
	"context"
	"fmt"
	"time"

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
