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

const revisits = 40

// Revisit follows up conversations of an earlier run, and reads them back: their
// turns must be known and heard as they were said.
//
//	again := loadgen.Revisit(ctx, target, report.ToRevisit, 7)
func Revisit(ctx context.Context, target Target, kept []Conversation, seed uint64) *Report {
	generator := newGenerator(target, Mix{})
	random := rand.New(rand.NewPCG(seed, 77))
	for _, position := range random.Perm(len(kept))[:min(len(kept), revisits)] {
		one := kept[position]
		question := "and after " + one.Conversation
		generator.requestTurn(ctx, random, "/v1/conversations/"+one.Conversation+"/turns", map[string]any{"kind": "talk", "words": question, "follows": one.LastTurn, "query_key": "revisit"},
			strings.Join(standin.Answer(one.History, question), ""))
		generator.checkHistory(ctx, random, one.Conversation, one.History)
	}
	return &generator.report
}

// AwaitTurn waits until one front has served a whole turn.
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
