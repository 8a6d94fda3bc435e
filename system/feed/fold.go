package feed

import (
	"errors"
	"fmt"
	"slices"
)

// ErrGap reports that the next change is not numbered one above the view. The changes in
// between are missing; whoever holds the view must fetch a complete one.
var ErrGap = errors.New("the changes do not follow on the view held")

// maxDecommissioned bounds how many decommissioned stores a view remembers.
const maxDecommissioned = 64

// foldFuncs apply each kind of change to a copy of the view. They never change a slice in
// place, as older views share it.
var foldFuncs = map[ChangeKind]func(*View, Change){
	ChangeFounded:   func(view *View, change Change) { *view = change.View },
	ChangeRecovered: func(view *View, change Change) { *view = change.View },
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

// foldStores replaces the store list. A store that an operator enrols again is no longer
// remembered as decommissioned.
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

// mergeRunners returns the runners with some added or replaced and some removed, sorted.
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

// replaceOrAppend returns a copy of items in which item takes the place of the same one, or
// is appended if there is none.
func replaceOrAppend[Item any](items []Item, item Item, same func(Item) bool) []Item {
	items = slices.Clone(items)
	if at := slices.IndexFunc(items, same); at >= 0 {
		items[at] = item
		return items
	}
	return append(items, item)
}

// Fold returns the view after a change. A change that is not newer than the view, or of an
// unknown kind, changes nothing. It fails with ErrBaseMismatch, and returns the view as it
// was, if the change has a ConfigDelta made from another config.
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

// FoldAll folds consecutive changes; those that are not newer than the view are skipped. It
// fails with ErrGap or ErrBaseMismatch, and returns the view as far as it got.
//
//	view, err := feed.FoldAll(view, reply.Changes)
func FoldAll(view View, changes []Change) (View, error) {
	for _, change := range changes {
		if change.Number > view.Number+1 {
			return view, fmt.Errorf("%w: change %d comes after number %d", ErrGap, change.Number, view.Number)
		}
		next, err := Fold(view, change)
		if err != nil {
			return view, err
		}
		view = next
	}
	return view, nil
}
