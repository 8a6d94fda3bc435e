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

// controlGroup is the number of the Raft group that orders the feed.
const controlGroup = 0

// changeOutcome is the result of applying a change to the state machine.
type changeOutcome struct {
	// number is that of the change, or of the view in force if it was rejected.
	number uint64
	// err says why the change was rejected; nil if it was applied.
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
	// lacksHistory reports that the history is unknown, as the state came as a complete view
	// from the leader of a replica that is far behind.
	lacksHistory bool
	// superseded is closed once there is a newer state.
	// It is nil in a state that was never published.
	superseded chan struct{}
}

// feedStateMachine is the replicated state machine of the control group: it gives committed
// changes their numbers and folds them into the view. The Raft host's loop writes it; state
// may be read from anywhere without locks.
type feedStateMachine struct{ published atomic.Pointer[feedState] }

// newFeedStateMachine makes a state machine with an empty view.
func newFeedStateMachine() *feedStateMachine {
	machine := &feedStateMachine{}
	machine.published.Store(&feedState{view: &feed.View{}, superseded: make(chan struct{})})
	return machine
}

// state returns the state after the last applied change.
func (machine *feedStateMachine) state() *feedState { return machine.published.Load() }

// publish makes a state visible and wakes all who wait for a newer one.
func (machine *feedStateMachine) publish(next *feedState) {
	next.superseded = make(chan struct{})
	close(machine.published.Swap(next).superseded)
}

// numberInForce is what the expected number of a conditional change is compared with.
func numberInForce(view *feed.View, change feed.Change) uint64 {
	if change.Kind == feed.ChangeConfig {
		return view.ConfigNumber
	}
	return view.Number
}

// changePreconditions are checked when a change is applied, besides its expected number. All
// replicas decide alike, as they apply the same changes to the same views.
var changePreconditions = map[feed.ChangeKind]func(*feed.View, feed.Change) error{
	feed.ChangeRoleLease: func(view *feed.View, change feed.Change) error {
		if lease := view.RoleLeaseOf(change.RoleLease.Key); change.RoleLease.FencingToken != lease.FencingToken+1 {
			return apierror.New(apierror.Conflict, fmt.Sprintf("assignment %s is at fence %d", change.RoleLease.Key, lease.FencingToken), "read the assignment again")
		}
		return nil
	},
	feed.ChangeRunners: func(view *feed.View, change feed.Change) error {
		if lease := view.RoleLeaseOf(change.RoleLease.Key); change.RoleLease.FencingToken != lease.FencingToken || change.RoleLease.Holder != lease.Holder {
			return apierror.New(apierror.Conflict, fmt.Sprintf("assignment %s is held by %s under fence %d", change.RoleLease.Key, lease.Holder, lease.FencingToken), "stop this assignment; another node has it")
		}
		return nil
	},
	feed.ChangeRecovered: func(view *feed.View, change feed.Change) error {
		if len(view.Stores) > 0 || change.View.Number <= view.Number {
			return apierror.New(apierror.Conflict, "the feed has gone on already", "nothing is left to recover")
		}
		return nil
	},
}

// checkPreconditions returns the error that rejects a change on a view, nil if it may be applied.
func checkPreconditions(view *feed.View, change feed.Change) error {
	if inForce := numberInForce(view, change); change.Expects && change.Expected != inForce {
		return apierror.New(apierror.Conflict, fmt.Sprintf("expected number %d, but %d is in force", change.Expected, inForce), "read what is in force and decide anew")
	}
	if check, guarded := changePreconditions[change.Kind]; guarded {
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
		change.Number = change.View.Number // jumps ahead, by recoveredNumberStep
	}
	view, err := feed.Fold(*state.view, change)
	if err != nil {
		log.WithFields(log.Fields{"number": state.view.Number, "error": err.Error()}).Error("a committed config difference does not fit the config in force")
		return changeOutcome{number: state.view.Number, err: apierror.Wrap(err, apierror.Conflict, err.Error(), "read what is in force and decide anew")}
	}
	next := &feedState{view: &view, history: state.history.With(state.view, &view, change), newestCommand: state.newestCommand}
	if !change.Kind.IsObservation() {
		next.newestCommand = change.Number
	}
	machine.publish(next)
	return changeOutcome{number: change.Number, storesBefore: state.view.Stores}
}

// compactForLog returns a change as it is proposed: a config as the difference from the one
// that it is to replace, if this node has that one. Every replica has the base when it applies
// the entry, or rejects the change by its expected number.
func compactForLog(view *feed.View, change feed.Change) feed.Change {
	if !change.Expects || change.Expected != view.ConfigNumber {
		return change
	}
	return change.Compact(view)
}
