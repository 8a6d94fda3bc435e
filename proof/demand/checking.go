package demand

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
func (demand *demand) checkHistory(ctx context.Context, random *rand.Rand, name string, said []runnerclient.Message) {
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
		asked, cancel := context.WithTimeout(ctx, answerTimeout)
		answer, apierror, err := demand.send(asked, http.MethodGet, demand.front(random), "/v1/conversations/"+name, nil)
		if err == nil && apierror == nil {
			err = json.NewDecoder(answer.Body).Decode(&told)
			answer.Body.Close()
			cancel()
			if err == nil {
				break
			}
			continue
		}
		cancel()
		if apierror != nil {
			demand.refused(apierror, "/v1/conversations/"+name, map[string]any{})
			if apierror.Kind == "not_found" {
				return
			}
		}
		if try == tries {
			demand.count(func(report *Report) { report.Abandoned["history"]++ })
			return
		}
		pause(ctx, apierror)
	}
	demand.count(func(report *Report) { report.Histories++ })
	pieces, complete := map[uint64]string{}, map[uint64]bool{}
	for position, event := range told.Events {
		if event.Seq != uint64(position)+1 {
			demand.broken("streams", "history of %s has seq %d at place %d", name, event.Seq, position+1)
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
			demand.broken("turns stay known", "history of %s lacks the answer %q", name, message.Words)
		}
	}
}

// checkExecutions compares what runners carried out with what callers were told.
func (demand *demand) checkExecutions(ctx context.Context) {
	counts := map[string]int{}
	for _, address := range demand.target.Runners {
		query, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/record", nil)
		if err != nil {
			demand.broken("check", "%v", err)
			return
		}
		answer, err := demand.target.Origin.Do(query)
		if err != nil {
			demand.broken("check", "the record of runner %s cannot be read: %v", address, err)
			continue
		}
		var record standin.Record
		err = json.NewDecoder(answer.Body).Decode(&record)
		answer.Body.Close()
		if err != nil {
			demand.broken("check", "the record of runner %s cannot be read: %v", address, err)
		}
		for key, count := range record.Executions {
			counts[key] += count
		}
	}
	for key, count := range counts {
		if count > 1 {
			demand.broken("once", "%s ran %d times", key, count)
		}
	}
	for key, told := range demand.outcomes {
		demand.report.Refusals["once told "+told]++
		if told == "complete" && counts[key] != 1 {
			demand.broken("once", "%s was told complete and ran %d times", key, counts[key])
		}
		if told == "not_run" && counts[key] != 0 {
			demand.broken("not run", "%s was told not run and ran", key)
		}
	}
}

// Tally asks what a program has spent.
//
//	spent, err := demand.Tally(ctx, target, "tight")
func Tally(ctx context.Context, target Target, program string) (int, error) {
	demand := newDemand(target, Mix{})
	for try := 0; ; try++ {
		answer, apierror, err := demand.send(ctx, http.MethodGet, target.Fronts[try%len(target.Fronts)], "/v1/tallies/"+program, nil)
		if err == nil && apierror == nil {
			var told struct{ Spent, Reserved int }
			err = json.NewDecoder(answer.Body).Decode(&told)
			answer.Body.Close()
			return told.Spent, err
		}
		if try == tries {
			return 0, fmt.Errorf("no tally: %v %v", apierror, err)
		}
		pause(ctx, apierror)
	}
}
