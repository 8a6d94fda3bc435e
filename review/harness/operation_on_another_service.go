package main

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// keysPerRoute is how many operations are sent on each route.
const keysPerRoute = 5

// The services of this case. The runners of ledger-a and of ledger-b each keep a shared table of
// keys, those of plain keep none.
const (
	ledgerA = "ledger-a"
	ledgerB = "ledger-b"
	plain   = "plain"
)

// playOperationOnAnotherService sends operations with keys and has the operator move or split their
// routes. Then the clients send each operation again with its key.
func playOperationOnAnotherService(fleet *fleet, trouble bool) ([]string, error) {
	for name, dedupes := range map[string]bool{ledgerA: true, ledgerB: true, plain: false} {
		if err := fleet.platform.addService(name, dedupes); err != nil {
			return nil, err
		}
	}
	before := []item{route("moved", "with_key", ledgerA), route("split", "with_key", ledgerA), route("gains", "with_key", plain), route("loses", "with_key", ledgerA)}
	configuration := item{
		"revision": 3, "limits": limits, "routing": before, "backends": []item{backend(ledgerA, true), backend(ledgerB, true), backend(plain, false)},
		"customers": []item{{"name": "depot", "api-keys": []string{"key-of-depot"}}},
	}
	if err := fleet.order(http.MethodPost, "/v1/settings/replace", 0, configuration); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin)
	fronts := fleet.serving("edge")
	first := map[string]answer{}
	for _, name := range []string{"moved", "split", "gains", "loses"} {
		for number := range keysPerRoute {
			key := fmt.Sprintf("k-%s-%d", name, number)
			got, _ := fleet.retry(fronts[number%2], "/"+name+"/2f", "first-"+key, "body of "+key, keyHeaders(key))
			if got.status != http.StatusOK {
				return nil, fmt.Errorf("the first try of %s was answered with %d %s", key, got.status, got.body)
			}
			first[key] = got
		}
	}
	if err := fleet.order(http.MethodPost, "/v1/settings/change", 3, item{"revision": 5, "add-or-replace": item{"routing": changedRoutes(trouble)}}); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin + 500*time.Millisecond)
	broken := []string{}
	for _, key := range sortedKeys(first) {
		name := key[2:7]
		number := int(key[len(key)-1] - '0')
		got, tryID := fleet.retry(fronts[(number+1)%2], "/"+name+"/2f", "again-"+key, "body of "+key, keyHeaders(key))
		if got.status == http.StatusOK && got.seal != first[key].seal {
			broken = append(broken, fmt.Sprintf("MIXED: try %s, which repeats key %s, got 200 with the seal %q; the first run's is %q", tryID, key, got.seal, first[key].seal))
		}
	}
	if trouble {
		loseAnswersOnSplitRoute(fleet)
	}
	return append(runsOfOneKey(fleet.platform.allRuns()), broken...), nil
}

// loseAnswersOnSplitRoute sends new operations on the split route, each in one try. The runner that
// runs a key first loses its answer, so that the system sends the try to another runner.
func loseAnswersOnSplitRoute(fleet *fleet) {
	lost := map[string]bool{}
	fleet.platform.mutex.Lock()
	fleet.platform.loseAnswer = func(got run) bool {
		first := !lost[got.operation]
		lost[got.operation] = true
		return first
	}
	fleet.platform.mutex.Unlock()
	fronts := fleet.serving("edge")
	for number := range 4 * keysPerRoute {
		key := fmt.Sprintf("k-lost-%d", number)
		fleet.send(fronts[number%2], "/split/2f", "single-"+key, "body of "+key, keyHeaders(key))
	}
}

// keyHeaders are the headers of a try of an operation.
func keyHeaders(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer key-of-depot", "Operation-Key": key}
}

// changedRoutes returns the routes after the operator's change. Without the disruption they keep
// their services, and only a time-out changes.
func changedRoutes(trouble bool) []item {
	if !trouble {
		changed := []item{route("moved", "with_key", ledgerA), route("split", "with_key", ledgerA), route("gains", "with_key", plain), route("loses", "with_key", ledgerA)}
		for _, route := range changed {
			route["timeout-ms"] = 3900
		}
		return changed
	}
	split := route("split", "with_key", ledgerA)
	delete(split, "backend")
	split["shares"] = []item{{"backend": ledgerA, "share": 50}, {"backend": ledgerB, "share": 50}}
	return []item{route("moved", "with_key", ledgerB), split, route("gains", "with_key", ledgerA), route("loses", "with_key", plain)}
}

// runsOfOneKey reports the keys that were run more than once within the key window.
func runsOfOneKey(runs []run) []string {
	byKey := map[string][]run{}
	for _, run := range runs {
		byKey[run.customer+" "+run.operation] = append(byKey[run.customer+" "+run.operation], run)
	}
	broken := []string{}
	for _, key := range sortedKeys(byKey) {
		ran := byKey[key]
		for _, again := range ran[1:] {
			if again.at.Sub(ran[0].at) < keyWindow {
				broken = append(broken, fmt.Sprintf("TWICE: the operation of customer and key %s ran at %s of %s in try %s, and again at %s of %s in try %s, %.1f s later",
					key, ran[0].runner, ran[0].service, ran[0].tryID, again.runner, again.service, again.tryID, again.at.Sub(ran[0].at).Seconds()))
			}
		}
	}
	return broken
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[Value any](values map[string]Value) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
