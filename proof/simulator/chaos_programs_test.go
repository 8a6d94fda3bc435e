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

// program is a running program: turns that branch, tool calls and helpers.
type program struct {
	chaos  *chaosRun
	name   string
	budget uint64
	runs   bool // away
	left   atomic.Int64
}

func (chaos *chaosRun) startProgram(random *rand.Rand, number int) {
	one := &program{chaos: chaos, name: fmt.Sprintf("program-%d", number), budget: 2000, runs: random.IntN(8) == 0}
	if one.runs {
		one.budget = 100 + 20*uint64(random.IntN(8))
	}
	one.left.Store(12)
	if one.runs {
		one.left.Store(30)
	}
	chaos.mutex.Lock()
	chaos.budgets[one.name] = one.budget
	chaos.mutex.Unlock()
	chaos.branch(one, random, "", "", 0)
}

// branch runs a chain of turns of a program concurrently with the others.
func (chaos *chaosRun) branch(one *program, random *rand.Rand, follows, chain string, depth int) {
	seed := random.Uint64()
	chaos.working.Go(func() { one.turns(rand.New(rand.NewPCG(seed, 1)), follows, chain, depth) })
}

func (one *program) turns(random *rand.Rand, follows, chain string, depth int) {
	chaos := one.chaos
	for failures := 0; one.left.Add(-1) >= 0 && !chaos.ended.Load(); {
		words := fmt.Sprintf("words %d of %s. ", random.IntN(1000000), one.name)
		request := forwarding.Request{Path: fmt.Sprintf("/talk/kept/%d", random.IntN(100)), Follows: follows, Body: []byte(words), Program: one.name, Session: fmt.Sprint(one.name, "/", depth), HasOutputBudget: true, OutputBudget: one.budget, MaxOutputTokens: turnTokens}
		repeatable := false
		if random.IntN(4) == 0 {
			request.Path, request.Follows, repeatable = "/talk/chat/1", "", true
		}
		sent := chaos.ask(random, request, chain, repeatable, 4*time.Second)
		switch {
		case sent == nil || !sent.answer.Complete():
			if sent != nil && apierror.Is(sent.answer.Err, apierror.QuotaExhausted) && !one.runs {
				return
			}
			if failures++; failures > 2 {
				return
			}
			<-time.After(time.Duration(100+random.IntN(300)) * time.Millisecond)
			continue
		case !repeatable:
			follows, chain = sent.request.Name, chain+words+sent.answer.Text()
		}
		if random.IntN(5) == 0 || one.runs {
			chaos.branch(one, random, follows, chain, depth+1)
		}
		one.tools(random)
		<-time.After(time.Duration(20+random.IntN(250)) * time.Millisecond)
	}
}

// tools calls some tools concurrently.
func (one *program) tools(random *rand.Rand) {
	var calling sync.WaitGroup
	for range random.IntN(4) {
		seed := random.Uint64()
		calling.Go(func() {
			random := rand.New(rand.NewPCG(seed, 2))
			request := forwarding.Request{Path: fmt.Sprintf("/order/%d", random.IntN(100)), Body: []byte(fmt.Sprint("order ", seed)), Program: one.name}
			repeatable := random.IntN(2) == 0
			if repeatable {
				request = forwarding.Request{Method: http.MethodGet, Path: fmt.Sprintf("/lookup/%d?q=%d", random.IntN(100), seed%97), Program: one.name}
			}
			one.chaos.ask(random, request, "", repeatable, 3*time.Second)
		})
	}
	calling.Wait()
}

// runPrograms starts programs until a time.
func (chaos *chaosRun) runPrograms(random *rand.Rand, until time.Time) {
	for number := 0; time.Now().Before(until); number++ {
		chaos.startProgram(random, number)
		<-time.After(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
}
