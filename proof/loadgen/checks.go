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

// checkHistory reads the whole conversation at some front and compares it with
// what was said.
func (generator *generator) checkHistory(ctx context.Context, random *rand.Rand, name string, said []runnerclient.Message) {
	var reported struct {
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
		callContext, cancel := context.WithTimeout(ctx, answerTimeout)
		answer, apierror, err := generator.send(callContext, http.MethodGet, generator.front(random), "/v1/conversations/"+name, nil)
		if err == nil && apierror == nil {
			err = json.NewDecoder(answer.Body).Decode(&reported)
			answer.Body.Close()
			cancel()
			if err == nil {
				break
			}
			continue
		}
		cancel()
		if apierror != nil {
			generator.rejected(apierror, "/v1/conversations/"+name, map[string]any{})
			if apierror.Kind == "not_found" {
				return
			}
		}
		if try == maxAttempts {
			generator.count(func(report *Report) { report.Abandoned["history"]++ })
			return
		}
		pause(ctx, apierror)
	}
	generator.count(func(report *Report) { report.Histories++ })
	pieces, complete := map[uint64]string{}, map[uint64]bool{}
	for position, event := range reported.Events {
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
			found = found || (complete[turn] && text == message.Words)
		}
		if !found {
			generator.violation("turns stay known", "history of %s lacks the answer %q", name, message.Words)
		}
	}
}

// checkExecutions compares what runners carried out with what callers were told.
func (generator *generator) checkExecutions(ctx context.Context) {
	counts := map[string]int{}
	for _, address := range generator.target.Runners {
		query, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/record", nil)
		if err != nil {
			generator.violation("check", "%v", err)
			return
		}
		answer, err := generator.target.Client.Do(query)
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

// Quota asks what a program has spent.
//
//	spent, err := loadgen.Quota(ctx, target, "tight")
func Quota(ctx context.Context, target Target, program string) (int, error) {
	generator := newGenerator(target, Mix{})
	for try := 0; ; try++ {
		answer, apierror, err := generator.send(ctx, http.MethodGet, target.Fronts[try%len(target.Fronts)], "/v1/tallies/"+program, nil)
		if err == nil && apierror == nil {
			var reported struct{ Spent, Reserved int }
			err = json.NewDecoder(answer.Body).Decode(&reported)
			answer.Body.Close()
			return reported.Spent, err
		}
		if try == maxAttempts {
			return 0, fmt.Errorf("no tally: %v %v", apierror, err)
		}
		pause(ctx, apierror)
	}
}
