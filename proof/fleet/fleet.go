// Package fleet starts deployments as real processes on loopback addresses, with stand-ins for
// what yardrock depends on, injects faults, and checks the rules of the users' brief. A Fleet owns
// its processes and its folder of data and logs; Stop or CheckReport ends the processes.
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

// The tokens of the root operator and of the team in a fleet's config.
const (
	RootToken = "trial-root"
	TeamToken = "trial-team"
)

// The terms, in words, of the program "tight", whose quota runs out.
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
	Links      *LinkProxy // nil unless faults are to be injected
	Checks     *RuleChecks

	programs string
	mutex    sync.Mutex
	seeds    []string
	added    int // how many daemons were added
	// acknowledged is the number of the newest acknowledged config. If unclear is set, a later
	// change may have been accepted too.
	acknowledged uint64
	unclear      bool
}

// Launch starts a deployment by name. Without a folder of programs it uses those beside this
// program, without a folder of data a new one.
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

// CheckReport ends a run. Violations are an error that names the folder of the logs. Without any,
// the processes are stopped and the folder is removed.
//
//	return running.CheckReport(report)
func (fleet *Fleet) CheckReport(report *loadgen.Report) error {
	if len(report.Violations) > 0 {
		return fmt.Errorf("%d rules were broken (logs are in %s)", len(report.Violations), fleet.Folder)
	}
	fleet.Stop()
	return os.RemoveAll(fleet.Folder)
}

// Start starts a deployment with the programs in a folder, and returns once every front is ready.
// With faulty, the links go through a LinkProxy and the disks are vfs.FaultDirectory ones, so that faults
// can be injected.
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

// Target returns what the load generator needs to know of the fleet.
//
//	report := loadgen.Run(ctx, running.Target(), mix, duration, seed)
func (fleet *Fleet) Target() loadgen.Target {
	target := loadgen.Target{Fronts: fleet.Fronts(), Token: TeamToken, Quota: tightQuota, TurnLimit: tightTurn + 2}
	for _, runner := range fleet.Runners {
		target.Runners = append(target.Runners, runner.Address)
	}
	return target
}

// Stop kills the processes that still run.
//
//	defer running.Stop()
func (fleet *Fleet) Stop() {
	for _, process := range fleet.Processes {
		process.Kill()
	}
}
