package scheduler

import (
	"slices"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
)

const (
	// shareTakeoverDelay is how long a front waits before it takes over the share of one
	// that has left: the others must have heard of the change too.
	shareTakeoverDelay = time.Second
)

// frontList is which fronts were live, until the next list came.
type frontList struct {
	fronts     []placement.Candidate
	replacedAt time.Time
	ranks      map[string]int // of this front, by runner address
}

// rank tells which place this front has among those that share a runner.
func (list frontList) rank(runner string, itself func(placement.Candidate) bool) int {
	rank, known := list.ranks[runner]
	if !known {
		rank = slices.IndexFunc(placement.Rank(runner, list.fronts), itself)
		list.ranks[runner] = rank
	}
	return rank
}

// share cuts a runner's limit by key over the live fronts, so that all fronts
// together keep to it; where it bears less than one a front, some have none. What a
// change of the fronts takes away counts at once, what it gives only after a while.
func (scheduler *Scheduler) share(runner feed.Runner, total int, fronts []placement.Candidate, now time.Time) int {
	if !slices.ContainsFunc(fronts, scheduler.isSelf) {
		return 0
	}
	scheduler.recordFronts(fronts, now)
	share := total
	for _, list := range scheduler.frontLists {
		mine := total / len(list.fronts)
		if list.rank(runner.Address, scheduler.isSelf) < total%len(list.fronts) {
			mine++
		}
		share = min(share, mine)
	}
	return share
}

func (scheduler *Scheduler) isSelf(place placement.Candidate) bool {
	return place.Name == scheduler.front
}

// recordFronts keeps the list of fronts and those that were replaced a short time ago.
func (scheduler *Scheduler) recordFronts(fronts []placement.Candidate, now time.Time) {
	last := len(scheduler.frontLists) - 1
	if last < 0 || !slices.Equal(scheduler.frontLists[last].fronts, fronts) {
		if last >= 0 {
			scheduler.frontLists[last].replacedAt = now
		}
		scheduler.frontLists = append(scheduler.frontLists, frontList{fronts: fronts, ranks: map[string]int{}})
	}
	scheduler.frontLists = slices.DeleteFunc(scheduler.frontLists, func(list frontList) bool {
		return !list.replacedAt.IsZero() && now.Sub(list.replacedAt) >= shareTakeoverDelay
	})
}
