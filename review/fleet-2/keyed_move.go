package main

import (
	"fmt"
	"time"
)

// operationCount is how many operations are sent on each route.
const operationCount = 5

// keyedMove sends operations on two with_key routes, moves both routes to the other service, and sends
// the same operations again. Rule: TWICE.
func keyedMove(fleet *fleet, trouble bool) (breaks []string, err error) {
	if err := fleet.prepare(); err != nil {
		return nil, err
	}
	paths := []string{plainKeyedPath, dedupKeyedPath}
	first := map[string]answer{}
	began := time.Now()
	for round, path := range paths {
		for number := range operationCount {
			key := fmt.Sprintf("op-%d-%d", round, number)
			first[key] = fleet.send(fleet.fronts[0], path, "first-"+key, "do "+key, map[string]string{"Operation-Key": key}, nil)
			if first[key].status != 200 {
				return nil, fmt.Errorf("operation %s was not served in calm", key)
			}
		}
	}
	if trouble {
		change := map[string]any{"revision": 2, "add-or-replace": map[string]any{"routing": []map[string]any{
			route(plainKeyedPath, "with_key", dedupService, nil), route(dedupKeyedPath, "with_key", plainService, nil),
		}}}
		if err := fleet.operate("/v1/settings/change", 1, change, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(applyWithin + time.Second)
	for round, path := range paths {
		for number := range operationCount {
			key := fmt.Sprintf("op-%d-%d", round, number)
			again := fleet.send(fleet.fronts[1], path, "again-"+key, "do "+key, map[string]string{"Operation-Key": key}, nil)
			if again.status == 200 && (again.body != first[key].body || again.seal != first[key].seal) {
				fleet.record.line("note: the repeat of %s got another answer than the first try", key)
			}
		}
	}
	if time.Since(began) >= keyWindow {
		return nil, fmt.Errorf("the repeats came after the key window")
	}
	for key := range first {
		if runs := fleet.platform.runsOf(func(run runnerRun) bool { return run.key == key && run.customer == customerName }); len(runs) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: operation %s of %s ran %d times: at %s (%s) and at %s (%s), %.1f s apart",
				key, customerName, len(runs), runs[0].runner, runs[0].service, runs[1].runner, runs[1].service, runs[1].at.Sub(runs[0].at).Seconds()))
		}
	}
	return breaks, nil
}
