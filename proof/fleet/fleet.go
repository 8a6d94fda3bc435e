// Package fleet starts whole deployments as real processes on loopback, with
// stand-ins for the world outside, and brings faults about on demand.
package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"yardrock.example/proof/loadgen"
	"yardrock.example/proof/standin"
)

// Tokens of the trial config.
const (
	RootToken = "trial-root"
	TeamToken = "trial-team"
)

// Terms of the program whose allowance runs out.
const (
	tightQuota = 200
	tightTurn  = 30
)

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Folder     string
	Processes  []*Process
	Runners    []standin.ListedRunner
	Platform   string
	Links      *LinkProxy // nil unless the fleet is to be struck by faults
	Checks     *RuleChecks

	programs string
	mutex    sync.Mutex
	seeds    []string
	added    int // how many daemons were added
	// acknowledged is the newest config number that was; unclear reports that a later
	// change may have been taken.
	acknowledged uint64
	unclear      bool
}

// Launch starts a deployment by name, with the programs beside this one and a new
// folder unless others are named.
//
//	running, err := fleet.Launch(ctx, "trial", "", "", false)
//	defer running.Stop()
func Launch(ctx context.Context, name, programs, folder string, faulty bool) (*Fleet, error) {
	deployment, found := Deployments[name]
	if !found {
		return nil, fmt.Errorf("no deployment is named %q: use trial, agency or logistics", name)
	}
	if programs == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		programs = filepath.Dir(self)
	}
	var failed error
	if folder == "" {
		folder, failed = os.MkdirTemp("", "yardrock-")
	} else {
		failed = os.MkdirAll(folder, 0o750)
	}
	if failed != nil {
		return nil, failed
	}
	fleet, err := Start(ctx, deployment, programs, folder, standin.Latencies{FirstPiece: 20 * time.Millisecond, NextPiece: 5 * time.Millisecond, PlainAnswer: 10 * time.Millisecond}, faulty)
	if err != nil {
		return nil, fmt.Errorf("%w (logs are in %s)", err, folder)
	}
	return fleet, nil
}

// CheckReport ends a run: broken rules are an error that names the logs' folder;
// without any, the processes are stopped and the folder goes.
//
//	return running.CheckReport(report)
func (fleet *Fleet) CheckReport(report *loadgen.Report) error {
	if len(report.Violations) > 0 {
		return fmt.Errorf("%d rules were broken (logs are in %s)", len(report.Violations), fleet.Folder)
	}
	fleet.Stop()
	return os.RemoveAll(fleet.Folder)
}

// Start starts a deployment with the programs in a folder, and returns once every
// front is ready. One that is to be struck by faults has its links and disks in our hands.
//
//	running, err := fleet.Start(ctx, fleet.Deployments["trial"], "bin", folder, pace, false)
//	defer running.Stop()
func Start(ctx context.Context, deployment Deployment, programs, folder string, pace standin.Latencies, faulty bool) (*Fleet, error) {
	fleet := &Fleet{Deployment: deployment, Folder: folder, programs: programs, Checks: NewRuleChecks()}
	if faulty {
		fleet.Links = NewLinkProxy()
	}
	if err := fleet.plan(pace); err != nil {
		return nil, err
	}
	for _, process := range fleet.Processes {
		if err := process.Start(); err != nil {
			fleet.Stop()
			return nil, err
		}
	}
	if err := fleet.putFirstConfig(ctx); err != nil {
		fleet.Stop()
		return nil, err
	}
	for _, front := range fleet.ProcessesOf("front") {
		if err := AwaitReady(ctx, front.PublicAddress); err != nil {
			fleet.Stop()
			return nil, fmt.Errorf("%s: %w", front.Name, err)
		}
	}
	return fleet, nil
}

// ProcessesOf lists the processes of a role.
//
//	for _, front := range running.ProcessesOf("front") { ... }
func (fleet *Fleet) ProcessesOf(role string) []*Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(fleet.Processes), func(process *Process) bool { return process.Role != role })
}

// Find returns a process by name.
//
//	store := running.Find("store-1")
func (fleet *Fleet) Find(name string) *Process {
	for _, process := range fleet.Processes {
		if process.Name == name {
			return process
		}
	}
	return nil
}

// Fronts lists the addresses for callers.
//
//	addresses := running.Fronts()
func (fleet *Fleet) Fronts() []string {
	found := []string{}
	for _, front := range fleet.ProcessesOf("front") {
		found = append(found, front.PublicAddress)
	}
	return found
}

// Target is the fleet as the load generator sees it.
//
//	report := loadgen.Run(ctx, running.Target(), mix, duration, seed)
func (fleet *Fleet) Target() loadgen.Target {
	target := loadgen.Target{Fronts: fleet.Fronts(), Token: TeamToken, Quota: tightQuota, TurnLimit: tightTurn + 2}
	for _, runner := range fleet.Runners {
		target.Runners = append(target.Runners, runner.Address)
	}
	return target
}

// Stop kills every process that is left.
//
//	defer running.Stop()
func (fleet *Fleet) Stop() {
	for _, process := range fleet.Processes {
		process.Kill()
	}
}
