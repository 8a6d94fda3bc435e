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

// pickFront returns a random front.
func (generator *generator) pickFront(random *rand.Rand) string {
	return generator.target.Fronts[random.IntN(len(generator.target.Fronts))]
}

// send sends one request. It returns an error response as an httpapi.Error and a connection failure
// as an error. An error response without kind, message and remedy is a violation.
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
	response, err := generator.target.Client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil, nil
	}
	defer response.Body.Close()
	apiError := &httpapi.Error{}
	if err := json.NewDecoder(response.Body).Decode(apiError); err != nil || apiError.Kind == "" || apiError.Message == "" || apiError.Remedy == "" {
		generator.addViolation("error body", "%s %s: status %d without kind, message and remedy", method, path, response.StatusCode)
		return nil, &httpapi.Error{Kind: "formless"}, nil
	}
	return nil, apiError, nil
}

// backOff waits for the delay that an error response demands, or 300 ms.
func backOff(ctx context.Context, apiError *httpapi.Error) {
	delay := 300 * time.Millisecond
	if apiError != nil && apiError.RetryAfter > 0 {
		delay = time.Duration(apiError.RetryAfter) * time.Millisecond
	}
	select {
	case <-time.After(delay):
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

// streamedAnswer is the received part of an answer, which may have come over several connections.
type streamedAnswer struct {
	conversation string
	turn         uint64
	lastSeq      uint64
	words        strings.Builder
	end          string
	firstPieceAt time.Time
}

// readStream adds what one connection delivers to an answer; after a connection failure the rest
// can be resumed. A gap or a repeated event is a violation. It stops after stopAfter pieces, unless
// that is 0.
func (generator *generator) readStream(body io.Reader, answer *streamedAnswer, stopAfter int) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	pieces := 0
	for lines.Scan() {
		var record streamRecord
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return // the connection failed within a line
		}
		if record.Conversation != "" {
			if answer.conversation != "" && answer.turn != record.Turn {
				generator.addViolation("streams", "turn %d of %s was resumed as turn %d", answer.turn, answer.conversation, record.Turn)
			}
			answer.conversation, answer.turn = record.Conversation, record.Turn
			if answer.lastSeq == 0 {
				answer.lastSeq = record.Turn
			}
		}
		if record.Event == "piece" {
			if record.Seq <= answer.lastSeq {
				generator.addViolation("streams", "%s repeats seq %d after %d", answer.conversation, record.Seq, answer.lastSeq)
			}
			if record.Seq != answer.lastSeq+1 {
				generator.addViolation("streams", "%s skips from seq %d to %d", answer.conversation, answer.lastSeq, record.Seq)
			}
			answer.lastSeq = record.Seq
			if answer.firstPieceAt.IsZero() {
				answer.firstPieceAt = time.Now()
			}
			answer.words.WriteString(record.Words)
			if pieces++; pieces == stopAfter {
				return
			}
		}
		if record.End != "" {
			answer.end = record.End
			return
		}
	}
}

// requestTurn sends a turn, with retries, and resumes its stream until it is complete. It returns
// nil if the turn was abandoned.
func (generator *generator) requestTurn(ctx context.Context, random *rand.Rand, path string, body map[string]any, want string) *streamedAnswer {
	generator.updateReport(func(report *Report) { report.Turns++ })
	var lastReason string
	disconnect := random.Float64() < generator.mix.ResumeShare
	for attempt := range maxAttempts {
		stopAfter := 0
		if disconnect && attempt == 0 {
			stopAfter = 2
		}
		answer, apiError := generator.attemptTurn(ctx, random, path, body, attempt == 0, stopAfter)
		if apiError != nil {
			lastReason = apiError.Kind
			generator.countRejection(apiError, path, body)
			if !isRetryable(apiError, attempt) {
				break
			}
			if apiError.Kind == "not_run" && body["query_key"] != nil {
				body["query_key"] = fmt.Sprintf("%v+", body["query_key"])
			}
			backOff(ctx, apiError)
			continue
		}
		if answer == nil {
			lastReason = "connection"
			backOff(ctx, nil)
			continue
		}
		for resumes := 0; (answer.end == "" || answer.end == "failed") && answer.conversation != "" && resumes < maxResumes; resumes++ {
			generator.resumeStream(ctx, random, answer)
		}
		if lastReason = generator.checkEnd(answer, want); answer.end == "complete" {
			return answer
		}
		backOff(ctx, nil)
	}
	generator.updateReport(func(report *Report) { report.Abandoned[lastReason]++ })
	return nil
}

// isRetryable reports whether a turn may be sent again after an error. A conflict on a retry may be
// due to an earlier attempt whose response was lost.
func isRetryable(apiError *httpapi.Error, attempt int) bool {
	switch apiError.Kind {
	case "not_run", "unavailable", "unknown":
		return true
	case "conflict":
		return attempt > 0
	}
	return false
}

// attemptTurn sends a turn once and reads its answer from this connection. Both results are nil if
// the connection failed.
func (generator *generator) attemptTurn(ctx context.Context, random *rand.Rand, path string, body map[string]any, measure bool, stopAfter int) (*streamedAnswer, *httpapi.Error) {
	callContext, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	began := time.Now()
	response, apiError, err := generator.send(callContext, http.MethodPost, generator.pickFront(random), path, body)
	if apiError != nil || err != nil {
		return nil, apiError
	}
	defer response.Body.Close()
	answer := &streamedAnswer{}
	generator.readStream(response.Body, answer, stopAfter)
	if measure && !answer.firstPieceAt.IsZero() {
		generator.mutex.Lock()
		generator.firstPieceDelays = append(generator.firstPieceDelays, answer.firstPieceAt.Sub(began))
		generator.mutex.Unlock()
	}
	return answer, nil
}

// checkEnd compares an answer, or the received part of an incomplete one, with the expected one. It
// returns "" for a complete answer, and otherwise the reason under which the report counts it.
func (generator *generator) checkEnd(answer *streamedAnswer, want string) string {
	switch answer.end {
	case "complete":
		generator.updateReport(func(report *Report) { report.Complete++ })
		if answer.words.String() != want {
			generator.addViolation("answers", "%s turn %d: got %q, want %q", answer.conversation, answer.turn, answer.words.String(), want)
		}
		return ""
	case "cut", "not_run", "unknown":
		reason := "ended " + answer.end
		generator.updateReport(func(report *Report) { report.Rejections[reason]++ })
		if !strings.HasPrefix(want, answer.words.String()) {
			generator.addViolation("answers", "%s turn %d: the partial answer %q is not a prefix of %q", answer.conversation, answer.turn, answer.words.String(), want)
		}
		return reason
	}
	return "no end"
}

// resumeStream resumes an answer at a random front after the last event that was received.
func (generator *generator) resumeStream(ctx context.Context, random *rand.Rand, answer *streamedAnswer) {
	generator.updateReport(func(report *Report) { report.Resumed++ })
	callContext, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer.end = ""
	response, apiError, err := generator.send(callContext, http.MethodGet, generator.pickFront(random), fmt.Sprintf("/v1/conversations/%s/tail?cursor=%d&turn=%d", answer.conversation, answer.lastSeq, answer.turn), nil)
	if err != nil || apiError != nil {
		if apiError != nil && (apiError.Kind == "not_found" || apiError.Kind == "invalid") {
			generator.addViolation("turns stay known", "resuming %s at %d: %s", answer.conversation, answer.lastSeq, apiError.Message)
		}
		backOff(ctx, apiError)
		return
	}
	generator.readStream(response.Body, answer, 0)
	response.Body.Close()
}

// countRejection counts an error response. "not_found" is a violation, as callers refer only to
// conversations and turns whose names they received.
func (generator *generator) countRejection(apiError *httpapi.Error, path string, body map[string]any) {
	generator.updateReport(func(report *Report) { report.Rejections[apiError.Kind]++ })
	if apiError.Kind == "not_found" {
		generator.addViolation("turns stay known", "%s following %v: %s", path, body["follows"], apiError.Message)
	}
}
