package scheduler

import (
	"slices"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
)

// shareTakeoverDelay is how long a front waits before it uses a share that became larger
// because another front left: the others must have heard of the change too.
const shareTakeoverDelay = time.Second

// frontList is a list of the live fronts. Lists that were replaced count for
// shareTakeoverDelay more.
type frontList struct {
	fronts     []placement.Candidate
	replacedAt time.Time      // zero: it is the current one
	ranks      map[string]int // this front's rank by runner address, as far as computed
}

// rank returns this front's rank for a runner by rendezvous hashing; 0 is the highest.
func (list frontList) rank(runner string, isSelf func(placement.Candidate) bool) int {
	rank, known := list.ranks[runner]
	if !known {
		rank = slices.IndexFunc(placement.Rank(runner, list.fronts), isSelf)
		list.ranks[runner] = rank
	}
	return rank
}

// share returns this front's share of a runner's limit. The shares of all fronts never
// exceed the limit, also while the fronts hear of a change at different times: the
// smallest share under the lists of the last shareTakeoverDelay counts. What does not
// divide evenly goes to the fronts with the highest ranks, so that with a limit below the
// number of fronts some have no share.
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

// isSelf reports whether a front is this one.
func (scheduler *Scheduler) isSelf(front placement.Candidate) bool {
	return front.Name == scheduler.front
}

// recordFronts makes a list of fronts the current one and drops the lists that were
// replaced long enough ago.
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
