package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// turnHeaders returns the headers of a turn.
func turnHeaders(program, continues string) map[string]string {
	headers := map[string]string{"Program": program, "Session": program + "-s", "Finish-Ms": "60000", "Token-Count": "40,64", "Token-Budget": "6400"}
	if continues != "" {
		headers["Continues"] = continues
	}
	return headers
}

// continueTurn goes on from a turn, with further tries after a refusal, and returns the last answer.
func (fleet *fleet) continueTurn(front *machine, path, program, turn, label string, until time.Time) answer {
	for attempt := 1; ; attempt++ {
		got := fleet.send(front, path, fmt.Sprintf("%s-%s-%d", label, program, attempt), "next input\n", turnHeaders(program, turn), nil)
		if got.status == 200 && got.whole || got.status == 404 || got.status == 410 || time.Now().After(until) {
			return got
		}
		time.Sleep(time.Second)
	}
}

// strangerTurn has one tenant take a turn, and a tenant that was added later continue it. With the
// disruption the names are such that the sessions of the one look like those of the other. Rule: UNASKED.
func strangerTurn(fleet *fleet, trouble bool) (breaks []string, err error) {
	if err := fleet.prepare(); err != nil {
		return nil, err
	}
	const strangerKey, program, turn = "k-stranger", "program/17", "turn-of-" + customerName
	stranger := "yard"
	if trouble {
		stranger = customerName + "/program"
	}
	added := map[string]any{"revision": 2, "add-or-replace": map[string]any{"customers": []map[string]any{{"name": stranger, "api-keys": []string{strangerKey}}}}}
	if err := fleet.operate("/v1/settings/change", 1, added, 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(applyWithin + time.Second)
	if first := fleet.send(fleet.fronts[0], sizedPath, turn, "input of "+customerName+"\n", turnHeaders(program, ""), nil); first.status != 200 || !first.whole {
		return nil, fmt.Errorf("the first turn was not served: %s", first)
	}
	headers := turnHeaders("p2", turn)
	headers["Authorization"] = "Bearer " + strangerKey
	fleet.send(fleet.fronts[1], sizedPath, "turn-of-stranger", "input of stranger\n", headers, nil)
	for _, run := range fleet.platform.runsOf(func(run runnerRun) bool { return run.tryID == "turn-of-stranger" }) {
		breaks = append(breaks, fmt.Sprintf("UNASKED: %s ran a turn for %s that continues a turn of %s, with the body %q", run.runner, run.customer, customerName, run.body))
	}
	return breaks, nil
}

// programCount is how many conversations are begun at once, wholeBeforeKill the number of the whole answer
// right after which all processes are killed, and downTime how long they are down.
const (
	programCount    = 80
	wholeBeforeKill = 20
	downTime        = 700 * time.Millisecond
)

// sizedStream has runners answer turns with streams of known length. All processes are killed right
// after some client has its whole answer, and start again; the turns that were answered whole are then
// continued. Rule: LOST.
func sizedStream(fleet *fleet, trouble bool) (breaks []string, err error) {
	if err := fleet.prepare(); err != nil {
		return nil, err
	}
	answers := make([]answer, programCount)
	var turns sync.WaitGroup
	var wholeCount atomic.Int32
	for number := range programCount {
		turns.Go(func() {
			program := fmt.Sprintf("p%d", number)
			answers[number] = fleet.send(fleet.fronts[number%frontCount], sizedPath, "turn-"+program, "first input\n", turnHeaders(program, ""), func(event int) {
				if event == streamEvents && wholeCount.Add(1) == wholeBeforeKill && trouble {
					fleet.killAll()
				}
			})
		})
	}
	turns.Wait()
	if count := wholeCount.Load(); count < wholeBeforeKill {
		return nil, fmt.Errorf("only %d turns were answered whole", count)
	}
	if trouble {
		for _, machine := range fleet.machines() {
			machine.end()
		}
		time.Sleep(downTime)
		for _, machine := range fleet.machines() {
			if err := machine.start(false); err != nil {
				return nil, err
			}
		}
		if err := fleet.awaitReady(fleet.fronts...); err != nil {
			return nil, err
		}
	}
	next := make([]answer, programCount)
	until := time.Now().Add(30 * time.Second)
	var results sync.WaitGroup
	for number, first := range answers {
		if !first.isWholeStream() {
			continue
		}
		results.Go(func() {
			program := fmt.Sprintf("p%d", number)
			next[number] = fleet.continueTurn(fleet.fronts[(number+1)%frontCount], sizedPath, program, "turn-"+program, "next", until)
		})
	}
	results.Wait()
	for number := range programCount {
		if next[number].status == 404 || next[number].status == 410 {
			breaks = append(breaks, fmt.Sprintf("LOST: turn turn-p%d was answered whole, and the turn that continues it got %d", number, next[number].status))
		}
	}
	return breaks, nil
}
