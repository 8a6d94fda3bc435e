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

// front draws a front.
func (generator *generator) front(random *rand.Rand) string {
	return generator.target.Fronts[random.IntN(len(generator.target.Fronts))]
}

// send sends one request. An error response comes as an httpapi.Error, a lost connection as an
// error; a response without kind, message and remedy is a violation.
func (generator *generator) send(ctx context.Context, method, front, path string, body any) (*http.Response, *httpapi.Error, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+generator.target.Token)
	request.Header.Set("Content-Type", "application/json")
	answer, err := generator.target.Client.Do(request)
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

// pause waits as long as an error response demands, or 300 ms.
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

// streamRecord is one line of a streamed answer.
type streamRecord struct {
	Conversation string `json:"conversation"`
	Turn         uint64 `json:"turn"`
	Seq          uint64 `json:"seq"`
	Event        string `json:"event"`
	Words        string `json:"words"`
	End          string `json:"end"`
	Kind         string `json:"kind"`
}

// streamedAnswer is what was received of an answer, perhaps over several connections.
type streamedAnswer struct {
	conversation string
	turn         uint64
	last         uint64
	words        strings.Builder
	end          string
	first        time.Time // when the first piece came
}

// readStream adds what one connection delivers to an answer. If the connection breaks, the rest
// can be resumed; a gap or a repeated event is a violation. It stops after a number of pieces,
// unless that is 0.
func (generator *generator) readStream(body io.Reader, answer *streamedAnswer, stopAfter int) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	pieces := 0
	for lines.Scan() {
		var reported streamRecord
		if err := json.Unmarshal(lines.Bytes(), &reported); err != nil {
			return // a connection that broke within a line
		}
		if reported.Conversation != "" {
			if answer.conversation != "" && answer.turn != reported.Turn {
				generator.violation("streams", "turn %d of %s was resumed as turn %d", answer.turn, answer.conversation, reported.Turn)
			}
			answer.conversation, answer.turn = reported.Conversation, reported.Turn
			if answer.last == 0 {
				answer.last = reported.Turn
			}
		}
		if reported.Event == "piece" {
			if reported.Seq <= answer.last {
				generator.violation("streams", "%s repeats seq %d after %d", answer.conversation, reported.Seq, answer.last)
			}
			if reported.Seq != answer.last+1 {
				generator.violation("streams", "%s skips from seq %d to %d", answer.conversation, answer.last, reported.Seq)
			}
			answer.last = reported.Seq
			if answer.first.IsZero() {
				answer.first = time.Now()
			}
			answer.words.WriteString(reported.Words)
			if pieces++; pieces == stopAfter {
				return
			}
		}
		if reported.End != "" {
			answer.end = reported.End
			return
		}
	}
}

// requestTurn sends a turn until it is complete or cannot become so. It returns nil if the turn
// was abandoned.
func (generator *generator) requestTurn(ctx context.Context, random *rand.Rand, path string, body map[string]any, want string) *streamedAnswer {
	generator.count(func(report *Report) { report.Turns++ })
	var last string
	resume := random.Float64() < generator.mix.ResumeShare
	for attempt := range maxAttempts {
		stopAfter := 0
		if resume && attempt == 0 {
			stopAfter = 2
		}
		got, apierror := generator.attemptTurn(ctx, random, path, body, attempt == 0, stopAfter)
		if apierror != nil {
			last = apierror.Kind
			generator.rejected(apierror, path, body)
			if !mayAttemptAgain(apierror, attempt) {
				break
			}
			if apierror.Kind == "not_run" && body["query_key"] != nil {
				body["query_key"] = fmt.Sprintf("%v+", body["query_key"])
			}
			pause(ctx, apierror)
			continue
		}
		if got == nil {
			last = "connection"
			pause(ctx, nil)
			continue
		}
		for again := 0; (got.end == "" || got.end == "failed") && got.conversation != "" && again < maxResumes; again++ {
			generator.resume(ctx, random, got)
		}
		if last = generator.checkEnd(got, want); got.end == "complete" {
			return got
		}
		pause(ctx, nil)
	}
	generator.count(func(report *Report) { report.Abandoned[last]++ })
	return nil
}

// mayAttemptAgain reports whether a turn may be sent again after an error. A conflict of a
// repeated attempt may come from an earlier one whose answer was lost.
func mayAttemptAgain(apierror *httpapi.Error, attempt int) bool {
	switch apierror.Kind {
	case "not_run", "unavailable", "unknown":
		return true
	case "conflict":
		return attempt > 0
	}
	return false
}

// attemptTurn sends a turn once and reads the first connection's part of its answer. Without
// an answer or an error in the protocol's form, both results are nil: the connection was lost.
func (generator *generator) attemptTurn(ctx context.Context, random *rand.Rand, path string, body map[string]any, measured bool, stopAfter int) (*streamedAnswer, *httpapi.Error) {
	callContext, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	began := time.Now()
	answer, apierror, err := generator.send(callContext, http.MethodPost, generator.front(random), path, body)
	if apierror != nil || err != nil {
		return nil, apierror
	}
	defer answer.Body.Close()
	got := &streamedAnswer{}
	generator.readStream(answer.Body, got, stopAfter)
	if measured && !got.first.IsZero() {
		generator.mutex.Lock()
		generator.delays = append(generator.delays, got.first.Sub(began))
		generator.mutex.Unlock()
	}
	return got, nil
}

// checkEnd compares an answer with the expected one as far as its end allows, and returns the
// end's name in the report; "" is complete.
func (generator *generator) checkEnd(got *streamedAnswer, want string) string {
	switch got.end {
	case "complete":
		generator.count(func(report *Report) { report.Complete++ })
		if got.words.String() != want {
			generator.violation("answers", "%s turn %d: heard %q, want %q", got.conversation, got.turn, got.words.String(), want)
		}
		return ""
	case "cut", "not_run", "unknown":
		ended := "ended " + got.end
		generator.count(func(report *Report) { report.Rejections[ended]++ })
		if !strings.HasPrefix(want, got.words.String()) {
			generator.violation("answers", "%s turn %d: a cut answer %q is no beginning of %q", got.conversation, got.turn, got.words.String(), want)
		}
		return ended
	}
	return "no end"
}

// resume reads on at another front after the last event that was received.
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

// rejected counts an error response. That a turn is unknown is a violation, as callers name
// only turns that they got.
func (generator *generator) rejected(apierror *httpapi.Error, path string, body map[string]any) {
	generator.count(func(report *Report) { report.Rejections[apierror.Kind]++ })
	if apierror.Kind == "not_found" {
		generator.violation("turns stay known", "%s following %v: %s", path, body["follows"], apierror.Message)
	}
}
