// Package loadgen drives a deployment with its callers' mix and checks every answer
// against the rules of the brief.
package loadgen

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

// Target is the system under load.
type Target struct {
	Fronts  []string
	Runners []string
	Token   string
	Client  *http.Client
	// Quota and Turn are the words of the small program's terms.
	Quota     int
	TurnLimit int
}

// Report is what was seen. Broken rules make the load generator fail.
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
	Rejections    map[string]int `json:"refusals"`
	Abandoned     map[string]int `json:"abandoned"`
	FirstPiece    Quantiles      `json:"first_piece"`
	TightWords    int            `json:"tight_words"`
	Violations    []string       `json:"broken"`
	// Kept are conversations to come back to later.
	ToRevisit []Conversation `json:"-"`
}

// Kept is a conversation that ended well, with all that was said.
type Conversation struct {
	Conversation string
	LastTurn     uint64
	History      []runnerclient.Message
}

// Quantiles are of a measured time.
type Quantiles struct {
	P50   string `json:"p50"`
	P99   string `json:"p99"`
	Max   string `json:"worst"`
	Count int    `json:"counts"`
}

type generator struct {
	target       Target
	mix          Mix
	mutex        sync.Mutex
	report       Report
	delays       []time.Duration
	outcomeOfKey map[string]string // executions key to what callers were told
}

const (
	maxAttempts   = 12
	answerTimeout = 40 * time.Second
	maxViolations = 20
)

func (generator *generator) count(change func(report *Report)) {
	generator.mutex.Lock()
	change(&generator.report)
	generator.mutex.Unlock()
}

func (generator *generator) violation(rule, format string, arguments ...any) {
	generator.count(func(report *Report) {
		if len(report.Violations) < maxViolations {
			report.Violations = append(report.Violations, rule+": "+fmt.Sprintf(format, arguments...))
		}
	})
}

// Run drives the mix for a time or until it is told to end, lets what is under way
// end, and checks.
//
//	report := loadgen.Run(ctx, target, loadgen.Mixes["agency"], time.Minute, 7, nil)
func Run(ctx context.Context, target Target, mix Mix, duration time.Duration, seed uint64, until <-chan struct{}) *Report {
	generator := newGenerator(target, mix)
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
	arrive(1, mix.Conversations, func(random *rand.Rand, number int) {
		generator.converse(ctx, random, fmt.Sprintf("%d-%d", seed, number))
	})
	arrive(2, mix.Lookups, func(random *rand.Rand, number int) { generator.lookup(ctx, random, number) })
	arrive(3, mix.Once, func(random *rand.Rand, number int) { generator.once(ctx, random, fmt.Sprintf("%d-%d", seed, number)) })
	arrive(4, mix.Tight, func(random *rand.Rand, number int) { generator.tight(ctx, random, number) })
	callers.Wait()
	generator.checkExecutions(ctx)
	if generator.report.TightWords > target.Quota+target.TurnLimit {
		generator.violation("allowance", "%d words were spoken of %d and one turn of %d", generator.report.TightWords, target.Quota, target.TurnLimit)
	}
	generator.report.FirstPiece = quantiles(generator.delays)
	return &generator.report
}

func newGenerator(target Target, mix Mix) *generator {
	if target.Client == nil {
		target.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	return &generator{target: target, mix: mix, outcomeOfKey: map[string]string{}, report: Report{Rejections: map[string]int{}, Abandoned: map[string]int{}, Violations: []string{}}}
}

func quantiles(delays []time.Duration) Quantiles {
	if len(delays) == 0 {
		return Quantiles{}
	}
	slices.Sort(delays)
	at := func(share float64) string {
		return delays[int(share*float64(len(delays)-1))].Round(100 * time.Microsecond).String()
	}
	return Quantiles{P50: at(0.5), P99: at(0.99), Max: at(1), Count: len(delays)}
}
