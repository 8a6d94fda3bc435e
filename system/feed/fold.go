package feed

import (
	"errors"
	"slices"
)

// ErrGap tells that changes do not follow on the view held.
var ErrGap = errors.New("the changes do not follow on the view held")

// maxDecommissioned is how many retired stores are remembered.
const maxDecommissioned = 64

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
	ChangeStores: func(view *View, change Change) {
		if len(view.FoundingStores) == 0 {
			view.FoundingStores = change.Members
		}
		view.Stores = change.Members
		// One that an operator enrols again is not retired any more.
		retired := slices.DeleteFunc(slices.Clone(view.Decommissioned), func(store Member) bool {
			return slices.ContainsFunc(change.Members, func(listed Member) bool { return listed.replaces(store) })
		})
		if change.Member.Name != "" {
			retired = append(retired, change.Member)
		}
		view.Decommissioned = retired[max(0, len(retired)-maxDecommissioned):]
	},
	ChangeControls: func(view *View, change Change) { view.Controls = change.Members },
	ChangeRoleLease: func(view *View, change Change) {
		view.RoleLeases = replaceOrAppend(view.RoleLeases, change.RoleLease, func(assignment RoleLease) bool { return assignment.Key == change.RoleLease.Key })
	},
}

// mergeRunners gives a list of runners with some replaced or added and some taken out, in the
// lists' order.
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
	SortRunners(next)
	return next
}

func replaceOrAppend[Item any](items []Item, item Item, same func(Item) bool) []Item {
	items = slices.Clone(items)
	if at := slices.IndexFunc(items, same); at >= 0 {
		items[at] = item
		return items
	}
	return append(items, item)
}

// Fold gives the view after a change. A change that is not newer changes nothing. If the
// change is a difference that does not fit the view, the error is ErrMismatch.
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

// FoldAll gives the view after changes that follow on it without a gap; those that are not
// newer are passed over. Otherwise the error is ErrGap or ErrMismatch, and whoever holds
// the view needs a whole one.
//
//	view, err := feed.FoldAll(view, reply.Changes)
func FoldAll(view View, changes []Change) (View, error) {
	for _, change := range changes {
		if change.Number > view.Number+1 {
			return view, ErrGap
		}
		next, err := Fold(view, change)
		if err != nil {
			return view, err
		}
		view = next
	}
	return view, nil
}
