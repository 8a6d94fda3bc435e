package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the requirements. discoveryBound is how long the control plane may take to discover
// a change of the platform's runner list: the list's lag, a poll interval and a throttled poll.
// routeCount is the number of kinds of work that addManyRoutes adds.
const (
	propagationBound    = 2 * time.Second
	runnerDrainBound    = 3 * time.Second
	domainDrainBound    = 5 * time.Second
	discoveryBound      = 2500 * time.Millisecond
	outageRecoveryBound = 12 * time.Second
	routeCount          = 2000
)

// changeConfig sends a config change and records the number of the config if it was acknowledged.
func (fleet *Fleet) changeConfig(ctx context.Context, method string, body map[string]any) (ChangeResult, error) {
	var result ChangeResult
	err := fleet.Administer(ctx, method, "/v1/config", body, &result)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if err != nil || !result.Acknowledged {
		fleet.unconfirmed = true // the change may have been accepted
	} else if result.Number > fleet.acknowledged {
		fleet.acknowledged, fleet.unconfirmed = result.Number, false
	}
	return result, err
}

// CheckConfig checks that the config read back is the newest acknowledged one, or a later one if
// the outcome of a later change is not known.
//
//	running.CheckConfig(ctx)
func (fleet *Fleet) CheckConfig(ctx context.Context) {
	number, _, err := fleet.ReadConfig(ctx)
	for attempt := 0; err != nil && attempt < 20; attempt++ {
		wait(ctx, 500*time.Millisecond)
		number, _, err = fleet.ReadConfig(ctx)
	}
	fleet.mutex.Lock()
	acknowledged, unconfirmed := fleet.acknowledged, fleet.unconfirmed
	fleet.mutex.Unlock()
	current := err == nil && (number == acknowledged || (unconfirmed && number > acknowledged))
	fleet.Checks.Check("config read back", current, "config %d was read back, but the newest acknowledged one is %d (later changes with unknown outcome: %v, error: %v)", number, acknowledged, unconfirmed, err)
}

// checkConfigTakesEffect changes the path of lookups while a front is paused, and checks that after
// propagationBound no lookup reaches a runner on an earlier path. The path of a lookup identifies
// the config that it was handled under.
func checkConfigTakesEffect(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	front := fleet.pickProcess(random, "front")
	front.Pause()
	defer front.Resume()
	newPath := fmt.Sprintf("/lookup-%d", time.Now().UnixNano())
	if _, err := fleet.changeConfig(ctx, http.MethodPatch, map[string]any{"path": "kinds.lookup.path", "value": newPath}); err != nil {
		return err
	}
	acknowledged := time.Now()
	wait(ctx, propagationBound+500*time.Millisecond)
	front.Resume()
	wait(ctx, 2*time.Second)
	observed := false
	for _, runner := range fleet.ProcessesOf("runner") {
		record, err := readRecord(ctx, runner.Address, "record")
		if err != nil {
			continue
		}
		for recordedPath, at := range record.LastArrival {
			delay := time.Unix(0, at).Sub(acknowledged)
			if recordedPath == newPath {
				observed = true
			} else if strings.HasPrefix(recordedPath, "/lookup-") {
				fleet.Checks.Check("config obeyed", delay <= propagationBound, "%s received a request on %s %s after the change to %s was acknowledged", runner.Name, recordedPath, delay, newPath)
			}
		}
	}
	if !observed {
		return errors.New("no runner received a lookup on the new path")
	}
	return nil
}

// changeWeightsRapidly changes a weight of a routing table ten times in a row.
func changeWeightsRapidly(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	for range 10 {
		if _, err := fleet.changeConfig(ctx, http.MethodPatch, map[string]any{"path": "tables.talk.small", "value": 1 + random.IntN(5)}); err != nil {
			return err
		}
	}
	return nil
}

// changeConfigConcurrently has two operators concurrently change the config of the same number, of
// which at most one may be acknowledged.
func changeConfigConcurrently(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	for range 6 {
		number, _, err := fleet.ReadConfig(ctx)
		if err != nil {
			return err
		}
		var pending sync.WaitGroup
		acknowledged := make([]bool, 2)
		for operator := range acknowledged {
			value := 1 + random.IntN(9)
			pending.Go(func() {
				result, err := fleet.changeConfig(ctx, http.MethodPatch, map[string]any{"path": "tables.talk.large", "value": value, "expected": number})
				acknowledged[operator] = err == nil && result.Acknowledged
			})
		}
		pending.Wait()
		fleet.Checks.Check("two operators", !(acknowledged[0] && acknowledged[1]), "the changes of both operators to config %d were acknowledged", number)
	}
	return nil
}

// addManyRoutes adds routeCount kinds of work to the config. If an earlier call has added them, it
// changes weights instead.
func addManyRoutes(ctx context.Context, fleet *Fleet, random *rand.Rand) error {
	number, source, err := fleet.ReadConfig(ctx)
	if err != nil {
		return err
	}
	if strings.Contains(source, "route_0") {
		return changeWeightsRapidly(ctx, fleet, random)
	}
	var extended strings.Builder
	extended.WriteString(source + "\n")
	for route := range routeCount {
		fmt.Fprintf(&extended, "kinds: route_%d: {serves: \"plain\", table: \"plain\", path: \"/route-%d\"}\n", route, route)
	}
	_, err = fleet.changeConfig(ctx, http.MethodPut, map[string]any{"source": extended.String(), "expected": number})
	return err
}
