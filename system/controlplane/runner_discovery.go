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
	runnerListTimeout  = 3 * time.Second
	runnerListInterval = 500 * time.Millisecond
	roleLeaseInterval  = 50 * time.Millisecond // how soon a new leader takes the assignments
	// warmUpSlack is how much longer than reported before a runner may stay cold until it is
	// reported again.
	warmUpSlack = 250 * time.Millisecond
)

// runnersReading is when a list was asked for whose content is on the feed, and under which
// fence: a later owner of the assignment may have put another one there.
type runnersReading struct {
	requestedAt  time.Time
	fencingToken uint64
}

// discoverRunners asks the platform's list, keeps away as long as it says so, and
// puts what changed on the feed under the assignment's fence.
func (node *Node) discoverRunners(ctx context.Context, view *feed.View, lease feed.RoleLease) {
	if time.Now().Before(node.discovery.nextPoll) {
		return
	}
	// A source that was given knows itself when a runner is warm.
	source, groups, interval := node.settings.RunnerSource, map[string]config.Group(nil), runnerListInterval
	if source == nil {
		decoded, err := node.decodeConfig(view)
		if err != nil || decoded.Platform.RunnerList == "" {
			return
		}
		node.configRunners.url = decoded.Platform.RunnerList
		source, groups, interval = &node.configRunners, decoded.Groups, time.Duration(decoded.Platform.Poll)
	}
	requestedAt := time.Now()
	node.discovery.nextPoll = requestedAt.Add(interval)
	limited, cancel := context.WithTimeout(ctx, runnerListTimeout)
	defer cancel()
	runners, err := source.List(limited)
	if err != nil {
		if later := apierror.Of(err).RetryAfter; later > 0 {
			node.discovery.nextPoll = time.Now().Add(later)
		}
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("roster_unread")
		return
	}
	if node.discovery.fencingToken != lease.FencingToken {
		node.discovery.fencingToken, node.discovery.servingSince, node.discovery.warmUpEnds = lease.FencingToken, map[string]time.Time{}, map[string]time.Time{}
	}
	change := feed.Change{Kind: feed.ChangeRunners, By: node.Name(), RoleLease: lease, Expects: true, Expected: view.Number, Partial: true}
	change.Runners, change.Removed = node.discovery.diff(view.Runners, runners, groups, requestedAt)
	if len(change.Runners)+len(change.Removed) == 0 {
		node.runnersReading.Store(&runnersReading{requestedAt, lease.FencingToken})
		return
	}
	if _, err := node.Change(ctx, change); err != nil {
		node.discovery.nextPoll = requestedAt // the feed has gone on in the meantime
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("roster_refused")
		return
	}
	node.discovery.recordPublished(change.Runners, change.Removed, requestedAt)
	node.runnersReading.Store(&runnersReading{requestedAt, lease.FencingToken})
}

type runnerDiscovery struct {
	nextPoll time.Time
	// servingSince is since when this node, while it has held the assignment under this fence,
	// has seen each runner serve, by its steady clock; cold is until when the feed
	// says that each is cold.
	servingSince map[string]time.Time
	warmUpEnds   map[string]time.Time
	fencingToken uint64
}

// diff finds the runners of a list that are new or not as the feed says, and those of
// the feed that are not listed any more. It keeps since when each runner is in its state,
// where becoming cold again is a new state, and tells which have served for their group's ramp.
func (discovery *runnerDiscovery) diff(before, listed []feed.Runner, groups map[string]config.Group, now time.Time) (changed []feed.Runner, removed []string) {
	known := make(map[string]feed.Runner, len(before))
	for _, runner := range before {
		known[runner.Identity()] = runner
	}
	seen := make(map[string]bool, len(listed))
	for _, runner := range listed {
		name := runner.Identity()
		if seen[name] {
			continue
		}
		seen[name] = true
		old, found := known[name]
		runner.Since, runner.Warmed = now.UnixNano(), false
		if found && old.State == runner.State && !discovery.warmsUpAgain(runner, now) {
			runner.Since, runner.Warmed = old.Since, old.Warmed
		}
		since, served := discovery.servingSince[name]
		switch {
		case runner.State != feed.StateServing:
			delete(discovery.servingSince, name)
		case !served:
			discovery.servingSince[name] = now
			runner.Warmed = runner.Warmed || groups == nil
		default:
			runner.Warmed = runner.Warmed || now.Sub(since) >= time.Duration(groups[runner.Group].SlowStart)
		}
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

// runnerDiffers compares a runner with what the feed says of it; that it has less long to
// stay cold than before is no difference.
func runnerDiffers(old, runner feed.Runner) bool {
	old.WarmUpLeft = runner.WarmUpLeft
	return old != runner
}

// warmsUpAgain tells whether a runner stays cold for longer than the feed says. Until when the
// feed says that it is cold is known only to the owner of the assignment that put it there:
// it may have become cold again since an earlier owner did.
func (discovery *runnerDiscovery) warmsUpAgain(runner feed.Runner, now time.Time) bool {
	if runner.State != feed.StateWarmingUp || runner.WarmUpLeft <= 0 {
		return false
	}
	until, reported := discovery.warmUpEnds[runner.Identity()]
	return !reported || now.Add(runner.WarmUpLeft).After(until.Add(warmUpSlack))
}

// recordPublished keeps until when the feed says that runners are cold, by a list asked for at a time.
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
