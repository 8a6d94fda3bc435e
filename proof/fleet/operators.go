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

// Bounds of the users' brief, and how long the control plane may take to discover a change of the
// platform's list: the list's lag, the poll interval and a throttled poll.
const (
	configBound  = 2 * time.Second
	leavingBound = 3 * time.Second
	emptiedBound = 5 * time.Second
	learnBound   = 2500 * time.Millisecond
	outageBound  = 12 * time.Second
	routes       = 2000
)

// changeConfig sends a change of the config and records the number that was acknowledged.
func (fleet *Fleet) changeConfig(ctx context.Context, method string, body map[string]any) (ChangeResult, error) {
	var reported ChangeResult
	err := fleet.Administer(ctx, method, "/v1/config", body, &reported)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if err != nil || !reported.Acknowledged {
		fleet.unclear = true // it may have been accepted
	} else if reported.Number > fleet.acknowledged {
		fleet.acknowledged, fleet.unclear = reported.Number, false
	}
	return reported, err
}

// CheckConfig reads the config and checks that it is the newest acknowledged one.
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

// checkConfigTakesEffect changes the path of lookups, which shows the runners the config that
// each was handled under, while a front is paused and resumed.
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

// twoOperators lets two operators change the config of one number at once: at most one of them may
// be acknowledged.
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

// manyRoutes puts a config with thousands of additional kinds of work.
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
