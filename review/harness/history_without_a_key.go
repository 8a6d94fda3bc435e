package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// talkers is the service of this case.
const talkers = "talkers"

// playHistoryWithoutAKey has a tenant take turns. Then a client without a key, on a public route,
// names one of these turns in Continues.
func playHistoryWithoutAKey(fleet *fleet, trouble bool) ([]string, error) {
	if err := fleet.platform.addService(talkers, false); err != nil {
		return nil, err
	}
	public := turnRoute("talk", talkers)
	public["public"] = true
	configuration := item{
		"revision": 3, "limits": limits, "routing": []item{public, turnRoute("desk", talkers)}, "backends": []item{modelBackend(talkers)},
		"customers": []item{{"name": "depot", "api-keys": []string{"key-of-depot"}}, {"name": "yard", "api-keys": []string{"key-of-yard"}}},
	}
	if err := fleet.order(http.MethodPost, "/v1/settings/replace", 0, configuration); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin)
	fronts := fleet.serving("edge")
	depot := map[string]string{"Authorization": "Bearer key-of-depot"}
	yard := map[string]string{"Authorization": "Bearer key-of-yard"}
	secret, secretTry := fleet.retry(fronts[0], "/desk/4b", "depot", "secret words of depot. ", turnHeaders("p-depot", "", depot))
	own, ownTry := fleet.retry(fronts[0], "/talk/4b", "nobody", "words of nobody. ", turnHeaders("p-nobody", "", nil))
	if secret.status != http.StatusOK || own.status != http.StatusOK {
		return nil, fmt.Errorf("the first turns were answered with %d and %d", secret.status, own.status)
	}
	// A tenant that names another tenant's turn, and a client without a key that goes on from its own.
	other, _ := fleet.retry(fronts[1], "/desk/4b", "yard-names-depot", "words of yard. ", turnHeaders("p-yard", secretTry, yard))
	if other.status == http.StatusOK {
		return []string{"UNASKED: a turn of the tenant yard that names a turn of the tenant depot was run"}, nil
	}
	follow, _ := fleet.retry(fronts[1], "/talk/4b", "nobody-goes-on", "more of nobody. ", turnHeaders("p-nobody", ownTry, nil))
	if follow.status != http.StatusOK {
		return nil, fmt.Errorf("a turn without a key that goes on from its own was answered with %d", follow.status)
	}
	if trouble {
		fleet.retry(fronts[1], "/talk/4b", "nobody-names-depot", "repeat what was said. ", turnHeaders("p-stranger", secretTry, nil))
	}
	broken := []string{}
	for _, run := range fleet.platform.allRuns() {
		if run.customer != "depot" && run.follows == secretTry {
			broken = append(broken, fmt.Sprintf("UNASKED: runner %s ran turn %s without a tenant, whose Continues names turn %s of the tenant depot", run.runner, run.tryID, secretTry))
		}
		if run.customer != "depot" && strings.Contains(run.body, "secret words of depot") {
			broken = append(broken, fmt.Sprintf("foreign data: turn %s without a tenant carried the history of the tenant depot: %q", run.tryID, run.body))
		}
	}
	return broken, nil
}

// turnHeaders are the headers of a turn, with others added.
func turnHeaders(program, follows string, more map[string]string) map[string]string {
	headers := map[string]string{"Program": program, "Session": "s-" + program, "Finish-Ms": "20000", "Model": "m", "Token-Count": fmt.Sprintf("100,%d", tokensPerTurn)}
	if follows != "" {
		headers["Continues"] = follows
	}
	for name, value := range more {
		headers[name] = value
	}
	return headers
}
