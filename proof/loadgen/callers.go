package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"yardrock.example/proof/standin"
	"yardrock.example/system/conversation"
	"yardrock.example/system/runnerclient"
)

// runConversation runs one conversation: turns with tool calls and helper conversations between
// them, and a check of its history at the end.
func (generator *generator) runConversation(ctx context.Context, random *rand.Rand, name string) {
	generator.updateReport(func(report *Report) { report.Conversations++ })
	program := []string{"dialogue", "permits"}[random.IntN(2)]
	history := []runnerclient.Message{}
	path, follows, conversationName := "/v1/conversations", uint64(0), ""
	for turn := range generator.mix.Turns[random.IntN(len(generator.mix.Turns))] {
		input := fmt.Sprintf("%s asks %d of %d things", name, turn, random.IntN(1000))
		body := map[string]any{"kind": "talk", "words": input, "query_key": fmt.Sprintf("%s-%d", name, turn)}
		if follows == 0 {
			body["program"] = program
		} else {
			body["follows"] = follows
		}
		answer := generator.requestTurn(ctx, random, path, body, strings.Join(standin.Answer(history, input), ""))
		if answer == nil {
			return
		}
		history = append(history, runnerclient.Message{Role: "caller", Text: input}, runnerclient.Message{Role: "model", Text: answer.words.String()})
		conversationName, follows = answer.conversation, answer.turn
		path = "/v1/conversations/" + conversationName + "/turns"
		if random.Float64() < generator.mix.ToolShare {
			var known bool
			if history, known = generator.callTool(ctx, random, program, conversationName, follows, fmt.Sprintf("%s-tool-%d", name, turn), history); !known {
				return
			}
		}
		if random.Float64() < generator.mix.HelperShare {
			generator.updateReport(func(report *Report) { report.Helpers++ })
			task := fmt.Sprintf("%s helps with %d", name, turn)
			generator.requestTurn(ctx, random, "/v1/conversations/"+conversationName+"/helpers", map[string]any{"program": program, "kind": "talk", "words": task, "follows": follows, "query_key": fmt.Sprintf("%s-helper-%d", name, turn)},
				strings.Join(standin.Answer(nil, task), ""))
		}
	}
	generator.checkHistory(ctx, random, conversationName, history)
	generator.updateReport(func(report *Report) {
		report.ToRevisit = append(report.ToRevisit, Conversation{Name: conversationName, LastTurn: follows, History: history})
	})
}

// callTool calls a tool between turns. Once the call is reported as complete, the call and its
// result are messages of the conversation. It returns the history and whether that is known: with
// an unknown outcome the caller cannot predict what the model receives.
func (generator *generator) callTool(ctx context.Context, random *rand.Rand, program, name string, follows uint64, key string, history []runnerclient.Message) ([]runnerclient.Message, bool) {
	generator.updateReport(func(report *Report) { report.Tools++ })
	input := "stock of " + key
	outcome, result := generator.requestPlain(ctx, random, "/v1/conversations/"+name+"/tools", program, "receipt", key, map[string]any{"kind": "receipt", "words": input, "follows": follows, "query_key": key})
	if outcome != "complete" {
		return history, outcome == "not_run"
	}
	return append(history, runnerclient.Message{Role: "tool_call", Name: "receipt", Text: input}, runnerclient.Message{Role: "tool_result", Name: "receipt", Text: result}), true
}

// requestPlain sends a non-idempotent request until its outcome is reported, and records the
// outcome for checkExecutions.
func (generator *generator) requestPlain(ctx context.Context, random *rand.Rand, path, program, kind, key string, body map[string]any) (string, string) {
	outcome, text := "unanswered", ""
	for range maxAttempts {
		callContext, cancel := context.WithTimeout(ctx, answerTimeout)
		response, apiError, err := generator.send(callContext, http.MethodPost, generator.pickFront(random), path, body)
		if err != nil {
			cancel()
			backOff(ctx, nil)
			continue
		}
		if apiError != nil {
			cancel()
			generator.countRejection(apiError, path, body)
			outcome = apiError.Kind
			if apiError.Kind == "unknown" && apiError.RetryAfter > 0 {
				backOff(ctx, apiError)
				continue
			}
			break
		}
		var result struct {
			Outcome string          `json:"outcome"`
			Answer  json.RawMessage `json:"answer"`
		}
		err = json.NewDecoder(response.Body).Decode(&result)
		response.Body.Close()
		cancel()
		if err != nil {
			backOff(ctx, nil)
			continue
		}
		outcome, text = result.Outcome, string(result.Answer)
		want := standin.PlainAnswer(runnerclient.PlainRequest{Kind: kind, IdempotencyKey: key, Input: body["words"].(string)})
		got := map[string]string{}
		if json.Unmarshal(result.Answer, &got) != nil || got["proof"] != want["proof"] {
			generator.addViolation("answers", "the %s request with key %s got the answer %s", kind, key, text)
		}
		break
	}
	generator.mutex.Lock()
	generator.outcomeOfKey[program+"/"+kind+"/"+key] = outcome
	generator.mutex.Unlock()
	return outcome, text
}

// requestNonIdempotent sends a non-idempotent request as a query or a notice.
func (generator *generator) requestNonIdempotent(ctx context.Context, random *rand.Rand, name string) {
	generator.updateReport(func(report *Report) { report.NonIdempotent++ })
	kind := generator.mix.NonIdempotentKinds[random.IntN(len(generator.mix.NonIdempotentKinds))]
	key := "once-" + name
	path := []string{"/v1/queries", "/v1/notices"}[random.IntN(2)]
	generator.requestPlain(ctx, random, path, "counter", kind, key, map[string]any{"program": "counter", "kind": kind, "words": "work " + name, "query_key": key})
}

// requestLookup sends an idempotent request and checks its answer.
func (generator *generator) requestLookup(ctx context.Context, random *rand.Rand, number int) {
	generator.updateReport(func(report *Report) { report.Lookups++ })
	input := fmt.Sprintf("where is %d", number)
	callContext, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	response, apiError, err := generator.send(callContext, http.MethodPost, generator.pickFront(random), "/v1/lookups", map[string]any{"program": "counter", "kind": "lookup", "words": input})
	if apiError != nil {
		generator.countRejection(apiError, "/v1/lookups", map[string]any{})
	}
	if err != nil || apiError != nil {
		return
	}
	defer response.Body.Close()
	var result struct {
		Answer map[string]string `json:"answer"`
	}
	if json.NewDecoder(response.Body).Decode(&result) == nil && result.Answer["proof"] != standin.PlainAnswer(runnerclient.PlainRequest{Kind: "lookup", Input: input})["proof"] {
		generator.addViolation("answers", "the lookup %q got the answer %v", input, result.Answer)
	}
}

// requestTightTurn starts a turn of the program "tight". The words of all its answers together may
// exceed the quota by at most one turn.
func (generator *generator) requestTightTurn(ctx context.Context, random *rand.Rand, number int) {
	callContext, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	response, apiError, err := generator.send(callContext, http.MethodPost, generator.pickFront(random), "/v1/conversations", map[string]any{"program": "tight", "kind": "talk", "words": fmt.Sprintf("tight %d", number)})
	if apiError != nil {
		generator.countRejection(apiError, "/v1/conversations", map[string]any{})
	}
	if err != nil || apiError != nil {
		return
	}
	defer response.Body.Close()
	answer := &streamedAnswer{}
	generator.readStream(response.Body, answer, 0)
	generator.updateReport(func(report *Report) { report.TightWords += int(conversation.CountWords(answer.words.String())) })
}
