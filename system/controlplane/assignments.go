package controlplane

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// RosterAssignment is the key of the assignment that polls the platform's runner list.
const RosterAssignment = "roster"

const (
	rosterTimeout      = 3 * time.Second
	rosterInterval     = 500 * time.Millisecond
	assignmentInterval = 50 * time.Millisecond // how soon a new leader takes the assignments
	// coldSlack is how much longer than reported before a runner may stay cold until it is
	// reported again.
	coldSlack = 250 * time.Millisecond
)

// RosterSource gives the platform's whole list of runners, in any order. It gives no
// part of a list: where a page is missing, it fails. A failure with RetryAfter tells
// when to ask again. ColdFor counts from the reading.
type RosterSource interface {
	List(ctx context.Context) ([]feed.Runner, error)
}

type rosterState struct {
	due time.Time
	// serving is since when this node, while it has held the assignment under this fence,
	// has seen each runner serve, by its steady clock; cold is until when the feed
	// says that each is cold.
	serving map[string]time.Time
	cold    map[string]time.Time
	fence   uint64
}

// rosterReading is when a list was asked for whose content is on the feed, and under which
// fence: a later owner of the assignment may have put another one there.
type rosterReading struct {
	asked time.Time
	fence uint64
}

// runAssignments takes the assignments, under the next fence, while this node leads the control
// group, and does those that it holds. So the loss of another node moves no assignment, and
// that of the leader moves them as soon as there is another.
// It tells when it is due again.
func (node *Node) runAssignments() time.Duration {
	view := node.View()
	if view.Number == 0 || !node.host.Statuses()[controlGroup].CommittedInTerm {
		return assignmentInterval
	}
	ctx, cancel := context.WithTimeout(node.context, callTimeout+rosterTimeout)
	defer cancel()
	held := view.AssignmentOf(RosterAssignment)
	if held.Owner != node.Name() {
		node.propose(ctx, feed.Change{Kind: feed.ChangeAssignment, By: node.Name(), Assignment: feed.Assignment{Key: RosterAssignment, Owner: node.Name(), Fence: held.Fence + 1}})
		view = node.View()
		if held = view.AssignmentOf(RosterAssignment); held.Owner != node.Name() {
			return assignmentInterval
		}
	}
	node.pollRoster(ctx, view, held)
	return max(busyInterval, min(rosterInterval, time.Until(node.roster.due)))
}

// pollRoster asks the platform's list, keeps away as long as it says so, and
// puts what changed on the feed under the assignment's fence.
func (node *Node) pollRoster(ctx context.Context, view *feed.View, held feed.Assignment) {
	if time.Now().Before(node.roster.due) {
		return
	}
	// A source that was given knows itself when a runner is warm.
	source, groups, interval := node.settings.Roster, map[string]config.Group(nil), rosterInterval
	if source == nil {
		made, err := node.configOf(view)
		if err != nil || made.Platform.RunnerList == "" {
			return
		}
		node.configRoster.url = made.Platform.RunnerList
		source, groups, interval = &node.configRoster, made.Groups, time.Duration(made.Platform.Poll)
	}
	asked := time.Now()
	node.roster.due = asked.Add(interval)
	limited, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	listed, err := source.List(limited)
	if err != nil {
		if later := apierror.Of(err).RetryAfter; later > 0 {
			node.roster.due = time.Now().Add(later)
		}
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("roster_unread")
		return
	}
	if node.roster.fence != held.Fence {
		node.roster.fence, node.roster.serving, node.roster.cold = held.Fence, map[string]time.Time{}, map[string]time.Time{}
	}
	change := feed.Change{Kind: feed.ChangeRoster, By: node.Name(), Assignment: held, Expects: true, Expected: view.Number, Partial: true}
	change.Runners, change.Gone = node.roster.compare(view.Runners, listed, groups, asked)
	if len(change.Runners)+len(change.Gone) == 0 {
		node.rosterReading.Store(&rosterReading{asked, held.Fence})
		return
	}
	if _, err := node.Change(ctx, change); err != nil {
		node.roster.due = asked // the feed has gone on in the meantime
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("roster_refused")
		return
	}
	node.roster.report(change.Runners, change.Gone, asked)
	node.rosterReading.Store(&rosterReading{asked, held.Fence})
}

// report keeps until when the feed says that runners are cold, by a list asked for at a time.
func (roster *rosterState) report(changed []feed.Runner, gone []string, asked time.Time) {
	for _, runner := range changed {
		if delete(roster.cold, runner.Identity()); runner.State == feed.Cold {
			roster.cold[runner.Identity()] = asked.Add(runner.ColdFor)
		}
	}
	for _, name := range gone {
		delete(roster.cold, name)
	}
}

// compare finds the runners of a list that are new or not as the feed says, and those of
// the feed that are not listed any more. It keeps since when each runner is in its state,
// where becoming cold again is a new state, and tells which have served for their group's ramp.
func (roster *rosterState) compare(before, listed []feed.Runner, groups map[string]config.Group, now time.Time) (changed []feed.Runner, gone []string) {
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
		if found && old.State == runner.State && !roster.coldAnew(runner, now) {
			runner.Since, runner.Warmed = old.Since, old.Warmed
		}
		since, served := roster.serving[name]
		switch {
		case runner.State != feed.Serving:
			delete(roster.serving, name)
		case !served:
			roster.serving[name] = now
			runner.Warmed = runner.Warmed || groups == nil
		default:
			runner.Warmed = runner.Warmed || now.Sub(since) >= time.Duration(groups[runner.Group].Ramp)
		}
		if !found || differs(old, runner) {
			changed = append(changed, runner)
		}
	}
	for _, runner := range before {
		if !seen[runner.Identity()] {
			gone = append(gone, runner.Identity())
			delete(roster.serving, runner.Identity())
		}
	}
	return changed, gone
}

// differs compares a runner with what the feed says of it; that it has less long to
// stay cold than before is no difference.
func differs(old, runner feed.Runner) bool {
	old.ColdFor = runner.ColdFor
	return old != runner
}

// coldAnew tells whether a runner stays cold for longer than the feed says. Until when the
// feed says that it is cold is known only to the owner of the assignment that put it there:
// it may have become cold again since an earlier owner did.
func (roster *rosterState) coldAnew(runner feed.Runner, now time.Time) bool {
	if runner.State != feed.Cold || runner.ColdFor <= 0 {
		return false
	}
	until, reported := roster.cold[runner.Identity()]
	return !reported || now.Add(runner.ColdFor).After(until.Add(coldSlack))
}
