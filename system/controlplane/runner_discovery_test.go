package controlplane

import (
	"slices"
	"testing"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// TestRunnerDiffReportsOnlyChanges compares lists that follow one another, each so long
// after the last, and names the runners that are told as changed and as gone.
func TestRunnerDiffReportsOnlyChanges(t *testing.T) {
	runner := func(life, state string, cold time.Duration) feed.Runner {
		return feed.Runner{Life: life, Address: "10.0.3.1:8000", Group: "small", Domain: "east", State: state, WarmUpLeft: cold}
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
		"new, the same, gone": {
			{0, []feed.Runner{a, b}, []string{"a", "b"}, nil},
			{time.Second, []feed.Runner{b, a}, nil, nil},
			{time.Second, []feed.Runner{b}, nil, []string{"a"}},
			{time.Second, nil, nil, []string{"b"}},
		},
		"listed twice": {{0, []feed.Runner{a, a}, []string{"a"}, nil}},
		"another life at the address": {
			{0, []feed.Runner{a}, []string{"a"}, nil},
			{time.Second, []feed.Runner{b}, []string{"b"}, []string{"a"}},
		},
		"another address of the life": {
			{0, []feed.Runner{a}, []string{"a"}, nil},
			{time.Second, []feed.Runner{moved}, []string{"a"}, nil},
		},
		"cold that counts down, and is over": {
			{0, []feed.Runner{runner("a", feed.StateWarmingUp, 3*time.Second)}, []string{"a"}, nil},
			{time.Second, []feed.Runner{runner("a", feed.StateWarmingUp, 2*time.Second)}, nil, nil},
			{time.Second, []feed.Runner{runner("a", feed.StateWarmingUp, 900*time.Millisecond)}, nil, nil},
			{time.Second, []feed.Runner{a}, []string{"a"}, nil},
		},
		"cold again while cold": {
			{0, []feed.Runner{runner("a", feed.StateWarmingUp, 3*time.Second)}, []string{"a"}, nil},
			{2 * time.Second, []feed.Runner{runner("a", feed.StateWarmingUp, 2800*time.Millisecond)}, []string{"a"}, nil},
			{time.Second, []feed.Runner{runner("a", feed.StateWarmingUp, 1900*time.Millisecond)}, nil, nil},
		},
		"leaving": {
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
				for _, one := range changed {
					names = append(names, one.Life)
				}
				slices.Sort(names)
				if !slices.Equal(names, step.changed) || !slices.Equal(removed, step.removed) {
					t.Fatalf("step %d tells %v and gone %v, not %v and %v", position, names, removed, step.changed, step.removed)
				}
				discovery.recordPublished(changed, removed, now)
				view = fold(t, view, feed.Change{Number: view.Number + 1, Kind: feed.ChangeRunners, Partial: true, Runners: changed, Removed: removed})
				if len(view.Runners) > len(step.listed) {
					t.Fatalf("step %d: the view has %v", position, view.Runners)
				}
			}
		})
	}
}

// TestNewLeaseHolderReportsWarmingRunnersAgain has a runner become cold again while it is cold, and
// the assignment change hands before that is reported: the new owner can't know that the
// feed's time was nearly over. What it has reported itself it doesn't repeat.
func TestNewLeaseHolderReportsWarmingRunnersAgain(t *testing.T) {
	cold := feed.Runner{Life: "a", Address: "10.0.3.1:8000", Group: "small", State: feed.StateWarmingUp, WarmUpLeft: 3 * time.Second}
	earlier := runnerDiscovery{servingSince: map[string]time.Time{}, warmUpEnds: map[string]time.Time{}}
	now, view := time.Unix(1000, 0), feed.View{}
	take := func(owner *runnerDiscovery, left time.Duration) int {
		cold.WarmUpLeft = left
		changed, removed := owner.diff(view.Runners, []feed.Runner{cold}, nil, now)
		owner.recordPublished(changed, removed, now)
		view = fold(t, view, feed.Change{Number: view.Number + 1, Kind: feed.ChangeRunners, Partial: true, Runners: changed, Removed: removed})
		return len(changed)
	}
	take(&earlier, 3*time.Second)
	since := view.Runners[0].Since
	now = now.Add(2800 * time.Millisecond)
	later := runnerDiscovery{servingSince: map[string]time.Time{}, warmUpEnds: map[string]time.Time{}}
	if take(&later, 2200*time.Millisecond) != 1 || view.Runners[0].WarmUpLeft != 2200*time.Millisecond || view.Runners[0].Since == since {
		t.Fatalf("the new owner leaves %+v", view.Runners)
	}
	now = now.Add(time.Second)
	if take(&later, 1200*time.Millisecond) != 0 {
		t.Fatal("the new owner repeats what it reported")
	}
	// Cold again for exactly as long as was reported last: fronts must see a difference.
	since = view.Runners[0].Since
	if take(&later, 2200*time.Millisecond) != 1 || view.Runners[0].Since == since {
		t.Fatalf("cold again leaves %+v", view.Runners)
	}
}

func fold(t *testing.T, view feed.View, change feed.Change) feed.View {
	t.Helper()
	next, err := feed.Fold(view, change)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestRunnerIsWarmAfterSlowStart holds for lists that don't tell it.
func TestRunnerIsWarmAfterSlowStart(t *testing.T) {
	discovery := runnerDiscovery{servingSince: map[string]time.Time{}, warmUpEnds: map[string]time.Time{}}
	groups := map[string]config.Group{"small": {SlowStart: config.Duration(2 * time.Second)}}
	listed := []feed.Runner{{Address: "10.0.3.1:8000", Group: "small", State: feed.StateServing}}
	now, view := time.Unix(1000, 0), feed.View{}
	for position, warm := range []bool{false, false, true, true} {
		changed, removed := discovery.diff(view.Runners, listed, groups, now.Add(time.Duration(position)*time.Second))
		view = fold(t, view, feed.Change{Number: view.Number + 1, Kind: feed.ChangeRunners, Partial: true, Runners: changed, Removed: removed})
		if len(view.Runners) != 1 || view.Runners[0].Warmed != warm || view.Runners[0].Since != now.UnixNano() {
			t.Fatalf("after %d s: %+v, not warm: %v", position, view.Runners, warm)
		}
	}
}
