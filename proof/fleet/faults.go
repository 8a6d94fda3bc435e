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
// Two faults with different targets may be injected at once; the brief demands that the fleet
// tolerates the loss of one machine with a disk, or of one domain, at a time.
type Fault struct {
	Name   string
	Target string
	Inject func(ctx context.Context, running *Fleet, random *rand.Rand) error
}

// The targets of faults.
const (
	machines  = "machines"
	fronts    = "fronts"
	runners   = "runners"
	operators = "operators"
)

// pickProcess draws a process of a role.
func (fleet *Fleet) pickProcess(random *rand.Rand, role string) *Process {
	found := fleet.ProcessesOf(role)
	return found[random.IntN(len(found))]
}

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func killAndRestart(role string, away time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		process := fleet.pickProcess(random, role)
		process.Kill()
		wait(ctx, away)
		return process.Start()
	}
}

func pauseAndResume(role string, away time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		process := fleet.pickProcess(random, role)
		process.Pause()
		wait(ctx, away)
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

// identity reads the name of the process's disk.
func (process *Process) identity() string {
	var reported struct{ Name string }
	data, err := os.ReadFile(filepath.Join(process.Folder, "identity"))
	if err != nil || json.Unmarshal(data, &reported) != nil {
		return ""
	}
	return reported.Name
}

// awaitHealed waits until the process with a new disk is enrolled, as many stores and control
// nodes are listed and live as before, and every group has all its replicas, so that the fleet
// tolerates the next loss.
func (fleet *Fleet) awaitHealed(ctx context.Context, fresh *Process) error {
	limited, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	for {
		name := fresh.identity()
		var reported struct {
			Members, Stores, Controls []struct{ Name, Role string }
			Unhealed                  int `json:"unhealed_groups"`
		}
		err := fleet.Administer(limited, http.MethodGet, "/v1/fleet", nil, &reported)
		live := map[string]bool{}
		for _, member := range reported.Members {
			live[member.Name] = true
		}
		enrolled, taken := 0, false
		for _, member := range append(reported.Stores, reported.Controls...) {
			if live[member.Name] {
				enrolled++
			}
			taken = taken || (name != "" && member.Name == name)
		}
		if err == nil && taken && reported.Unhealed == 0 && len(reported.Stores) == fleet.Deployment.Stores && len(reported.Controls) == fleet.Deployment.Controls && enrolled == fleet.Deployment.Stores+fleet.Deployment.Controls {
			return nil
		}
		select {
		case <-limited.Done():
			return fmt.Errorf("not healed: %d stores, %d controls listed, %d of them live, %d groups unhealed (%v)", len(reported.Stores), len(reported.Controls), enrolled, reported.Unhealed, err)
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// injectDiskFaults returns a fault of the disk of a store or control node, for a time.
func injectDiskFaults(faults vfs.DiskFaults, lasts time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		process := fleet.pickProcess(random, []string{"store", "control"}[random.IntN(2)])
		data, err := json.Marshal(faults)
		if err != nil {
			return err
		}
		if err := os.WriteFile(process.Faults, data, 0o600); err != nil {
			return err
		}
		wait(ctx, lasts)
		return os.Remove(process.Faults)
	}
}

// losePower kills a process, and what its disk had not synced is lost.
func losePower(_ context.Context, fleet *Fleet, random *rand.Rand) error {
	process := fleet.pickProcess(random, []string{"store", "store", "control"}[random.IntN(3)])
	process.Kill()
	return process.Start()
}

// injectLinkFault returns a fault of the links between one machine with a disk and some or all
// others.
func injectLinkFault(do func(links *LinkProxy, one, other *Process), all bool) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
		one := fleet.pickProcess(random, []string{"store", "control"}[random.IntN(2)])
		others := slices.Concat(fleet.ProcessesOf("store"), fleet.ProcessesOf("control"), fleet.ProcessesOf("front"))
		if !all {
			random.Shuffle(len(others), func(left, right int) { others[left], others[right] = others[right], others[left] })
			others = others[:len(others)/2]
		}
		for _, other := range others {
			if other != one {
				do(fleet.Links, one, other)
			}
		}
		wait(ctx, 4*time.Second)
		for _, other := range others {
			fleet.Links.Heal(one.Address, other.Address)
		}
		return nil
	}
}

func loseDomain(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	name := fleet.Deployment.Domains[random.IntN(len(fleet.Deployment.Domains))]
	lost := []*Process{}
	for _, role := range []string{"control", "store", "front", "runner"} {
		for _, process := range fleet.ProcessesOf(role) {
			if process.Domain == name {
				process.Kill()
				lost = append(lost, process)
			}
		}
	}
	wait(ctx, 4*time.Second)
	for _, process := range lost {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// TotalOutage kills every daemon at once, so that unsynced data is lost, and starts all but some
// again: without a store, a control node and a store, or a domain. It returns what was missing and
// how long it took until every front had served a turn.
//
//	missing, took, err := running.TotalOutage(ctx, random)
func (fleet *Fleet) TotalOutage(ctx context.Context, random *rand.Rand) (string, time.Duration, error) {
	daemons := slices.Concat(fleet.ProcessesOf("control"), fleet.ProcessesOf("store"), fleet.ProcessesOf("front"))
	for _, process := range daemons {
		process.Kill()
	}
	store, control := fleet.pickProcess(random, "store"), fleet.pickProcess(random, "control")
	name := fleet.Deployment.Domains[random.IntN(len(fleet.Deployment.Domains))]
	cases := []struct {
		name string
		gone func(process *Process) bool
	}{
		{"a store", func(process *Process) bool { return process == store }},
		{"a control node and a store", func(process *Process) bool { return process == store || process == control }},
		{"domain " + name, func(process *Process) bool { return process.Domain == name }},
	}
	chosen := cases[random.IntN(len(cases))]
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	began := time.Now()
	back := []*Process{}
	for _, process := range daemons {
		if chosen.gone(process) {
			continue
		}
		if err := process.Start(); err != nil {
			return chosen.name, 0, err
		}
		back = append(back, process)
	}
	for _, process := range back {
		if process.Role != "front" {
			continue
		}
		if err := loadgen.AwaitTurn(ctx, fleet.Target(), process.PublicAddress); err != nil {
			return chosen.name, time.Since(began), fmt.Errorf("%s: %w", process.Name, err)
		}
	}
	took := time.Since(began)
	fleet.Checks.Check("outage", took <= outageBound, "a turn was served at every front only after %s, without %s", took, chosen.name)
	for _, process := range daemons {
		if chosen.gone(process) {
			if err := process.Start(); err != nil {
				return chosen.name, took, err
			}
		}
	}
	return chosen.name, took, nil
}

// Faults are the faults that a seeded run draws from.
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
	{"links cut", machines, injectLinkFault(func(links *LinkProxy, one, other *Process) {
		links.CutOneWay(one.Address, other.Address)
		links.CutOneWay(other.Address, one.Address)
	}, true)},
	{"links cut one way", machines, injectLinkFault(func(links *LinkProxy, one, other *Process) { links.CutOneWay(one.Address, other.Address) }, false)},
	{"links slow", machines, injectLinkFault(func(links *LinkProxy, one, other *Process) {
		links.Slow(one.Address, other.Address, 100*time.Millisecond)
		links.Slow(other.Address, one.Address, 100*time.Millisecond)
	}, true)},
	{"domain lost", machines, loseDomain},
	{"domain emptied and refilled", operators, drainDomain},
	{"config changed under a frozen front", operators, checkConfigTakesEffect},
	{"weights changed in a burst", operators, trafficSpike},
	{"two operators at once", operators, twoOperators},
	{"many new routes", operators, manyRoutes},
	{"crowd", runners, func(ctx context.Context, fleet *Fleet, _ *rand.Rand) error {
		seen := loadgen.Spike(ctx, fleet.Target(), 4*time.Second, 250)
		fleet.Checks.Check("crowd", seen.Wrong == 0, "%d of %d refusals were not as not run with when to come back", seen.Wrong, seen.Rejected)
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

// Panics searches the processes' logs for panics and data races.
//
//	found := running.Panics()
func (fleet *Fleet) Panics() []string {
	found := []string{}
	for _, process := range fleet.Processes {
		data, err := os.ReadFile(process.log)
		if err != nil {
			continue
		}
		for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if strings.Contains(string(data), sign) {
				found = append(found, process.Name+": "+sign)
			}
		}
	}
	return found
}
