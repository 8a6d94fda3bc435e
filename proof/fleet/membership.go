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

// reloadSettings sends SIGHUP to all daemons, so that they read their settings again. Those that
// have only just started are left out: they read the settings anyway, and the signal would end a
// program that does not handle it yet.
func (fleet *Fleet) reloadSettings() {
	for _, role := range []string{"control", "store", "front"} {
		for _, process := range fleet.ProcessesOf(role) {
			if time.Since(process.started) > time.Second {
				process.signal(syscall.SIGHUP)
			}
		}
	}
}

// remove takes a process that has ended permanently out of the fleet.
func (fleet *Fleet) remove(old *Process) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.Processes = slices.DeleteFunc(fleet.Processes, func(process *Process) bool { return process == old })
}

// addNode starts a new daemon at a new address.
func (fleet *Fleet) addNode(role, domain string) (*Process, error) {
	fleet.mutex.Lock()
	fleet.added++
	number := fleet.added
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

// replaceControl replaces a control machine by an empty one at a new address.
func (fleet *Fleet) replaceControl(ctx context.Context, old *Process) error {
	fresh, err := fleet.addNode("control", old.Domain)
	if err != nil {
		return err
	}
	old.Kill()
	fleet.remove(old)
	seeds := slices.Clone(fleet.seeds)
	if at := slices.Index(seeds, old.Address); at >= 0 {
		seeds[at] = fresh.Address
		if err := fleet.setSeeds(seeds); err != nil {
			return err
		}
		fleet.reloadSettings()
	}
	return fleet.awaitHealed(ctx, fresh)
}

// replaceSeeds replaces all three seed machines, one after the other.
func replaceSeeds(ctx context.Context, fleet *Fleet, _ *rand.Rand) error {
	for _, control := range fleet.ProcessesOf("control")[:3] {
		if err := fleet.replaceControl(ctx, control); err != nil {
			return err
		}
	}
	return nil
}

// replaceStore enrols a new store machine, decommissions an old one and ends it.
func replaceStore(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	old := fleet.pickProcess(random, "store")
	fresh, err := fleet.addNode("store", old.Domain)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, 90*time.Second)
	defer cancel()
	repeat := func(method, name string, done ...string) error {
		for {
			err := fleet.Administer(limited, method, "/v1/stores/"+name, map[string]any{}, nil)
			if err == nil || slices.ContainsFunc(done, func(sign string) bool { return strings.Contains(err.Error(), sign) }) {
				return nil
			}
			if limited.Err() != nil {
				return fmt.Errorf("%s %s: %w", method, name, err)
			}
			wait(limited, 500*time.Millisecond)
		}
	}
	for fresh.identity() == "" {
		if limited.Err() != nil {
			return errors.New("the new store made no identity")
		}
		wait(limited, 100*time.Millisecond)
	}
	if err := repeat(http.MethodPut, fresh.identity(), "is enrolled already"); err != nil {
		return err
	}
	if err := repeat(http.MethodDelete, old.identity(), "no store named"); err != nil {
		return err
	}
	old.Kill()
	fleet.remove(old)
	return fleet.awaitHealed(ctx, fresh)
}
