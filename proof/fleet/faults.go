package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"yardrock.example/proof/loadgen"
	"yardrock.example/system/vfs"
)

// Fault is one kind of fault. Inject injects it, ends it and checks the rules that it may violate.
// Faults with different targets may overlap. Those with the same target may not: the requirements
// demand tolerance of the loss of only one machine with a disk, or of one domain, at a time.
type Fault struct {
	Name   string
	Target string
	Inject func(ctx context.Context, fleet *Fleet, random *rand.Rand) error
}

// The targets of faults.
const (
	machines  = "machines"
	fronts    = "fronts"
	runners   = "runners"
	operators = "operators"
)

// pickProcess returns a random process of a role.
func (fleet *Fleet) pickProcess(random *rand.Rand, role string) *Process {
	candidates := fleet.ProcessesOf(role)
	return candidates[random.IntN(len(candidates))]
}

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func killAndRestart(role string, downtime time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		process := fleet.pickProcess(random, role)
		process.Kill()
		wait(ctx, downtime)
		return process.Start()
	}
}

func pauseAndResume(role string, duration time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		process := fleet.pickProcess(random, role)
		process.Pause()
		wait(ctx, duration)
		process.Resume()
		return nil
	}
}

func wipeAndRestart(role string) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		process := fleet.pickProcess(random, role)
		process.Kill()
		if err := process.Wipe(); err != nil {
			return err
		}
		if err := process.Start(); err != nil {
			return err
		}
		return fleet.awaitHealed(ctx, process)
	}
}

// identity returns the node name stored in the process's data folder, or "" before there is one.
func (process *Process) identity() string {
	var stored struct{ Name string }
	data, err := os.ReadFile(filepath.Join(process.Folder, "identity"))
	if err != nil || json.Unmarshal(data, &stored) != nil {
		return ""
	}
	return stored.Name
}

// awaitHealed waits until the replacement is enrolled, the deployment's number of stores and
// control nodes are listed and live, and every group has all its replicas, so that the fleet
// tolerates the next loss.
func (fleet *Fleet) awaitHealed(ctx context.Context, replacement *Process) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	for {
		name := replacement.identity()
		var status struct {
			Members, Stores, Controls []struct{ Name, Role string }
			Unhealed                  int `json:"unhealed_groups"`
		}
		err := fleet.Administer(timeoutCtx, http.MethodGet, "/v1/fleet", nil, &status)
		liveNames := map[string]bool{}
		for _, member := range status.Members {
			liveNames[member.Name] = true
		}
		liveCount, joined := 0, false
		for _, member := range append(status.Stores, status.Controls...) {
			if liveNames[member.Name] {
				liveCount++
			}
			joined = joined || (name != "" && member.Name == name)
		}
		if err == nil && joined && status.Unhealed == 0 && len(status.Stores) == fleet.Deployment.Stores && len(status.Controls) == fleet.Deployment.Controls && liveCount == fleet.Deployment.Stores+fleet.Deployment.Controls {
			return nil
		}
		select {
		case <-timeoutCtx.Done():
			return fmt.Errorf("the fleet has not recovered: %d stores and %d control nodes are listed, %d of them live; %d groups lack replicas (last error: %v)", len(status.Stores), len(status.Controls), liveCount, status.Unhealed, err)
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// injectDiskFaults returns a function that makes the disk of a store or control node faulty for a
// duration.
func injectDiskFaults(faults vfs.DiskFaults, duration time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		process := fleet.pickProcess(random, []string{"store", "control"}[random.IntN(2)])
		data, err := json.Marshal(faults)
		if err != nil {
			return err
		}
		if err := os.WriteFile(process.DiskFaultsFile, data, 0o600); err != nil {
			return err
		}
		wait(ctx, duration)
		return os.Remove(process.DiskFaultsFile)
	}
}

// losePower kills and restarts a process; its disk loses all unsynced data.
func losePower(_ context.Context, fleet *Fleet, random *rand.Rand) error {
	process := fleet.pickProcess(random, []string{"store", "store", "control"}[random.IntN(3)])
	process.Kill()
	return process.Start()
}

// injectLinkFault returns a function that makes the links between a store or control node and all
// or about half of the other daemons faulty for 4 s.
func injectLinkFault(apply func(links *LinkProxy, node, peer *Process), allPeers bool) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		node := fleet.pickProcess(random, []string{"store", "control"}[random.IntN(2)])
		peers := slices.Concat(fleet.ProcessesOf("store"), fleet.ProcessesOf("control"), fleet.ProcessesOf("front"))
		if !allPeers {
			random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
			peers = peers[:len(peers)/2]
		}
		for _, peer := range peers {
			if peer != node {
				apply(fleet.Links, node, peer)
			}
		}
		wait(ctx, 4*time.Second)
		for _, peer := range peers {
			fleet.Links.Heal(node.Address, peer.Address)
		}
		return nil
	}
}

// loseDomain kills all processes of a domain and restarts them after 4 s.
func loseDomain(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	domain := fleet.Deployment.Domains[random.IntN(len(fleet.Deployment.Domains))]
	killed := []*Process{}
	for _, role := range []string{"control", "store", "front", "runner"} {
		for _, process := range fleet.ProcessesOf(role) {
			if process.Domain == domain {
				process.Kill()
				killed = append(killed, process)
			}
		}
	}
	wait(ctx, 4*time.Second)
	for _, process := range killed {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// TotalOutage kills every daemon at once, so that unsynced data is lost, and restarts all of them
// except a store, a control node and a store, or a domain. It returns what was left out and the
// time until every restarted front had served a turn, and then starts the rest.
//
//	missing, took, err := running.TotalOutage(ctx, random)
func (fleet *Fleet) TotalOutage(ctx context.Context, random *rand.Rand) (string, time.Duration, error) {
	daemons := slices.Concat(fleet.ProcessesOf("control"), fleet.ProcessesOf("store"), fleet.ProcessesOf("front"))
	for _, process := range daemons {
		process.Kill()
	}
	store, control := fleet.pickProcess(random, "store"), fleet.pickProcess(random, "control")
	domain := fleet.Deployment.Domains[random.IntN(len(fleet.Deployment.Domains))]
	outages := []struct {
		missing  string
		excluded func(process *Process) bool
	}{
		{"a store", func(process *Process) bool { return process == store }},
		{"a control node and a store", func(process *Process) bool { return process == store || process == control }},
		{"domain " + domain, func(process *Process) bool { return process.Domain == domain }},
	}
	outage := outages[random.IntN(len(outages))]
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	began := time.Now()
	restarted := []*Process{}
	for _, process := range daemons {
		if outage.excluded(process) {
			continue
		}
		if err := process.Start(); err != nil {
			return outage.missing, 0, err
		}
		restarted = append(restarted, process)
	}
	for _, process := range restarted {
		if process.Role != "front" {
			continue
		}
		if err := loadgen.AwaitTurn(ctx, fleet.Target(), process.PublicAddress); err != nil {
			return outage.missing, time.Since(began), fmt.Errorf("%s: %w", process.Name, err)
		}
	}
	took := time.Since(began)
	fleet.Checks.Check("outage", took <= outageRecoveryBound, "it took %s until every front had served a turn, without %s", took, outage.missing)
	for _, process := range daemons {
		if outage.excluded(process) {
			if err := process.Start(); err != nil {
				return outage.missing, took, err
			}
		}
	}
	return outage.missing, took, nil
}

// Faults are the faults that a run selects from.
var Faults = []Fault{
	{"front killed", fronts, killAndRestart("front", time.Second)},
	{"store killed", machines, killAndRestart("store", 2*time.Second)},
	{"control killed", machines, killAndRestart("control", 2*time.Second)},
	{"runner restarted", runners, restartRunner},
	{"front frozen", fronts, pauseAndResume("front", 4*time.Second)},
	{"store frozen", machines, pauseAndResume("store", 4*time.Second)},
	{"control frozen", machines, pauseAndResume("control", 4*time.Second)},
	{"runner frozen", runners, pauseAndResume("runner", 2*time.Second)},
	{"runners replaced", runners, replaceRunners},
	{"store wiped", machines, wipeAndRestart("store")},
	{"control wiped", machines, wipeAndRestart("control")},
	{"store exchanged", machines, replaceStore},
	{"seeds exchanged", machines, replaceSeeds},
	{"power lost", machines, losePower},
	{"disk slow", machines, injectDiskFaults(vfs.DiskFaults{Slow: "150ms"}, 4*time.Second)},
	{"disk stalled", machines, injectDiskFaults(vfs.DiskFaults{Stalled: true}, 4*time.Second)},
	{"disk full", machines, injectDiskFaults(vfs.DiskFaults{Full: true}, 3*time.Second)},
	{"links cut", machines, injectLinkFault(func(links *LinkProxy, node, peer *Process) {
		links.CutOneWay(node.Address, peer.Address)
		links.CutOneWay(peer.Address, node.Address)
	}, true)},
	{"links cut one way", machines, injectLinkFault(func(links *LinkProxy, node, peer *Process) { links.CutOneWay(node.Address, peer.Address) }, false)},
	{"links slow", machines, injectLinkFault(func(links *LinkProxy, node, peer *Process) {
		links.Slow(node.Address, peer.Address, 100*time.Millisecond)
		links.Slow(peer.Address, node.Address, 100*time.Millisecond)
	}, true)},
	{"domain lost", machines, loseDomain},
	{"domain emptied and refilled", operators, drainDomain},
	{"config changed under a frozen front", operators, checkConfigTakesEffect},
	{"weights changed in a burst", operators, changeWeightsRapidly},
	{"two operators at once", operators, changeConfigConcurrently},
	{"many new routes", operators, addManyRoutes},
	{"crowd", runners, func(ctx context.Context, fleet *Fleet, _ *rand.Rand) error {
		result := loadgen.Spike(ctx, fleet.Target(), 4*time.Second, 250)
		fleet.Checks.Check("crowd", result.RejectedWithoutRetryAfter == 0, "%d of %d rejections were reported as not run without a time to retry after", result.RejectedWithoutRetryAfter, result.Rejected)
		return nil
	}},
	{"front drained and restarted", fronts, func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		process := fleet.pickProcess(random, "front")
		if err := process.Terminate(ctx); err != nil {
			return err
		}
		return process.Start()
	}},
	{"settings reread", fronts, func(_ context.Context, fleet *Fleet, _ *rand.Rand) error {
		fleet.reloadSettings()
		return nil
	}},
}

// Panics returns the panics, fatal errors and data races in the processes' logs.
//
//	found := running.Panics()
func (fleet *Fleet) Panics() []string {
	found := []string{}
	for _, process := range fleet.Processes {
		data, err := os.ReadFile(process.logFile)
		if err != nil {
			continue
		}
		for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if strings.Contains(string(data), marker) {
				found = append(found, process.Name+": "+marker)
			}
		}
	}
	return found
}
