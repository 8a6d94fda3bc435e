package simulator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/placement"
	"yardrock.example/system/runnerclient"
)

// executions returns how often all runners together executed a query.
func (cluster *Cluster) executions(key string) int {
	total := 0
	for _, machine := range cluster.Runners {
		total += machine.Runner.Record().Executions[key]
	}
	return total
}

func (cluster *Cluster) sendReceiptQuery(machine *Machine, key, words string) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	return cluster.Ask(ctx, http.MethodPost, machine.Host+":7100", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "query_key": key, "words": words})
}

// leaderOf returns the store that leads a session's group, or nil.
func (cluster *Cluster) leaderOf(session string) *Machine {
	group := placement.GroupOf(session, 8)
	for _, machine := range cluster.Stores {
		if machine.Store != nil && machine.Store.Host().Statuses()[group].Leading {
			return machine
		}
	}
	return nil
}

// checkOnce checks that a query ran at most once and that the answers agree with what ran.
func checkOnce(t *testing.T, cluster *Cluster, key string, answers []*Answer) {
	t.Helper()
	count := cluster.executions("dialogue/receipt/" + key)
	if count > 1 {
		t.Fatalf("%s ran %d times", key, count)
	}
	for _, answer := range answers {
		if answer.Status == http.StatusOK && count != 1 {
			t.Fatalf("%s was reported as done and ran %d times", key, count)
		}
		if answer.Error.Kind == "not_run" && count != 0 {
			t.Fatalf("%s was reported as not run and ran", key)
		}
	}
}

func TestLostResponseIsUnknownAndNeverRetried(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		answers := []*Answer{}
		for round := range 4 {
			answer, err := cluster.sendReceiptQuery(cluster.Fronts[round%2], "lost-1", "pay !lose")
			if err != nil {
				t.Fatal(err)
			}
			if answer.Error.Kind != "unknown" {
				t.Fatalf("round %d: %d %s", round, answer.Status, answer.Body)
			}
			answers = append(answers, answer)
		}
		checkOnce(t, cluster, "lost-1", answers)
		if cluster.executions("dialogue/receipt/lost-1") != 1 {
			t.Fatal("the query reached no runner")
		}
	})
}

func TestOneRequestKeyOnAllFrontsRunsOnce(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		for round := range 10 {
			key := fmt.Sprintf("race-%d", round)
			answers := make([]*Answer, 6)
			var sent sync.WaitGroup
			for position := range answers {
				sent.Go(func() {
					answer, err := cluster.sendReceiptQuery(cluster.Fronts[position%2], key, "book seat 4")
					if err != nil {
						t.Error(err)
						return
					}
					answers[position] = answer
				})
			}
			sent.Wait()
			for position, answer := range answers {
				if answer == nil || answer.Status != http.StatusOK {
					t.Fatalf("%s, query %d: %+v", key, position, answer)
				}
			}
			checkOnce(t, cluster, key, answers)
		}
		answer, err := cluster.sendReceiptQuery(cluster.Fronts[0], "race-0", "book seat 5")
		if err != nil || answer.Error.Kind != "conflict" {
			t.Fatalf("another body with a used key: %v %+v", err, answer)
		}
	})
}

// TestNonIdempotentWorkIsNotRepeatedAfterCrashes kills the front or a store at different moments of a
// query that must not run twice.
func TestNonIdempotentWorkIsNotRepeatedAfterCrashes(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 1, Applications: 2}, func(t *testing.T, cluster *Cluster) {
		reported := map[string]int{}
		for round := range 24 {
			key := fmt.Sprintf("kill-%d", round)
			front := cluster.Fronts[round%2]
			answers := make(chan *Answer, 4)
			go func() {
				answer, _ := cluster.sendReceiptQuery(front, key, "activate")
				answers <- answer
			}()
			<-time.After(time.Duration(round) * 1300 * time.Microsecond)
			victim := front
			if round%3 != 0 {
				victim = cluster.Stores[round%len(cluster.Stores)]
			}
			victim.Kill()
			received := []*Answer{}
			if answer := <-answers; answer != nil {
				received = append(received, answer)
				reported[answer.Error.Kind]++
			}
			if err := victim.Start(); err != nil {
				t.Fatal(err)
			}
			for _, other := range []*Machine{cluster.Fronts[2], cluster.Fronts[2]} {
				answer, err := cluster.sendReceiptQuery(other, key, "activate")
				if err != nil {
					t.Fatal(err)
				}
				received = append(received, answer)
			}
			checkOnce(t, cluster, key, received)
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
		}
		t.Logf("first answers by kind: %v", reported)
	})
}

func TestStreamResumesWithoutGapAcrossLeaderChange(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		answers := make(chan *StreamedAnswer, 1)
		errs := make(chan error, 1)
		go func() {
			answer, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "tell me", "query_key": "resume"})
			answers <- answer
			errs <- err
		}()
		<-time.After(60 * time.Millisecond)
		// The conversation's name derives from the query key; join it at the other front.
		secondAnswers := make(chan *StreamedAnswer, 1)
		go func() {
			answer, _ := cluster.Turn(cluster.Fronts[1], map[string]any{"program": "dialogue", "kind": "talk", "words": "tell me", "query_key": "resume"})
			secondAnswers <- answer
		}()
		<-time.After(20 * time.Millisecond)
		for _, store := range cluster.Stores[:1] {
			store.Kill()
		}
		first, second := <-answers, <-secondAnswers
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
		want := joinPieces(standin.Answer(nil, "tell me"))
		for _, answer := range []*StreamedAnswer{first, second} {
			if answer == nil || answer.Words != want || answer.End != "complete" {
				t.Fatalf("got %+v, want %q", answer, want)
			}
			for position, seq := range answer.Seqs {
				if seq != answer.Turn+1+uint64(position) {
					t.Fatalf("sequence numbers %v", answer.Seqs)
				}
			}
		}
	})
}

func TestBrokenRunnerResponsesAreNeverComplete(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		for instruction, want := range map[string]string{"!stop": "cut", "!early": "cut", "!nonsense": "cut", "!type": "cut", "!endless": "cut", "!refuse": "not_run"} {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			answer, err := cluster.Ask(ctx, http.MethodPost, cluster.Fronts[0].Host+":7100", "/v1/conversations", TeamToken, map[string]any{"program": "dialogue", "kind": "talk", "words": "go " + instruction, "query_key": instruction})
			cancel()
			if err != nil {
				t.Fatalf("%s: %v", instruction, err)
			}
			got := answer.Error.Kind
			if answer.Status == http.StatusOK {
				stream, err := ReadStream(newReader(answer.Body))
				if err != nil {
					t.Fatalf("%s: %v", instruction, err)
				}
				got = stream.End
			}
			if got != want {
				t.Errorf("%s: ended as %q, want %q (%s)", instruction, got, want, answer.Body)
			}
		}
		// After a cut turn another may follow the same predecessor; the model must not see the cut
		// answer.
		first, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "start"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := cluster.Turn(cluster.Fronts[0], map[string]any{"conversation": first.Conversation, "follows": first.Turn, "kind": "talk", "words": "go !stop"}); err == nil {
			t.Fatal("a truncated answer is reported as complete")
		}
		second, err := cluster.Turn(cluster.Fronts[1], map[string]any{"conversation": first.Conversation, "follows": first.Turn, "kind": "talk", "words": "go on"})
		if err != nil {
			t.Fatal(err)
		}
		want := joinPieces(standin.Answer([]runnerclient.Message{{Role: "caller", Text: "start"}, {Role: "model", Text: first.Words}}, "go on"))
		if second.Words != want {
			t.Fatalf("got %q, want %q", second.Words, want)
		}
	})
}

func TestOnlyOneOfConcurrentFollowUpsWins(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		for round := range 8 {
			first, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "fork"})
			if err != nil {
				t.Fatal(err)
			}
			results := make([]error, 4)
			var sent sync.WaitGroup
			for position := range results {
				sent.Go(func() {
					_, results[position] = cluster.Turn(cluster.Fronts[position%2], map[string]any{"conversation": first.Conversation, "follows": first.Turn, "kind": "talk", "words": fmt.Sprintf("way %d", position)})
				})
			}
			sent.Wait()
			won := 0
			for _, err := range results {
				if err == nil {
					won++
				} else if kind := errorKind(err); kind != "conflict" {
					t.Fatalf("round %d: %v", round, err)
				}
			}
			if won != 1 {
				t.Fatalf("round %d: %d turns succeeded: %v", round, won, results)
			}
		}
	})
}

// TestTurnsSurviveTotalOutage cuts the power of all machines at once: 12 seconds after the restart
// every conversation must be continuable, with one store still down.
func TestTurnsSurviveTotalOutage(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		conversations := []*StreamedAnswer{}
		for round := range 6 {
			answer, err := cluster.Turn(cluster.Fronts[round%2], map[string]any{"program": "dialogue", "kind": "talk", "words": fmt.Sprintf("before %d", round)})
			if err != nil {
				t.Fatal(err)
			}
			conversations = append(conversations, answer)
			if round == 3 {
				<-time.After(6 * time.Second) // until the turns so far are archived
			}
		}
		for _, machine := range cluster.Machines() {
			machine.LosePower()
		}
		<-time.After(3 * time.Second)
		for _, machine := range cluster.Machines() {
			if machine == cluster.Stores[1] {
				continue
			}
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		}
		restarted := time.Now()
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		t.Logf("serving %s after the restart", time.Since(restarted))
		for position, before := range conversations {
			question := fmt.Sprintf("after %d", position)
			after, err := cluster.Turn(cluster.Fronts[position%2], map[string]any{"conversation": before.Conversation, "follows": before.Turn, "kind": "talk", "words": question})
			if err != nil {
				t.Fatalf("turn %d: %v", position, err)
			}
			want := joinPieces(standin.Answer([]runnerclient.Message{{Role: "caller", Text: fmt.Sprintf("before %d", position)}, {Role: "model", Text: before.Words}}, question))
			if after.Words != want {
				t.Fatalf("turn %d: got %q, want %q", position, after.Words, want)
			}
		}
		if left := 12*time.Second - time.Since(restarted); left < 0 {
			t.Fatalf("exceeded the limit by %s", -left)
		}
	})
}

// TestTurnOfKilledFrontEndsForResumingClients resumes a turn whose front was killed: from its
// middle, from its start and beyond its end.
func TestTurnOfKilledFrontEndsForResumingClients(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		go cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "go on !endless", "query_key": "orphan"})
		<-time.After(200 * time.Millisecond)
		cluster.Fronts[0].Kill()
		resume := func(name, request string) *StreamedAnswer {
			t.Helper()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			answer, err := cluster.Ask(ctx, http.MethodGet, cluster.Fronts[1].Host+":7100", "/v1/conversations/"+name+"/tail?"+request, TeamToken, nil)
			if err != nil || answer.Status != http.StatusOK || answer.Header.Get("Content-Type") != "application/x-ndjson" {
				t.Fatalf("%s: %v %+v", request, err, answer)
			}
			stream, err := ReadStream(newReader(answer.Body))
			if err != nil {
				t.Fatalf("%s: %v", request, err)
			}
			return stream
		}
		name := cluster.conversation(t, "orphan")
		if stream := resume(name, "cursor=3&turn=1"); stream.End != "cut" || len(stream.Seqs) == 0 || stream.Seqs[0] != 4 {
			t.Fatalf("resumed: %+v", stream)
		}
		if stream := resume(name, "cursor=0&turn=1"); stream.End != "cut" || stream.Seqs[0] != 2 {
			t.Fatalf("resumed from the start: %+v", stream)
		}
		last := resume(name, "cursor=3&turn=1").Seqs
		if stream := resume(name, fmt.Sprintf("cursor=%d&turn=1", last[len(last)-1]+1)); stream.End != "cut" || len(stream.Seqs) != 0 {
			t.Fatalf("resumed beyond the end: %+v", stream)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if answer, err := cluster.Ask(ctx, http.MethodGet, cluster.Fronts[1].Host+":7100", "/v1/conversations/"+name+"/tail?turn=2", TeamToken, nil); err != nil || answer.Error.Kind != "not_found" {
			t.Fatalf("a record that is no turn was tailed as one: %v %+v", err, answer)
		}
	})
}

// conversation returns the name of the conversation that a query key started, by repeating its
// request.
func (cluster *Cluster) conversation(t *testing.T, key string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	answer, err := cluster.Ask(ctx, http.MethodPost, cluster.Fronts[1].Host+":7100", "/v1/conversations", TeamToken, map[string]any{"program": "dialogue", "kind": "talk", "words": "go on !endless", "query_key": key})
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("%v %+v", err, answer)
	}
	stream, err := ReadStream(newReader(answer.Body))
	if err != nil {
		t.Fatal(err)
	}
	return stream.Conversation
}
