// Package loadgen generates the load of a deployment's callers and checks every answer. The answers
// of the stand-in runners are a function of everything that they received, so the generator can
// compute the expected answer. A Report lists the violations of the rules; rules and loads are
// those of the requirements.
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

// Mix is the load of callers: mean rates of arrivals per second, and shares, which are
// probabilities for each turn.
type Mix struct {
	Conversations      float64
	Turns              []int // lengths of conversations, selected uniformly
	Lookups            float64
	NonIdempotent      float64  // non-idempotent requests
	NonIdempotentKinds []string // kinds of work of non-idempotent requests
	ToolShare          float64
	HelperShare        float64
	ResumeShare        float64
	TightTurns         float64 // turns of the program "tight", which has a small quota
}

// Mixes are the loads of the requirements, and "trial", a small one for short runs.
var Mixes = map[string]Mix{
	"trial":     {Conversations: 4, Turns: []int{3, 3, 5}, Lookups: 4, NonIdempotent: 4, NonIdempotentKinds: []string{"receipt", "activation"}, ToolShare: 0.3, HelperShare: 0.1, ResumeShare: 0.2, TightTurns: 1},
	"agency":    {Conversations: 27, Turns: []int{3, 3, 3, 3, 5}, Lookups: 15, NonIdempotent: 12, NonIdempotentKinds: []string{"receipt", "activation"}, ToolShare: 0.3, HelperShare: 0.1, ResumeShare: 0.1, TightTurns: 1},
	"logistics": {Conversations: 26, Turns: []int{3, 3, 3, 3, 3, 7}, Lookups: 15, NonIdempotent: 12, NonIdempotentKinds: []string{"receipt", "invoice"}, ToolShare: 0.3, HelperShare: 0.1, ResumeShare: 0.1, TightTurns: 1},
}

// Target is the system under load, with the runners whose records are checked.
type Target struct {
	Fronts  []string
	Runners []string
	Token   string
	Client  *http.Client
	// Quota and TurnLimit are the words that the program "tight" may use in total and in one turn.
	Quota     int
	TurnLimit int
}

// Report is the result of a run. A run with Violations has failed.
type Report struct {
	Conversations int            `json:"conversations"`
	Turns         int            `json:"turns"`
	Complete      int            `json:"complete"`
	Lookups       int            `json:"lookups"`
	NonIdempotent int            `json:"once"`
	Tools         int            `json:"tools"`
	Helpers       int            `json:"helpers"`
	Resumed       int            `json:"resumed"`
	Histories     int            `json:"histories"`
	Rejections    map[string]int `json:"refusals"`
	Abandoned     map[string]int `json:"abandoned"`
	FirstPiece    Quantiles      `json:"first_piece"`
	TightWords    int            `json:"tight_words"`
	Violations    []string       `json:"broken"`
	// ToRevisit are the conversations that ended without a failure, for Revisit.
	ToRevisit []Conversation `json:"-"`
}

// Conversation is a conversation that ended without a failure, with its messages.
type Conversation struct {
	Name     string
	LastTurn uint64
	History  []runnerclient.Message
}

// Quantiles are quantiles of measured delays, formatted like "12ms".
type Quantiles struct {
	P50   string `json:"p50"`
	P99   string `json:"p99"`
	Max   string `json:"worst"`
	Count int    `json:"counts"`
}

// generator is the state of one run. Its mutex guards report, firstPieceDelays and outcomeOfKey.
type generator struct {
	target           Target
	mix              Mix
	mutex            sync.Mutex
	report           Report
	firstPieceDelays []time.Duration
	outcomeOfKey     map[string]string // the outcome reported to the caller, by the key of standin.Record.Executions
}

const (
	maxAttempts   = 12               // of one request
	maxResumes    = 3                // of one stream
	answerTimeout = 40 * time.Second // of one attempt
	maxViolations = 20               // that a report lists
)

// updateReport changes the report under the mutex.
func (generator *generator) updateReport(change func(report *Report)) {
	generator.mutex.Lock()
	change(&generator.report)
	generator.mutex.Unlock()
}

// addViolation adds a violation of a rule to the report, unless that lists maxViolations already.
func (generator *generator) addViolation(rule, format string, arguments ...any) {
	generator.updateReport(func(report *Report) {
		if len(report.Violations) < maxViolations {
			report.Violations = append(report.Violations, rule+": "+fmt.Sprintf(format, arguments...))
		}
	})
}

// Run generates the load of a mix for a duration or until stop is closed, waits for requests in
// flight, and checks the results. Arrivals are Poisson processes with the mix's rates, determined
// by the seed.
//
//	report := loadgen.Run(ctx, target, loadgen.Mixes["agency"], time.Minute, 7, nil)
func Run(ctx context.Context, target Target, mix Mix, duration time.Duration, seed uint64, stop <-chan struct{}) *Report {
	generator := newGenerator(target, mix)
	var callers sync.WaitGroup
	startArrivals := func(number uint64, rate float64, call func(random *rand.Rand, number int)) {
		if rate == 0 {
			return
		}
		random := rand.New(rand.NewPCG(seed, number))
		callers.Go(func() {
			deadline := time.After(duration)
			for position := 0; ; position++ {
				select {
				case <-time.After(time.Duration(random.ExpFloat64() / rate * float64(time.Second))):
					callRandom := rand.New(rand.NewPCG(seed, random.Uint64()))
					callers.Go(func() { call(callRandom, position) })
				case <-deadline:
					return
				case <-stop:
					return
				case <-ctx.Done():
					return
				}
			}
		})
	}
	startArrivals(1, mix.Conversations, func(random *rand.Rand, number int) {
		generator.runConversation(ctx, random, fmt.Sprintf("%d-%d", seed, number))
	})
	startArrivals(2, mix.Lookups, func(random *rand.Rand, number int) { generator.requestLookup(ctx, random, number) })
	startArrivals(3, mix.NonIdempotent, func(random *rand.Rand, number int) {
		generator.requestNonIdempotent(ctx, random, fmt.Sprintf("%d-%d", seed, number))
	})
	startArrivals(4, mix.TightTurns, func(random *rand.Rand, number int) { generator.requestTightTurn(ctx, random, number) })
	callers.Wait()
	generator.checkExecutions(ctx)
	if generator.report.TightWords > target.Quota+target.TurnLimit {
		generator.addViolation("allowance", "%d words were answered, more than the quota of %d plus one turn of %d", generator.report.TightWords, target.Quota, target.TurnLimit)
	}
	generator.report.FirstPiece = quantiles(generator.firstPieceDelays)
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
	quantile := func(share float64) string {
		return delays[int(share*float64(len(delays)-1))].Round(100 * time.Microsecond).String()
	}
	return Quantiles{P50: quantile(0.5), P99: quantile(0.99), Max: quantile(1), Count: len(delays)}
}
