package controlplane

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
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
	if follow.SessionOnly {
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

// confirmedState is a state that a quorum confirmed as the newest.
type confirmedState struct {
	*feedState
	// runnersReadAt is when the leader read the runner list whose content is in force in this
	// state, by this node's clock; zero if that is not known.
	runnersReadAt time.Time
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

// confirmNow is confirm for those who should not wait.
func (node *Node) confirmNow(ctx context.Context) (*confirmedState, error) {
	return node.confirm(ctx, 0)
}

// confirm gives a state than which none was newer when it was asked for, by a quorum of the
// control group: its leader's, wherever that is. The leader may wait so long for others who
// ask.
func (node *Node) confirm(ctx context.Context, wait time.Duration) (*confirmedState, error) {
	if node.IsLeader() {
		return node.confirmAsLeader(ctx)
	}
	return node.confirmThroughLeader(ctx, wait)
}

// confirmAsLeader is confirm as leader; NotLeader tells that this node is not, or no longer.
func (node *Node) confirmAsLeader(ctx context.Context) (*confirmedState, error) {
	if err := node.host.Read(ctx, controlGroup); err != nil {
		return nil, err
	}
	return node.stateAsLeader(), nil
}

// stateAsLeader is the state of the leader that a quorum has just confirmed. The time of the
// list is taken first: what the list changed was committed before that time was noted.
func (node *Node) stateAsLeader() *confirmedState {
	read := node.runnersReading.Load()
	state := &confirmedState{feedState: node.stateMachine.state()}
	if lease := state.view.RoleLeaseOf(RunnerDiscoveryRole); read != nil && lease.Holder == node.Name() && lease.FencingToken == read.fencingToken {
		state.runnersReadAt = read.requestedAt
	}
	return state
}

// confirmThroughLeader has the leader confirm its newest number, and tell what this node has
// not applied yet.
func (node *Node) confirmThroughLeader(ctx context.Context, wait time.Duration) (*confirmedState, error) {
	own := node.stateMachine.state()
	newest, err := node.fetchNewer(ctx, own, own.view.Number, wait)
	if errors.Is(err, feed.ErrBaseMismatch) || errors.Is(err, feed.ErrGap) {
		log.WithFields(log.Fields{"node": node.Name(), "number": own.view.Number, "error": err.Error()}).Warn("whole_view_asked_for")
		newest, err = node.fetchNewer(ctx, own, 0, wait)
	}
	return newest, err
}

// fetchNewer has the leader tell what is newer than a number that this replica holds, if
// anything.
func (node *Node) fetchNewer(ctx context.Context, own *feedState, number uint64, wait time.Duration) (*confirmedState, error) {
	sentAt := time.Now()
	reply, err := node.forwardToLeader(ctx, &wire.Query{Which: schema.Query_Which_follow, Follow: &wire.FollowQuery{SessionOnly: true, After: number, Wait: wait, Packed: true}})
	if err != nil {
		return nil, err
	}
	if reply.Follow == nil {
		return nil, noQuorumError()
	}
	var runnersReadAt time.Time
	if reply.Follow.HasRunnerListAge {
		runnersReadAt = sentAt.Add(-reply.Follow.RunnerListAge)
	}
	if now := node.stateMachine.state(); now.view.Number >= reply.Follow.Newest {
		return &confirmedState{now, runnersReadAt}, nil
	}
	// This replica has not heard yet that the newest changes are committed.
	if reply.Follow.Reset {
		view, err := reply.Follow.FullView()
		if err != nil || view.Number < reply.Follow.Newest {
			return nil, noQuorumError()
		}
		return &confirmedState{&feedState{view: view, lacksHistory: true}, runnersReadAt}, nil
	}
	next, err := own.advance(reply.Follow.Changes)
	if err == nil && next.view.Number < reply.Follow.Newest {
		return nil, noQuorumError()
	}
	return &confirmedState{next, runnersReadAt}, err
}

// advance gives the state after changes that follow on it.
func (state *feedState) advance(changes []feed.Change) (*feedState, error) {
	view, history := *state.view, state.history
	for _, change := range changes {
		if change.Number <= view.Number {
			continue
		}
		next, err := feed.FoldAll(view, []feed.Change{change})
		if err != nil {
			return nil, err
		}
		history = history.With(&view, &next, change)
		view = next
	}
	return &feedState{view: &view, history: history}, nil
}

// confirmationBatch lets all who ask at about the same time share one confirmation.
type confirmationBatch struct {
	mutex sync.Mutex
	next  *confirmation // has not begun yet; nil if nobody waits for one
	last  time.Time     // when the last one began
}

type confirmation struct {
	done      chan struct{}
	startedAt time.Time
	state     *confirmedState
	err       error
	// forwarded tells that another control node asks, so that it is not passed on.
	forwarded bool
}

// confirmBatched is confirm for many; it tells when the confirmation began, which is after
// each of them asked.
func (node *Node) confirmBatched(ctx context.Context, forwarded bool) (*confirmedState, time.Time, error) {
	shared := &node.confirmations
	shared.mutex.Lock()
	joined := shared.next
	if joined == nil {
		joined = &confirmation{done: make(chan struct{})}
		shared.next = joined
		pause := confirmInterval
		if node.IsLeader() {
			pause = leaderConfirmInterval
		}
		pause = max(0, pause-time.Since(shared.last))
		time.AfterFunc(pause, func() { node.runConfirmation(joined) })
	}
	joined.forwarded = joined.forwarded || forwarded
	shared.mutex.Unlock()
	select {
	case <-joined.done:
		return joined.state, joined.startedAt, joined.err
	case <-ctx.Done():
		return nil, time.Time{}, noQuorumError()
	case <-node.context.Done():
		return nil, time.Time{}, noQuorumError()
	}
}

func (node *Node) runConfirmation(shared *confirmation) {
	node.confirmations.mutex.Lock()
	shared.startedAt = time.Now()
	node.confirmations.next, node.confirmations.last = nil, shared.startedAt
	forwarded := shared.forwarded
	node.confirmations.mutex.Unlock()
	ctx, cancel := context.WithTimeout(node.context, confirmTimeout)
	defer cancel()
	if forwarded {
		shared.state, shared.err = node.confirmAsLeader(ctx)
	} else {
		shared.state, shared.err = node.confirm(ctx, leaderConfirmInterval)
	}
	if shared.err != nil && ctx.Err() != nil && !apierror.Is(shared.err, apierror.NoQuorum) {
		shared.err = noQuorumError()
	}
	close(shared.done)
}

// liveList is Live as it was told to followers, with a digest that tells lists apart.
type liveMembers struct {
	members  []feed.Member
	digest   uint64
	listedAt time.Time
}

func (node *Node) cachedLiveMembers() *liveMembers {
	if last := node.lastLiveMembers.Load(); last != nil && time.Since(last.listedAt) < liveMembersMaxAge {
		return last
	}
	next := &liveMembers{members: node.LiveMembers(), listedAt: time.Now()}
	hash := fnv.New64a()
	for _, member := range next.members {
		for _, part := range []string{member.Name, member.Role, member.Address, member.Domain, member.State, member.Administration, member.Machine} {
			hash.Write([]byte(part))
			hash.Write([]byte{0})
		}
	}
	next.digest = max(hash.Sum64(), 1) // 0 is the digest of who knows none
	node.lastLiveMembers.Store(next)
	return next
}
