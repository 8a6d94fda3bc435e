package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// maxFollowWait bounds how long a follower may wait for a newer state.
const maxFollowWait = 2 * time.Second

// handleFollow answers a follower of the feed: it records that the follower is live, waits for
// a newer state for as long as the follower asks, up to maxFollowWait, and replies with a state
// that a quorum confirmed after that.
func (node *Node) handleFollow(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	follow, receivedAt := query.Follow, time.Now()
	if follow.ConfirmOnly {
		return node.handleConfirm(ctx, query, receivedAt)
	}
	node.recordLiveness(follow.Member, 0, true)
	if state := node.stateMachine.state(); follow.Wait > 0 && follow.After == state.view.Number {
		node.awaitNewState(ctx, state, min(follow.Wait, maxFollowWait))
	}
	state, startedAt, err := node.confirmBatched(ctx, false)
	if err != nil {
		return nil, err
	}
	if query.Fleet == state.view.Fleet && follow.Member.Role == feed.RoleStore {
		node.recordSynced(follow.Member.Name, follow.After)
	}
	reply := node.followReply(state, query, receivedAt)
	reply.ConfirmationDelay = max(0, startedAt.Sub(receivedAt))
	if live := node.cachedMemberList(); live.digest != follow.MembersDigest {
		reply.Members, reply.MembersDigest = live.members, live.digest
	}
	return &wire.Reply{Which: schema.Reply_Which_follow, Follow: reply}, nil
}

// handleConfirm confirms the newest number for another control node. A query that was forwarded
// to this node is not forwarded again.
func (node *Node) handleConfirm(ctx context.Context, query *wire.Query, receivedAt time.Time) (*wire.Reply, error) {
	var state *quorumState
	var err error
	switch {
	case query.Follow.Wait > 0: // the other node batches its own callers and can wait
		state, _, err = node.confirmBatched(ctx, query.Forwarded)
	case query.Forwarded:
		state, err = node.confirmAsLeader(ctx)
	default:
		state, err = node.confirmNow(ctx)
	}
	if err != nil {
		return nil, err
	}
	return &wire.Reply{Which: schema.Reply_Which_follow, Follow: node.followReply(state, query, receivedAt)}, nil
}

// awaitNewState waits until there is a newer state, the timeout expires or a context ends.
func (node *Node) awaitNewState(ctx context.Context, state *feedState, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-state.superseded:
	case <-timer.C:
	case <-ctx.Done():
	case <-node.context.Done():
	}
}

// followReply returns the reply to a follower: the changes since the number that it has if the
// history has them, else the full view. A follower of another fleet never gets changes, as its
// numbers are not comparable. ReceivedAt is when the query arrived.
func (node *Node) followReply(state *quorumState, query *wire.Query, receivedAt time.Time) *wire.FollowReply {
	follow := query.Follow
	reply := &wire.FollowReply{Newest: state.view.Number}
	if !state.runnerListReadAt.IsZero() {
		reply.HasRunnerListAge, reply.RunnerListAge = true, receivedAt.Sub(state.runnerListReadAt)
	}
	if follow.After > state.view.Number {
		// Nothing here is newer. The fleet tells the follower whether the number is comparable.
		reply.Reset, reply.View = true, feed.View{Fleet: state.view.Fleet, Number: state.view.Number}
		return reply
	}
	changes, complete := state.history.Since(state.view, follow.After)
	switch {
	case follow.After > 0 && complete && query.Fleet == state.view.Fleet && (follow.Packed || len(changes) == 0):
		reply.Changes = changes
	case follow.Packed && follow.Member.Role == feed.RoleFront:
		view := state.view.WithoutRequests()
		reply.Reset, reply.PackedView = true, node.viewsWithoutRequests.Get(&view)
	case follow.Packed:
		reply.Reset, reply.PackedView = true, node.views.Get(state.view)
	case follow.Member.Role == feed.RoleFront:
		reply.Reset, reply.View = true, state.view.WithoutRequests()
	default:
		reply.Reset, reply.View = true, *state.view
	}
	return reply
}
