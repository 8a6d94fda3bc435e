package scale

import (
	"context"
	"os"
	"strings"
	"time"

	"yardrock.example/system/link"
)

// usageSample is the cumulative usage of all processes at one time.
type usageSample struct {
	processes                     map[string]Usage
	hollow                        Usage
	hollowBytesOut, hollowBytesIn int64
	machine                       cpuTime
}

func (run *stepRun) sampleUsage(ctx context.Context) (usageSample, error) {
	sample := usageSample{processes: map[string]Usage{}}
	for _, process := range run.fleet.Processes {
		if process.PID() == 0 || process.Role == "platform" {
			continue
		}
		status, err := run.status(ctx, process.Address)
		if err != nil {
			return sample, err
		}
		usage, err := UsageOf(process.PID())
		if err != nil {
			return sample, err
		}
		usage.Traffic = status.Traffic
		sample.processes[process.Name] = usage
	}
	var err error
	if sample.hollow, err = UsageOf(os.Getpid()); err != nil {
		return sample, err
	}
	sample.hollow.Traffic = link.Traffic()
	if sample.machine, err = readCPUTime(); err != nil {
		return sample, err
	}
	sample.hollowBytesOut, sample.hollowBytesIn = run.hollow.Bytes.Written.Load(), run.hollow.Bytes.Read.Load()
	return sample, nil
}

func (run *stepRun) measureIdle(ctx context.Context) error {
	before, err := run.sampleUsage(ctx)
	if err != nil {
		return err
	}
	stale := 0
	for deadline := time.Now().Add(run.settings.IdlePeriod); time.Now().Before(deadline); {
		select {
		case <-time.After(100 * time.Millisecond):
			stale = max(stale, run.hollow.Stale())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	after, err := run.sampleUsage(ctx)
	if err != nil {
		return err
	}
	return run.reportUsage(ctx, before, after, stale)
}

// reportUsage adds the usage between two samples to the measurement.
func (run *stepRun) reportUsage(ctx context.Context, before, after usageSample, stale int) error {
	figures := run.measurement.Figures
	counts := map[string]float64{}
	for _, process := range run.fleet.Processes {
		used, found := after.processes[process.Name]
		if !found {
			continue
		}
		processUsage := ProcessUsage{Name: process.Name, Role: process.Role, Rate: RateOf(before.processes[process.Name], used)}
		role := process.Role
		if role == "control" {
			status, err := run.status(ctx, process.Address)
			if err != nil {
				return err
			}
			if processUsage.Leading = status.Leader == status.Name; processUsage.Leading {
				role = "control.leader"
			} else {
				role = "control.other"
			}
			figures["control.most.cores"] = max(figures["control.most.cores"], processUsage.Cores)
			figures["control.most.memory_mib"] = max(figures["control.most.memory_mib"], processUsage.Memory)
		}
		counts[role]++
		for name, value := range map[string]float64{"cores": processUsage.Cores, "memory_mib": processUsage.Memory, "messages_per_s": processUsage.Messages, "bytes_out_per_s": processUsage.BytesOut, "bytes_in_per_s": processUsage.BytesIn} {
			figures[role+"."+name] += value
		}
		run.measurement.Processes = append(run.measurement.Processes, processUsage)
	}
	for name := range figures {
		for role, count := range counts {
			if strings.HasPrefix(name, role+".") {
				figures[name] /= count
			}
		}
	}
	nodes, seconds := float64(run.step.Nodes), after.hollow.At.Sub(before.hollow.At).Seconds()
	hollow := RateOf(before.hollow, after.hollow)
	figures["hollow.cores"] = hollow.Cores / nodes
	figures["hollow.messages_per_s"] = hollow.Messages / nodes
	figures["hollow.bytes_out_per_s"] = float64(after.hollowBytesOut-before.hollowBytesOut) / seconds / nodes
	figures["hollow.bytes_in_per_s"] = float64(after.hollowBytesIn-before.hollowBytesIn) / seconds / nodes
	figures["machine.busy_share"] = after.machine.busySince(before.machine)
	figures["hollow.most_stale_share"] = float64(stale) / nodes
	return nil
}
