package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"yardrock.example/proof/fleet"
	"yardrock.example/system/feed"
)

// measureRunnerDrain lists a runner as draining and measures the time until every hollow node has
// applied the change, including the lag of the platform's list and the poll interval.
func (run *stepRun) measureRunnerDrain(ctx context.Context) error {
	list := RunnerList(run.step.Runners)
	list[0].State = feed.StateDraining
	sent := time.Now()
	if err := putRunnerList(ctx, run.fleet.PlatformAddress, list); err != nil {
		return err
	}
	err := run.hollow.Await(ctx, "aware of the draining runner", func(node *HollowNode) bool {
		for _, runner := range node.View().Runners {
			if runner.Address == list[0].Address {
				return runner.State == feed.StateDraining
			}
		}
		return false
	})
	run.measurement.Figures["runner_leaves.in_force_most_s"] = time.Since(sent).Seconds()
	return err
}

// measureFailover kills the control leader, measures the time until a change is in force everywhere
// under the next leader, and restarts the killed process.
func (run *stepRun) measureFailover(ctx context.Context) error {
	var leader *fleet.Process
	for _, control := range run.fleet.ProcessesOf("control") {
		if status, err := run.status(ctx, control.Address); err == nil && status.Leader == status.Name {
			leader = control
		}
	}
	if leader == nil {
		return errors.New("the control group has no leader")
	}
	figures := run.measurement.Figures
	leader.Kill()
	killed := time.Now()
	staleNow, staleAt := 0, time.Now()
	staleSeconds, maximumStale, lastStale := 0.0, 0, time.Duration(0)
	sample := func() {
		now := time.Now()
		staleSeconds += float64(staleNow) * now.Sub(staleAt).Seconds()
		if staleNow, staleAt = run.hollow.Stale(), now; staleNow > 0 {
			lastStale = now.Sub(killed)
		}
		maximumStale = max(maximumStale, staleNow)
	}
	type outcome struct {
		number uint64
		err    error
	}
	results := make(chan outcome, 1)
	go func() {
		number, err := propose(ctx, run.caller, run.controlAddresses(), domainChange(true))
		results <- outcome{number, err}
	}()
	var result outcome
	for waiting := true; waiting; {
		select {
		case result = <-results:
			waiting = false
		case <-time.After(20 * time.Millisecond):
			sample()
		}
	}
	if result.err != nil {
		return result.err
	}
	figures["failover.acknowledged_s"] = time.Since(killed).Seconds()
	delays, err := run.hollow.Delays(ctx, result.number, killed)
	if err != nil {
		return err
	}
	figures["failover.in_force_most_s"] = delays[len(delays)-1].Seconds()
	figures["failover.in_force_median_s"] = delays[len(delays)/2].Seconds()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
		select {
		case <-time.After(20 * time.Millisecond):
			sample()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	figures["failover.stale_seconds_per_hollow"] = staleSeconds / float64(run.step.Nodes)
	figures["failover.most_stale_share"] = float64(maximumStale) / float64(run.step.Nodes)
	figures["failover.last_stale_s"] = lastStale.Seconds()
	return run.restartControl(ctx, leader, result.number)
}

// measureZoneLoss kills all real processes of one failure domain, waits until a change is in force
// at the hollow nodes, and restarts the processes one by one.
func (run *stepRun) measureZoneLoss(ctx context.Context) error {
	lost := []*fleet.Process{}
	for _, role := range []string{"control", "store", "front"} {
		for _, process := range run.fleet.ProcessesOf(role) {
			if process.Domain == domains[0] {
				lost = append(lost, process)
			}
		}
	}
	for _, process := range lost {
		process.Kill()
	}
	killed := time.Now()
	number, err := propose(ctx, run.caller, run.controlAddresses(), domainChange(false))
	if err != nil {
		return err
	}
	figures := run.measurement.Figures
	figures["zone_lost.acknowledged_s"] = time.Since(killed).Seconds()
	delays, err := run.hollow.Delays(ctx, number, killed)
	if err != nil {
		return err
	}
	figures["zone_lost.in_force_most_s"] = delays[len(delays)-1].Seconds()
	for _, process := range lost {
		began := time.Now()
		if err := process.Start(); err != nil {
			return err
		}
		if err := fleet.AwaitReady(ctx, process.PublicAddress); err != nil {
			return fmt.Errorf("%s: %w", process.Name, err)
		}
		figures["zone_lost."+process.Role+"_ready_s"] = time.Since(began).Seconds()
	}
	return nil
}

// restartControl restarts a killed control process and waits until its view has reached the given
// number and it knows the leader.
func (run *stepRun) restartControl(ctx context.Context, process *fleet.Process, number uint64) error {
	began := time.Now()
	if err := process.Start(); err != nil {
		return err
	}
	for {
		status, err := run.status(ctx, process.Address)
		if err == nil && status.ViewNumber >= number && status.Leader != "" {
			run.measurement.Figures["restart.control_s"] = time.Since(began).Seconds()
			return nil
		}
		if err != nil {
			run.caller.Drop(process.Address)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s did not recover after its restart: %w", process.Name, ctx.Err())
		}
	}
}
