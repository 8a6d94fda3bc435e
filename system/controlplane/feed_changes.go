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

// Change proposes one change, forwarding it if another node is the leader, and waits until it
// is acknowledged: committed by a majority of the control group and, unless it is an
// observation, synced by a majority of the stores listed before the change and of those listed
// now. Acknowledged is false if the context ended while waiting for the stores. The error is
// Conflict if the change was rejected, OutcomeUnknown if it may or may not have been committed.
//
//	reply, err := node.Change(ctx, feed.Change{Kind: feed.ChangeDomain, Domain: feed.Domain{Name: "east", State: feed.StateDrained}})
func (node *Node) Change(ctx context.Context, change feed.Change) (*wire.ChangeReply, error) {
	reply, err := node.handleChange(ctx, &wire.Query{Which: schema.Query_Which_change, Change: &wire.ChangeQuery{Change: change}})
	if err != nil {
		return nil, err
	}
	return reply.Change, nil
}

// handleChange executes a change query, forwarding it to the leader if necessary. The query
// either has a change to make or, if AwaitView is not 0, waits for the acknowledgement of the
// change with that number.
func (node *Node) handleChange(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	if query.Change.AwaitView == 0 {
		// Done before forwarding, so that a config is forwarded as a delta.
		compact := *query
		compact.Change = &wire.ChangeQuery{Change: compactForLog(node.View(), query.Change.Change)}
		query = &compact
	}
	if !node.IsLeader() {
		reply, err := node.forwardToLeader(ctx, query)
		if apierror.Is(err, apierror.Unavailable) && !apierror.Of(err).NeverSent {
			return nil, outcomeUnknownError()
		}
		return reply, err
	}
	if query.Change.AwaitView > 0 {
		return node.handleAwaitAcknowledged(ctx, query.Change.AwaitView)
	}
	return node.proposeChange(ctx, query.Change.Change)
}

// proposeChange proposes a change as leader and waits until it is acknowledged.
func (node *Node) proposeChange(ctx context.Context, change feed.Change) (*wire.Reply, error) {
	change.At = time.Now().UnixNano()
	outcomes, err := node.host.Propose(ctx, controlGroup, [][]byte{wire.MustEncode(schema.Change_TypeID, &change)})
	if apierror.Is(err, apierror.OutcomeUnknown) {
		return nil, outcomeUnknownError()
	}
	if err != nil {
		return nil, err
	}
	// This cannot panic: without an error, Propose returns the result of Apply for each entry.
	outcome := outcomes[0].(changeOutcome)
	if outcome.err != nil {
		return nil, outcome.err
	}
	reply := &wire.ChangeReply{Number: outcome.number}
	if change.Kind.IsObservation() {
		reply.Acknowledged = true
		return &wire.Reply{Which: schema.Reply_Which_change, Change: reply}, nil
	}
	// A majority of both lists is needed: until a majority of the earlier list has synced the
	// change, recovery from stores of that list alone could miss it.
	reply.Acknowledged = node.awaitStores(ctx, outcome.number, feed.ViewReplicas(outcome.storesBefore)) &&
		node.awaitStores(ctx, outcome.number, feed.ViewReplicas(node.View().Stores))
	return &wire.Reply{Which: schema.Reply_Which_change, Change: reply}, nil
}

// awaitAcknowledged waits until a committed change is acknowledged, that is, until a majority
// of the stores has synced the view with its number or a newer one. The error is Conflict if no
// change has that number.
func (node *Node) awaitAcknowledged(ctx context.Context, number uint64) (*wire.ChangeReply, error) {
	reply, err := node.handleChange(ctx, &wire.Query{Which: schema.Query_Which_change, Change: &wire.ChangeQuery{AwaitView: number}})
	if err != nil {
		return nil, err
	}
	return reply.Change, nil
}

// handleAwaitAcknowledged executes, as leader, a change query that waits for the
// acknowledgement of an earlier change.
func (node *Node) handleAwaitAcknowledged(ctx context.Context, number uint64) (*wire.Reply, error) {
	if err := node.host.AwaitReadIndex(ctx, controlGroup); err != nil {
		return nil, err
	}
	state := node.stateMachine.state()
	if state.view.Number < number {
		return nil, apierror.New(apierror.Conflict, fmt.Sprintf("no change has number %d", number), "read the current state and send the request again if it is still wanted")
	}
	reply := &wire.ChangeReply{Number: number, Acknowledged: node.awaitStores(ctx, min(number, state.newestCommand), feed.ViewReplicas(state.view.Stores))}
	return &wire.Reply{Which: schema.Reply_Which_change, Change: reply}, nil
}

// outcomeUnknownError reports that a change was proposed and its outcome is unknown.
func outcomeUnknownError() error {
	return apierror.New(apierror.OutcomeUnknown, "the change may or may not have been applied", "read the current state and, if the change is missing, send it again with an expected number")
}
