package scale

import (
	"context"
	"time"

	"yardrock.example/system/feed"
)

// burst proposes changes one after the other and measures how long each took until it was
// acknowledged and until the hollow nodes had applied it, and its cost.
func (trial *stepRun) burst(ctx context.Context, name string, count int, next func(position int) (feed.Change, error)) error {
	before, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	type proposed struct {
		number uint64
		at     time.Time
	}
	taken, slowest := []proposed{}, time.Duration(0)
	for position := range count {
		change, err := next(position)
		if err != nil {
			return err
		}
		sent := time.Now()
		number, err := propose(ctx, trial.caller, trial.controls(), change)
		if err != nil {
			return err
		}
		slowest = max(slowest, time.Since(sent))
		taken = append(taken, proposed{number, sent})
	}
	acknowledged := time.Since(began)
	maximum, medians := time.Duration(0), time.Duration(0)
	for _, change := range taken {
		delays, err := trial.hollow.Delays(ctx, change.number, change.at)
		if err != nil {
			return err
		}
		maximum = max(maximum, delays[len(delays)-1])
		medians += delays[len(delays)/2]
	}
	after, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	figures := trial.measurement.Figures
	figures[name+".acknowledged_most_s"] = slowest.Seconds()
	figures[name+".acknowledged_mean_s"] = acknowledged.Seconds() / float64(count)
	figures[name+".in_force_median_s"] = medians.Seconds() / float64(count)
	figures[name+".in_force_most_s"] = maximum.Seconds()
	figures[name+".bytes_in_per_hollow"] = float64(after.read-before.read) / float64(trial.step.Nodes*count)
	seconds, processes := map[string]float64{}, map[string]float64{}
	for _, process := range trial.fleet.Processes {
		if used, found := after.processes[process.Name]; found {
			seconds[process.Role] += used.Seconds - before.processes[process.Name].Seconds
			processes[process.Role]++
			if process.Role == "control" {
				figures[name+".control_memory_mib"] = max(figures[name+".control_memory_mib"], used.Memory)
			}
		}
	}
	for role, used := range seconds {
		figures[name+"."+role+"_processor_s"] = used / processes[role] / float64(count)
	}
	return nil
}

func (trial *stepRun) smallChanges(ctx context.Context) error {
	return trial.burst(ctx, "small_change", trial.step.Changes, func(position int) (feed.Change, error) { return domainChange(position%2 == 0), nil })
}

// configsInBurst is small, as each config carries all routes.
const configsInBurst = 5

func (trial *stepRun) configs(ctx context.Context) error {
	return trial.burst(ctx, "config", configsInBurst, func(position int) (feed.Change, error) {
		return withRouting(trial.hollow.Nodes()[0].View(), trial.step.Routes, uint64(position+2))
	})
}
