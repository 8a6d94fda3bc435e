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
	// confirmInterval is the minimum time between the starts of two shared confirmations; all
	// callers in between share the next one.
	confirmInterval = 100 * time.Millisecond
	// leaderConfirmInterval is used instead on the leader, which contacts its peers for each
	// confirmation. It equals the heartbeat interval, so that a confirmation takes the place of
	// a heartbeat.
	leaderConfirmInterval = 200 * time.Millisecond
	// confirmTimeout bounds one shared confirmation; leaderRetryInterval is the time between
	// attempts within it while there is no leader.
	confirmTimeout      = 500 * time.Millisecond
	leaderRetryInterval = 20 * time.Millisecond
)

// quorumState is a state that a quorum confirmed as current.
type quorumState struct {
	*feedState
	// runnerListReadAt is when the holder of RunnerDiscoveryRole requested the runner list that
	// this state reflects, by this node's clock; zero if unknown.
	runnerListReadAt time.Time
}

// confirmNow calls confirm without letting the leader delay the confirmation.
func (node *Node) confirmNow(ctx context.Context) (*quorumState, error) {
	return node.confirm(ctx, 0)
}

// confirm returns a state that includes every change acknowledged before the call: a
// linearizable read through the leader's read index (Raft thesis, section 6.4), on any node. If
// wait is not 0 the leader may batch the confirmation with others, which delays it by up to
// leaderConfirmInterval.
func (node *Node) confirm(ctx context.Context, wait time.Duration) (*quorumState, error) {
	if node.IsLeader() {
		return node.confirmAsLeader(ctx)
	}
	return node.confirmThroughLeader(ctx, wait)
}

// confirmAsLeader implements confirm on the leader. It fails with NotLeader if this node is
// not, or no longer, the leader.
func (node *Node) confirmAsLeader(ctx context.Context) (*quorumState, error) {
	if err := node.host.AwaitReadIndex(ctx, controlGroup); err != nil {
		return nil, err
	}
	return node.stateAsLeader(), nil
}

// stateAsLeader returns the applied state of a leader that a quorum has just confirmed. It must
// load publishedRunnerList before the state: that is stored only after the list's changes are
// committed, so a state loaded afterwards includes them.
func (node *Node) stateAsLeader() *quorumState {
	published := node.publishedRunnerList.Load()
	state := &quorumState{feedState: node.stateMachine.state()}
	if lease := state.view.RoleLeaseOf(RunnerDiscoveryRole); published != nil && lease.Holder == node.Name() && lease.FencingToken == published.fencingToken {
		state.runnerListReadAt = published.requestedAt
	}
	return state
}

// confirmThroughLeader has the leader confirm its newest number and send the changes that this
// replica has not applied yet. If they do not apply to the local state, it requests a full view.
func (node *Node) confirmThroughLeader(ctx context.Context, wait time.Duration) (*quorumState, error) {
	local := node.stateMachine.state()
	confirmed, err := node.fetchNewer(ctx, local, local.view.Number, wait)
	if errors.Is(err, feed.ErrBaseMismatch) || errors.Is(err, feed.ErrGap) {
		log.WithFields(log.Fields{"node": node.Name(), "number": local.view.Number, "error": err.Error()}).Warn("changes from the leader do not apply to the local view; requesting a full view")
		confirmed, err = node.fetchNewer(ctx, local, 0, wait)
	}
	return confirmed, err
}

// fetchNewer requests the changes after a number from the leader, and returns the confirmed
// state that they lead to from the local one. With number 0 it requests a full view.
func (node *Node) fetchNewer(ctx context.Context, local *feedState, number uint64, wait time.Duration) (*quorumState, error) {
	sentAt := time.Now()
	reply, err := node.forwardToLeader(ctx, &wire.Query{Which: schema.Query_Which_follow, Follow: &wire.FollowQuery{ConfirmOnly: true, After: number, Wait: wait, Packed: true}})
	if err != nil {
		return nil, err
	}
	if reply.Follow == nil {
		return nil, noQuorumError()
	}
	var runnerListReadAt time.Time
	if reply.Follow.HasRunnerListAge {
		runnerListReadAt = sentAt.Add(-reply.Follow.RunnerListAge)
	}
	if current := node.stateMachine.state(); current.view.Number >= reply.Follow.Newest {
		return &quorumState{current, runnerListReadAt}, nil
	}
	// This replica does not know yet that the newest changes are committed.
	next, err := local.stateAfter(reply.Follow)
	if err != nil {
		return nil, err
	}
	if next.view.Number < reply.Follow.Newest {
		return nil, noQuorumError()
	}
	return &quorumState{next, runnerListReadAt}, nil
}

// stateAfter returns the state that a leader's reply leads to from this one. It fails as advance
// does, and with NoQuorum if a full view in the reply cannot be decoded.
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

// advance returns the state after consecutive changes; those that are not newer are skipped.
// The result serves one request and is never published: only view and history are set.
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

// confirmationBatch lets concurrent callers share one confirmation. A caller may join only until
// the confirmation starts: one that started earlier proves nothing about the changes acknowledged
// between its start and the call.
type confirmationBatch struct {
	mutex sync.Mutex
	next  *confirmation // not started yet; nil if it has no waiters
	last  time.Time     // when the last one started
}

// confirmation is one confirmation that several callers wait for. The fields startedAt, state
// and err are set before done is closed.
type confirmation struct {
	done      chan struct{}
	startedAt time.Time
	state     *quorumState
	err       error
	// forwarded reports that some caller serves another control node, so that the confirmation
	// must not be forwarded again. It is guarded by the batch's mutex.
	forwarded bool
}

// confirmBatched calls confirm once for all callers within the confirmation interval. It also
// returns when the confirmation started, which is after the call.
func (node *Node) confirmBatched(ctx context.Context, forwarded bool) (*quorumState, time.Time, error) {
	batch := &node.confirmations
	batch.mutex.Lock()
	joined := batch.next
	if joined == nil {
		joined = &confirmation{done: make(chan struct{})}
		batch.next = joined
		delay := confirmInterval
		if node.IsLeader() {
			delay = leaderConfirmInterval
		}
		delay = max(0, delay-time.Since(batch.last))
		time.AfterFunc(delay, func() { node.runConfirmation(joined) })
	}
	joined.forwarded = joined.forwarded || forwarded
	batch.mutex.Unlock()
	select {
	case <-joined.done:
		return joined.state, joined.startedAt, joined.err
	case <-ctx.Done():
		return nil, time.Time{}, noQuorumError()
	case <-node.context.Done():
		return nil, time.Time{}, noQuorumError()
	}
}

// runConfirmation runs one shared confirmation, bounded by the node's context and
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
		node.confirmWithRetry(ctx, shared)
	}
	// An error that only names the ended context does not tell the caller what to do.
	if shared.err != nil && ctx.Err() != nil && !apierror.Is(shared.err, apierror.NoQuorum) {
		shared.err = noQuorumError()
	}
	close(shared.done)
}

// confirmWithRetry runs a shared confirmation and retries it while the control group has no
// leader, so that after a fleet restart the followers of the feed need not poll for one. The
// confirmation counts as started at the attempt that succeeds.
func (node *Node) confirmWithRetry(ctx context.Context, shared *confirmation) {
	ticker := time.NewTicker(leaderRetryInterval)
	defer ticker.Stop()
	for {
		shared.startedAt = time.Now()
		shared.state, shared.err = node.confirm(ctx, leaderConfirmInterval)
		if shared.err == nil || !apierror.Is(leaderlessAsNoQuorum(shared.err), apierror.NoQuorum) {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// confirmedView returns a view that a quorum confirmed as current; it works on any node. The
// error is NoQuorum if no quorum could be reached or if there is no store list yet.
func (node *Node) confirmedView(ctx context.Context) (*feed.View, error) {
	state, err := node.confirmedState(ctx)
	if err != nil {
		return nil, err
	}
	return state.view, nil
}

// confirmedState is like confirmedView, but returns the whole state.
func (node *Node) confirmedState(ctx context.Context) (*quorumState, error) {
	state, err := node.confirmNow(ctx)
	if err != nil {
		return nil, leaderlessAsNoQuorum(err)
	}
	return state, requireStoreList(state.view)
}

// requireStoreList fails with NoQuorum while there is no store list: until then nothing can be
// acknowledged, and after a loss of all control disks the acknowledged changes may not be
// recovered yet.
func requireStoreList(view *feed.View) error {
	if len(view.Stores) == 0 {
		return apierror.NewRetryable(apierror.NoQuorum, "the fleet has no store list yet", "wait until its stores are live, or start the missing stores", time.Second)
	}
	return nil
}
