package scheduler

import (
	"slices"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
)

// shareTakeoverDelay is how long a front waits before it uses a larger share after a change
// of the front list, so that the other fronts have received the change too.
const shareTakeoverDelay = time.Second

// frontList is a list of the live fronts. A replaced list still limits the shares for
// shareTakeoverDelay.
type frontList struct {
	fronts     []placement.Candidate
	replacedAt time.Time      // zero for the current list
	ranks      map[string]int // cache of this front's rank by runner address
}

// rank returns this front's rank for a runner by rendezvous hashing; rank 0 is the best.
func (list frontList) rank(runner string, isSelf func(placement.Candidate) bool) int {
	rank, known := list.ranks[runner]
	if !known {
		rank = slices.IndexFunc(placement.Rank(runner, list.fronts), isSelf)
		list.ranks[runner] = rank
	}
	return rank
}

// share returns this front's share of a runner's limit. The sum of the shares of all fronts
// never exceeds the limit, even if they learn of a change of the front list at different
// times: the smallest share under any list of the last shareTakeoverDelay is used. The
// remainder of the division goes to the best-ranked fronts, so if the limit is less than the
// number of fronts, some have no share.
func (scheduler *Scheduler) share(runner feed.Runner, limit int, fronts []placement.Candidate, now time.Time) int {
	if !slices.ContainsFunc(fronts, scheduler.isSelf) {
		return 0
	}
	scheduler.recordFronts(fronts, now)
	smallest := limit
	for _, list := range scheduler.frontLists {
		share := limit / len(list.fronts)
		if list.rank(runner.Address, scheduler.isSelf) < limit%len(list.fronts) {
			share++
		}
		smallest = min(smallest, share)
	}
	return smallest
}

// isSelf reports whether the candidate is this front.
func (scheduler *Scheduler) isSelf(front placement.Candidate) bool {
	return front.Name == scheduler.front
}

// recordFronts makes a list of fronts the current one and drops the lists that were replaced
// at least shareTakeoverDelay ago.
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
