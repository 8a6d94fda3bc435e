package controlplane

import (
	"slices"
	"testing"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// TestRunnerDiffReportsOnlyChanges checks which runners are reported as changed and as removed
// between successive lists.
func TestRunnerDiffReportsOnlyChanges(t *testing.T) {
	runner := func(life, state string, warmUpLeft time.Duration) feed.Runner {
		return feed.Runner{Incarnation: life, Address: "10.0.3.1:8000", Group: "small", Domain: "east", State: state, WarmUpLeft: warmUpLeft}
	}
	a, b := runner("a", feed.StateServing, 0), runner("b", feed.StateServing, 0)
	moved := a
	moved.Address = "10.0.3.9:8000"
	type step struct {
		after   time.Duration
		listed  []feed.Runner
		changed []string
		removed []string
	}
	for name, steps := range map[string][]step{
		"added, unchanged, removed": {
			{0, []feed.Runner{a, b}, []string{"a", "b"}, nil},
			{time.Second, []feed.Runner{b, a}, nil, nil},
			{time.Second, []feed.Runner{b}, nil, []string{"a"}},
			{time.Second, nil, nil, []string{"b"}},
		},
		"listed twice": {{0, []feed.Runner{a, a}, []string{"a"}, nil}},
		"new life at the same address": {
			{0, []feed.Runner{a}, []string{"a"}, nil},
			{time.Second, []feed.Runner{b}, []string{"b"}, []string{"a"}},
		},
		"same life at a new address": {
			{0, []feed.Runner{a}, []string{"a"}, nil},
			{time.Second, []feed.Runner{moved}, []string{"a"}, nil},
		},
		"warm-up that counts down and ends": {
			{0, []feed.Runner{runner("a", feed.StateWarmingUp, 3*time.Second)}, []string{"a"}, nil},
			{time.Second, []feed.Runner{runner("a", feed.StateWarmingUp, 2*time.Second)}, nil, nil},
			{time.Second, []feed.Runner{runner("a", feed.StateWarmingUp, 900*time.Millisecond)}, nil, nil},
			{time.Second, []feed.Runner{a}, []string{"a"}, nil},
		},
		"warm-up that is restarted": {
			{0, []feed.Runner{runner("a", feed.StateWarmingUp, 3*time.Second)}, []string{"a"}, nil},
			{2 * time.Second, []feed.Runner{runner("a", feed.StateWarmingUp, 2800*time.Millisecond)}, []string{"a"}, nil},
			{time.Second, []feed.Runner{runner("a", feed.StateWarmingUp, 1900*time.Millisecond)}, nil, nil},
		},
		"draining": {
			{0, []feed.Runner{a, b}, []string{"a", "b"}, nil},
			{time.Second, []feed.Runner{a, runner("b", feed.StateDraining, 0)}, []string{"b"}, nil},
		},
	} {
		t.Run(name, func(t *testing.T) {
			discovery := runnerDiscovery{servingSince: map[string]time.Time{}, warmUpEnds: map[string]time.Time{}}
			view, now := feed.View{}, time.Unix(1000, 0)
			for position, step := range steps {
				now = now.Add(step.after)
				changed, removed := discovery.diff(view.Runners, step.listed, nil, now)
				names := []string{}
				for _, reported := range changed {
					names = append(names, reported.Incarnation)
				}
				slices.Sort(names)
				if !slices.Equal(names, step.changed) || !slices.Equal(removed, step.removed) {
					t.Fatalf("step %d reports changed %v and removed %v, want %v and %v", position, names, removed, step.changed, step.removed)
				}
				discovery.recordPublished(changed, removed, now)
				view = fold(t, view, feed.Change{Number: view.Number + 1, Kind: feed.ChangeRunners, Partial: true, Runners: changed, Removed: removed})
				if len(view.Runners) > len(step.listed) {
					t.Fatalf("step %d: the view has more runners than the list: %v", position, view.Runners)
				}
			}
		})
	}
}

// TestNewLeaseHolderReportsWarmingRunnersAgain checks that a new lease holder publishes a warm-up
// which restarted before it took over: it cannot know that the published one was nearly over. It
// does not repeat what it has published itself.
func TestNewLeaseHolderReportsWarmingRunnersAgain(t *testing.T) {
	warming := feed.Runner{Incarnation: "a", Address: "10.0.3.1:8000", Group: "small", State: feed.StateWarmingUp, WarmUpLeft: 3 * time.Second}
	earlier := runnerDiscovery{servingSince: map[string]time.Time{}, warmUpEnds: map[string]time.Time{}}
	now, view := time.Unix(1000, 0), feed.View{}
	publish := func(holder *runnerDiscovery, left time.Duration) int {
		warming.WarmUpLeft = left
		changed, removed := holder.diff(view.Runners, []feed.Runner{warming}, nil, now)
		holder.recordPublished(changed, removed, now)
		view = fold(t, view, feed.Change{Number: view.Number + 1, Kind: feed.ChangeRunners, Partial: true, Runners: changed, Removed: removed})
		return len(changed)
	}
	publish(&earlier, 3*time.Second)
	since := view.Runners[0].Since
	now = now.Add(2800 * time.Millisecond)
	later := runnerDiscovery{servingSince: map[string]time.Time{}, warmUpEnds: map[string]time.Time{}}
	if publish(&later, 2200*time.Millisecond) != 1 || view.Runners[0].WarmUpLeft != 2200*time.Millisecond || view.Runners[0].Since == since {
		t.Fatalf("after the new holder published: %+v", view.Runners)
	}
	now = now.Add(time.Second)
	if publish(&later, 1200*time.Millisecond) != 0 {
		t.Fatal("the new holder published an unchanged warm-up again")
	}
	// The restarted warm-up has exactly the published time left; fronts must still see a change.
	since = view.Runners[0].Since
	if publish(&later, 2200*time.Millisecond) != 1 || view.Runners[0].Since == since {
		t.Fatalf("after the restarted warm-up: %+v", view.Runners)
	}
}

// fold applies a change to a view and fails the test if the change is rejected.
func fold(t *testing.T, view feed.View, change feed.Change) feed.View {
	t.Helper()
	next, err := feed.Fold(view, change)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestRunnerIsWarmAfterSlowStart covers lists that do not report warm-up themselves.
func TestRunnerIsWarmAfterSlowStart(t *testing.T) {
	discovery := runnerDiscovery{servingSince: map[string]time.Time{}, warmUpEnds: map[string]time.Time{}}
	groups := map[string]config.RunnerGroup{"small": {WarmUp: config.Duration(2 * time.Second)}}
	listed := []feed.Runner{{Address: "10.0.3.1:8000", Group: "small", State: feed.StateServing}}
	now, view := time.Unix(1000, 0), feed.View{}
	for position, warm := range []bool{false, false, true, true} {
		changed, removed := discovery.diff(view.Runners, listed, groups, now.Add(time.Duration(position)*time.Second))
		view = fold(t, view, feed.Change{Number: view.Number + 1, Kind: feed.ChangeRunners, Partial: true, Runners: changed, Removed: removed})
		if len(view.Runners) != 1 || view.Runners[0].Warmed != warm || view.Runners[0].Since != now.UnixNano() {
			t.Fatalf("after %d s: %+v, want warmed %v", position, view.Runners, warm)
		}
	}
}
