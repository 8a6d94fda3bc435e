// Package load drives a deployment with its callers' mix and checks every answer
// against the rules of the brief.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/conversation"
	"yardrock.example/system/httpface"
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
	// Allowance and Turn are the words of the small program's terms.
	Allowance int
	Turn      int
}

// Report is what was seen. Broken rules make the load program fail.
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

type load struct {
	target   Target
	mix      Mix
	mutex    sync.Mutex
	report   Report
	delays   []time.Duration
	outcomes map[string]string // executions key to what callers were told
}

const (
	tries          = 12
	answerPatience = 40 * time.Second
	mostBroken     = 20
)

func (load *load) count(change func(report *Report)) {
	load.mutex.Lock()
	change(&load.report)
	load.mutex.Unlock()
}

func (load *load) broken(rule, format string, arguments ...any) {
	load.count(func(report *Report) {
		if len(report.Broken) < mostBroken {
			report.Broken = append(report.Broken, rule+": "+fmt.Sprintf(format, arguments...))
		}
	})
}

// Run drives the mix for a time or until it is told to end, lets what is under way
// end, and checks.
//
//	report := load.Run(ctx, target, load.Mixes["agency"], time.Minute, 7, nil)
func Run(ctx context.Context, target Target, mix Mix, duration time.Duration, seed uint64, until <-chan struct{}) *Report {
	load := newLoad(target, mix)
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
	arrive(1, mix.Conversations, func(random *rand.Rand, number int) { load.converse(ctx, random, fmt.Sprintf("%d-%d", seed, number)) })
	arrive(2, mix.Lookups, func(random *rand.Rand, number int) { load.lookup(ctx, random, number) })
	arrive(3, mix.Once, func(random *rand.Rand, number int) { load.once(ctx, random, fmt.Sprintf("%d-%d", seed, number)) })
	arrive(4, mix.Tight, func(random *rand.Rand, number int) { load.tight(ctx, random, number) })
	callers.Wait()
	load.checkExecutions(ctx)
	if load.report.Spoken > target.Allowance+target.Turn {
		load.broken("allowance", "%d words were spoken of %d and one turn of %d", load.report.Spoken, target.Allowance, target.Turn)
	}
	load.report.FirstPiece = quantiles(load.delays)
	return &load.report
}

func newLoad(target Target, mix Mix) *load {
	if target.Client == nil {
		target.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	return &load{target: target, mix: mix, outcomes: map[string]string{}, report: Report{Refusals: map[string]int{}, Abandoned: map[string]int{}, Broken: []string{}}}
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

func (load *load) front(random *rand.Rand) string {
	return load.target.Fronts[random.IntN(len(load.target.Fronts))]
}

func (load *load) send(ctx context.Context, method, front, path string, body any) (*http.Response, *httpface.Failure, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, err
	}
	query, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	query.Header.Set("Authorization", "Bearer "+load.target.Token)
	query.Header.Set("Content-Type", "application/json")
	answer, err := load.target.Client.Do(query)
	if err != nil {
		return nil, nil, err
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil, nil
	}
	defer answer.Body.Close()
	failure := &httpface.Failure{}
	if err := json.NewDecoder(answer.Body).Decode(failure); err != nil || failure.Kind == "" || failure.Message == "" || failure.Remedy == "" {
		load.broken("failure body", "%s %s: status %d without kind, message and remedy", method, path, answer.StatusCode)
		return nil, &httpface.Failure{Kind: "formless"}, nil
	}
	return nil, failure, nil
}

// pause waits as long as a refusal said, or a little after a lost connection.
func pause(ctx context.Context, failure *httpface.Failure) {
	wait := 300 * time.Millisecond
	if failure != nil && failure.RetryAfter > 0 {
		wait = time.Duration(failure.RetryAfter) * time.Millisecond
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

type streamed struct {
	Conversation string `json:"conversation"`
	Turn         uint64 `json:"turn"`
	Seq          uint64 `json:"seq"`
	Event        string `json:"event"`
	Words        string `json:"words"`
	End          string `json:"end"`
	Kind         string `json:"kind"`
}

// heard is an answer as it comes in, perhaps over several connections.
type heard struct {
	conversation string
	turn         uint64
	last         uint64
	words        strings.Builder
	end          string
	first        time.Time // when the first piece came
}

// listen reads one connection's lines on top of what was heard. A break leaves
// the rest to be resumed; a gap or repeat is a broken rule.
func (load *load) listen(body io.Reader, heard *heard, stopAfter int) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	pieces := 0
	for lines.Scan() {
		var told streamed
		if err := json.Unmarshal(lines.Bytes(), &told); err != nil {
			return // a connection that broke within a line
		}
		if told.Conversation != "" {
			if heard.conversation != "" && heard.turn != told.Turn {
				load.broken("streams", "turn %d of %s was resumed as turn %d", heard.turn, heard.conversation, told.Turn)
			}
			heard.conversation, heard.turn = told.Conversation, told.Turn
			if heard.last == 0 {
				heard.last = told.Turn
			}
		}
		if told.Event == "piece" {
			if told.Seq <= heard.last {
				load.broken("streams", "%s repeats seq %d after %d", heard.conversation, told.Seq, heard.last)
			}
			if told.Seq != heard.last+1 {
				load.broken("streams", "%s skips from seq %d to %d", heard.conversation, heard.last, told.Seq)
			}
			heard.last = told.Seq
			if heard.first.IsZero() {
				heard.first = time.Now()
			}
			heard.words.WriteString(told.Words)
			if pieces++; pieces == stopAfter {
				return
			}
		}
		if told.End != "" {
			heard.end = told.End
			return
		}
	}
}

// ask sends a turn until it is complete or will not become so. It returns nil if
// it had to be given up.
func (load *load) ask(ctx context.Context, random *rand.Rand, path string, body map[string]any, want string) *heard {
	load.count(func(report *Report) { report.Turns++ })
	var last string
	resume := random.Float64() < load.mix.ResumeShare
	for try := range tries {
		asked, cancel := context.WithTimeout(ctx, answerPatience)
		began := time.Now()
		answer, failure, err := load.send(asked, http.MethodPost, load.front(random), path, body)
		if failure != nil {
			last = failure.Kind
			load.refused(failure, path, body)
			cancel()
			if failure.Kind != "not_run" && failure.Kind != "unavailable" && failure.Kind != "unknown" && !(failure.Kind == "conflict" && try > 0) {
				break
			}
			if failure.Kind == "not_run" && body["request_key"] != nil {
				body["request_key"] = fmt.Sprintf("%v+", body["request_key"])
			}
			pause(ctx, failure)
			continue
		}
		if err != nil {
			last = "connection"
			cancel()
			pause(ctx, nil)
			continue
		}
		got := &heard{}
		stopAfter := 0
		if resume && try == 0 {
			stopAfter = 2
		}
		load.listen(answer.Body, got, stopAfter)
		answer.Body.Close()
		cancel()
		if try == 0 && !got.first.IsZero() {
			load.mutex.Lock()
			load.delays = append(load.delays, got.first.Sub(began))
			load.mutex.Unlock()
		}
		for again := 0; got.end == "" || got.end == "failed"; again++ {
			if got.conversation == "" || again == 3 {
				break
			}
			load.resume(ctx, random, got)
		}
		switch got.end {
		case "complete":
			load.count(func(report *Report) { report.Complete++ })
			if got.words.String() != want {
				load.broken("answers", "%s turn %d: heard %q, want %q", got.conversation, got.turn, got.words.String(), want)
			}
			return got
		case "cut", "not_run", "unknown":
			last = "ended " + got.end
			load.count(func(report *Report) { report.Refusals[last]++ })
			if !strings.HasPrefix(want, got.words.String()) {
				load.broken("answers", "%s turn %d: a cut answer %q is no beginning of %q", got.conversation, got.turn, got.words.String(), want)
			}
			if path == "/v1/conversations" && body["request_key"] == nil {
				break
			}
		default:
			last = "no end"
		}
		pause(ctx, nil)
	}
	load.count(func(report *Report) { report.Abandoned[last]++ })
	return nil
}

// resume tails the turn at another front from the last seq that was heard.
func (load *load) resume(ctx context.Context, random *rand.Rand, got *heard) {
	load.count(func(report *Report) { report.Resumed++ })
	asked, cancel := context.WithTimeout(ctx, answerPatience)
	defer cancel()
	got.end = ""
	answer, failure, err := load.send(asked, http.MethodGet, load.front(random), fmt.Sprintf("/v1/conversations/%s/tail?cursor=%d&turn=%d", got.conversation, got.last, got.turn), nil)
	if err != nil || failure != nil {
		if failure != nil && (failure.Kind == "not_found" || failure.Kind == "invalid") {
			load.broken("turns stay known", "resuming %s at %d: %s", got.conversation, got.last, failure.Message)
		}
		pause(ctx, failure)
		return
	}
	load.listen(answer.Body, got, 0)
	answer.Body.Close()
}

func (load *load) refused(failure *httpface.Failure, path string, body map[string]any) {
	load.count(func(report *Report) { report.Refusals[failure.Kind]++ })
	if failure.Kind == "not_found" {
		load.broken("turns stay known", "%s following %v: %s", path, body["follows"], failure.Message)
	}
}

func (load *load) converse(ctx context.Context, random *rand.Rand, name string) {
	load.count(func(report *Report) { report.Conversations++ })
	program := []string{"dialogue", "permits"}[random.IntN(2)]
	said := []runnerclient.Message{}
	path, follows, conversationName := "/v1/conversations", uint64(0), ""
	for turn := range load.mix.Turns[random.IntN(len(load.mix.Turns))] {
		question := fmt.Sprintf("%s asks %d of %d things", name, turn, random.IntN(1000))
		body := map[string]any{"kind": "talk", "words": question, "request_key": fmt.Sprintf("%s-%d", name, turn)}
		if follows == 0 {
			body["program"] = program
		} else {
			body["follows"] = follows
		}
		got := load.ask(ctx, random, path, body, strings.Join(standin.Answer(said, question), ""))
		if got == nil {
			return
		}
		said = append(said, runnerclient.Message{Role: "caller", Words: question}, runnerclient.Message{Role: "model", Words: got.words.String()})
		conversationName, follows = got.conversation, got.turn
		path = "/v1/conversations/" + conversationName + "/turns"
		if random.Float64() < load.mix.ToolShare {
			var goOn bool
			if said, goOn = load.tool(ctx, random, program, conversationName, follows, fmt.Sprintf("%s-tool-%d", name, turn), said); !goOn {
				return
			}
		}
		if random.Float64() < load.mix.HelperShare {
			load.count(func(report *Report) { report.Helpers++ })
			task := fmt.Sprintf("%s helps with %d", name, turn)
			load.ask(ctx, random, "/v1/conversations/"+conversationName+"/helpers", map[string]any{"program": program, "kind": "talk", "words": task, "follows": follows, "request_key": fmt.Sprintf("%s-helper-%d", name, turn)},
				strings.Join(standin.Answer(nil, task), ""))
		}
	}
	load.checkHistory(ctx, random, conversationName, said)
	load.count(func(report *Report) {
		report.Kept = append(report.Kept, Kept{Conversation: conversationName, Last: follows, Said: said})
	})
}

// tool calls a tool between turns; its call and result become part of what was
// said once it is told complete. An unknown one ends the conversation, as what
// the model will see is not known to this caller.
func (load *load) tool(ctx context.Context, random *rand.Rand, program, name string, follows uint64, key string, said []runnerclient.Message) ([]runnerclient.Message, bool) {
	load.count(func(report *Report) { report.Tools++ })
	question := "stock of " + key
	told, answer := load.run(ctx, random, "/v1/conversations/"+name+"/tools", program, "receipt", key, map[string]any{"kind": "receipt", "words": question, "follows": follows, "request_key": key})
	if told != "complete" {
		return said, told == "not_run"
	}
	return append(said, runnerclient.Message{Role: "tool_call", Name: "receipt", Words: question}, runnerclient.Message{Role: "tool_result", Name: "receipt", Words: answer}), true
}

// run sends work that may not be repeated until its outcome is told, and notes
// what was told for the check at the end.
func (load *load) run(ctx context.Context, random *rand.Rand, path, program, kind, key string, body map[string]any) (string, string) {
	told, text := "unanswered", ""
	for range tries {
		asked, cancel := context.WithTimeout(ctx, answerPatience)
		answer, failure, err := load.send(asked, http.MethodPost, load.front(random), path, body)
		if err != nil {
			cancel()
			pause(ctx, nil)
			continue
		}
		if failure != nil {
			cancel()
			load.refused(failure, path, body)
			told = failure.Kind
			if failure.Kind == "unknown" && failure.RetryAfter > 0 {
				pause(ctx, failure)
				continue
			}
			break
		}
		var done struct {
			Outcome string          `json:"outcome"`
			Answer  json.RawMessage `json:"answer"`
		}
		err = json.NewDecoder(answer.Body).Decode(&done)
		answer.Body.Close()
		cancel()
		if err != nil {
			pause(ctx, nil)
			continue
		}
		told, text = done.Outcome, string(done.Answer)
		want := standin.PlainAnswer(runnerclient.PlainQuery{Kind: kind, RequestKey: key, Words: body["words"].(string)})
		got := map[string]string{}
		if json.Unmarshal(done.Answer, &got) != nil || got["proof"] != want["proof"] {
			load.broken("answers", "%s under %s got %s", kind, key, text)
		}
		break
	}
	load.mutex.Lock()
	load.outcomes[program+"/"+kind+"/"+key] = told
	load.mutex.Unlock()
	return told, text
}

func (load *load) once(ctx context.Context, random *rand.Rand, name string) {
	load.count(func(report *Report) { report.Once++ })
	kind := load.mix.OnceKinds[random.IntN(len(load.mix.OnceKinds))]
	key := "once-" + name
	path := []string{"/v1/requests", "/v1/notices"}[random.IntN(2)]
	load.run(ctx, random, path, "counter", kind, key, map[string]any{"program": "counter", "kind": kind, "words": "work " + name, "request_key": key})
}

func (load *load) lookup(ctx context.Context, random *rand.Rand, number int) {
	load.count(func(report *Report) { report.Lookups++ })
	question := fmt.Sprintf("where is %d", number)
	asked, cancel := context.WithTimeout(ctx, answerPatience)
	defer cancel()
	answer, failure, err := load.send(asked, http.MethodPost, load.front(random), "/v1/lookups", map[string]any{"program": "counter", "kind": "lookup", "words": question})
	if failure != nil {
		load.refused(failure, "/v1/lookups", map[string]any{})
	}
	if err != nil || failure != nil {
		return
	}
	defer answer.Body.Close()
	var done struct {
		Answer map[string]string `json:"answer"`
	}
	if json.NewDecoder(answer.Body).Decode(&done) == nil && done.Answer["proof"] != standin.PlainAnswer(runnerclient.PlainQuery{Kind: "lookup", Words: question})["proof"] {
		load.broken("answers", "the lookup %q got %v", question, done.Answer)
	}
}

// tight starts a turn of the program with the small allowance. What it is heard
// to speak must stay within the allowance and one turn.
func (load *load) tight(ctx context.Context, random *rand.Rand, number int) {
	asked, cancel := context.WithTimeout(ctx, answerPatience)
	defer cancel()
	answer, failure, err := load.send(asked, http.MethodPost, load.front(random), "/v1/conversations", map[string]any{"program": "tight", "kind": "talk", "words": fmt.Sprintf("tight %d", number)})
	if failure != nil {
		load.refused(failure, "/v1/conversations", map[string]any{})
	}
	if err != nil || failure != nil {
		return
	}
	defer answer.Body.Close()
	got := &heard{}
	load.listen(answer.Body, got, 0)
	load.count(func(report *Report) { report.Spoken += int(conversation.CountWords(got.words.String())) })
}

// checkHistory reads the whole conversation at some front and compares it with
// what was said.
func (load *load) checkHistory(ctx context.Context, random *rand.Rand, name string, said []runnerclient.Message) {
	var told struct {
		Head   uint64 `json:"head"`
		Events []struct {
			Seq     uint64 `json:"seq"`
			Kind    string `json:"kind"`
			Turn    uint64 `json:"turn"`
			Words   string `json:"words"`
			Outcome string `json:"outcome"`
		} `json:"events"`
	}
	for try := 0; ; try++ {
		asked, cancel := context.WithTimeout(ctx, answerPatience)
		answer, failure, err := load.send(asked, http.MethodGet, load.front(random), "/v1/conversations/"+name, nil)
		if err == nil && failure == nil {
			err = json.NewDecoder(answer.Body).Decode(&told)
			answer.Body.Close()
			cancel()
			if err == nil {
				break
			}
			continue
		}
		cancel()
		if failure != nil {
			load.refused(failure, "/v1/conversations/"+name, map[string]any{})
			if failure.Kind == "not_found" {
				return
			}
		}
		if try == tries {
			load.count(func(report *Report) { report.Abandoned["history"]++ })
			return
		}
		pause(ctx, failure)
	}
	load.count(func(report *Report) { report.Histories++ })
	pieces, complete := map[uint64]string{}, map[uint64]bool{}
	for position, event := range told.Events {
		if event.Seq != uint64(position)+1 {
			load.broken("streams", "history of %s has seq %d at place %d", name, event.Seq, position+1)
		}
		if event.Kind == "piece" {
			pieces[event.Turn] += event.Words
		}
		if event.Kind == "turn_ended" {
			complete[event.Turn] = event.Outcome == "complete"
		}
	}
	for _, message := range said {
		if message.Role != "model" {
			continue
		}
		found := false
		for turn, text := range pieces {
			found = found || (complete[turn] && text == message.Words)
		}
		if !found {
			load.broken("turns stay known", "history of %s lacks the answer %q", name, message.Words)
		}
	}
}

// checkExecutions compares what runners carried out with what callers were told.
func (load *load) checkExecutions(ctx context.Context) {
	counts := map[string]int{}
	for _, address := range load.target.Runners {
		query, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/record", nil)
		if err != nil {
			load.broken("check", "%v", err)
			return
		}
		answer, err := load.target.Client.Do(query)
		if err != nil {
			load.broken("check", "the record of runner %s cannot be read: %v", address, err)
			continue
		}
		var record standin.Record
		err = json.NewDecoder(answer.Body).Decode(&record)
		answer.Body.Close()
		if err != nil {
			load.broken("check", "the record of runner %s cannot be read: %v", address, err)
		}
		for key, count := range record.Executions {
			counts[key] += count
		}
	}
	for key, count := range counts {
		if count > 1 {
			load.broken("once", "%s ran %d times", key, count)
		}
	}
	for key, told := range load.outcomes {
		load.report.Refusals["once told "+told]++
		if told == "complete" && counts[key] != 1 {
			load.broken("once", "%s was told complete and ran %d times", key, counts[key])
		}
		if told == "not_run" && counts[key] != 0 {
			load.broken("not run", "%s was told not run and ran", key)
		}
	}
}

// Tally asks what a program has spent.
//
//	spent, err := load.Tally(ctx, target, "tight")
func Tally(ctx context.Context, target Target, program string) (int, error) {
	load := newLoad(target, Mix{})
	for try := 0; ; try++ {
		answer, failure, err := load.send(ctx, http.MethodGet, target.Fronts[try%len(target.Fronts)], "/v1/tallies/"+program, nil)
		if err == nil && failure == nil {
			var told struct{ Spent, Reserved int }
			err = json.NewDecoder(answer.Body).Decode(&told)
			answer.Body.Close()
			return told.Spent, err
		}
		if try == tries {
			return 0, fmt.Errorf("no tally: %v %v", failure, err)
		}
		pause(ctx, failure)
	}
}

const revisits = 40

// Revisit follows up conversations of an earlier run, and reads them back: their
// turns must be known and heard as they were said.
//
//	again := load.Revisit(ctx, target, report.Kept, 7)
func Revisit(ctx context.Context, target Target, kept []Kept, seed uint64) *Report {
	load := newLoad(target, Mix{})
	random := rand.New(rand.NewPCG(seed, 77))
	for _, position := range random.Perm(len(kept))[:min(len(kept), revisits)] {
		one := kept[position]
		question := "and after " + one.Conversation
		load.ask(ctx, random, "/v1/conversations/"+one.Conversation+"/turns", map[string]any{"kind": "talk", "words": question, "follows": one.Last, "request_key": "revisit"},
			strings.Join(standin.Answer(one.Said, question), ""))
		load.checkHistory(ctx, random, one.Conversation, one.Said)
	}
	return &load.report
}

// AwaitTurn waits until one front has served a whole turn.
//
//	err := load.AwaitTurn(ctx, target, front)
func AwaitTurn(ctx context.Context, target Target, front string) error {
	load := newLoad(target, Mix{})
	for {
		asked, cancel := context.WithTimeout(ctx, 10*time.Second)
		answer, failure, err := load.send(asked, http.MethodPost, front, "/v1/conversations", map[string]any{"program": "dialogue", "kind": "talk", "words": "are you there"})
		if err == nil && failure == nil {
			got := &heard{}
			load.listen(answer.Body, got, 0)
			answer.Body.Close()
			if got.end == "complete" {
				cancel()
				return nil
			}
		}
		cancel()
		select {
		case <-ctx.Done():
			return fmt.Errorf("no turn was served: %v %v", failure, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Crowded is what a crowd got.
type Crowded struct {
	Sent, Served, Refused, Wrong int
	Urgent, UrgentServed         int
}

// Crowd sends lookups at a rate on top of all else, with urgent work among them.
//
//	seen := load.Crowd(ctx, target, 4*time.Second, 500)
func Crowd(ctx context.Context, target Target, lasts time.Duration, perSecond int) Crowded {
	load := newLoad(target, Mix{})
	var mutex sync.Mutex
	var asked sync.WaitGroup
	seen := Crowded{}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3))
	for number := range int(lasts.Seconds() * float64(perSecond)) {
		front := load.front(random)
		urgent := number%20 == 0
		asked.Go(func() {
			path, body := "/v1/lookups", map[string]any{"program": "dialogue", "kind": "lookup", "words": "where is everybody"}
			if urgent {
				path, body = "/v1/requests", map[string]any{"program": "counter", "kind": "activation", "words": "now", "request_key": fmt.Sprintf("crowd-%d-%d", time.Now().UnixNano(), number)}
			}
			limited, cancel := context.WithTimeout(ctx, answerPatience)
			defer cancel()
			answer, failure, err := load.send(limited, http.MethodPost, front, path, body)
			if err == nil && failure == nil {
				answer.Body.Close()
			}
			mutex.Lock()
			defer mutex.Unlock()
			seen.Sent++
			served := err == nil && failure == nil
			if served {
				seen.Served++
			}
			if failure != nil {
				seen.Refused++
				if failure.RetryAfter == 0 && failure.Kind == "not_run" {
					seen.Wrong++
				}
			}
			if urgent {
				seen.Urgent++
				if served {
					seen.UrgentServed++
				}
			}
		})
		select {
		case <-time.After(time.Second / time.Duration(perSecond)):
		case <-ctx.Done():
		}
	}
	asked.Wait()
	return seen
}
