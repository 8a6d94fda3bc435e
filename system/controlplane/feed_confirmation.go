package controlplane

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// confirmInterval is the shortest time between two shared confirmations; all who ask in
	// between share the next one.
	confirmInterval = 100 * time.Millisecond
	// leaderConfirmInterval is that of the leader, which asks its peers for each of them. It
	// is as long as the heartbeat interval, so that a confirmation stands in for a heartbeat.
	leaderConfirmInterval = 200 * time.Millisecond
	// confirmTimeout bounds one shared confirmation, and leaderRetryInterval is the pause
	// within it before the next attempt while there is no leader.
	confirmTimeout      = 500 * time.Millisecond
	leaderRetryInterval = 20 * time.Millisecond
)

// quorumState is a state that a quorum confirmed as the newest.
type quorumState struct {
	*feedState
	// runnersReadAt is when the lease holder requested the runner list whose content is in
	// force in this state, by this node's clock; zero if unknown.
	runnersReadAt time.Time
}

// confirmNow is confirm without waiting for others to share the confirmation.
func (node *Node) confirmNow(ctx context.Context) (*quorumState, error) {
	return node.confirm(ctx, 0)
}

// confirm returns a state that is at least as new as every change acknowledged before the
// call: a linearizable read by the leader's read index (Raft thesis, section 6.4), wherever
// the leader is. If wait is not 0 the leader may let others share the confirmation, and so
// answer up to leaderConfirmInterval later.
func (node *Node) confirm(ctx context.Context, wait time.Duration) (*quorumState, error) {
	if node.IsLeader() {
		return node.confirmAsLeader(ctx)
	}
	return node.confirmThroughLeader(ctx, wait)
}

// confirmAsLeader is confirm on the leader. It fails with NotLeader if this node is not, or
// no longer, the leader.
func (node *Node) confirmAsLeader(ctx context.Context) (*quorumState, error) {
	if err := node.host.Read(ctx, controlGroup); err != nil {
		return nil, err
	}
	return node.stateAsLeader(), nil
}

// stateAsLeader returns the applied state of a leader that a quorum has just confirmed. The
// time of the runner list is loaded before the state: what the list changed was committed
// before that time was stored, so the state has it.
func (node *Node) stateAsLeader() *quorumState {
	reading := node.runnersReading.Load()
	state := &quorumState{feedState: node.stateMachine.state()}
	if lease := state.view.RoleLeaseOf(RunnerDiscoveryRole); reading != nil && lease.Holder == node.Name() && lease.FencingToken == reading.fencingToken {
		state.runnersReadAt = reading.requestedAt
	}
	return state
}

// confirmThroughLeader has the leader confirm its newest number and send what this replica
// has not applied yet. If that does not fit this replica's state it asks for a complete view.
func (node *Node) confirmThroughLeader(ctx context.Context, wait time.Duration) (*quorumState, error) {
	own := node.stateMachine.state()
	newest, err := node.fetchNewer(ctx, own, own.view.Number, wait)
	if errors.Is(err, feed.ErrBaseMismatch) || errors.Is(err, feed.ErrGap) {
		log.WithFields(log.Fields{"node": node.Name(), "number": own.view.Number, "error": err.Error()}).Warn("changes from the leader do not fit the view here, requesting a complete view")
		newest, err = node.fetchNewer(ctx, own, 0, wait)
	}
	return newest, err
}

// fetchNewer has the leader send what is newer than a number of this replica's own state, if
// anything, and returns the resulting state.
func (node *Node) fetchNewer(ctx context.Context, own *feedState, number uint64, wait time.Duration) (*quorumState, error) {
	sentAt := time.Now()
	reply, err := node.forwardToLeader(ctx, &wire.Query{Which: schema.Query_Which_follow, Follow: &wire.FollowQuery{ConfirmOnly: true, After: number, Wait: wait, Packed: true}})
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
		return &quorumState{now, runnersReadAt}, nil
	}
	// This replica has not learned yet that the newest changes are committed.
	next, err := own.stateAfter(reply.Follow)
	if err != nil {
		return nil, err
	}
	if next.view.Number < reply.Follow.Newest {
		return nil, noQuorumError()
	}
	return &quorumState{next, runnersReadAt}, nil
}

// stateAfter returns the state that a leader's reply leads to from this one. It fails as advance
// does, and with NoQuorum if a complete view in the reply cannot be read.
func (state *feedState) stateAfter(reply *wire.FollowReply) (*feedState, error) {
	if !reply.Reset {
		return state.advance(reply.Changes)
	}
	view, err := reply.FullView()
	if err != nil {
		return nil, noQuorumError()
	}
	return &feedState{view: view, lacksHistory: true}, nil
}

// advance returns the state after the changes that follow on it; older ones are skipped. The
// result answers one question and is never published: only view and history are set.
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

// confirmationBatch lets all who ask at about the same time share one confirmation. It may be
// joined only until it starts: a confirmation that began before a question came would prove
// nothing about the changes acknowledged in between.
type confirmationBatch struct {
	mutex sync.Mutex
	next  *confirmation // has not started yet; nil if nobody waits for one
	last  time.Time     // when the last one started
}

// confirmation is one confirmation that many may wait for. The fields below done are set
// before it is closed.
type confirmation struct {
	done      chan struct{}
	startedAt time.Time
	state     *quorumState
	err       error
	// forwarded reports that another control node asks, so that it must not be forwarded
	// again. It is guarded by the batch's mutex.
	forwarded bool
}

// confirmBatched is confirm shared by all who ask within confirmInterval. It also returns when
// the confirmation started, which is after the call.
func (node *Node) confirmBatched(ctx context.Context, forwarded bool) (*quorumState, time.Time, error) {
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

// runConfirmation runs one shared confirmation. It is ended by the node's context and by
// confirmTimeout.
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
		node.confirmOnceLed(ctx, shared)
	}
	// What a call returns when this context ends names the context, not what the caller can do.
	if shared.err != nil && ctx.Err() != nil && !apierror.Is(shared.err, apierror.NoQuorum) {
		shared.err = noQuorumError()
	}
	close(shared.done)
}

// confirmOnceLed runs a shared confirmation as soon as the control group has a leader. All who
// follow the feed wait for it together: after the restart of a fleet they would otherwise ask
// again and again, and learn of the leader only at their next question. The confirmation counts
// from the attempt that succeeds.
func (node *Node) confirmOnceLed(ctx context.Context, shared *confirmation) {
	retry := time.NewTicker(leaderRetryInterval)
	defer retry.Stop()
	for {
		shared.startedAt = time.Now()
		shared.state, shared.err = node.confirm(ctx, leaderConfirmInterval)
		if shared.err == nil || !apierror.Is(leaderlessAsNoQuorum(shared.err), apierror.NoQuorum) {
			return
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			return
		}
	}
}

// confirmedView returns a view that a quorum confirmed as the newest, wherever the leader is.
// The error is NoQuorum if nobody could confirm one, or if there is no store list yet.
func (node *Node) confirmedView(ctx context.Context) (*feed.View, error) {
	state, err := node.confirmedState(ctx)
	if err != nil {
		return nil, err
	}
	return state.view, nil
}

// confirmedState is confirmedView with the history of the view.
func (node *Node) confirmedState(ctx context.Context) (*quorumState, error) {
	state, err := node.confirmNow(ctx)
	if err != nil {
		return nil, leaderlessAsNoQuorum(err)
	}
	return state, requireStoreList(state.view)
}

// requireStoreList fails while there is no store list: until then nothing can be acknowledged,
// and what was acknowledged before a loss of all control disks may not be recovered yet.
func requireStoreList(view *feed.View) error {
	if len(view.Stores) == 0 {
		return apierror.NewRetryable(apierror.NoQuorum, "the fleet has no store list yet", "wait until its stores have sessions, or start the stores that are missing", time.Second)
	}
	return nil
}
