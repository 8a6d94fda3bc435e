package scheduler

import (
	"maps"
	"slices"

	"yardrock.example/system/feed"
	"yardrock.example/system/roundrobin"
)

// pickGroup picks a group with usable runners from a weight table by weighted round-robin. It
// returns false if there is none.
func (scheduler *Scheduler) pickGroup(state State, table string) (string, bool) {
	participants, weights := []roundrobin.Participant{}, state.Config.WeightTables[table]
	for _, group := range slices.Sorted(maps.Keys(weights)) {
		usable := slices.ContainsFunc(state.View.Runners, func(runner feed.Runner) bool {
			return runner.Group == group && Usable(state.View, runner)
		})
		if usable && weights[group] > 0 {
			participants = append(participants, roundrobin.Participant{Name: group, Weight: weights[group]})
		}
	}
	credits, found := scheduler.roundRobin[table]
	if !found {
		credits = roundrobin.Credits{}
		scheduler.roundRobin[table] = credits
	}
	best := credits.Pick(participants)
	if best < 0 {
		return "", false
	}
	return participants[best].Name, true
}
