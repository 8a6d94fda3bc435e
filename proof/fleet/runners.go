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

// readRecord reads a runner's record from the endpoint "record" or "take"; the latter also resets
// MaxInFlight.
func readRecord(ctx context.Context, address, endpoint string) (standin.Record, error) {
	var record standin.Record
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/"+endpoint, nil)
	if err != nil {
		return record, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return record, err
	}
	defer response.Body.Close()
	return record, json.NewDecoder(response.Body).Decode(&record)
}

// setRunnerState changes the state of a runner in the platform's runner list.
func (fleet *Fleet) setRunnerState(ctx context.Context, address, state string) error {
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+fleet.PlatformAddress+"/runners", bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
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

// warmingUpLimits is the cold_concurrency of each group in the initial config.
var warmingUpLimits = map[string]int{"small": 4, "large": 4, "application": 8}

// replaceRunners replaces two runners one after another: each is listed as draining, killed, listed
// as warming up, started, and listed as serving. It checks that a draining runner gets no requests
// after runnerDrainBound, and that one that is warming up stays within its limit.
func replaceRunners(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	runners := fleet.ProcessesOf("runner")
	for _, position := range random.Perm(len(runners))[:2] {
		runner := runners[position]
		if err := fleet.setRunnerState(ctx, runner.Address, "leaving"); err != nil {
			return err
		}
		drainKnownAt := time.Now().Add(discoveryBound)
		wait(ctx, discoveryBound+runnerDrainBound+2*time.Second)
		record, err := readRecord(ctx, runner.Address, "record")
		if err != nil {
			return err
		}
		lateCount := 0
		for _, at := range record.Arrivals {
			if at > drainKnownAt.Add(runnerDrainBound).UnixNano() {
				lateCount++
			}
		}
		fleet.Checks.Check("leaving", lateCount == 0, "%s received %d requests more than %s after it was known to be draining", runner.Name, lateCount, runnerDrainBound)
		runner.Kill()
		if err := fleet.setRunnerState(ctx, runner.Address, "cold"); err != nil {
			return err
		}
		wait(ctx, discoveryBound)
		if err := runner.Start(); err != nil {
			return err
		}
		wait(ctx, 3*time.Second)
		record, err = readRecord(ctx, runner.Address, "take")
		if err != nil {
			return err
		}
		limit := warmingUpLimits[fleet.groupOf(runner.Address)]
		fleet.Checks.Check("cold", record.MaxInFlight <= limit, "%s had %d requests in flight, but its limit while warming up is %d", runner.Name, record.MaxInFlight, limit)
		if err := fleet.setRunnerState(ctx, runner.Address, "serving"); err != nil {
			return err
		}
	}
	return nil
}

// restartRunner restarts a runner without a change of the runner list, which shows it as serving
// throughout, and checks that the fronts apply slow start to it nevertheless.
func restartRunner(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	runner := fleet.pickProcess(random, "runner")
	runner.Kill()
	wait(ctx, 1500*time.Millisecond)
	if err := runner.Start(); err != nil {
		return err
	}
	wait(ctx, time.Second)
	record, err := readRecord(ctx, runner.Address, "take")
	if err != nil {
		return err
	}
	// At most a third of the slow start of 3 s has elapsed.
	limit := warmingUpLimits[fleet.groupOf(runner.Address)] + 8
	fleet.Checks.Check("cold", record.MaxInFlight <= limit, "%s had %d requests in flight a second after its restart, but its limit is %d", runner.Name, record.MaxInFlight, limit)
	return nil
}

// drainDomain drains a domain, checks that its runners get no requests after domainDrainBound, and
// returns the domain to service.
func drainDomain(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	domain := fleet.Deployment.Domains[random.IntN(len(fleet.Deployment.Domains))]
	path := "/v1/domains/" + domain
	if err := fleet.Administer(ctx, http.MethodPost, path, map[string]any{"state": "emptied"}, nil); err != nil {
		return err
	}
	drainedAt := time.Now()
	wait(ctx, domainDrainBound+2*time.Second)
	for _, runner := range fleet.ProcessesOf("runner") {
		if runner.Domain != domain {
			continue
		}
		record, err := readRecord(ctx, runner.Address, "record")
		if err != nil {
			continue // an overlapping fault may have stopped the runner
		}
		lateCount := 0
		for _, at := range record.Arrivals {
			if at > drainedAt.Add(domainDrainBound).UnixNano() {
				lateCount++
			}
		}
		fleet.Checks.Check("emptied", lateCount == 0, "%s received %d requests more than %s after its domain was drained", runner.Name, lateCount, domainDrainBound)
	}
	return fleet.Administer(ctx, http.MethodPost, path, map[string]any{"state": "serving"}, nil)
}
