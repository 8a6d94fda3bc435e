package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// turnHeaders returns the headers of a turn.
func turnHeaders(program, continues string, afterEvent int) map[string]string {
	headers := map[string]string{"Program": program, "Session": program + "-s", "Finish-Ms": "60000", "Token-Count": "40,64", "Token-Budget": "6400"}
	if continues != "" {
		headers["Continues"] = continues
	}
	if afterEvent > 0 {
		headers["Last-Event-Id"] = fmt.Sprint(afterEvent)
	}
	return headers
}

// continueTurn goes on from a turn, with further tries after a refusal, and returns the last answer.
func (fleet *fleet) continueTurn(front *machine, path, program, turn, label string, until time.Time) answer {
	for attempt := 1; ; attempt++ {
		got := fleet.send(front, path, fmt.Sprintf("%s-%s-%d", label, program, attempt), "next input\n", turnHeaders(program, turn, 0), nil)
		if got.status == 200 && got.whole || got.status == 404 || got.status == 410 || time.Now().After(until) {
			return got
		}
		time.Sleep(time.Second)
	}
}

// resumedTurn kills the front in the middle of a stream; the client has the stream resumed through the
// other front and then goes on from that turn. Rule: LOST.
func resumedTurn(fleet *fleet, trouble bool) (breaks []string, err error) {
	if err := fleet.prepare(); err != nil {
		return nil, err
	}
	const program = "p1"
	turn := "turn-" + program
	got := fleet.send(fleet.fronts[0], talkPath, turn, "first input\n", turnHeaders(program, "", 0), func(event int) {
		if trouble && event == 3 {
			go fleet.fronts[0].kill()
		}
	})
	if !trouble && !got.whole || got.lastEvent == 0 {
		return nil, fmt.Errorf("the first turn was not served: %s", got)
	}
	if trouble {
		fleet.fronts[0].end()
		if err := fleet.fronts[0].start(false); err != nil {
			return nil, err
		}
	}
	for attempt := 1; !got.whole; attempt++ {
		if attempt > 3 {
			return nil, fmt.Errorf("the stream could not be resumed")
		}
		time.Sleep(300 * time.Millisecond)
		turn = fmt.Sprintf("turn-%s-resumed-%d", program, attempt)
		got = fleet.send(fleet.fronts[1], talkPath, turn, "first input\n", turnHeaders(program, "", got.lastEvent), nil)
	}
	if got.lastEvent != streamEvents {
		return nil, fmt.Errorf("the stream ended with event %d", got.lastEvent)
	}
	if next := fleet.continueTurn(fleet.fronts[1], talkPath, program, turn, "next", time.Now().Add(10*time.Second)); next.status == 404 || next.status == 410 {
		breaks = append(breaks, fmt.Sprintf("LOST: turn %s was answered whole, and the turn that continues it got %d", turn, next.status))
	}
	return breaks, nil
}

// programCount is how many conversations are begun at once, downTime how long all processes are down.
const (
	programCount = 24
	downTime     = 700 * time.Millisecond
)

// sizedStream has runners answer turns with streams of known length. All processes are killed right
// after a client has a whole answer, and start again; the turns that were answered whole are then
// continued. Rule: LOST.
func sizedStream(fleet *fleet, trouble bool) (breaks []string, err error) {
	if err := fleet.prepare(); err != nil {
		return nil, err
	}
	answers := make([]answer, programCount)
	firstWhole := make(chan struct{}, programCount)
	var turns sync.WaitGroup
	for number := range programCount {
		turns.Go(func() {
			program := fmt.Sprintf("p%d", number)
			answers[number] = fleet.send(fleet.fronts[number%frontCount], sizedPath, "turn-"+program, "first input\n", turnHeaders(program, "", 0), func(event int) {
				if event == streamEvents {
					firstWhole <- struct{}{}
				}
			})
		})
	}
	if trouble {
		select {
		case <-firstWhole:
		case <-time.After(timeLeft):
			return nil, fmt.Errorf("no turn was answered whole in calm")
		}
		for _, machine := range fleet.machines() {
			machine.signal(syscall.SIGKILL)
		}
	}
	turns.Wait()
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
		if !first.whole || first.status != 200 || first.lastEvent != streamEvents {
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
