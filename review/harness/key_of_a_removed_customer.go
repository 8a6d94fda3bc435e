package main

import (
	"fmt"
	"net/http"
	"time"
)

// playKeyOfARemovedCustomer has the operator remove customers, and then sends requests with a key of
// a removed one and with a key that no configuration has held. Without the disruption one customer
// stays.
func playKeyOfARemovedCustomer(fleet *fleet, trouble bool) ([]string, error) {
	if err := fleet.platform.addService(plain, false); err != nil {
		return nil, err
	}
	configuration := item{
		"revision": 3, "limits": limits, "routing": []item{route("work", "one_shot", plain)}, "backends": []item{backend(plain, false)},
		"customers": []item{{"name": "depot", "api-keys": []string{"key-of-depot"}}, {"name": "yard", "api-keys": []string{"key-of-yard"}}},
	}
	if err := fleet.order(http.MethodPost, "/v1/settings/replace", 0, configuration); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin)
	removed := []string{"depot"}
	if trouble {
		removed = append(removed, "yard")
	}
	if err := fleet.order(http.MethodPost, "/v1/settings/change", 3, item{"revision": 5, "remove": item{"customers": removed}}); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin + 3*time.Second)
	broken := []string{}
	for name, key := range map[string]string{"dropped": "key-of-depot", "unknown": "key-of-nobody"} {
		fleet.retry(fleet.serving("edge")[0], "/work/2f", name, "body", map[string]string{"Authorization": "Bearer " + key})
	}
	for _, run := range fleet.platform.allRuns() {
		broken = append(broken, fmt.Sprintf("CONFIG and ROUTE: runner %s ran try %s", run.runner, run.tryID))
	}
	return broken, nil
}
