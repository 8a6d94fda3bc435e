package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Harm is one kind of fault that a fleet can be done, and undone.
type Harm struct {
	Name string
	Do   func(ctx context.Context, running *Fleet, random *rand.Rand) error
}

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
		if err == nil && taken && told.Unhealed == 0 && len(told.Stores) == running.Deployment.Stores && enrolled == running.Deployment.Stores+running.Deployment.Controls {
			return nil
		}
		select {
		case <-limited.Done():
			return fmt.Errorf("not healed: %d stores, %d controls listed, %d of them live, %d groups unhealed (%v)", len(told.Stores), len(told.Controls), enrolled, told.Unhealed, err)
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// Outage kills every daemon at once and starts all but one store again; it tells
// how long it took until every front was ready.
//
//	took, err := running.Outage(ctx)
func (running *Fleet) Outage(ctx context.Context, random *rand.Rand) (time.Duration, error) {
	daemons := []*Process{}
	for _, role := range []string{"front", "control", "store"} {
		daemons = append(daemons, running.Of(role)...)
	}
	for _, process := range daemons {
		process.Kill()
	}
	missing := running.pick(random, "store")
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	for _, process := range daemons {
		if process == missing {
			continue
		}
		if err := process.Start(); err != nil {
			return 0, err
		}
	}
	for _, front := range running.Of("front") {
		if err := AwaitReady(ctx, front.Outside); err != nil {
			return 0, err
		}
	}
	took := time.Since(began)
	return took, missing.Start()
}

// Harms are the faults that a seeded run draws from.
var Harms = []Harm{
	{"front killed", killAndRestart("front", time.Second)},
	{"store killed", killAndRestart("store", 2*time.Second)},
	{"control killed", killAndRestart("control", 2*time.Second)},
	{"runner killed", killAndRestart("runner", time.Second)},
	{"front frozen", freezeAndWake("front", 4*time.Second)},
	{"store frozen", freezeAndWake("store", 4*time.Second)},
	{"control frozen", freezeAndWake("control", 4*time.Second)},
	{"runner frozen", freezeAndWake("runner", 2*time.Second)},
	{"store wiped", wipeAndRestart("store")},
	{"control wiped", wipeAndRestart("control")},
	{"domain lost", func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		name := running.Deployment.Domains[random.IntN(len(running.Deployment.Domains))]
		lost := []*Process{}
		for _, process := range running.Processes {
			if process.Domain == name {
				process.Kill()
				lost = append(lost, process)
			}
		}
		wait(ctx, 4*time.Second)
		for _, process := range lost {
			if err := process.Start(); err != nil {
				return err
			}
		}
		return nil
	}},
	{"domain emptied and refilled", func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		path := "/v1/domains/" + running.Deployment.Domains[random.IntN(len(running.Deployment.Domains))]
		if err := running.Administer(ctx, http.MethodPost, path, map[string]any{"state": "emptied"}, nil); err != nil {
			return err
		}
		wait(ctx, 3*time.Second)
		return running.Administer(ctx, http.MethodPost, path, map[string]any{"state": "serving"}, nil)
	}},
	{"weights changed in a burst", func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		for range 10 {
			if err := running.Administer(ctx, http.MethodPatch, "/v1/charter", map[string]any{"path": "tables.talk.small", "value": 1 + random.IntN(5)}, nil); err != nil {
				return err
			}
		}
		return nil
	}},
	{"front drained and restarted", func(ctx context.Context, running *Fleet, random *rand.Rand) error {
		process := running.pick(random, "front")
		if err := process.Terminate(ctx); err != nil {
			return err
		}
		return process.Start()
	}},
	{"settings reread", func(_ context.Context, running *Fleet, random *rand.Rand) error {
		running.pick(random, "store").signal(syscall.SIGHUP)
		running.pick(random, "front").signal(syscall.SIGHUP)
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
