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

// converse holds one conversation: some turns, with tool calls and helpers between them, and a
// check of its history.
func (generator *generator) converse(ctx context.Context, random *rand.Rand, name string) {
	generator.count(func(report *Report) { report.Conversations++ })
	program := []string{"dialogue", "permits"}[random.IntN(2)]
	said := []runnerclient.Message{}
	path, follows, conversationName := "/v1/conversations", uint64(0), ""
	for turn := range generator.mix.Turns[random.IntN(len(generator.mix.Turns))] {
		question := fmt.Sprintf("%s asks %d of %d things", name, turn, random.IntN(1000))
		body := map[string]any{"kind": "talk", "words": question, "query_key": fmt.Sprintf("%s-%d", name, turn)}
		if follows == 0 {
			body["program"] = program
		} else {
			body["follows"] = follows
		}
		got := generator.requestTurn(ctx, random, path, body, strings.Join(standin.Answer(said, question), ""))
		if got == nil {
			return
		}
		said = append(said, runnerclient.Message{Role: "caller", Text: question}, runnerclient.Message{Role: "model", Text: got.words.String()})
		conversationName, follows = got.conversation, got.turn
		path = "/v1/conversations/" + conversationName + "/turns"
		if random.Float64() < generator.mix.ToolShare {
			var goOn bool
			if said, goOn = generator.tool(ctx, random, program, conversationName, follows, fmt.Sprintf("%s-tool-%d", name, turn), said); !goOn {
				return
			}
		}
		if random.Float64() < generator.mix.HelperShare {
			generator.count(func(report *Report) { report.Helpers++ })
			task := fmt.Sprintf("%s helps with %d", name, turn)
			generator.requestTurn(ctx, random, "/v1/conversations/"+conversationName+"/helpers", map[string]any{"program": program, "kind": "talk", "words": task, "follows": follows, "query_key": fmt.Sprintf("%s-helper-%d", name, turn)},
				strings.Join(standin.Answer(nil, task), ""))
		}
	}
	generator.checkHistory(ctx, random, conversationName, said)
	generator.count(func(report *Report) {
		report.ToRevisit = append(report.ToRevisit, Conversation{Name: conversationName, LastTurn: follows, History: said})
	})
}

// tool calls a tool between turns. Its call and result become messages of the conversation once
// the call is reported as complete. An unknown outcome ends the conversation, as this caller
// then does not know what the model will receive.
func (generator *generator) tool(ctx context.Context, random *rand.Rand, program, name string, follows uint64, key string, said []runnerclient.Message) ([]runnerclient.Message, bool) {
	generator.count(func(report *Report) { report.Tools++ })
	question := "stock of " + key
	reported, answer := generator.requestPlain(ctx, random, "/v1/conversations/"+name+"/tools", program, "receipt", key, map[string]any{"kind": "receipt", "words": question, "follows": follows, "query_key": key})
	if reported != "complete" {
		return said, reported == "not_run"
	}
	return append(said, runnerclient.Message{Role: "tool_call", Name: "receipt", Text: question}, runnerclient.Message{Role: "tool_result", Name: "receipt", Text: answer}), true
}

// requestPlain sends work that is not idempotent until its outcome is reported, and records the
// outcome for checkExecutions.
func (generator *generator) requestPlain(ctx context.Context, random *rand.Rand, path, program, kind, key string, body map[string]any) (string, string) {
	reported, text := "unanswered", ""
	for range maxAttempts {
		callContext, cancel := context.WithTimeout(ctx, answerTimeout)
		answer, apierror, err := generator.send(callContext, http.MethodPost, generator.front(random), path, body)
		if err != nil {
			cancel()
			pause(ctx, nil)
			continue
		}
		if apierror != nil {
			cancel()
			generator.rejected(apierror, path, body)
			reported = apierror.Kind
			if apierror.Kind == "unknown" && apierror.RetryAfter > 0 {
				pause(ctx, apierror)
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
		reported, text = done.Outcome, string(done.Answer)
		want := standin.PlainAnswer(runnerclient.PlainRequest{Kind: kind, RequestKey: key, Input: body["words"].(string)})
		got := map[string]string{}
		if json.Unmarshal(done.Answer, &got) != nil || got["proof"] != want["proof"] {
			generator.violation("answers", "%s under %s got %s", kind, key, text)
		}
		break
	}
	generator.mutex.Lock()
	generator.outcomeOfKey[program+"/"+kind+"/"+key] = reported
	generator.mutex.Unlock()
	return reported, text
}

// once requests work that is not idempotent.
func (generator *generator) once(ctx context.Context, random *rand.Rand, name string) {
	generator.count(func(report *Report) { report.Once++ })
	kind := generator.mix.OnceKinds[random.IntN(len(generator.mix.OnceKinds))]
	key := "once-" + name
	path := []string{"/v1/queries", "/v1/notices"}[random.IntN(2)]
	generator.requestPlain(ctx, random, path, "counter", kind, key, map[string]any{"program": "counter", "kind": kind, "words": "work " + name, "query_key": key})
}

// lookup requests idempotent work and checks its answer.
func (generator *generator) lookup(ctx context.Context, random *rand.Rand, number int) {
	generator.count(func(report *Report) { report.Lookups++ })
	question := fmt.Sprintf("where is %d", number)
	callContext, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer, apierror, err := generator.send(callContext, http.MethodPost, generator.front(random), "/v1/lookups", map[string]any{"program": "counter", "kind": "lookup", "words": question})
	if apierror != nil {
		generator.rejected(apierror, "/v1/lookups", map[string]any{})
	}
	if err != nil || apierror != nil {
		return
	}
	defer answer.Body.Close()
	var done struct {
		Answer map[string]string `json:"answer"`
	}
	if json.NewDecoder(answer.Body).Decode(&done) == nil && done.Answer["proof"] != standin.PlainAnswer(runnerclient.PlainRequest{Kind: "lookup", Input: question})["proof"] {
		generator.violation("answers", "the lookup %q got %v", question, done.Answer)
	}
}

// tight starts a turn of the program with the small quota. The words of all its answers must stay
// within the quota and one turn.
func (generator *generator) tight(ctx context.Context, random *rand.Rand, number int) {
	callContext, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer, apierror, err := generator.send(callContext, http.MethodPost, generator.front(random), "/v1/conversations", map[string]any{"program": "tight", "kind": "talk", "words": fmt.Sprintf("tight %d", number)})
	if apierror != nil {
		generator.rejected(apierror, "/v1/conversations", map[string]any{})
	}
	if err != nil || apierror != nil {
		return
	}
	defer answer.Body.Close()
	got := &streamedAnswer{}
	generator.readStream(answer.Body, got, 0)
	generator.count(func(report *Report) { report.TightWords += int(conversation.CountWords(got.words.String())) })
}
