package scheduler

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
)

var turnKind = config.WorkKind{Serves: "turn", WeightTable: "talk", Urgency: "normal"}

// newState returns a state with one front and one runner for each of the weighted groups.
func newState(weights map[string]float64, concurrency int) State {
	state := State{
		View:   &feed.View{},
		Config: &config.Config{WeightTables: map[string]map[string]float64{"talk": weights}, RunnerGroups: map[string]config.RunnerGroup{}, Limits: config.Limits{Queue: 2, QueueTimeout: config.Duration(2 * time.Second)}},
		Fronts: []placement.Candidate{{Name: "front"}},
	}
	for group := range weights {
		state.Config.RunnerGroups[group] = config.RunnerGroup{Concurrency: concurrency, WarmUpConcurrency: 1}
		state.View.Runners = append(state.View.Runners, feed.Runner{Address: group + ":1", Group: group, Domain: "east", State: feed.StateServing})
	}
	return state
}

func TestWeightedRoundRobinHoldsOverAnyWindow(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260105)
	properties := gopter.NewProperties(parameters)
	properties.Property("each window is within two picks of the weights", prop.ForAll(func(first, second, third, retuned int) string {
		weights := map[string]float64{"a": float64(first), "b": float64(second), "c": float64(third)}
		state := newState(weights, 1000000)
		scheduler := New("front", "east", func() State { return state }, func(string, bool) {})
		for _, weights := range []map[string]float64{weights, {"a": float64(retuned), "b": float64(second), "c": float64(third)}} {
			state = newState(weights, 1000000)
			picked := []string{}
			for range 300 {
				slot, err := scheduler.Acquire(context.Background(), turnKind, "depot")
				if err != nil {
					return err.Error()
				}
				picked = append(picked, slot.Group)
			}
			total := weights["a"] + weights["b"] + weights["c"]
			for _, window := range []int{10, 37, 100} {
				for from := 20; from+window <= len(picked); from++ {
					counts := map[string]float64{}
					for _, group := range picked[from : from+window] {
						counts[group]++
					}
					for group, weight := range weights {
						if math.Abs(counts[group]-float64(window)*weight/total) > 2 {
							return fmt.Sprintf("group %s got %v of %d picks for weights %v", group, counts[group], window, weights)
						}
					}
				}
			}
		}
		return ""
	}, gen.IntRange(1, 9), gen.IntRange(0, 9), gen.IntRange(0, 9), gen.IntRange(1, 9)))
	properties.TestingRun(t)
}

func TestFullQueueRejectsAndUrgentWorkIsServedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := newState(map[string]float64{"a": 1}, 1)
		scheduler := New("front", "east", func() State { return state }, func(string, bool) {})
		occupied, err := scheduler.Acquire(t.Context(), turnKind, "depot")
		if err != nil {
			t.Fatal(err)
		}
		order := make(chan string, 5)
		acquire := func(urgency string) {
			kind := turnKind
			kind.Urgency = urgency
			slot, err := scheduler.Acquire(t.Context(), kind, "depot")
			if err != nil {
				order <- string(apierror.Of(err).Kind) + " " + apierror.Of(err).RetryAfter.String()
				return
			}
			order <- urgency
			slot.Release(Answered)
		}
		for _, urgency := range []string{"bulk", "normal", "normal", "urgent"} {
			go acquire(urgency)
			synctest.Wait()
		}
		go acquire("normal") // exceeds the queue limit of two
		if got := <-order; got != "not_run 1s" {
			t.Fatalf("request beyond the queue limit: got %s, want not_run 1s", got)
		}
		occupied.Release(Answered)
		for _, want := range []string{"urgent", "normal", "normal", "bulk"} {
			if got := <-order; got != want {
				t.Fatalf("served %s, want %s", got, want)
			}
		}
		occupied, _ = scheduler.Acquire(t.Context(), turnKind, "depot")
		startedAt := time.Now()
		go acquire("normal")
		if got := <-order; got != "not_run 1s" || time.Since(startedAt) != 2*time.Second {
			t.Fatalf("queue timeout: got %s after %s, want not_run 1s after 2s", got, time.Since(startedAt))
		}
		occupied.Release(Answered)
		state.View.Domains = []feed.Domain{{Name: "east", State: feed.StateDrained}}
		if _, err := scheduler.Acquire(t.Context(), turnKind, "depot"); !apierror.Is(err, apierror.NotRun) {
			t.Fatalf("request to a drained domain: got error %v, want not_run", err)
		}
	})
}
