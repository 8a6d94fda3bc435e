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

	"yardrock.example/proof/demand"
	"yardrock.example/system/vfs"
)

// Fault is one kind of fault that a fleet can be done, and undone. Two that differ in
// what they Strike may be done at once; the brief bears one disk-bearing machine or
// one domain at a time.
type Fault struct {
	Name   string
	Strike string
	Do     func(ctx context.Context, running *Fleet, random *rand.Rand) error
}

// What faults strike.
const (
	machines  = "machines"
	fronts    = "fronts"
	runners   = "runners"
	operators = "operators"
)

// pick draws a process of a role.
func (running *Fleet) pick(random *rand.Rand, role string) *Process {
	found := running.Of(role)
	return found[random.IntN(len(found))]
}

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func killAndRestart(role string, away time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		process := running.pick(random, role)
		process.Kill()
		wait(ctx, away)
		return process.Start()
	}
}

func freezeAndWake(role string, away time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		process := running.pick(random, role)
		process.Freeze()
		wait(ctx, away)
		process.Wake()
		return nil
	}
}

func wipeAndRestart(role string) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		process := running.pick(random, role)
		process.Kill()
		if err := process.Wipe(); err != nil {
			return err
		}
		if err := process.Start(); err != nil {
			return err
		}
		return running.awaitHealed(ctx, process)
	}
}

// identity reads the name of the process's disk.
func (process *Process) identity() string {
	var told struct{ Name string }
	data, err := os.ReadFile(filepath.Join(process.Folder, "identity"))
	if err != nil || json.Unmarshal(data, &told) != nil {
		return ""
	}
	return told.Name
}

// awaitHealed waits until the new disk is enrolled, as many stores and controls
// are listed and live as there were, and every group has its replicas, so that
// the next loss may be borne.
func (running *Fleet) awaitHealed(ctx context.Context, fresh *Process) error {
	limited, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	for {
		name := fresh.identity()
		var told struct {
			Members, Stores, Controls []struct{ Name, Role string }
			Unhealed                  int `json:"unhealed_groups"`
		}
		err := running.Administer(limited, http.MethodGet, "/v1/fleet", nil, &told)
		live := map[string]bool{}
		for _, member := range told.Members {
			live[member.Name] = true
		}
		enrolled, taken := 0, false
		for _, member := range append(told.Stores, told.Controls...) {
			if live[member.Name] {
				enrolled++
			}
			taken = taken || (name != "" && member.Name == name)
		}
		if err == nil && taken && told.Unhealed == 0 && len(told.Stores) == running.Deployment.Stores && len(told.Controls) == running.Deployment.Controls && enrolled == running.Deployment.Stores+running.Deployment.Controls {
			return nil
		}
		select {
		case <-limited.Done():
			return fmt.Errorf("not healed: %d stores, %d controls listed, %d of them live, %d groups unhealed (%v)", len(told.Stores), len(told.Controls), enrolled, told.Unhealed, err)
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// withDisk brings a fault on the disk of a store or control node for a while.
func withDisk(faults vfs.DiskFaults, lasts time.Duration) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		process := running.pick(random, []string{"store", "control"}[random.IntN(2)])
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

// losePower ends a process amid its work; what its disk had not synced is lost.
func losePower(ctx context.Context, running *Fleet, random *rand.Rand) error {
	process := running.pick(random, []string{"store", "store", "control"}[random.IntN(3)])
	process.Kill()
	return process.Start()
}

// withLink brings a fault on the ways between one disk-bearing machine and some others.
func withLink(do func(links *Links, one, other *Process), all bool) func(context.Context, *Fleet, *rand.Rand) error {
	return func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		one := running.pick(random, []string{"store", "control"}[random.IntN(2)])
		others := slices.Concat(running.Of("store"), running.Of("control"), running.Of("front"))
		if !all {
			random.Shuffle(len(others), func(left, right int) { others[left], others[right] = others[right], others[left] })
			others = others[:len(others)/2]
		}
		for _, other := range others {
			if other != one {
				do(running.Links, one, other)
			}
		}
		wait(ctx, 4*time.Second)
		for _, other := range others {
			running.Links.Mend(one.Address, other.Address)
		}
		return nil
	}
}

func loseDomain(ctx context.Context, running *Fleet, random *rand.Rand) error {
	name := running.Deployment.Domains[random.IntN(len(running.Deployment.Domains))]
	lost := []*Process{}
	for _, role := range []string{"control", "store", "front", "runner"} {
		for _, process := range running.Of(role) {
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

// Outage kills every daemon at once, with what was not synced lost, and starts all
// again but some: a store, a control node and a store, or a domain. It tells what was
// missing and how long it took until every front had served a turn.
//
//	missing, took, err := running.Outage(ctx, random)
func (running *Fleet) Outage(ctx context.Context, random *rand.Rand) (string, time.Duration, error) {
	daemons := slices.Concat(running.Of("control"), running.Of("store"), running.Of("front"))
	for _, process := range daemons {
		process.Kill()
	}
	store, control := running.pick(random, "store"), running.pick(random, "control")
	name := running.Deployment.Domains[random.IntN(len(running.Deployment.Domains))]
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
		if err := demand.AwaitTurn(ctx, running.Target(), process.Outside); err != nil {
			return chosen.name, time.Since(began), fmt.Errorf("%s: %w", process.Name, err)
		}
	}
	took := time.Since(began)
	running.Verdicts.Judge("outage", took <= outageBound, "a turn was served at every front only after %s, without %s", took, chosen.name)
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
	{"front frozen", fronts, freezeAndWake("front", 4*time.Second)},
	{"store frozen", machines, freezeAndWake("store", 4*time.Second)},
	{"control frozen", machines, freezeAndWake("control", 4*time.Second)},
	{"runner frozen", runners, freezeAndWake("runner", 2*time.Second)},
	{"runners replaced", runners, replaceRunners},
	{"store wiped", machines, wipeAndRestart("store")},
	{"control wiped", machines, wipeAndRestart("control")},
	{"store exchanged", machines, exchangeStore},
	{"seeds exchanged", machines, exchangeSeeds},
	{"power lost", machines, losePower},
	{"disk slow", machines, withDisk(vfs.DiskFaults{Slow: "150ms"}, 4*time.Second)},
	{"disk stalled", machines, withDisk(vfs.DiskFaults{Stalled: true}, 4*time.Second)},
	{"disk full", machines, withDisk(vfs.DiskFaults{Full: true}, 3*time.Second)},
	{"links cut", machines, withLink(func(links *Links, one, other *Process) {
		links.CutOneWay(one.Address, other.Address)
		links.CutOneWay(other.Address, one.Address)
	}, true)},
	{"links cut one way", machines, withLink(func(links *Links, one, other *Process) { links.CutOneWay(one.Address, other.Address) }, false)},
	{"links slow", machines, withLink(func(links *Links, one, other *Process) {
		links.Slow(one.Address, other.Address, 100*time.Millisecond)
		links.Slow(other.Address, one.Address, 100*time.Millisecond)
	}, true)},
	{"domain lost", machines, loseDomain},
	{"domain emptied and refilled", operators, emptyDomain},
	{"config changed under a frozen front", operators, obeyConfig},
	{"weights changed in a burst", operators, burst},
	{"two operators at once", operators, twoOperators},
	{"many new routes", operators, manyRoutes},
	{"crowd", runners, func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		seen := demand.Crowd(ctx, running.Target(), 4*time.Second, 250)
		running.Verdicts.Judge("crowd", seen.Wrong == 0, "%d of %d refusals were not as not run with when to come back", seen.Wrong, seen.Refused)
		return nil
	}},
	{"front drained and restarted", fronts, func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		process := running.pick(random, "front")
		if err := process.Terminate(ctx); err != nil {
			return err
		}
		return process.Start()
	}},
	{"settings reread", fronts, func(_ context.Context, running *Fleet, _ *rand.Rand) error {
		running.hangUp()
		return nil
	}},
}

// Panics looks through the processes' logs for what must never be there.
//
//	found := running.Panics()
func (running *Fleet) Panics() []string {
	found := []string{}
	for _, process := range running.Processes {
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
