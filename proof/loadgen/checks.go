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

// recordedHistory is the history of a conversation as reported by a front.
type recordedHistory struct {
	Events []struct {
		Seq     uint64 `json:"seq"`
		Kind    string `json:"kind"`
		Turn    uint64 `json:"turn"`
		Words   string `json:"words"`
		Outcome string `json:"outcome"`
	} `json:"events"`
}

// checkHistory reads the history of a conversation from a front and checks that it is contiguous
// and contains every answer that the caller received.
func (generator *generator) checkHistory(ctx context.Context, random *rand.Rand, name string, expected []runnerclient.Message) {
	history := generator.readHistory(ctx, random, name)
	if history == nil {
		return
	}
	generator.updateReport(func(report *Report) { report.Histories++ })
	answers, complete := map[uint64]string{}, map[uint64]bool{}
	for position, event := range history.Events {
		if event.Seq != uint64(position)+1 {
			generator.addViolation("streams", "the history of %s has seq %d at position %d", name, event.Seq, position+1)
		}
		if event.Kind == "piece" {
			answers[event.Turn] += event.Words
		}
		if event.Kind == "turn_ended" {
			complete[event.Turn] = event.Outcome == "complete"
		}
	}
	for _, message := range expected {
		if message.Role != "model" {
			continue
		}
		found := false
		for turn, text := range answers {
			found = found || (complete[turn] && text == message.Text)
		}
		if !found {
			generator.addViolation("turns stay known", "the history of %s lacks the answer %q", name, message.Text)
		}
	}
}

// readHistory reads a conversation, with retries. It returns nil if the conversation is reported as
// not found, which is a violation, or after maxAttempts retries.
func (generator *generator) readHistory(ctx context.Context, random *rand.Rand, name string) *recordedHistory {
	for attempt := 0; ; attempt++ {
		callContext, cancel := context.WithTimeout(ctx, answerTimeout)
		response, apiError, err := generator.send(callContext, http.MethodGet, generator.pickFront(random), "/v1/conversations/"+name, nil)
		if err == nil && apiError == nil {
			history := &recordedHistory{}
			err = json.NewDecoder(response.Body).Decode(history)
			response.Body.Close()
			cancel()
			if err == nil {
				return history
			}
			continue
		}
		cancel()
		if apiError != nil {
			generator.countRejection(apiError, "/v1/conversations/"+name, map[string]any{})
			if apiError.Kind == "not_found" {
				return nil
			}
		}
		if attempt == maxAttempts {
			generator.updateReport(func(report *Report) { report.Abandoned["history"]++ })
			return nil
		}
		backOff(ctx, apiError)
	}
}

// checkExecutions compares the executions that runners recorded with the outcomes reported to
// callers: each key ran at most once, exactly once if it was reported as complete, and never if it
// was reported as not run.
func (generator *generator) checkExecutions(ctx context.Context) {
	counts := map[string]int{}
	for _, address := range generator.target.Runners {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/record", nil)
		if err != nil {
			generator.addViolation("check", "%v", err)
			return
		}
		response, err := generator.target.Client.Do(request)
		if err != nil {
			generator.addViolation("check", "the record of runner %s cannot be read: %v", address, err)
			continue
		}
		var record standin.Record
		err = json.NewDecoder(response.Body).Decode(&record)
		response.Body.Close()
		if err != nil {
			generator.addViolation("check", "the record of runner %s cannot be read: %v", address, err)
		}
		for key, count := range record.Executions {
			counts[key] += count
		}
	}
	for key, count := range counts {
		if count > 1 {
			generator.addViolation("once", "%s ran %d times", key, count)
		}
	}
	for key, outcome := range generator.outcomeOfKey {
		generator.report.Rejections["once told "+outcome]++
		if outcome == "complete" && counts[key] != 1 {
			generator.addViolation("once", "%s was reported as complete but ran %d times", key, counts[key])
		}
		if outcome == "not_run" && counts[key] != 0 {
			generator.addViolation("not run", "%s was reported as not run but ran", key)
		}
	}
}

// QuotaUsage returns how many words of its quota a program has used.
//
//	spent, err := loadgen.QuotaUsage(ctx, target, "tight")
func QuotaUsage(ctx context.Context, target Target, program string) (int, error) {
	generator := newGenerator(target, Mix{})
	for attempt := 0; ; attempt++ {
		response, apiError, err := generator.send(ctx, http.MethodGet, target.Fronts[attempt%len(target.Fronts)], "/v1/tallies/"+program, nil)
		if err == nil && apiError == nil {
			var usage struct{ Spent, Reserved int }
			err = json.NewDecoder(response.Body).Decode(&usage)
			response.Body.Close()
			return usage.Spent, err
		}
		if attempt == maxAttempts {
			return 0, fmt.Errorf("the quota usage cannot be read: %v %v", apiError, err)
		}
		backOff(ctx, apiError)
	}
}
