package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// confirmInterval is the shortest time between two confirmations for followers; all
	// who ask in between share the next. The leader's, which it asks its peers for, is
	// as long as that between heartbeats, and stands for one.
	confirmInterval       = 100 * time.Millisecond
	leaderConfirmInterval = 200 * time.Millisecond
	confirmTimeout        = 500 * time.Millisecond
	maxFollowWait         = 2 * time.Second
	// liveMembersMaxAge is how old the list of live members that followers are told may be.
	liveMembersMaxAge = 200 * time.Millisecond
)

// handleFollow renews the session here and has the leader confirm the number. While
// nothing changes the answer is held for as long as the follower says.
func (node *Node) handleFollow(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	follow, receivedAt := query.Follow, time.Now()
	if follow.ConfirmOnly {
		return node.handleConfirm(ctx, query, receivedAt)
	}
	node.recordHeard(follow.Member, 0, true)
	if state := node.stateMachine.state(); follow.Wait > 0 && follow.After == state.view.Number {
		node.awaitNewState(ctx, state, min(follow.Wait, maxFollowWait))
	}
	state, began, err := node.confirmBatched(ctx, false)
	if err != nil {
		return nil, err
	}
	if query.Fleet == state.view.Fleet && follow.Member.Role == feed.RoleStore {
		node.noteSynced(follow.Member.Name, follow.After)
	}
	answer := node.followReply(state, query, receivedAt)
	answer.ConfirmationDelay = max(0, began.Sub(receivedAt))
	if live := node.cachedLiveMembers(); live.digest != follow.MembersDigest {
		answer.Members, answer.MembersDigest = live.members, live.digest
	}
	return &wire.Reply{Which: schema.Reply_Which_follow, Follow: answer}, nil
}

// handleConfirm confirms the newest number for another control node. What that one passes
// on is not passed on again.
func (node *Node) handleConfirm(ctx context.Context, query *wire.Query, receivedAt time.Time) (*wire.Reply, error) {
	var state *confirmedState
	var err error
	switch {
	case query.Follow.Wait > 0:
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

func (node *Node) awaitNewState(ctx context.Context, state *feedState, timeout time.Duration) {
	tick := time.NewTimer(timeout)
	defer tick.Stop()
	select {
	case <-state.superseded:
	case <-tick.C:
	case <-ctx.Done():
	case <-node.context.Done():
	}
}

// followReply tells one who holds the view of a number what is newer: the changes since, if
// they are kept, else the whole view. Its query came at a time. Numbers mean nothing to one
// who does not name this fleet.
func (node *Node) followReply(state *confirmedState, query *wire.Query, receivedAt time.Time) *wire.FollowReply {
	follow := query.Follow
	answer := &wire.FollowReply{Newest: state.view.Number}
	if !state.runnersReadAt.IsZero() {
		answer.HasRunnerListAge, answer.RunnerListAge = true, receivedAt.Sub(state.runnersReadAt)
	}
	if follow.After > state.view.Number {
		// Nothing here is newer; the fleet's name shows whether it is the asker's.
		answer.Reset, answer.View = true, feed.View{Fleet: state.view.Fleet, Number: state.view.Number}
		return answer
	}
	changes, complete := state.history.Since(state.view, follow.After)
	switch {
	case follow.After > 0 && complete && query.Fleet == state.view.Fleet && (follow.Packed || len(changes) == 0):
		answer.Changes = changes
	case follow.Packed && follow.Member.Role == feed.RoleFront:
		bare := state.view.WithoutRequests()
		answer.Reset, answer.PackedView = true, node.viewsWithoutRequests.Get(&bare)
	case follow.Packed:
		answer.Reset, answer.PackedView = true, node.views.Get(state.view)
	case follow.Member.Role == feed.RoleFront:
		answer.Reset, answer.View = true, state.view.WithoutRequests()
	default:
		answer.Reset, answer.View = true, *state.view
	}
	return answer
}
