package scale

import (
	"context"
	"time"

	"yardrock.example/system/feed"
)

// measureBurst proposes changes sequentially and measures their acknowledgement latency, the delay
// until the hollow nodes have applied them, and the resources used per change.
func (run *stepRun) measureBurst(ctx context.Context, name string, count int, next func(position int) (feed.Change, error)) error {
	before, err := run.sampleUsage(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	type proposed struct {
		number uint64
		at     time.Time
	}
	accepted, slowestAck := []proposed{}, time.Duration(0)
	for position := range count {
		change, err := next(position)
		if err != nil {
			return err
		}
		sent := time.Now()
		number, err := propose(ctx, run.caller, run.controlAddresses(), change)
		if err != nil {
			return err
		}
		slowestAck = max(slowestAck, time.Since(sent))
		accepted = append(accepted, proposed{number, sent})
	}
	acknowledged := time.Since(began)
	slowestApply, medianSum := time.Duration(0), time.Duration(0)
	for _, change := range accepted {
		delays, err := run.hollow.Delays(ctx, change.number, change.at)
		if err != nil {
			return err
		}
		slowestApply = max(slowestApply, delays[len(delays)-1])
		medianSum += delays[len(delays)/2]
	}
	after, err := run.sampleUsage(ctx)
	if err != nil {
		return err
	}
	figures := run.measurement.Figures
	figures[name+".acknowledged_most_s"] = slowestAck.Seconds()
	figures[name+".acknowledged_mean_s"] = acknowledged.Seconds() / float64(count)
	figures[name+".in_force_median_s"] = medianSum.Seconds() / float64(count)
	figures[name+".in_force_most_s"] = slowestApply.Seconds()
	figures[name+".bytes_in_per_hollow"] = float64(after.hollowBytesIn-before.hollowBytesIn) / float64(run.step.Nodes*count)
	seconds, processes := map[string]float64{}, map[string]float64{}
	for _, process := range run.fleet.Processes {
		if used, found := after.processes[process.Name]; found {
			seconds[process.Role] += used.CPUSeconds - before.processes[process.Name].CPUSeconds
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

func (run *stepRun) measureSmallChanges(ctx context.Context) error {
	return run.measureBurst(ctx, "small_change", run.step.Changes, func(position int) (feed.Change, error) { return domainChange(position%2 == 0), nil })
}

// configBurstSize is small because every config carries all routes.
const configBurstSize = 5

func (run *stepRun) measureConfigs(ctx context.Context) error {
	return run.measureBurst(ctx, "config", configBurstSize, func(position int) (feed.Change, error) {
		return withRouting(run.hollow.Nodes()[0].View(), run.step.Routes, uint64(position+2))
	})
}
