package controlplane

import (
	"fmt"
	"sync/atomic"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// controlGroup is the ID of the Raft group that orders the feed.
const controlGroup = 0

// changeOutcome is the result of applying a change to the state machine.
type changeOutcome struct {
	// number is that of the change, or of the current view if the change was rejected.
	number uint64
	// err is why the change was rejected, nil if it was applied.
	err error
	// storesBefore are the stores that were listed before the change.
	storesBefore []feed.Member
}

// feedState is the content of the state machine after one change. It is immutable.
type feedState struct {
	view    *feed.View
	history feed.History
	// newestCommand is the number of the newest change that is not an observation, which a
	// majority of the stores must sync before it is acknowledged.
	newestCommand uint64
	// lacksHistory reports that the history is unknown: this replica was too far behind, so the
	// leader sent a full view.
	lacksHistory bool
	// superseded is closed once there is a newer state; nil in a state that was never published.
	superseded chan struct{}
}

// feedStateMachine is the replicated state machine of the control group: it numbers committed
// changes and folds them into the view. Only the Raft host's loop writes it; any goroutine may
// read the state without locks.
type feedStateMachine struct{ published atomic.Pointer[feedState] }

// newFeedStateMachine returns a state machine with an empty view.
func newFeedStateMachine() *feedStateMachine {
	machine := &feedStateMachine{}
	machine.published.Store(&feedState{view: &feed.View{}, superseded: make(chan struct{})})
	return machine
}

// state returns the state after the last applied change.
func (machine *feedStateMachine) state() *feedState { return machine.published.Load() }

// publish makes a state visible and wakes the waiters for a newer one.
func (machine *feedStateMachine) publish(next *feedState) {
	next.superseded = make(chan struct{})
	close(machine.published.Swap(next).superseded)
}

// currentNumber returns the number that the expected number of a conditional change is compared
// with.
func currentNumber(view *feed.View, change feed.Change) uint64 {
	if change.Kind == feed.ChangeConfig {
		return view.ConfigNumber
	}
	return view.Number
}

// changePreconditions are checked when a change is applied, in addition to its expected number.
// They depend only on the view and the change, so that all replicas decide alike.
var changePreconditions = map[feed.ChangeKind]func(*feed.View, feed.Change) error{
	feed.ChangeRoleLease: func(view *feed.View, change feed.Change) error {
		if lease := view.RoleLeaseOf(change.RoleLease.Key); change.RoleLease.FencingToken != lease.FencingToken+1 {
			return apierror.New(apierror.Conflict, fmt.Sprintf("role lease %s has fencing token %d", change.RoleLease.Key, lease.FencingToken), "read the role lease again")
		}
		return nil
	},
	feed.ChangeRunners: func(view *feed.View, change feed.Change) error {
		if lease := view.RoleLeaseOf(change.RoleLease.Key); change.RoleLease.FencingToken != lease.FencingToken || change.RoleLease.Holder != lease.Holder {
			return apierror.New(apierror.Conflict, fmt.Sprintf("role lease %s is held by %s with fencing token %d", change.RoleLease.Key, lease.Holder, lease.FencingToken), "stop acting in this role; another node holds its lease")
		}
		return nil
	},
	feed.ChangeRecovered: func(view *feed.View, change feed.Change) error {
		if len(view.Stores) > 0 || change.View.Number <= view.Number {
			return apierror.New(apierror.Conflict, "the feed already has a store list or is at least as new as the recovered view", "no recovery is needed")
		}
		return nil
	},
}

// checkPreconditions returns the error that rejects a change on a view, nil if it may be applied.
func checkPreconditions(view *feed.View, change feed.Change) error {
	if current := currentNumber(view, change); change.Expects && change.Expected != current {
		return apierror.New(apierror.Conflict, fmt.Sprintf("expected number %d, but the current number is %d", change.Expected, current), "read the current state and, if the change is still wanted, retry with the current number")
	}
	if check, found := changePreconditions[change.Kind]; found {
		return check(view, change)
	}
	return nil
}

// Apply numbers and folds a committed change, or rejects it. It returns a changeOutcome.
func (machine *feedStateMachine) Apply(entry raft.Entry) any {
	var change feed.Change
	if err := wire.Decode(schema.Change_TypeID, entry.Data, &change); err != nil {
		return changeOutcome{err: err}
	}
	state := machine.state()
	if err := checkPreconditions(state.view, change); err != nil {
		return changeOutcome{number: state.view.Number, err: err}
	}
	change.Number = state.view.Number + 1
	if change.Kind == feed.ChangeRecovered {
		change.Number = change.View.Number // skips ahead by recoveredNumberStep
	}
	view, err := feed.Fold(*state.view, change)
	if err != nil {
		log.WithFields(log.Fields{"number": state.view.Number, "error": err.Error()}).Error("committed config delta does not apply to the current config")
		return changeOutcome{number: state.view.Number, err: apierror.Wrap(err, apierror.Conflict, err.Error(), "read the current state and, if the change is still wanted, retry with the current number")}
	}
	next := &feedState{view: &view, history: state.history.With(state.view, &view, change), newestCommand: state.newestCommand}
	if !change.Kind.IsObservation() {
		next.newestCommand = change.Number
	}
	machine.publish(next)
	return changeOutcome{number: change.Number, storesBefore: state.view.Stores}
}

// compactForLog returns a change as it is proposed: a config is encoded as a delta from the
// config that it replaces, if this node has that one and the delta is small enough. Every
// replica either has the base when it applies the entry, or rejects the change by its expected
// number.
func compactForLog(view *feed.View, change feed.Change) feed.Change {
	if !change.Expects || change.Expected != view.ConfigNumber {
		return change
	}
	return change.Compact(view)
}
