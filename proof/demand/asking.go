package demand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"yardrock.example/system/httpapi"
)

func (demand *demand) front(random *rand.Rand) string {
	return demand.target.Fronts[random.IntN(len(demand.target.Fronts))]
}

func (demand *demand) send(ctx context.Context, method, front, path string, body any) (*http.Response, *httpapi.Error, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, err
	}
	query, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	query.Header.Set("Authorization", "Bearer "+demand.target.Token)
	query.Header.Set("Content-Type", "application/json")
	answer, err := demand.target.Origin.Do(query)
	if err != nil {
		return nil, nil, err
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil, nil
	}
	defer answer.Body.Close()
	failure := &httpapi.Error{}
	if err := json.NewDecoder(answer.Body).Decode(failure); err != nil || failure.Kind == "" || failure.Message == "" || failure.Remedy == "" {
		demand.broken("error body", "%s %s: status %d without kind, message and remedy", method, path, answer.StatusCode)
		return nil, &httpapi.Error{Kind: "formless"}, nil
	}
	return nil, failure, nil
}

// pause waits as long as a refusal said, or a little after a lost connection.
func pause(ctx context.Context, apierror *httpapi.Error) {
	wait := 300 * time.Millisecond
	if apierror != nil && apierror.RetryAfter > 0 {
		wait = time.Duration(apierror.RetryAfter) * time.Millisecond
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
func (demand *demand) listen(body io.Reader, heard *heard, stopAfter int) {
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
				demand.broken("streams", "turn %d of %s was resumed as turn %d", heard.turn, heard.conversation, told.Turn)
			}
			heard.conversation, heard.turn = told.Conversation, told.Turn
			if heard.last == 0 {
				heard.last = told.Turn
			}
		}
		if told.Event == "piece" {
			if told.Seq <= heard.last {
				demand.broken("streams", "%s repeats seq %d after %d", heard.conversation, told.Seq, heard.last)
			}
			if told.Seq != heard.last+1 {
				demand.broken("streams", "%s skips from seq %d to %d", heard.conversation, heard.last, told.Seq)
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
func (demand *demand) ask(ctx context.Context, random *rand.Rand, path string, body map[string]any, want string) *heard {
	demand.count(func(report *Report) { report.Turns++ })
	var last string
	resume := random.Float64() < demand.mix.ResumeShare
	for try := range tries {
		asked, cancel := context.WithTimeout(ctx, answerTimeout)
		began := time.Now()
		answer, apierror, err := demand.send(asked, http.MethodPost, demand.front(random), path, body)
		if apierror != nil {
			last = apierror.Kind
			demand.refused(apierror, path, body)
			cancel()
			if apierror.Kind != "not_run" && apierror.Kind != "unavailable" && apierror.Kind != "unknown" && !(apierror.Kind == "conflict" && try > 0) {
				break
			}
			if apierror.Kind == "not_run" && body["query_key"] != nil {
				body["query_key"] = fmt.Sprintf("%v+", body["query_key"])
			}
			pause(ctx, apierror)
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
		demand.listen(answer.Body, got, stopAfter)
		answer.Body.Close()
		cancel()
		if try == 0 && !got.first.IsZero() {
			demand.mutex.Lock()
			demand.delays = append(demand.delays, got.first.Sub(began))
			demand.mutex.Unlock()
		}
		for again := 0; got.end == "" || got.end == "failed"; again++ {
			if got.conversation == "" || again == 3 {
				break
			}
			demand.resume(ctx, random, got)
		}
		switch got.end {
		case "complete":
			demand.count(func(report *Report) { report.Complete++ })
			if got.words.String() != want {
				demand.broken("answers", "%s turn %d: heard %q, want %q", got.conversation, got.turn, got.words.String(), want)
			}
			return got
		case "cut", "not_run", "unknown":
			last = "ended " + got.end
			demand.count(func(report *Report) { report.Refusals[last]++ })
			if !strings.HasPrefix(want, got.words.String()) {
				demand.broken("answers", "%s turn %d: a cut answer %q is no beginning of %q", got.conversation, got.turn, got.words.String(), want)
			}
		default:
			last = "no end"
		}
		pause(ctx, nil)
	}
	demand.count(func(report *Report) { report.Abandoned[last]++ })
	return nil
}

// resume tails the turn at another front from the last seq that was heard.
func (demand *demand) resume(ctx context.Context, random *rand.Rand, got *heard) {
	demand.count(func(report *Report) { report.Resumed++ })
	asked, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	got.end = ""
	answer, apierror, err := demand.send(asked, http.MethodGet, demand.front(random), fmt.Sprintf("/v1/conversations/%s/tail?cursor=%d&turn=%d", got.conversation, got.last, got.turn), nil)
	if err != nil || apierror != nil {
		if apierror != nil && (apierror.Kind == "not_found" || apierror.Kind == "invalid") {
			demand.broken("turns stay known", "resuming %s at %d: %s", got.conversation, got.last, apierror.Message)
		}
		pause(ctx, apierror)
		return
	}
	demand.listen(answer.Body, got, 0)
	answer.Body.Close()
}

func (demand *demand) refused(apierror *httpapi.Error, path string, body map[string]any) {
	demand.count(func(report *Report) { report.Refusals[apierror.Kind]++ })
	if apierror.Kind == "not_found" {
		demand.broken("turns stay known", "%s following %v: %s", path, body["follows"], apierror.Message)
	}
}
