package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"yardrock.example/proof/standin"
)

// Bounds of the brief, and how long the control plane may take to learn of a change
// of the platform's list: its lag, our poll, and a throttled try.
const (
	configBound  = 2 * time.Second
	leavingBound = 3 * time.Second
	emptiedBound = 5 * time.Second
	learnBound   = 2500 * time.Millisecond
	outageBound  = 12 * time.Second
	routes       = 2000
)

// readRecord asks a runner what it saw; take also begins to count its crowd anew.
func readRecord(ctx context.Context, address, what string) (standin.Record, error) {
	var seen standin.Record
	query, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/"+what, nil)
	if err != nil {
		return seen, err
	}
	answer, err := http.DefaultClient.Do(query)
	if err != nil {
		return seen, err
	}
	defer answer.Body.Close()
	return seen, json.NewDecoder(answer.Body).Decode(&seen)
}

// listRunner changes the platform's list.
func (fleet *Fleet) listRunner(ctx context.Context, address, state string) error {
	fleet.mutex.Lock()
	for position := range fleet.Runners {
		if fleet.Runners[position].Address == address {
			fleet.Runners[position].State = state
		}
	}
	data, err := json.Marshal(fleet.Runners)
	fleet.mutex.Unlock()
	if err != nil {
		return err
	}
	query, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+fleet.Platform+"/runners", bytes.NewReader(data))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(query)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

func (fleet *Fleet) groupOf(address string) string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, runner := range fleet.Runners {
		if runner.Address == address {
			return runner.Group
		}
	}
	return ""
}

var warmingUpLimits = map[string]int{"small": 4, "large": 4, "application": 8}

// replaceRunners lets some runners leave, one after another: each is listed as
// leaving, ends, starts anew, is listed as cold, and then serves.
func replaceRunners(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	runners := fleet.ProcessesOf("runner")
	for _, position := range random.Perm(len(runners))[:2] {
		runner := runners[position]
		if err := fleet.listRunner(ctx, runner.Address, "leaving"); err != nil {
			return err
		}
		known := time.Now().Add(learnBound)
		wait(ctx, learnBound+leavingBound+2*time.Second)
		seen, err := readRecord(ctx, runner.Address, "record")
		if err != nil {
			return err
		}
		late := 0
		for _, at := range seen.Arrivals {
			if at > known.Add(leavingBound).UnixNano() {
				late++
			}
		}
		fleet.Checks.Check("leaving", late == 0, "%s got %d queries more than %s after it was known to leave", runner.Name, late, leavingBound)
		runner.Kill()
		if err := fleet.listRunner(ctx, runner.Address, "cold"); err != nil {
			return err
		}
		wait(ctx, learnBound)
		if err := runner.Start(); err != nil {
			return err
		}
		wait(ctx, 3*time.Second)
		seen, err = readRecord(ctx, runner.Address, "take")
		if err != nil {
			return err
		}
		bears := warmingUpLimits[fleet.groupOf(runner.Address)]
		fleet.Checks.Check("cold", seen.MaxInFlight <= bears, "%s had %d queries at once, and bears %d while cold", runner.Name, seen.MaxInFlight, bears)
		if err := fleet.listRunner(ctx, runner.Address, "serving"); err != nil {
			return err
		}
	}
	return nil
}

// restartRunner restarts a runner that the list goes on calling serving; its limit
// must come down and ramp up all the same.
func restartRunner(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	runner := fleet.pickProcess(random, "runner")
	runner.Kill()
	wait(ctx, 1500*time.Millisecond)
	if err := runner.Start(); err != nil {
		return err
	}
	wait(ctx, time.Second)
	seen, err := readRecord(ctx, runner.Address, "take")
	if err != nil {
		return err
	}
	// A third of the ramp of 3 s has gone by at most.
	bears := warmingUpLimits[fleet.groupOf(runner.Address)] + 8
	fleet.Checks.Check("cold", seen.MaxInFlight <= bears, "%s had %d queries at once a second after it came back, and bears %d", runner.Name, seen.MaxInFlight, bears)
	return nil
}

func drainDomain(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	name := fleet.Deployment.Domains[random.IntN(len(fleet.Deployment.Domains))]
	path := "/v1/domains/" + name
	if err := fleet.Administer(ctx, http.MethodPost, path, map[string]any{"state": "emptied"}, nil); err != nil {
		return err
	}
	emptied := time.Now()
	wait(ctx, emptiedBound+2*time.Second)
	for _, runner := range fleet.ProcessesOf("runner") {
		if runner.Domain != name {
			continue
		}
		seen, err := readRecord(ctx, runner.Address, "record")
		if err != nil {
			continue // another fault has it
		}
		late := 0
		for _, at := range seen.Arrivals {
			if at > emptied.Add(emptiedBound).UnixNano() {
				late++
			}
		}
		fleet.Checks.Check("emptied", late == 0, "%s got %d queries more than %s after its domain was emptied", runner.Name, late, emptiedBound)
	}
	return fleet.Administer(ctx, http.MethodPost, path, map[string]any{"state": "serving"}, nil)
}

// changeConfig sends one change of the config and remembers what was acknowledged.
func (fleet *Fleet) changeConfig(ctx context.Context, method string, body map[string]any) (ChangeResult, error) {
	var reported ChangeResult
	err := fleet.Administer(ctx, method, "/v1/config", body, &reported)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if err != nil || !reported.Acknowledged {
		fleet.unclear = true // it may be in force all the same
	} else if reported.Number > fleet.acknowledged {
		fleet.acknowledged, fleet.unclear = reported.Number, false
	}
	return reported, err
}

// CheckConfig reads the config back, which must be the newest acknowledged one.
//
//	running.CheckConfig(ctx)
func (fleet *Fleet) CheckConfig(ctx context.Context) {
	number, _, err := fleet.ReadConfig(ctx)
	for try := 0; err != nil && try < 20; try++ {
		wait(ctx, 500*time.Millisecond)
		number, _, err = fleet.ReadConfig(ctx)
	}
	fleet.mutex.Lock()
	acknowledged, unclear := fleet.acknowledged, fleet.unclear
	fleet.mutex.Unlock()
	kept := err == nil && (number == acknowledged || (unclear && number > acknowledged))
	fleet.Checks.Check("config read back", kept, "config %d is read back, %d was acknowledged last (unclear ones since: %v, %v)", number, acknowledged, unclear, err)
}

// checkConfigTakesEffect changes the path of lookups, so that runners see by which config each
// was handled, while a front is frozen and wakes.
func checkConfigTakesEffect(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	front := fleet.pickProcess(random, "front")
	front.Pause()
	defer front.Resume()
	path := fmt.Sprintf("/lookup-%d", time.Now().UnixNano())
	if _, err := fleet.changeConfig(ctx, http.MethodPatch, map[string]any{"path": "kinds.lookup.path", "value": path}); err != nil {
		return err
	}
	acknowledged := time.Now()
	wait(ctx, configBound+500*time.Millisecond)
	front.Resume()
	wait(ctx, 2*time.Second)
	obeyed := false
	for _, runner := range fleet.ProcessesOf("runner") {
		seen, err := readRecord(ctx, runner.Address, "record")
		if err != nil {
			continue
		}
		for other, at := range seen.LastArrival {
			late := time.Unix(0, at).Sub(acknowledged)
			if other == path {
				obeyed = true
			} else if strings.HasPrefix(other, "/lookup-") {
				fleet.Checks.Check("config obeyed", late <= configBound, "%s got a query on %s %s after %s was acknowledged", runner.Name, other, late, path)
			}
		}
	}
	if !obeyed {
		return errors.New("no lookup came on the new path")
	}
	return nil
}

func trafficSpike(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	for range 10 {
		if _, err := fleet.changeConfig(ctx, http.MethodPatch, map[string]any{"path": "tables.talk.small", "value": 1 + random.IntN(5)}); err != nil {
			return err
		}
	}
	return nil
}

// twoOperators lets two operators change the same config by its number: at most one
// of them may be told that it was taken.
func twoOperators(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	for range 6 {
		number, _, err := fleet.ReadConfig(ctx)
		if err != nil {
			return err
		}
		var sent sync.WaitGroup
		taken := make([]bool, 2)
		for operator := range taken {
			value := 1 + random.IntN(9)
			sent.Go(func() {
				reported, err := fleet.changeConfig(ctx, http.MethodPatch, map[string]any{"path": "tables.talk.large", "value": value, "expected": number})
				taken[operator] = err == nil && reported.Acknowledged
			})
		}
		sent.Wait()
		fleet.Checks.Check("two operators", !(taken[0] && taken[1]), "both operators replaced config %d", number)
	}
	return nil
}

// manyRoutes puts a config with thousands of new kinds of work.
func manyRoutes(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	number, source, err := fleet.ReadConfig(ctx)
	if err != nil {
		return err
	}
	if strings.Contains(source, "route_0") {
		return trafficSpike(ctx, fleet, random)
	}
	var text strings.Builder
	text.WriteString(source + "\n")
	for route := range routes {
		fmt.Fprintf(&text, "kinds: route_%d: {serves: \"plain\", table: \"plain\", path: \"/route-%d\"}\n", route, route)
	}
	_, err = fleet.changeConfig(ctx, http.MethodPut, map[string]any{"source": text.String(), "expected": number})
	return err
}

// closeIdleConnections signals all daemons that their settings have changed, but those that have
// only just started: they read them anyway, and a signal before a program's first
// line ends it.
func (fleet *Fleet) closeIdleConnections() {
	for _, role := range []string{"control", "store", "front"} {
		for _, process := range fleet.ProcessesOf(role) {
			if time.Since(process.started) > time.Second {
				process.signal(syscall.SIGHUP)
			}
		}
	}
}

// remove takes a process that is gone for good out of the fleet.
func (fleet *Fleet) remove(old *Process) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.Processes = slices.DeleteFunc(fleet.Processes, func(process *Process) bool { return process == old })
}

// addNode starts a new daemon on a machine of its own.
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

// replaceControl swaps a control machine for an empty one at a new address.
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
		fleet.closeIdleConnections()
	}
	return fleet.awaitHealed(ctx, fresh)
}

// replaceSeeds swaps all three seed machines, one after another.
func replaceSeeds(ctx context.Context, fleet *Fleet, _ *rand.Rand) error {
	for _, control := range fleet.ProcessesOf("control")[:3] {
		if err := fleet.replaceControl(ctx, control); err != nil {
			return err
		}
	}
	return nil
}

// replaceStore enrols a new store machine, retires an old one and switches it off.
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
