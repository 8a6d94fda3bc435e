package loadgen

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

func (generator *generator) front(random *rand.Rand) string {
	return generator.target.Fronts[random.IntN(len(generator.target.Fronts))]
}

func (generator *generator) send(ctx context.Context, method, front, path string, body any) (*http.Response, *httpapi.Error, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, err
	}
	query, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	query.Header.Set("Authorization", "Bearer "+generator.target.Token)
	query.Header.Set("Content-Type", "application/json")
	answer, err := generator.target.Client.Do(query)
	if err != nil {
		return nil, nil, err
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil, nil
	}
	defer answer.Body.Close()
	failure := &httpapi.Error{}
	if err := json.NewDecoder(answer.Body).Decode(failure); err != nil || failure.Kind == "" || failure.Message == "" || failure.Remedy == "" {
		generator.violation("error body", "%s %s: status %d without kind, message and remedy", method, path, answer.StatusCode)
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

type streamRecord struct {
	Conversation string `json:"conversation"`
	Turn         uint64 `json:"turn"`
	Seq          uint64 `json:"seq"`
	Event        string `json:"event"`
	Words        string `json:"words"`
	End          string `json:"end"`
	Kind         string `json:"kind"`
}

// streamedAnswer is an answer as it comes in, perhaps over several connections.
type streamedAnswer struct {
	conversation string
	turn         uint64
	last         uint64
	words        strings.Builder
	end          string
	first        time.Time // when the first piece came
}

// readStream reads one connection's lines on top of what was heard. A break leaves
// the rest to be resumed; a gap or repeat is a broken rule.
func (generator *generator) readStream(body io.Reader, heard *streamedAnswer, stopAfter int) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	pieces := 0
	for lines.Scan() {
		var reported streamRecord
		if err := json.Unmarshal(lines.Bytes(), &reported); err != nil {
			return // a connection that broke within a line
		}
		if reported.Conversation != "" {
			if heard.conversation != "" && heard.turn != reported.Turn {
				generator.violation("streams", "turn %d of %s was resumed as turn %d", heard.turn, heard.conversation, reported.Turn)
			}
			heard.conversation, heard.turn = reported.Conversation, reported.Turn
			if heard.last == 0 {
				heard.last = reported.Turn
			}
		}
		if reported.Event == "piece" {
			if reported.Seq <= heard.last {
				generator.violation("streams", "%s repeats seq %d after %d", heard.conversation, reported.Seq, heard.last)
			}
			if reported.Seq != heard.last+1 {
				generator.violation("streams", "%s skips from seq %d to %d", heard.conversation, heard.last, reported.Seq)
			}
			heard.last = reported.Seq
			if heard.first.IsZero() {
				heard.first = time.Now()
			}
			heard.words.WriteString(reported.Words)
			if pieces++; pieces == stopAfter {
				return
			}
		}
		if reported.End != "" {
			heard.end = reported.End
			return
		}
	}
}

// requestTurn sends a turn until it is complete or will not become so. It returns nil if
// it had to be given up.
func (generator *generator) requestTurn(ctx context.Context, random *rand.Rand, path string, body map[string]any, want string) *streamedAnswer {
	generator.count(func(report *Report) { report.Turns++ })
	var last string
	resume := random.Float64() < generator.mix.ResumeShare
	for try := range maxAttempts {
		callContext, cancel := context.WithTimeout(ctx, answerTimeout)
		began := time.Now()
		answer, apierror, err := generator.send(callContext, http.MethodPost, generator.front(random), path, body)
		if apierror != nil {
			last = apierror.Kind
			generator.rejected(apierror, path, body)
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
		got := &streamedAnswer{}
		stopAfter := 0
		if resume && try == 0 {
			stopAfter = 2
		}
		generator.readStream(answer.Body, got, stopAfter)
		answer.Body.Close()
		cancel()
		if try == 0 && !got.first.IsZero() {
			generator.mutex.Lock()
			generator.delays = append(generator.delays, got.first.Sub(began))
			generator.mutex.Unlock()
		}
		for again := 0; got.end == "" || got.end == "failed"; again++ {
			if got.conversation == "" || again == 3 {
				break
			}
			generator.resume(ctx, random, got)
		}
		switch got.end {
		case "complete":
			generator.count(func(report *Report) { report.Complete++ })
			if got.words.String() != want {
				generator.violation("answers", "%s turn %d: heard %q, want %q", got.conversation, got.turn, got.words.String(), want)
			}
			return got
		case "cut", "not_run", "unknown":
			last = "ended " + got.end
			generator.count(func(report *Report) { report.Rejections[last]++ })
			if !strings.HasPrefix(want, got.words.String()) {
				generator.violation("answers", "%s turn %d: a cut answer %q is no beginning of %q", got.conversation, got.turn, got.words.String(), want)
			}
		default:
			last = "no end"
		}
		pause(ctx, nil)
	}
	generator.count(func(report *Report) { report.Abandoned[last]++ })
	return nil
}

// resume tails the turn at another front from the last seq that was heard.
func (generator *generator) resume(ctx context.Context, random *rand.Rand, got *streamedAnswer) {
	generator.count(func(report *Report) { report.Resumed++ })
	callContext, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	got.end = ""
	answer, apierror, err := generator.send(callContext, http.MethodGet, generator.front(random), fmt.Sprintf("/v1/conversations/%s/tail?cursor=%d&turn=%d", got.conversation, got.last, got.turn), nil)
	if err != nil || apierror != nil {
		if apierror != nil && (apierror.Kind == "not_found" || apierror.Kind == "invalid") {
			generator.violation("turns stay known", "resuming %s at %d: %s", got.conversation, got.last, apierror.Message)
		}
		pause(ctx, apierror)
		return
	}
	generator.readStream(answer.Body, got, 0)
	answer.Body.Close()
}

func (generator *generator) rejected(apierror *httpapi.Error, path string, body map[string]any) {
	generator.count(func(report *Report) { report.Rejections[apierror.Kind]++ })
	if apierror.Kind == "not_found" {
		generator.violation("turns stay known", "%s following %v: %s", path, body["follows"], apierror.Message)
	}
}
