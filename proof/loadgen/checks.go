package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"

	"yardrock.example/proof/standin"
	"yardrock.example/system/runnerclient"
)

// recordedHistory is a conversation as a front reports it.
type recordedHistory struct {
	Events []struct {
		Seq     uint64 `json:"seq"`
		Kind    string `json:"kind"`
		Turn    uint64 `json:"turn"`
		Words   string `json:"words"`
		Outcome string `json:"outcome"`
	} `json:"events"`
}

// checkHistory reads the complete conversation at a front and compares it with the messages
// that the caller got.
func (generator *generator) checkHistory(ctx context.Context, random *rand.Rand, name string, said []runnerclient.Message) {
	history := generator.readHistory(ctx, random, name)
	if history == nil {
		return
	}
	generator.count(func(report *Report) { report.Histories++ })
	pieces, complete := map[uint64]string{}, map[uint64]bool{}
	for position, event := range history.Events {
		if event.Seq != uint64(position)+1 {
			generator.violation("streams", "history of %s has seq %d at place %d", name, event.Seq, position+1)
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
			found = found || (complete[turn] && text == message.Text)
		}
		if !found {
			generator.violation("turns stay known", "history of %s lacks the answer %q", name, message.Text)
		}
	}
}

// readHistory reads a conversation, with retries. It returns nil if the conversation is
// reported as unknown, which is a violation, or after maxAttempts retries.
func (generator *generator) readHistory(ctx context.Context, random *rand.Rand, name string) *recordedHistory {
	for attempt := 0; ; attempt++ {
		callContext, cancel := context.WithTimeout(ctx, answerTimeout)
		answer, apierror, err := generator.send(callContext, http.MethodGet, generator.front(random), "/v1/conversations/"+name, nil)
		if err == nil && apierror == nil {
			history := &recordedHistory{}
			err = json.NewDecoder(answer.Body).Decode(history)
			answer.Body.Close()
			cancel()
			if err == nil {
				return history
			}
			continue
		}
		cancel()
		if apierror != nil {
			generator.rejected(apierror, "/v1/conversations/"+name, map[string]any{})
			if apierror.Kind == "not_found" {
				return nil
			}
		}
		if attempt == maxAttempts {
			generator.count(func(report *Report) { report.Abandoned["history"]++ })
			return nil
		}
		pause(ctx, apierror)
	}
}

// checkExecutions compares the executions that runners recorded with the outcomes that callers
// got: each key ran at most once, exactly once if it was reported as complete, and never if it
// was reported as not run.
func (generator *generator) checkExecutions(ctx context.Context) {
	counts := map[string]int{}
	for _, address := range generator.target.Runners {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/record", nil)
		if err != nil {
			generator.violation("check", "%v", err)
			return
		}
		answer, err := generator.target.Client.Do(request)
		if err != nil {
			generator.violation("check", "the record of runner %s cannot be read: %v", address, err)
			continue
		}
		var record standin.Record
		err = json.NewDecoder(answer.Body).Decode(&record)
		answer.Body.Close()
		if err != nil {
			generator.violation("check", "the record of runner %s cannot be read: %v", address, err)
		}
		for key, count := range record.Executions {
			counts[key] += count
		}
	}
	for key, count := range counts {
		if count > 1 {
			generator.violation("once", "%s ran %d times", key, count)
		}
	}
	for key, reported := range generator.outcomeOfKey {
		generator.report.Rejections["once told "+reported]++
		if reported == "complete" && counts[key] != 1 {
			generator.violation("once", "%s was told complete and ran %d times", key, counts[key])
		}
		if reported == "not_run" && counts[key] != 0 {
			generator.violation("not run", "%s was told not run and ran", key)
		}
	}
}

// Quota reads how many words a program has used of its quota.
//
//	spent, err := loadgen.Quota(ctx, target, "tight")
func Quota(ctx context.Context, target Target, program string) (int, error) {
	generator := newGenerator(target, Mix{})
	for attempt := 0; ; attempt++ {
		answer, apierror, err := generator.send(ctx, http.MethodGet, target.Fronts[attempt%len(target.Fronts)], "/v1/tallies/"+program, nil)
		if err == nil && apierror == nil {
			var reported struct{ Spent, Reserved int }
			err = json.NewDecoder(answer.Body).Decode(&reported)
			answer.Body.Close()
			return reported.Spent, err
		}
		if attempt == maxAttempts {
			return 0, fmt.Errorf("no quota usage: %v %v", apierror, err)
		}
		pause(ctx, apierror)
	}
}
