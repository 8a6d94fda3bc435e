package scheduler

import (
	"maps"
	"slices"

	"yardrock.example/system/feed"
)

// pickGroup picks one of the groups of a weight table that have usable runners, by
// smooth weighted round-robin: over any sequence of picks each group's count stays within
// one of its weight's share. It returns false if no group has usable runners.
func (scheduler *Scheduler) pickGroup(state State, table string) (string, bool) {
	weights := map[string]float64{}
	total := 0.0
	for group, weight := range state.Config.Tables[table] {
		usable := slices.ContainsFunc(state.View.Runners, func(runner feed.Runner) bool {
			return runner.Group == group && Usable(state.View, runner)
		})
		if usable && weight > 0 {
			weights[group] = weight
			total += weight
		}
	}
	credits, found := scheduler.roundRobin[table]
	if !found {
		credits = map[string]float64{}
		scheduler.roundRobin[table] = credits
	}
	for group := range credits {
		if _, still := weights[group]; !still {
			delete(credits, group)
		}
	}
	best := ""
	for _, group := range slices.Sorted(maps.Keys(weights)) {
		credits[group] += weights[group] / total
		if best == "" || credits[group] > credits[best] {
			best = group
		}
	}
	if best != "" {
		credits[best]--
	}
	return best, best != ""
}
