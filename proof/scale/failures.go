package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"yardrock.example/proof/fleet"
	"yardrock.example/system/feed"
)

// runnerLeaves lists a runner as draining and measures the time until every hollow node has
// applied that, which includes the lag of the platform's list and the poll interval.
func (trial *stepRun) runnerLeaves(ctx context.Context) error {
	list := RunnerList(trial.step.Runners)
	list[0].State = feed.StateDraining
	sent := time.Now()
	if err := putRunnerList(ctx, trial.fleet.PlatformAddress, list); err != nil {
		return err
	}
	err := trial.hollow.Await(ctx, "told of the runner", func(node *HollowNode) bool {
		for _, runner := range node.View().Runners {
			if runner.Address == list[0].Address {
				return runner.State == feed.StateDraining
			}
		}
		return false
	})
	trial.measurement.Figures["runner_leaves.in_force_most_s"] = time.Since(sent).Seconds()
	return err
}

// failOver kills the control leader, measures the time until a change is in force everywhere under
// the next leader, and starts the killed process again.
func (trial *stepRun) failOver(ctx context.Context) error {
	var leader *fleet.Process
	for _, control := range trial.fleet.ProcessesOf("control") {
		if status, err := trial.status(ctx, control.Address); err == nil && status.Leader == status.Name {
			leader = control
		}
	}
	if leader == nil {
		return errors.New("no control node leads")
	}
	figures := trial.measurement.Figures
	leader.Kill()
	killed := time.Now()
	staleNow, staleAt := 0, time.Now()
	staleSeconds, maximumStale, lastStale := 0.0, 0, time.Duration(0)
	sample := func() {
		now := time.Now()
		staleSeconds += float64(staleNow) * now.Sub(staleAt).Seconds()
		if staleNow, staleAt = trial.hollow.Stale(), now; staleNow > 0 {
			lastStale = now.Sub(killed)
		}
		maximumStale = max(maximumStale, staleNow)
	}
	type outcome struct {
		number uint64
		err    error
	}
	changed := make(chan outcome, 1)
	go func() {
		number, err := propose(ctx, trial.caller, trial.controls(), domainChange(true))
		changed <- outcome{number, err}
	}()
	var got outcome
	for waiting := true; waiting; {
		select {
		case got = <-changed:
			waiting = false
		case <-time.After(20 * time.Millisecond):
			sample()
		}
	}
	if got.err != nil {
		return got.err
	}
	figures["failover.acknowledged_s"] = time.Since(killed).Seconds()
	delays, err := trial.hollow.Delays(ctx, got.number, killed)
	if err != nil {
		return err
	}
	figures["failover.in_force_most_s"] = delays[len(delays)-1].Seconds()
	figures["failover.in_force_median_s"] = delays[len(delays)/2].Seconds()
	for settled := time.Now().Add(time.Second); time.Now().Before(settled); {
		select {
		case <-time.After(20 * time.Millisecond):
			sample()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	figures["failover.stale_seconds_per_hollow"] = staleSeconds / float64(trial.step.Nodes)
	figures["failover.most_stale_share"] = float64(maximumStale) / float64(trial.step.Nodes)
	figures["failover.last_stale_s"] = lastStale.Seconds()
	return trial.restart(ctx, leader, got.number)
}

// loseZone kills all real processes of one domain at once, waits until a change is in
// force at the hollow nodes, and starts them again.
func (trial *stepRun) loseZone(ctx context.Context) error {
	lost := []*fleet.Process{}
	for _, role := range []string{"control", "store", "front"} {
		for _, process := range trial.fleet.ProcessesOf(role) {
			if process.Domain == domains[0] {
				lost = append(lost, process)
			}
		}
	}
	for _, process := range lost {
		process.Kill()
	}
	killed := time.Now()
	number, err := propose(ctx, trial.caller, trial.controls(), domainChange(false))
	if err != nil {
		return err
	}
	figures := trial.measurement.Figures
	figures["zone_lost.acknowledged_s"] = time.Since(killed).Seconds()
	delays, err := trial.hollow.Delays(ctx, number, killed)
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

// restart starts a killed control process again and waits until it has the view in force and knows
// the leader.
func (trial *stepRun) restart(ctx context.Context, process *fleet.Process, number uint64) error {
	began := time.Now()
	if err := process.Start(); err != nil {
		return err
	}
	for {
		status, err := trial.status(ctx, process.Address)
		if err == nil && status.ViewNumber >= number && status.Leader != "" {
			trial.measurement.Figures["restart.control_s"] = time.Since(began).Seconds()
			return nil
		}
		if err != nil {
			trial.caller.Drop(process.Address)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s did not come back: %w", process.Name, ctx.Err())
		}
	}
}
