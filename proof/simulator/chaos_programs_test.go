package simulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/forwarding"
)

// program is a running program: branching chains of turns with tool calls.
type program struct {
	chaos     *chaosRun
	name      string
	budget    uint64
	runaway   bool // branches after each turn and has a small budget
	turnsLeft atomic.Int64
}

func (chaos *chaosRun) startProgram(random *rand.Rand, number int) {
	program := &program{chaos: chaos, name: fmt.Sprintf("program-%d", number), budget: 2000, runaway: random.IntN(8) == 0}
	if program.runaway {
		program.budget = 100 + 20*uint64(random.IntN(8))
	}
	program.turnsLeft.Store(12)
	if program.runaway {
		program.turnsLeft.Store(30)
	}
	chaos.mutex.Lock()
	chaos.budgets[program.name] = program.budget
	chaos.mutex.Unlock()
	chaos.startBranch(program, random, "", "", 0)
}

// startBranch runs a chain of turns of a program concurrently with its other chains.
func (chaos *chaosRun) startBranch(program *program, random *rand.Rand, follows, history string, depth int) {
	seed := random.Uint64()
	chaos.branches.Go(func() { program.runTurns(rand.New(rand.NewPCG(seed, 1)), follows, history, depth) })
}

// runTurns runs a chain of turns until the program has none left or requests keep failing.
func (program *program) runTurns(random *rand.Rand, follows, history string, depth int) {
	chaos := program.chaos
	for failures := 0; program.turnsLeft.Add(-1) >= 0 && !chaos.ended.Load(); {
		words := fmt.Sprintf("words %d of %s. ", random.IntN(1000000), program.name)
		request := forwarding.Request{Path: fmt.Sprintf("/talk/kept/%d", random.IntN(100)), Follows: follows, Body: []byte(words), Program: program.name, Session: fmt.Sprint(program.name, "/", depth), HasOutputBudget: true, OutputBudget: program.budget, MaxOutputTokens: turnTokens}
		repeatable := false
		if random.IntN(4) == 0 {
			request.Path, request.Follows, repeatable = "/talk/chat/1", "", true
		}
		sent := chaos.sendWithRetries(random, request, history, repeatable, 4*time.Second)
		switch {
		case sent == nil || !sent.answer.Complete():
			if sent != nil && apierror.Is(sent.answer.Err, apierror.QuotaExhausted) && !program.runaway {
				return
			}
			if failures++; failures > 2 {
				return
			}
			<-time.After(time.Duration(100+random.IntN(300)) * time.Millisecond)
			continue
		case !repeatable:
			follows, history = sent.request.ID, history+words+sent.answer.Text()
		}
		if random.IntN(5) == 0 || program.runaway {
			chaos.startBranch(program, random, follows, history, depth+1)
		}
		program.callTools(random)
		<-time.After(time.Duration(20+random.IntN(250)) * time.Millisecond)
	}
}

// callTools calls up to three tools concurrently.
func (program *program) callTools(random *rand.Rand) {
	var calling sync.WaitGroup
	for range random.IntN(4) {
		seed := random.Uint64()
		calling.Go(func() {
			random := rand.New(rand.NewPCG(seed, 2))
			request := forwarding.Request{Path: fmt.Sprintf("/order/%d", random.IntN(100)), Body: []byte(fmt.Sprint("order ", seed)), Program: program.name}
			repeatable := random.IntN(2) == 0
			if repeatable {
				request = forwarding.Request{Method: http.MethodGet, Path: fmt.Sprintf("/lookup/%d?q=%d", random.IntN(100), seed%97), Program: program.name}
			}
			program.chaos.sendWithRetries(random, request, "", repeatable, 3*time.Second)
		})
	}
	calling.Wait()
}

// runPrograms starts programs at random intervals until the given time.
func (chaos *chaosRun) runPrograms(random *rand.Rand, until time.Time) {
	for number := 0; time.Now().Before(until); number++ {
		chaos.startProgram(random, number)
		<-time.After(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
}
