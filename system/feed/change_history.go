package feed

import "slices"

// Limits of a History. The limits in bytes apply to estimated memory, so that the memory of a
// control node does not grow with the number of changes (docs/consistency/feed.md).
const (
	maxChangesBytes = 1 << 20 // total size of the last changes
	maxChanges      = 512     // number of the last changes
	maxEarlierBytes = 1 << 20 // total size of the earlier configs
)

// Estimated memory in bytes of an item without its strings and byte slices.
const (
	changeOverhead  = 512 // a change
	requestOverhead = 16  // an accepted request
	itemOverhead    = 128 // a runner, member or earlier config
	nameOverhead    = 16  // a name
)

// EarlierConfig is a previous config, encoded as a delta on the config that replaced it; the Base
// of the delta is the number of that config.
type EarlierConfig struct {
	Number uint64      `capnp:"number"`
	Delta  ConfigDelta `capnp:"delta"`
}

// History is the last changes and the previous configs of a view. It is immutable: With returns
// a new one.
type History struct {
	// Changes are the last changes, oldest first, without gaps. Followers that lag behind use
	// them to catch up.
	Changes []Change
	// Earlier are the configs before the current one, oldest first, which can be restored.
	Earlier []EarlierConfig
}

// With returns the history after a change from one view to another. The oldest changes and
// configs above the limits are dropped.
//
//	history = history.With(&before, &after, change)
func (history History) With(before, after *View, change Change) History {
	change.View = View{}
	if change.Kind == ChangeRecovered || change.Kind == ChangeBootstrapped {
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

// earlierConfigsWith appends the replaced config to the earlier ones. If its delta exceeds the
// limit, all earlier configs are dropped too, as their chain of deltas starts with it.
func (history History) earlierConfigsWith(before, after *View) []EarlierConfig {
	configDelta, fits := newConfigDelta(after, before.Source, before.Compiled, maxEarlierBytes)
	if !fits {
		return nil
	}
	earlier := EarlierConfig{Number: before.ConfigNumber, Delta: configDelta}
	return newestWithin(append(slices.Clip(history.Earlier), earlier), maxEarlierBytes, EarlierConfig.size)
}

// newestWithin returns the last items whose total size fits the budget. It copies them if some
// are dropped, so that the dropped ones can be garbage collected.
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

// size estimates the memory of a change in bytes.
func (change Change) size() int {
	size := changeOverhead + len(change.Source) + len(change.Compiled) + change.Delta.size() + len(change.By) + len(change.Statement)
	size += requestOverhead * len(change.RoutingRequests)
	for _, runner := range change.Runners {
		size += itemOverhead + len(runner.Incarnation) + len(runner.Address) + len(runner.Group) + len(runner.Domain) + len(runner.State) + len(runner.Revision)
	}
	for _, member := range change.Members {
		size += itemOverhead + len(member.Name) + len(member.Address) + len(member.Domain) + len(member.AdminAddress) + len(member.Machine)
	}
	for _, name := range change.Removed {
		size += nameOverhead + len(name)
	}
	return size
}

// size estimates the memory of an earlier config in bytes.
func (earlier EarlierConfig) size() int { return itemOverhead + earlier.Delta.size() }

// ConfigAt returns the config that the change with a number set; view must be the newest view.
// Found is false if no config has that number or it was dropped. The error is ErrBaseMismatch
// if the history is corrupted.
//
//	source, compiled, found, err := history.ConfigAt(view, 17)
func (history History) ConfigAt(view *View, number uint64) (source string, compiled []byte, found bool, err error) {
	config := View{ConfigNumber: view.ConfigNumber, Source: view.Source, Compiled: view.Compiled}
	for _, earlier := range slices.Backward(history.Earlier) {
		if config.ConfigNumber <= number {
			break
		}
		if config.Source, config.Compiled, err = earlier.Delta.apply(&config); err != nil {
			return "", nil, false, err
		}
		config.ConfigNumber = earlier.Number
	}
	return config.Source, config.Compiled, config.ConfigNumber == number && number > 0, nil
}

// NewestCommand returns the number of the newest change that is not an observation, which a
// majority of the stores must sync before it is acknowledged. If the history has none, it
// returns an upper bound: the number before the oldest change, or that of the view.
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

// Since returns the changes after a number up to the newest view. Complete is false if some of
// them were dropped.
//
//	changes, complete := history.Since(view, number)
func (history History) Since(view *View, number uint64) ([]Change, bool) {
	if number == view.Number {
		return nil, true
	}
	first := slices.IndexFunc(history.Changes, func(change Change) bool { return change.Number == number+1 })
	if first < 0 {
		return nil, false
	}
	return history.Changes[first:], true
}

// HistoryFromFullConfigs converts the changes of a snapshot of format 1, which have full configs.
// The config before the first config change is unknown, so that change and all before it are
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
