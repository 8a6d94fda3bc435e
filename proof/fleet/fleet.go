// Package fleet runs deployments as real processes on loopback addresses, with stand-ins for
// yardrock's dependencies, injects faults and checks the rules of the requirements. A Fleet owns
// its processes and its folder of data and logs. Stop ends the processes, and so does CheckReport if
// there are no violations.
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

// The tokens of the root operator and of the team in the initial config.
const (
	RootToken = "trial-root"
	TeamToken = "trial-team"
)

// The limits of the program "tight", in words. The quota is small enough to be exhausted in a run.
const (
	tightQuota     = 200
	tightTurnLimit = 30
)

// Fleet is a running deployment.
type Fleet struct {
	Deployment      Deployment
	Folder          string
	Processes       []*Process
	Runners         []standin.ListedRunner
	PlatformAddress string     // address of the stand-in platform
	Links           *LinkProxy // nil unless the fleet was started with fault injection
	Checks          *RuleChecks

	programFolder string
	mutex         sync.Mutex
	seeds         []string
	addedNodes    int // daemons that were added after the start
	// acknowledged is the number of the newest acknowledged config. If unconfirmed is set, a later
	// change whose outcome is not known may have been accepted too.
	acknowledged uint64
	unconfirmed  bool
}

// Launch starts the deployment of a name with the default latencies of the stand-ins. An empty
// programFolder selects the folder of the running executable, an empty folder a new temporary one.
//
//	running, err := fleet.Launch(ctx, "trial", "", "", false)
//	defer running.Stop()
func Launch(ctx context.Context, name, programFolder, folder string, injectFaults bool) (*Fleet, error) {
	deployment, ok := Deployments[name]
	if !ok {
		return nil, fmt.Errorf("unknown deployment %q: use trial, agency or logistics", name)
	}
	if programFolder == "" {
		executable, err := os.Executable()
		if err != nil {
			return nil, err
		}
		programFolder = filepath.Dir(executable)
	}
	var mkdirErr error
	if folder == "" {
		folder, mkdirErr = os.MkdirTemp("", "yardrock-")
	} else {
		mkdirErr = os.MkdirAll(folder, 0o750)
	}
	if mkdirErr != nil {
		return nil, mkdirErr
	}
	fleet, err := Start(ctx, deployment, programFolder, folder, standin.Latencies{FirstPiece: 20 * time.Millisecond, NextPiece: 5 * time.Millisecond, PlainAnswer: 10 * time.Millisecond}, injectFaults)
	if err != nil {
		return nil, fmt.Errorf("%w (logs are in %s)", err, folder)
	}
	return fleet, nil
}

// CheckReport ends a run. If the report lists violations, it returns an error that names the folder
// of the logs; otherwise it stops the processes and removes the folder.
//
//	return running.CheckReport(report)
func (fleet *Fleet) CheckReport(report *loadgen.Report) error {
	if len(report.Violations) > 0 {
		return fmt.Errorf("%d rule violations (logs are in %s)", len(report.Violations), fleet.Folder)
	}
	fleet.Stop()
	return os.RemoveAll(fleet.Folder)
}

// Start starts a deployment with the programs in a folder, and returns once every front is ready.
// With injectFaults, the links go through a LinkProxy and the disks are vfs.FaultDirectory ones.
//
//	running, err := fleet.Start(ctx, fleet.Deployments["trial"], "bin", folder, latencies, false)
//	defer running.Stop()
func Start(ctx context.Context, deployment Deployment, programFolder, folder string, latencies standin.Latencies, injectFaults bool) (*Fleet, error) {
	fleet := &Fleet{Deployment: deployment, Folder: folder, programFolder: programFolder, Checks: NewRuleChecks()}
	if injectFaults {
		fleet.Links = NewLinkProxy()
	}
	if err := fleet.createProcesses(latencies); err != nil {
		return nil, err
	}
	for _, process := range fleet.Processes {
		if err := process.Start(); err != nil {
			fleet.Stop()
			return nil, err
		}
	}
	if err := fleet.putInitialConfig(ctx); err != nil {
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

// Fronts lists the public addresses of the fronts.
//
//	addresses := running.Fronts()
func (fleet *Fleet) Fronts() []string {
	addresses := []string{}
	for _, front := range fleet.ProcessesOf("front") {
		addresses = append(addresses, front.PublicAddress)
	}
	return addresses
}

// Target returns the fleet as a target of the load generator.
//
//	report := loadgen.Run(ctx, running.Target(), mix, duration, seed)
func (fleet *Fleet) Target() loadgen.Target {
	target := loadgen.Target{Fronts: fleet.Fronts(), Token: TeamToken, Quota: tightQuota, TurnLimit: tightTurnLimit + 2}
	for _, runner := range fleet.Runners {
		target.Runners = append(target.Runners, runner.Address)
	}
	return target
}

// Stop kills the processes that are still running.
//
//	defer running.Stop()
func (fleet *Fleet) Stop() {
	for _, process := range fleet.Processes {
		process.Kill()
	}
}
