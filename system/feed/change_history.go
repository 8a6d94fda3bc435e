package feed

import "slices"

// Limits of a History. Those in bytes are of estimated memory, so that what a control node holds
// depends on what is in force and not on how many changes led there (docs/consistency/feed.md).
const (
	maxChangesBytes = 1 << 20 // of the last changes together
	maxChanges      = 512     // the number of the last changes
	maxEarlierBytes = 1 << 20 // of the earlier configs together
)

// Estimates of how many bytes of memory an item takes without its texts.
const (
	changeOverhead  = 512 // a change
	requestOverhead = 16  // an accepted request
	itemOverhead    = 128 // a runner, member or earlier config
	nameOverhead    = 16  // a name alone
)

// EarlierConfig is a config that was once in force, encoded as the difference from the one
// that replaced it; the Base of the difference is the number of that one.
type EarlierConfig struct {
	Number uint64      `capnp:"number"`
	Delta  ConfigDelta `capnp:"delta"`
}

// History is how a view came about. It is immutable: With makes a new one.
type History struct {
	// Changes are the last changes, oldest first, without gaps. Followers that lag behind
	// catch up by them.
	Changes []Change
	// Earlier are the configs before the one in force, oldest first, which can be restored.
	Earlier []EarlierConfig
}

// With returns the history after a change that turned one view into another. The oldest
// parts that exceed the limits are dropped.
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

// earlierConfigsWith appends the config that was replaced. If its difference exceeds the
// limit all earlier ones are dropped too, as they are only reachable through it.
func (history History) earlierConfigsWith(before, after *View) []EarlierConfig {
	difference, fits := newConfigDelta(after, before.Source, before.Compiled, maxEarlierBytes)
	if !fits {
		return nil
	}
	earlier := EarlierConfig{Number: before.ConfigNumber, Delta: difference}
	return newestWithin(append(slices.Clip(history.Earlier), earlier), maxEarlierBytes, EarlierConfig.size)
}

// newestWithin returns the last items whose sizes fit a budget. They are copied when some
// are dropped, so that the dropped ones do not stay in memory.
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

// size estimates how many bytes a change takes in memory.
func (change Change) size() int {
	size := changeOverhead + len(change.Source) + len(change.Compiled) + change.Delta.size() + len(change.By) + len(change.Statement)
	size += requestOverhead * len(change.RoutingRequests)
	for _, runner := range change.Runners {
		size += itemOverhead + len(runner.Life) + len(runner.Address) + len(runner.Group) + len(runner.Domain) + len(runner.State) + len(runner.Revision)
	}
	for _, member := range change.Members {
		size += itemOverhead + len(member.Name) + len(member.Address) + len(member.Domain) + len(member.Administration) + len(member.Machine)
	}
	for _, name := range change.Removed {
		size += nameOverhead + len(name)
	}
	return size
}

// size estimates how many bytes an earlier config takes in memory.
func (earlier EarlierConfig) size() int { return itemOverhead + earlier.Delta.size() }

// ConfigAt returns the config that the change of a number brought, where view is the newest
// view. Kept is false if no config has that number or it was dropped. The error is
// ErrBaseMismatch if the history is damaged.
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

// NewestCommand returns the number of the newest change that is not an observation, which a
// majority of the stores must sync before it is acknowledged. If the history has none it
// returns the highest number that it can have.
//
//	number := history.NewestCommand(view)
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

// Since returns the changes after a number up to the newest view. Complete is false if some
// of them were dropped.
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

// HistoryFromFullConfigs converts the changes of a snapshot of format 1, which have complete
// configs. The config before the first one is unknown, so that change and all before it are
// dropped.
//
//	history := feed.HistoryFromFullConfigs(snapshot.Changes)
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
