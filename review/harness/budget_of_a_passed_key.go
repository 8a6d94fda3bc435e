package main

import (
	"fmt"
	"net/http"
	"time"
)

// budget is the Token-Budget of the program: two turns fit.
const budget = 2 * tokensPerTurn

// playBudgetOfAPassedKey has a program spend its budget. Then its key is passed on to another tenant,
// and the program takes further turns.
func playBudgetOfAPassedKey(fleet *fleet, trouble bool) ([]string, error) {
	if err := fleet.platform.addService(talkers, false); err != nil {
		return nil, err
	}
	customers := func(first, second []string) []item {
		return []item{{"name": "depot", "api-keys": first}, {"name": "yard", "api-keys": second}}
	}
	shared := []string{"key-of-the-program"}
	configuration := item{
		"revision": 3, "limits": limits, "routing": []item{turnRoute("talk", talkers)}, "backends": []item{modelBackend(talkers)},
		"customers": customers(shared, []string{"another-key"}),
	}
	if err := fleet.order(http.MethodPost, "/v1/settings/replace", 0, configuration); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin)
	fronts := fleet.serving("edge")
	handedOut := 0
	turn := func(name string, number int) answer {
		headers := turnHeaders("p-1", "", map[string]string{"Authorization": "Bearer " + shared[0], "Token-Budget": fmt.Sprint(budget)})
		got, _ := fleet.retry(fronts[number%2], "/talk/4b", name, "words. ", headers)
		handedOut += got.tokens
		return got
	}
	for number := range 3 {
		got := turn(fmt.Sprintf("before-%d", number), number)
		if want := map[bool]int{true: http.StatusOK, false: http.StatusPaymentRequired}[number < 2]; got.status != want {
			return nil, fmt.Errorf("turn %d before the change was answered with %d, not %d", number, got.status, want)
		}
		time.Sleep(time.Second)
	}
	change := item{"revision": 5, "add-or-replace": item{"customers": customers([]string{}, append([]string{"another-key"}, shared...))}}
	if !trouble {
		change = item{"revision": 5, "add-or-replace": item{"customers": customers(shared, []string{"another-key", "a-third-key"})}}
	}
	if err := fleet.order(http.MethodPost, "/v1/settings/change", 3, change); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin + 500*time.Millisecond)
	for number := range 4 {
		turn(fmt.Sprintf("after-%d", number), number)
		time.Sleep(time.Second)
	}
	fleet.record.add("the program's clients were handed %d tokens; its budget is %d, the most of one turn %d", handedOut, budget, tokensPerTurn)
	if handedOut > budget+tokensPerTurn {
		return []string{fmt.Sprintf("BUDGET: the program's turns put out %d tokens; its Token-Budget is %d, the most of one turn %d", handedOut, budget, tokensPerTurn)}, nil
	}
	return nil, nil
}
