package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"yardrock.example/proof/standin"
)

// readRecord reads a runner's record; the path "take" also resets its maximum in flight.
func readRecord(ctx context.Context, address, what string) (standin.Record, error) {
	var seen standin.Record
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/"+what, nil)
	if err != nil {
		return seen, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return seen, err
	}
	defer answer.Body.Close()
	return seen, json.NewDecoder(answer.Body).Decode(&seen)
}

// listRunner changes the state of a runner in the platform's list.
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+fleet.Platform+"/runners", bytes.NewReader(data))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
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

// replaceRunners restarts some runners, one after the other: each is listed as draining, ends,
// starts again, is listed as warming up, and then as serving.
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

// restartRunner restarts a runner that the list keeps showing as serving; its limit must drop and
// rise slowly all the same (slow start).
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
	// At most a third of the slow start of 3 s is over.
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
			continue // another fault uses it
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
