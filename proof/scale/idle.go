package scale

import (
	"context"
	"os"
	"strings"
	"time"

	"yardrock.example/system/link"
)

// usageSample is what all processes have used up to a time.
type usageSample struct {
	processes     map[string]Usage
	hollow        Usage
	written, read int64
	machine       cpuTime
}

func (trial *stepRun) sample(ctx context.Context) (usageSample, error) {
	taken := usageSample{processes: map[string]Usage{}}
	for _, process := range trial.fleet.Processes {
		if process.PID() == 0 || process.Role == "platform" {
			continue
		}
		status, err := trial.status(ctx, process.Address)
		if err != nil {
			return taken, err
		}
		usage, err := UsageOf(process.PID())
		if err != nil {
			return taken, err
		}
		usage.Traffic = status.Traffic
		taken.processes[process.Name] = usage
	}
	var err error
	if taken.hollow, err = UsageOf(os.Getpid()); err != nil {
		return taken, err
	}
	taken.hollow.Traffic = link.Traffic()
	if taken.machine, err = readCPUTime(); err != nil {
		return taken, err
	}
	taken.written, taken.read = trial.hollow.Bytes.Written.Load(), trial.hollow.Bytes.Read.Load()
	return taken, nil
}

func (trial *stepRun) measureIdle(ctx context.Context) error {
	before, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	stale := 0
	for ended := time.Now().Add(trial.settings.IdlePeriod); time.Now().Before(ended); {
		select {
		case <-time.After(100 * time.Millisecond):
			stale = max(stale, trial.hollow.Stale())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	after, err := trial.sample(ctx)
	if err != nil {
		return err
	}
	return trial.reportUsage(ctx, before, after, stale)
}

// reportUsage adds the figures between two samples to the measurement.
func (trial *stepRun) reportUsage(ctx context.Context, before, after usageSample, stale int) error {
	figures := trial.measurement.Figures
	counts := map[string]float64{}
	for _, process := range trial.fleet.Processes {
		used, found := after.processes[process.Name]
		if !found {
			continue
		}
		reported := ProcessUsage{Name: process.Name, Role: process.Role, Rate: RateOf(before.processes[process.Name], used)}
		role := process.Role
		if role == "control" {
			status, err := trial.status(ctx, process.Address)
			if err != nil {
				return err
			}
			if reported.Leading = status.Leader == status.Name; reported.Leading {
				role = "control.leader"
			} else {
				role = "control.other"
			}
			figures["control.most.cores"] = max(figures["control.most.cores"], reported.Cores)
			figures["control.most.memory_mib"] = max(figures["control.most.memory_mib"], reported.Memory)
		}
		counts[role]++
		for name, value := range map[string]float64{"cores": reported.Cores, "memory_mib": reported.Memory, "messages_per_s": reported.Messages, "bytes_out_per_s": reported.BytesOut, "bytes_in_per_s": reported.BytesIn} {
			figures[role+"."+name] += value
		}
		trial.measurement.Processes = append(trial.measurement.Processes, reported)
	}
	for name := range figures {
		for role, count := range counts {
			if strings.HasPrefix(name, role+".") {
				figures[name] /= count
			}
		}
	}
	nodes, seconds := float64(trial.step.Nodes), after.hollow.At.Sub(before.hollow.At).Seconds()
	hollow := RateOf(before.hollow, after.hollow)
	figures["hollow.cores"] = hollow.Cores / nodes
	figures["hollow.messages_per_s"] = hollow.Messages / nodes
	figures["hollow.bytes_out_per_s"] = float64(after.written-before.written) / seconds / nodes
	figures["hollow.bytes_in_per_s"] = float64(after.read-before.read) / seconds / nodes
	figures["machine.busy_share"] = after.machine.busySince(before.machine)
	figures["hollow.most_stale_share"] = float64(stale) / nodes
	return nil
}
