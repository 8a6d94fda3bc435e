// Package controlplane is a control node: one replica of the group that orders
// the feed, the sessions of nodes, and the assignments that steer the fleet.
package controlplane

import (
	"bytes"
	"fmt"
	"sync/atomic"

	"github.com/apex/log"

	"yardrock.example/system/agreement"
	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	controlGroup = 0
	// controlImageFormat is 2 since the view is packed and changes are differences.
	controlImageFormat = 2
	wholeChangesFormat = 1
)

// changeOutcome is what applying a change answers.
type changeOutcome struct {
	number uint64
	err    error
	// before are the stores that were listed before the change.
	before []feed.Member
}

type feedState struct {
	view    *feed.View
	history feed.History
	// ordered is the number of the newest change that stores must have synced.
	ordered uint64
	// withoutChanges tells that the changes were not told: this node is far behind.
	withoutChanges bool
	// passed is closed once there is a newer state.
	passed chan struct{}
}

// feedMachine folds committed changes into the view, and gives them their
// numbers.
type feedMachine struct{ published atomic.Pointer[feedState] }

func newFeedMachine() *feedMachine {
	machine := &feedMachine{}
	machine.published.Store(&feedState{view: &feed.View{}, passed: make(chan struct{})})
	return machine
}

func (machine *feedMachine) state() *feedState { return machine.published.Load() }

// publish shows a state, and wakes those who wait for one after the last.
func (machine *feedMachine) publish(next *feedState) {
	next.passed = make(chan struct{})
	close(machine.published.Swap(next).passed)
}

func expectation(view *feed.View, change feed.Change) uint64 {
	if change.Kind == feed.ChangeConfig {
		return view.ConfigNumber
	}
	return view.Number
}

var changeGuards = map[feed.ChangeKind]func(*feed.View, feed.Change) error{
	feed.ChangeAssignment: func(view *feed.View, change feed.Change) error {
		if held := view.AssignmentOf(change.Assignment.Key); change.Assignment.Fence != held.Fence+1 {
			return apierror.New(apierror.Conflict, fmt.Sprintf("assignment %s is at fence %d", change.Assignment.Key, held.Fence), "read the assignment again")
		}
		return nil
	},
	feed.ChangeRoster: func(view *feed.View, change feed.Change) error {
		if held := view.AssignmentOf(change.Assignment.Key); change.Assignment.Fence != held.Fence || change.Assignment.Owner != held.Owner {
			return apierror.New(apierror.Conflict, fmt.Sprintf("assignment %s is held by %s under fence %d", change.Assignment.Key, held.Owner, held.Fence), "stop this assignment; another node has it")
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
func (machine *feedMachine) Apply(entry agreement.Entry) any {
	var change feed.Change
	if err := wire.Decode(schema.Change_TypeID, entry.Data, &change); err != nil {
		return changeOutcome{err: err}
	}
	state := machine.state()
	if change.Expects && change.Expected != expectation(state.view, change) {
		return changeOutcome{number: state.view.Number, err: apierror.New(apierror.Conflict,
			fmt.Sprintf("expected number %d, but %d is in force", change.Expected, expectation(state.view, change)), "read what is in force and decide anew")}
	}
	if guard, guarded := changeGuards[change.Kind]; guarded {
		if err := guard(state.view, change); err != nil {
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
	next := &feedState{view: &view, history: state.history.With(state.view, &view, change), ordered: state.ordered}
	if !change.Kind.Observed() {
		next.ordered = change.Number
	}
	machine.publish(next)
	return changeOutcome{number: change.Number, before: state.view.Stores}
}

// proposable gives a change in the form in which it goes into the log: a config as the
// difference from the one that it is to replace, if that is held here. Every replica then
// holds that one when it applies the entry, or refuses it by the number expected.
func proposable(view *feed.View, change feed.Change) feed.Change {
	if !change.Expects || change.Expected != view.ConfigNumber {
		return change
	}
	return change.Compact(view)
}

// controlImage encodes a snapshot of the control group.
func controlImage(view *feed.View, history feed.History) []byte {
	return wire.MustEncode(schema.ControlImage_TypeID, &wire.ControlImage{
		Version: controlImageFormat, PackedView: wire.PackView(view), Changes: history.Changes, Earlier: history.Earlier,
	})
}

// Snapshot is the snapshot of the control group.
func (machine *feedMachine) Snapshot() func() []byte {
	state := machine.state()
	return func() []byte { return controlImage(state.view, state.history) }
}

// Restore replaces the content by a snapshot's.
func (machine *feedMachine) Restore(data []byte) error {
	var image wire.ControlImage
	if err := wire.Decode(schema.ControlImage_TypeID, data, &image); err != nil {
		return err
	}
	if image.Version > controlImageFormat {
		return apierror.New(apierror.FormatTooNew, fmt.Sprintf("control snapshot of format %d", image.Version), "run the newer version of the program")
	}
	next, err := restoredState(&image)
	if err != nil {
		return err
	}
	machine.publish(next)
	return nil
}

func restoredState(image *wire.ControlImage) (*feedState, error) {
	view, history := &image.View, feed.History{Changes: image.Changes, Earlier: image.Earlier}
	if image.Version <= wholeChangesFormat {
		history = feed.FromWhole(image.Changes)
		view.Compiled = bytes.Clone(view.Compiled) // else it would hold the whole image
	} else {
		unpacked, err := wire.UnpackView(image.PackedView)
		if err != nil {
			return nil, err
		}
		view = unpacked
	}
	return &feedState{view: view, history: history, ordered: history.NewestOrder(view)}, nil
}
