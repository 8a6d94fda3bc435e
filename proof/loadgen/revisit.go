package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"yardrock.example/proof/standin"
)

// maxRevisits is the maximum number of conversations that Revisit continues.
const maxRevisits = 40

// Revisit continues conversations of an earlier run and reads them back. It checks that their turns
// are still known and that the model receives their messages unchanged.
//
//	again := loadgen.Revisit(ctx, target, report.ToRevisit, 7)
func Revisit(ctx context.Context, target Target, conversations []Conversation, seed uint64) *Report {
	generator := newGenerator(target, Mix{})
	random := rand.New(rand.NewPCG(seed, 77))
	for _, position := range random.Perm(len(conversations))[:min(len(conversations), maxRevisits)] {
		conversation := conversations[position]
		question := "and after " + conversation.Name
		generator.requestTurn(ctx, random, "/v1/conversations/"+conversation.Name+"/turns", map[string]any{"kind": "talk", "words": question, "follows": conversation.LastTurn, "query_key": "revisit"},
			strings.Join(standin.Answer(conversation.History, question), ""))
		generator.checkHistory(ctx, random, conversation.Name, conversation.History)
	}
	return &generator.report
}

// AwaitTurn waits until a front has completed a turn.
//
//	err := loadgen.AwaitTurn(ctx, target, front)
func AwaitTurn(ctx context.Context, target Target, front string) error {
	generator := newGenerator(target, Mix{})
	for {
		callContext, cancel := context.WithTimeout(ctx, 10*time.Second)
		response, apiError, err := generator.send(callContext, http.MethodPost, front, "/v1/conversations", map[string]any{"program": "dialogue", "kind": "talk", "words": "are you there"})
		if err == nil && apiError == nil {
			answer := &streamedAnswer{}
			generator.readStream(response.Body, answer, 0)
			response.Body.Close()
			if answer.end == "complete" {
				cancel()
				return nil
			}
		}
		cancel()
		select {
		case <-ctx.Done():
			return fmt.Errorf("no turn was completed: %v %v", apiError, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
