// Package controlplane is a control node: one replica of the group that orders
// the feed, the sessions of nodes, and the assignments that steer the fleet.
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

const (
	controlGroup = 0
	// controlSnapshotFormat is 2 since the view is packed and changes are differences.
	controlSnapshotFormat = 2
	fullConfigsFormat     = 1
)

// changeOutcome is what applying a change answers.
type changeOutcome struct {
	number uint64
	err    error
	// storesBefore are the stores that were listed before the change.
	storesBefore []feed.Member
}

type feedState struct {
	view    *feed.View
	history feed.History
	// newestCommand is the number of the newest change that stores must have synced.
	newestCommand uint64
	// lacksHistory tells that the changes were not told: this node is far behind.
	lacksHistory bool
	// superseded is closed once there is a newer state.
	superseded chan struct{}
}

// feedStateMachine folds committed changes into the view, and gives them their
// numbers.
type feedStateMachine struct{ published atomic.Pointer[feedState] }

func newFeedStateMachine() *feedStateMachine {
	machine := &feedStateMachine{}
	machine.published.Store(&feedState{view: &feed.View{}, superseded: make(chan struct{})})
	return machine
}

func (machine *feedStateMachine) state() *feedState { return machine.published.Load() }

// publish shows a state, and wakes those who wait for one after the last.
func (machine *feedStateMachine) publish(next *feedState) {
	next.superseded = make(chan struct{})
	close(machine.published.Swap(next).superseded)
}

func numberInForce(view *feed.View, change feed.Change) uint64 {
	if change.Kind == feed.ChangeConfig {
		return view.ConfigNumber
	}
	return view.Number
}

var changePreconditions = map[feed.ChangeKind]func(*feed.View, feed.Change) error{
	feed.ChangeRoleLease: func(view *feed.View, change feed.Change) error {
		if held := view.RoleLeaseOf(change.RoleLease.Key); change.RoleLease.FencingToken != held.FencingToken+1 {
			return apierror.New(apierror.Conflict, fmt.Sprintf("assignment %s is at fence %d", change.RoleLease.Key, held.FencingToken), "read the assignment again")
		}
		return nil
	},
	feed.ChangeRunners: func(view *feed.View, change feed.Change) error {
		if held := view.RoleLeaseOf(change.RoleLease.Key); change.RoleLease.FencingToken != held.FencingToken || change.RoleLease.Holder != held.Holder {
			return apierror.New(apierror.Conflict, fmt.Sprintf("assignment %s is held by %s under fence %d", change.RoleLease.Key, held.Holder, held.FencingToken), "stop this assignment; another node has it")
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

// Apply gives a committed change its number, or refuses it.
func (machine *feedStateMachine) Apply(entry raft.Entry) any {
	var change feed.Change
	if err := wire.Decode(schema.Change_TypeID, entry.Data, &change); err != nil {
		return changeOutcome{err: err}
	}
	state := machine.state()
	if change.Expects && change.Expected != numberInForce(state.view, change) {
		return changeOutcome{number: state.view.Number, err: apierror.New(apierror.Conflict,
			fmt.Sprintf("expected number %d, but %d is in force", change.Expected, numberInForce(state.view, change)), "read what is in force and decide anew")}
	}
	if check, guarded := changePreconditions[change.Kind]; guarded {
		if err := check(state.view, change); err != nil {
			return changeOutcome{number: state.view.Number, err: err}
		}
	}
	change.Number = state.view.Number + 1
	if change.Kind == feed.ChangeRecovered {
		change.Number = change.View.Number
	}
	view, err := feed.Fold(*state.view, change)
	if err != nil {
		log.WithField("error", err.Error()).Error("config_difference_refused")
		return changeOutcome{number: state.view.Number, err: apierror.New(apierror.Conflict, err.Error(), "read what is in force and decide anew")}
	}
	next := &feedState{view: &view, history: state.history.With(state.view, &view, change), newestCommand: state.newestCommand}
	if !change.Kind.IsObservation() {
		next.newestCommand = change.Number
	}
	machine.publish(next)
	return changeOutcome{number: change.Number, storesBefore: state.view.Stores}
}

// compactForLog gives a change in the form in which it goes into the log: a config as the
// difference from the one that it is to replace, if that is held here. Every replica then
// holds that one when it applies the entry, or refuses it by the number expected.
func compactForLog(view *feed.View, change feed.Change) feed.Change {
	if !change.Expects || change.Expected != view.ConfigNumber {
		return change
	}
	return change.Compact(view)
}
