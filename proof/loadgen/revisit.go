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

// revisits is how many conversations Revisit follows up at most.
const revisits = 40

// Revisit continues conversations of an earlier run and reads them back: their turns must be
// known, and the model must get their messages as they were.
//
//	again := loadgen.Revisit(ctx, target, report.ToRevisit, 7)
func Revisit(ctx context.Context, target Target, kept []Conversation, seed uint64) *Report {
	generator := newGenerator(target, Mix{})
	random := rand.New(rand.NewPCG(seed, 77))
	for _, position := range random.Perm(len(kept))[:min(len(kept), revisits)] {
		conversation := kept[position]
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
		answer, apierror, err := generator.send(callContext, http.MethodPost, front, "/v1/conversations", map[string]any{"program": "dialogue", "kind": "talk", "words": "are you there"})
		if err == nil && apierror == nil {
			got := &streamedAnswer{}
			generator.readStream(answer.Body, got, 0)
			answer.Body.Close()
			if got.end == "complete" {
				cancel()
				return nil
			}
		}
		cancel()
		select {
		case <-ctx.Done():
			return fmt.Errorf("no turn was served: %v %v", apierror, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
