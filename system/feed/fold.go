package feed

import (
	"errors"
	"fmt"
	"slices"
)

// ErrGap reports that changes between the view and the next change are missing. The holder of
// the view must fetch a full one.
var ErrGap = errors.New("changes are missing between the current view and the next change")

// maxDecommissioned bounds the list of decommissioned stores in a view.
const maxDecommissioned = 64

// foldFuncs apply each kind of change to a copy of the view. They must not modify slices in
// place, as older views share them.
var foldFuncs = map[ChangeKind]func(*View, Change){
	ChangeBootstrapped: func(view *View, change Change) { *view = change.View },
	ChangeRecovered:    func(view *View, change Change) { *view = change.View },
	ChangeConfig: func(view *View, change Change) {
		view.Source, view.Compiled, view.ConfigNumber = change.Source, change.Compiled, change.Number
	},
	ChangeDomain: func(view *View, change Change) {
		view.Domains = replaceOrAppend(view.Domains, change.Domain, func(domain Domain) bool { return domain.Name == change.Domain.Name })
	},
	ChangeRunners: func(view *View, change Change) {
		if change.Partial {
			view.Runners = mergeRunners(view.Runners, change.Runners, change.Removed)
		} else {
			view.Runners = change.Runners
		}
	},
	ChangeStores:   foldStores,
	ChangeControls: func(view *View, change Change) { view.Controls = change.Members },
	ChangeRoleLease: func(view *View, change Change) {
		view.RoleLeases = replaceOrAppend(view.RoleLeases, change.RoleLease, func(lease RoleLease) bool { return lease.Key == change.RoleLease.Key })
	},
}

// foldStores replaces the store list. A store that is enrolled again is removed from the
// decommissioned ones.
func foldStores(view *View, change Change) {
	if len(view.FoundingStores) == 0 {
		view.FoundingStores = change.Members
	}
	view.Stores = change.Members
	decommissioned := slices.DeleteFunc(slices.Clone(view.Decommissioned), func(store Member) bool {
		return slices.ContainsFunc(change.Members, func(listed Member) bool { return listed.replaces(store) })
	})
	if change.Member.Name != "" {
		decommissioned = append(decommissioned, change.Member)
	}
	view.Decommissioned = decommissioned[max(0, len(decommissioned)-maxDecommissioned):]
}

// mergeRunners returns the sorted runners after adding or replacing some and removing others.
func mergeRunners(runners, changed []Runner, removed []string) []Runner {
	omitted := make(map[string]bool, len(changed)+len(removed))
	for _, runner := range changed {
		omitted[runner.Identity()] = true
	}
	for _, name := range removed {
		omitted[name] = true
	}
	next := make([]Runner, 0, len(runners)+len(changed))
	for _, runner := range runners {
		if !omitted[runner.Identity()] {
			next = append(next, runner)
		}
	}
	next = append(next, changed...)
	sortRunners(next)
	return next
}

// replaceOrAppend returns a copy of items in which item replaces the first one that matches, or
// is appended if none does.
func replaceOrAppend[Item any](items []Item, item Item, matches func(Item) bool) []Item {
	items = slices.Clone(items)
	if index := slices.IndexFunc(items, matches); index >= 0 {
		items[index] = item
		return items
	}
	return append(items, item)
}

// Fold returns the view after a change. A change that is not newer than the view, or of an
// unknown kind, is ignored. If the change has a ConfigDelta with another base config, Fold
// returns the unchanged view and ErrBaseMismatch.
//
//	view, err := feed.Fold(view, change)
func Fold(view View, change Change) (View, error) {
	fold, known := foldFuncs[change.Kind]
	if !known || change.Number <= view.Number {
		return view, nil
	}
	if !change.Delta.IsZero() {
		source, compiled, err := change.Delta.apply(&view)
		if err != nil {
			return view, err
		}
		change.Source, change.Compiled = source, compiled
	}
	fold(&view, change)
	view.recordRequests(change)
	view.Number = change.Number
	return view, nil
}

// FoldAll folds consecutive changes; those that are not newer than the view are skipped. With
// ErrGap or ErrBaseMismatch it returns the view before the change that failed.
//
//	view, err := feed.FoldAll(view, reply.Changes)
func FoldAll(view View, changes []Change) (View, error) {
	for _, change := range changes {
		if change.Number > view.Number+1 {
			return view, fmt.Errorf("%w: next change is %d, view is at %d", ErrGap, change.Number, view.Number)
		}
		next, err := Fold(view, change)
		if err != nil {
			return view, err
		}
		view = next
	}
	return view, nil
}
