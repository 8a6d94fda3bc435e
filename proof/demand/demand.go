// Package demand drives a deployment with its callers' mix and checks every answer
// against the rules of the brief.
package demand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"yardrock.example/system/runnerclient"
)

// Mix is what callers send each second, on average.
type Mix struct {
	Conversations float64
	Turns         []int // lengths of conversations, drawn evenly
	Lookups       float64
	Once          float64
	OnceKinds     []string
	ToolShare     float64
	HelperShare   float64
	ResumeShare   float64
	Tight         float64 // turns of the program with the small allowance
}

// Mixes are those of the brief, and a small one for trials.
var Mixes = map[string]Mix{
	"trial":     {Conversations: 4, Turns: []int{3, 3, 5}, Lookups: 4, Once: 4, OnceKinds: []string{"receipt", "activation"}, ToolShare: 0.3, HelperShare: 0.1, ResumeShare: 0.2, Tight: 1},
	"agency":    {Conversations: 27, Turns: []int{3, 3, 3, 3, 5}, Lookups: 15, Once: 12, OnceKinds: []string{"receipt", "activation"}, ToolShare: 0.3, HelperShare: 0.1, ResumeShare: 0.1, Tight: 1},
	"logistics": {Conversations: 26, Turns: []int{3, 3, 3, 3, 3, 7}, Lookups: 15, Once: 12, OnceKinds: []string{"receipt", "invoice"}, ToolShare: 0.3, HelperShare: 0.1, ResumeShare: 0.1, Tight: 1},
}

// Target is the system under demand.
type Target struct {
	Fronts  []string
	Runners []string
	Token   string
	Origin  *http.Client
	// Allowance and Turn are the words of the small program's terms.
	Allowance int
	Turn      int
}

// Report is what was seen. Broken rules make the demand program fail.
type Report struct {
	Conversations int            `json:"conversations"`
	Turns         int            `json:"turns"`
	Complete      int            `json:"complete"`
	Lookups       int            `json:"lookups"`
	Once          int            `json:"once"`
	Tools         int            `json:"tools"`
	Helpers       int            `json:"helpers"`
	Resumed       int            `json:"resumed"`
	Histories     int            `json:"histories"`
	Refusals      map[string]int `json:"refusals"`
	Abandoned     map[string]int `json:"abandoned"`
	FirstPiece    Quantiles      `json:"first_piece"`
	Spoken        int            `json:"tight_words"`
	Broken        []string       `json:"broken"`
	// Kept are conversations to come back to later.
	Kept []Kept `json:"-"`
}

// Kept is a conversation that ended well, with all that was said.
type Kept struct {
	Conversation string
	Last         uint64
	Said         []runnerclient.Message
}

// Quantiles are of a measured time.
type Quantiles struct {
	Half   string `json:"p50"`
	Most   string `json:"p99"`
	Worst  string `json:"worst"`
	Counts int    `json:"counts"`
}

type demand struct {
	target   Target
	mix      Mix
	mutex    sync.Mutex
	report   Report
	delays   []time.Duration
	outcomes map[string]string // executions key to what callers were told
}

const (
	tries         = 12
	answerTimeout = 40 * time.Second
	mostBroken    = 20
)

func (demand *demand) count(change func(report *Report)) {
	demand.mutex.Lock()
	change(&demand.report)
	demand.mutex.Unlock()
}

func (demand *demand) broken(rule, format string, arguments ...any) {
	demand.count(func(report *Report) {
		if len(report.Broken) < mostBroken {
			report.Broken = append(report.Broken, rule+": "+fmt.Sprintf(format, arguments...))
		}
	})
}

// Run drives the mix for a time or until it is told to end, lets what is under way
// end, and checks.
//
//	report := demand.Run(ctx, target, demand.Mixes["agency"], time.Minute, 7, nil)
func Run(ctx context.Context, target Target, mix Mix, duration time.Duration, seed uint64, until <-chan struct{}) *Report {
	demand := newDemand(target, mix)
	var callers sync.WaitGroup
	arrive := func(number uint64, rate float64, call func(random *rand.Rand, number int)) {
		if rate == 0 {
			return
		}
		random := rand.New(rand.NewPCG(seed, number))
		callers.Go(func() {
			ended := time.After(duration)
			for position := 0; ; position++ {
				select {
				case <-time.After(time.Duration(random.ExpFloat64() / rate * float64(time.Second))):
					one := rand.New(rand.NewPCG(seed, random.Uint64()))
					callers.Go(func() { call(one, position) })
				case <-ended:
					return
				case <-until:
					return
				case <-ctx.Done():
					return
				}
			}
		})
	}
	arrive(1, mix.Conversations, func(random *rand.Rand, number int) { demand.converse(ctx, random, fmt.Sprintf("%d-%d", seed, number)) })
	arrive(2, mix.Lookups, func(random *rand.Rand, number int) { demand.lookup(ctx, random, number) })
	arrive(3, mix.Once, func(random *rand.Rand, number int) { demand.once(ctx, random, fmt.Sprintf("%d-%d", seed, number)) })
	arrive(4, mix.Tight, func(random *rand.Rand, number int) { demand.tight(ctx, random, number) })
	callers.Wait()
	demand.checkExecutions(ctx)
	if demand.report.Spoken > target.Allowance+target.Turn {
		demand.broken("allowance", "%d words were spoken of %d and one turn of %d", demand.report.Spoken, target.Allowance, target.Turn)
	}
	demand.report.FirstPiece = quantiles(demand.delays)
	return &demand.report
}

func newDemand(target Target, mix Mix) *demand {
	if target.Origin == nil {
		target.Origin = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	return &demand{target: target, mix: mix, outcomes: map[string]string{}, report: Report{Refusals: map[string]int{}, Abandoned: map[string]int{}, Broken: []string{}}}
}

func quantiles(delays []time.Duration) Quantiles {
	if len(delays) == 0 {
		return Quantiles{}
	}
	slices.Sort(delays)
	at := func(share float64) string {
		return delays[int(share*float64(len(delays)-1))].Round(100 * time.Microsecond).String()
	}
	return Quantiles{Half: at(0.5), Most: at(0.99), Worst: at(1), Counts: len(delays)}
}
