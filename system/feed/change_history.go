package feed

import "slices"

// Limits of a History. It is bounded by bytes, so that what a control node holds depends on
// what is in force and not on how many changes led there.
const (
	maxChangesBytes = 1 << 20
	maxChanges      = 512
	maxEarlierBytes = 1 << 20
	changeOverhead  = 512 // of the fixed fields of a change
	requestSize     = 16
	itemOverhead    = 128 // of a runner or member beside its texts
)

// EarlierConfig is a config that was in force before, as the difference from the one that
// replaced it, whose number is the Base of the difference.
type EarlierConfig struct {
	Number uint64      `capnp:"number"`
	Delta  ConfigDelta `capnp:"delta"`
}

// History is how a view came about: its last changes, which bring followers up to date, and
// the configs before the one in force, which can be restored. It is never changed in place.
type History struct {
	Changes []Change
	Earlier []EarlierConfig
}

// With gives the history after a change that turned one view into another. What does not
// fit its budget any more is dropped, the oldest first.
//
//	history = history.With(&before, &after, change)
func (history History) With(before, after *View, change Change) History {
	change.View = View{}
	if change.Kind == ChangeRecovered || change.Kind == ChangeFounded {
		return History{}
	}
	next := History{Earlier: history.Earlier}
	next.Changes = newestWithin(append(slices.Clip(history.Changes), change.Compact(before)), maxChangesBytes, Change.size)
	next.Changes = next.Changes[max(0, len(next.Changes)-maxChanges):]
	if change.Kind == ChangeConfig {
		next.Earlier = history.earlierConfigsWith(before, after)
	}
	return next
}

// earlierConfigsWith adds the config that was replaced. If its difference does not fit, those
// before it cannot be reached any more.
func (history History) earlierConfigsWith(before, after *View) []EarlierConfig {
	difference, fits := NewConfigDelta(after, before.Source, before.Compiled, maxEarlierBytes)
	if !fits {
		return nil
	}
	earlier := EarlierConfig{Number: before.ConfigNumber, Delta: difference}
	return newestWithin(append(slices.Clip(history.Earlier), earlier), maxEarlierBytes, EarlierConfig.size)
}

// newestWithin gives the last items that fit a budget, in memory of their own.
func newestWithin[Item any](items []Item, budget int, size func(Item) int) []Item {
	first := len(items)
	for first > 0 && size(items[first-1]) <= budget {
		budget -= size(items[first-1])
		first--
	}
	if first == 0 {
		return items
	}
	return slices.Clone(items[first:])
}

// size is about how many bytes a change takes in memory.
func (change Change) size() int {
	size := changeOverhead + len(change.Source) + len(change.Compiled) + change.Delta.size() + len(change.By) + len(change.Statement)
	size += requestSize * len(change.RoutingRequests)
	for _, runner := range change.Runners {
		size += itemOverhead + len(runner.Life) + len(runner.Address) + len(runner.Group) + len(runner.Domain) + len(runner.State) + len(runner.Revision)
	}
	for _, member := range change.Members {
		size += itemOverhead + len(member.Name) + len(member.Address) + len(member.Domain) + len(member.Administration) + len(member.Machine)
	}
	for _, name := range change.Removed {
		size += itemOverhead/8 + len(name)
	}
	return size
}

func (earlier EarlierConfig) size() int { return itemOverhead + earlier.Delta.size() }

// ConfigAt gives the config of a number, if it is kept: the one in force in a view, or one
// before it.
//
//	source, compiled, kept, err := history.ConfigAt(view, 17)
func (history History) ConfigAt(view *View, number uint64) (source string, compiled []byte, kept bool, err error) {
	at := View{ConfigNumber: view.ConfigNumber, Source: view.Source, Compiled: view.Compiled}
	for _, earlier := range slices.Backward(history.Earlier) {
		if at.ConfigNumber <= number {
			break
		}
		if at.Source, at.Compiled, err = earlier.Delta.apply(&at); err != nil {
			return "", nil, false, err
		}
		at.ConfigNumber = earlier.Number
	}
	return at.Source, at.Compiled, at.ConfigNumber == number && number > 0, nil
}

// NewestCommand is the number of the newest change that stores must have synced.
//
//	ordered := history.NewestCommand(view)
func (history History) NewestCommand(view *View) uint64 {
	for _, change := range slices.Backward(history.Changes) {
		if !change.Kind.IsObservation() {
			return change.Number
		}
	}
	if len(history.Changes) > 0 {
		return history.Changes[0].Number - 1
	}
	return view.Number
}

// Since gives the changes after a number up to that of a view, or false if they are not
// all kept.
//
//	changes, complete := history.Since(view, number)
func (history History) Since(view *View, number uint64) ([]Change, bool) {
	if number == view.Number {
		return nil, true
	}
	at := slices.IndexFunc(history.Changes, func(change Change) bool { return change.Number == number+1 })
	if at < 0 {
		return nil, false
	}
	return history.Changes[at:], true
}

// HistoryFromFullConfigs makes a history of changes as older versions kept them, with whole configs. The
// config before the first of them is not known, so that one is dropped with all before it.
//
//	history := feed.HistoryFromFullConfigs(image.Changes)
func HistoryFromFullConfigs(changes []Change) History {
	history, current := History{}, View{}
	for _, change := range changes {
		if change.Kind != ChangeConfig {
			history = history.With(&current, &current, change)
			continue
		}
		after := View{ConfigNumber: change.Number, Source: change.Source, Compiled: change.Compiled}
		if current.ConfigNumber == 0 {
			history = History{}
		} else {
			history = history.With(&current, &after, change)
		}
		current = after
	}
	return history
}
