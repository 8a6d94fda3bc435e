package scheduler

import (
	"maps"
	"slices"

	"yardrock.example/system/feed"
	"yardrock.example/system/roundrobin"
)

// pickGroup picks one of the groups of a weight table that have usable runners, by
// weighted round-robin. It returns false if no group has usable runners.
func (scheduler *Scheduler) pickGroup(state State, table string) (string, bool) {
	shares, weights := []roundrobin.Share{}, state.Config.Tables[table]
	for _, group := range slices.Sorted(maps.Keys(weights)) {
		usable := slices.ContainsFunc(state.View.Runners, func(runner feed.Runner) bool {
			return runner.Group == group && Usable(state.View, runner)
		})
		if usable && weights[group] > 0 {
			shares = append(shares, roundrobin.Share{Name: group, Weight: weights[group]})
		}
	}
	credits, found := scheduler.roundRobin[table]
	if !found {
		credits = roundrobin.Credits{}
		scheduler.roundRobin[table] = credits
	}
	best := credits.Pick(shares)
	if best < 0 {
		return "", false
	}
	return shares[best].Name, true
}
