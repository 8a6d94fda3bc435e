package main

import (
	"fmt"
	"net/http"
	"time"
)

// talkPath is the path of all turns of this case.
const talkPath = "/talk/4b/2f"

// playHistoryOfAnUnsavedTurn has a program take a turn on a route that saves no history, where it
// brings its whole prompt. Then a new version adds a longer route at the same path, which saves the
// history, and the program goes on there as the users' page says: with its new input and Continues.
func playHistoryOfAnUnsavedTurn(fleet *fleet, trouble bool) ([]string, error) {
	if err := fleet.platform.addService(talkers, false); err != nil {
		return nil, err
	}
	unsaved := turnRoute("talk", talkers)
	unsaved["saves-history"] = false
	configuration := item{"revision": 3, "limits": limits, "routing": []item{unsaved}, "backends": []item{modelBackend(talkers)}}
	if err := fleet.order(http.MethodPost, "/v1/settings/replace", 0, configuration); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin)
	fronts := fleet.serving("edge")
	programs := []string{"p-1", "p-2", "p-3"}
	begun := map[string]string{} // by program, the try that was answered whole
	for number, program := range programs {
		got, tryID := fleet.retry(fronts[number%2], talkPath, program+"-first", firstInput(program), budgetHeaders(program, ""))
		if got.status != http.StatusOK || got.tokens != tokensPerTurn {
			return nil, fmt.Errorf("the first turn of %s was answered with %d and %d tokens", program, got.status, got.tokens)
		}
		begun[program] = tryID
	}
	change := item{"revision": 5, "add-or-replace": item{"routing": []item{addedRoute(trouble)}}}
	if err := fleet.order(http.MethodPost, "/v1/settings/change", 3, change); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin + 500*time.Millisecond)
	for number, program := range programs {
		front, whole := fronts[(number+1)%2], firstInput(program)+outputOf(begun[program])
		if !trouble {
			fleet.retry(front, talkPath, program+"-second", whole+secondInput(program), budgetHeaders(program, ""))
			continue
		}
		fleet.retry(front, talkPath, program+"-second", secondInput(program), budgetHeaders(program, begun[program]))
	}
	broken := []string{}
	for _, run := range fleet.platform.allRuns() {
		if run.follows == "" {
			continue
		}
		if want := firstInput(run.program) + outputOf(begun[run.program]) + secondInput(run.program); run.body != want {
			broken = append(broken, fmt.Sprintf("UNASKED: runner %s ran turn %s of %s, whose Continues names turn %s, with the body %q; the chain and the new input are %q",
				run.runner, run.tryID, run.program, run.follows, run.body, want))
		}
	}
	return broken, nil
}

// addedRoute is the route that the new version adds: one that saves the history of the turns, or
// without the disruption one at another path.
func addedRoute(trouble bool) item {
	added := turnRoute("saved", talkers)
	if trouble {
		added["path-start"] = "/talk/4b/"
	}
	return added
}

// firstInput and secondInput are what the program says in its turns.
func firstInput(program string) string { return "the permit of " + program + " is number 77. " }

func secondInput(program string) string { return "which number has the permit of " + program + "? " }

// budgetHeaders are the headers of a turn of a program with a budget.
func budgetHeaders(program, follows string) map[string]string {
	return turnHeaders(program, follows, map[string]string{"Token-Budget": fmt.Sprint(20 * tokensPerTurn)})
}
