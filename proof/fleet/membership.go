package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// reloadSettings sends SIGHUP to all daemons, so that they reload their settings. It skips daemons
// that have only just started: they read the new settings anyway, and the signal would end a
// process that has not installed its handler yet.
func (fleet *Fleet) reloadSettings() {
	for _, role := range []string{"control", "store", "front"} {
		for _, process := range fleet.ProcessesOf(role) {
			if time.Since(process.started) > time.Second {
				process.signal(syscall.SIGHUP)
			}
		}
	}
}

// removeProcess removes a process that will not be restarted from the fleet.
func (fleet *Fleet) removeProcess(old *Process) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.Processes = slices.DeleteFunc(fleet.Processes, func(process *Process) bool { return process == old })
}

// addNode adds a daemon at a new address and starts it.
func (fleet *Fleet) addNode(role, domain string) (*Process, error) {
	fleet.mutex.Lock()
	fleet.addedNodes++
	number := fleet.addedNodes
	fleet.mutex.Unlock()
	address, err := freeAddress(fmt.Sprintf("127.%d.%d.%d", 40+number%50, number%250, 1+number%200))
	if err != nil {
		return nil, err
	}
	process, err := fleet.add(fmt.Sprintf("%s-fresh-%d", role, number), role, domain, address)
	if err != nil {
		return nil, err
	}
	return process, process.Start()
}

// replaceControl replaces a control node by an empty one at a new address, and updates the seeds if
// it was one of them.
func (fleet *Fleet) replaceControl(ctx context.Context, old *Process) error {
	replacement, err := fleet.addNode("control", old.Domain)
	if err != nil {
		return err
	}
	old.Kill()
	fleet.removeProcess(old)
	seeds := slices.Clone(fleet.seeds)
	if position := slices.Index(seeds, old.Address); position >= 0 {
		seeds[position] = replacement.Address
		if err := fleet.setSeeds(seeds); err != nil {
			return err
		}
		fleet.reloadSettings()
	}
	return fleet.awaitHealed(ctx, replacement)
}

// replaceSeeds replaces the three seed control nodes one after another.
func replaceSeeds(ctx context.Context, fleet *Fleet, _ *rand.Rand) error {
	for _, control := range fleet.ProcessesOf("control")[:3] {
		if err := fleet.replaceControl(ctx, control); err != nil {
			return err
		}
	}
	return nil
}

// replaceStore enrols a new store, decommissions an old one and ends its process.
func replaceStore(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	old := fleet.pickProcess(random, "store")
	replacement, err := fleet.addNode("store", old.Domain)
	if err != nil {
		return err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, 90*time.Second)
	defer cancel()
	retry := func(method, name string, accepted ...string) error {
		for {
			err := fleet.Administer(timeoutCtx, method, "/v1/stores/"+name, map[string]any{}, nil)
			if err == nil || slices.ContainsFunc(accepted, func(text string) bool { return strings.Contains(err.Error(), text) }) {
				return nil
			}
			if timeoutCtx.Err() != nil {
				return fmt.Errorf("%s %s: %w", method, name, err)
			}
			wait(timeoutCtx, 500*time.Millisecond)
		}
	}
	for replacement.identity() == "" {
		if timeoutCtx.Err() != nil {
			return errors.New("the new store wrote no identity file before the timeout")
		}
		wait(timeoutCtx, 100*time.Millisecond)
	}
	if err := retry(http.MethodPut, replacement.identity(), "is enrolled already"); err != nil {
		return err
	}
	if err := retry(http.MethodDelete, old.identity(), "no store named"); err != nil {
		return err
	}
	old.Kill()
	fleet.removeProcess(old)
	return fleet.awaitHealed(ctx, replacement)
}
