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

// confirmedState is a state that a quorum confirmed as the newest.
type confirmedState struct {
	*feedState
	// runnersReadAt is when the leader read the runner list whose content is in force in this
	// state, by this node's clock; zero if that is not known.
	runnersReadAt time.Time
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

// confirmedView reads the view by a quorum, wherever the leader is. Only what this node
// has not applied yet is carried.
func (node *Node) confirmedView(ctx context.Context) (*feed.View, error) {
	state, err := node.confirmedState(ctx)
	if err != nil {
		return nil, err
	}
	return state.view, nil
}

// confirmedState is confirmedView with the changes that led to the view.
func (node *Node) confirmedState(ctx context.Context) (*confirmedState, error) {
	state, err := node.confirmNow(ctx)
	if err != nil {
		return nil, leaderlessAsNoQuorum(err)
	}
	return state, requireStoreList(state.view)
}

// requireStoreList refuses while there is no store list: until then nothing can be
// acknowledged, and what was acknowledged before may not be recovered yet.
func requireStoreList(view *feed.View) error {
	if len(view.Stores) == 0 {
		return apierror.NewRetryable(apierror.NoQuorum, "the fleet has no store list yet", "wait until its stores have sessions, or start the stores that are missing", time.Second)
	}
	return nil
}
