package controlplane

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	// runnerListTimeout bounds one read of the runner list.
	runnerListTimeout = 3 * time.Second
	// runnerListInterval is how often the list of Settings.RunnerSource is read.
	runnerListInterval = 500 * time.Millisecond
	// warmUpSlack is how much later than published a warm-up may end before it counts as
	// restarted.
	warmUpSlack = 250 * time.Millisecond
)

// publishedRunnerList describes a runner list whose content is on the feed.
type publishedRunnerList struct {
	// requestedAt is when the list was requested; its content is at least as recent.
	requestedAt time.Time
	// fencingToken is the token of the lease under which it was published. A later lease holder
	// may have published another list.
	fencingToken uint64
}

// discoverRunners reads the runner list if it is due and publishes the differences on the feed
// under the fencing token of the lease. After an error with RetryAfter the next read waits for
// that long.
func (node *Node) discoverRunners(ctx context.Context, view *feed.View, lease feed.RoleLease) {
	discovery := &node.discovery
	if time.Now().Before(discovery.nextPoll) {
		return
	}
	source, groups, interval := node.runnerSource(view)
	if source == nil {
		return
	}
	requestedAt := time.Now()
	discovery.nextPoll = requestedAt.Add(interval)
	listCtx, cancel := context.WithTimeout(ctx, runnerListTimeout)
	defer cancel()
	runners, err := source.List(listCtx)
	if err != nil {
		if retryAfter := apierror.Of(err).RetryAfter; retryAfter > 0 {
			discovery.nextPoll = time.Now().Add(retryAfter)
		}
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("cannot read the runner list")
		return
	}
	if node.publishRunners(ctx, view, lease, groups, runners, requestedAt) {
		// Stored only after the change is committed: stateAsLeader relies on this order.
		node.publishedRunnerList.Store(&publishedRunnerList{requestedAt, lease.FencingToken})
	}
}

// publishRunners proposes the differences between a runner list and the runners of a view. It
// reports whether the list's content is on the feed.
func (node *Node) publishRunners(ctx context.Context, view *feed.View, lease feed.RoleLease, groups map[string]config.RunnerGroup, listed []feed.Runner, requestedAt time.Time) bool {
	discovery := &node.discovery
	discovery.beginLease(lease.FencingToken)
	change := feed.Change{Kind: feed.ChangeRunners, By: node.Name(), RoleLease: lease, Expects: true, Expected: view.Number, Partial: true}
	change.Runners, change.Removed = discovery.diff(view.Runners, listed, groups, requestedAt)
	if len(change.Runners)+len(change.Removed) == 0 {
		return true
	}
	if _, err := node.Change(ctx, change); err != nil {
		discovery.nextPoll = requestedAt // retry at once: usually the view has changed in the meantime
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("cannot publish the runner list")
		return false
	}
	discovery.recordPublished(change.Runners, change.Removed, requestedAt)
	return true
}

// runnerSource returns the source of the runner list, nil if none is configured, and how often to
// read it. Groups is nil if the source itself reports when a runner has warmed up.
func (node *Node) runnerSource(view *feed.View) (source RunnerSource, groups map[string]config.RunnerGroup, interval time.Duration) {
	if node.settings.RunnerSource != nil {
		return node.settings.RunnerSource, nil, runnerListInterval
	}
	decoded, err := node.decodeConfig(view)
	if err != nil || decoded.Platform.RunnerList == "" {
		return nil, nil, 0
	}
	node.configRunners.url = decoded.Platform.RunnerList
	return &node.configRunners, decoded.RunnerGroups, time.Duration(decoded.Platform.Poll)
}

// runnerDiscovery is the in-memory state of the holder of RunnerDiscoveryRole. Only the role
// lease task uses it. A new lease starts with empty maps.
type runnerDiscovery struct {
	// nextPoll is when the list is read next.
	nextPoll time.Time
	// servingSince is when this node first saw each runner serving under this lease, by its
	// monotonic clock.
	servingSince map[string]time.Time
	// warmUpEnds is when the warm-up of each runner ends, as published on the feed.
	warmUpEnds map[string]time.Time
	// fencingToken is the token of the lease to which the maps belong.
	fencingToken uint64
}

// beginLease discards the state recorded under another lease.
func (discovery *runnerDiscovery) beginLease(fencingToken uint64) {
	if discovery.fencingToken != fencingToken {
		discovery.fencingToken = fencingToken
		discovery.servingSince, discovery.warmUpEnds = map[string]time.Time{}, map[string]time.Time{}
	}
}

// diff returns the runners of a list that are new or differ from those on the feed, and the
// identities of those that are no longer listed. If a runner is listed twice, the first entry is
// used. Groups is nil if the source itself reports when a runner has warmed up.
func (discovery *runnerDiscovery) diff(before, listed []feed.Runner, groups map[string]config.RunnerGroup, now time.Time) (changed []feed.Runner, removed []string) {
	published := make(map[string]feed.Runner, len(before))
	for _, runner := range before {
		published[runner.Identity()] = runner
	}
	seen := make(map[string]bool, len(listed))
	for _, runner := range listed {
		name := runner.Identity()
		if seen[name] {
			continue
		}
		seen[name] = true
		old, found := published[name]
		runner.Since, runner.Warmed = now.UnixNano(), false
		if found && old.State == runner.State && !discovery.warmUpRestarted(runner, now) {
			runner.Since, runner.Warmed = old.Since, old.Warmed
		}
		runner.Warmed = discovery.recordServing(runner, groups, now) || runner.Warmed
		if !found || runnerDiffers(old, runner) {
			changed = append(changed, runner)
		}
	}
	for _, runner := range before {
		if !seen[runner.Identity()] {
			removed = append(removed, runner.Identity())
			delete(discovery.servingSince, runner.Identity())
		}
	}
	return changed, removed
}

// recordServing records when a runner was first seen serving, and reports whether it has since
// served for its group's warm-up period. Without groups it counts as warmed up once it serves.
func (discovery *runnerDiscovery) recordServing(runner feed.Runner, groups map[string]config.RunnerGroup, now time.Time) bool {
	name := runner.Identity()
	since, served := discovery.servingSince[name]
	switch {
	case runner.State != feed.StateServing:
		delete(discovery.servingSince, name)
		return false
	case !served:
		discovery.servingSince[name] = now
		return groups == nil
	default:
		return now.Sub(since) >= time.Duration(groups[runner.Group].WarmUp)
	}
}

// runnerDiffers reports whether a runner differs from its entry on the feed, apart from the time
// left of its warm-up.
func runnerDiffers(old, runner feed.Runner) bool {
	old.WarmUpLeft = runner.WarmUpLeft
	return old != runner
}

// warmUpRestarted reports whether a runner's warm-up ends later than published, so that it must
// have been restarted. Only the lease holder that published a warm-up knows when it ends; for any
// other holder every warm-up counts as restarted.
func (discovery *runnerDiscovery) warmUpRestarted(runner feed.Runner, now time.Time) bool {
	if runner.State != feed.StateWarmingUp || runner.WarmUpLeft <= 0 {
		return false
	}
	ends, published := discovery.warmUpEnds[runner.Identity()]
	return !published || now.Add(runner.WarmUpLeft).After(ends.Add(warmUpSlack))
}

// recordPublished records when the published warm-ups end, counted from when the list was
// requested.
func (discovery *runnerDiscovery) recordPublished(changed []feed.Runner, removed []string, requestedAt time.Time) {
	for _, runner := range changed {
		if delete(discovery.warmUpEnds, runner.Identity()); runner.State == feed.StateWarmingUp {
			discovery.warmUpEnds[runner.Identity()] = requestedAt.Add(runner.WarmUpLeft)
		}
	}
	for _, name := range removed {
		delete(discovery.warmUpEnds, name)
	}
}
