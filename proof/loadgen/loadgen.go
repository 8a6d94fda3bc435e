// Package loadgen generates the load of a deployment's callers and checks every answer. An answer
// of the stand-in runners depends on everything that they received, so the generator knows what
// each answer must be; a Report lists the rules that were violated. Rules and loads are those of
// the users' brief.
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

// Mix is what callers send in a second, on average.
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

// Target is the system under load, with the runners whose records are checked.
type Target struct {
	Fronts  []string
	Runners []string
	Token   string
	Client  *http.Client
	// Quota and TurnLimit are the words that program "tight" may use in all and in one turn.
	Quota     int
	TurnLimit int
}

// Report is what a run observed. Violations make it fail.
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
	// ToRevisit are the conversations that ended well, for Revisit.
	ToRevisit []Conversation `json:"-"`
}

// Conversation is one that ended well, with its messages.
type Conversation struct {
	Name     string
	LastTurn uint64
	History  []runnerclient.Message
}

// Quantiles are those of the measured delays, as texts such as "12ms".
type Quantiles struct {
	P50   string `json:"p50"`
	P99   string `json:"p99"`
	Max   string `json:"worst"`
	Count int    `json:"counts"`
}

// generator is one run. Its mutex guards the report, the delays and the outcomes.
type generator struct {
	target       Target
	mix          Mix
	mutex        sync.Mutex
	report       Report
	delays       []time.Duration
	outcomeOfKey map[string]string // what callers got, by the key of standin.Record.Executions
}

const (
	maxAttempts   = 12               // of one request
	maxResumes    = 3                // of one stream
	answerTimeout = 40 * time.Second // of one attempt
	maxViolations = 20               // that a report lists
)

// count changes the report.
func (generator *generator) count(change func(report *Report)) {
	generator.mutex.Lock()
	change(&generator.report)
	generator.mutex.Unlock()
}

// violation adds a violated rule to the report, unless it lists maxViolations already.
func (generator *generator) violation(rule, format string, arguments ...any) {
	generator.count(func(report *Report) {
		if len(report.Violations) < maxViolations {
			report.Violations = append(report.Violations, rule+": "+fmt.Sprintf(format, arguments...))
		}
	})
}

// Run generates the load of a mix for a duration, or until the channel is closed, waits for what
// is in flight, and checks. Arrivals are random with the mix's rates; the seed determines them.
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
