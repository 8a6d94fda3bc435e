package simulator

import (
	"slices"
	"sync"
	"testing"
	"time"
)

func TestQuotaHoldsOverConcurrentTurnsOnAllFrontsAndRestarts(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 2, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		var mutex sync.Mutex
		wordCount, rejected := 0, 0
		for round := range 3 {
			var turns sync.WaitGroup
			for position := range 9 {
				turns.Go(func() {
					answer, err := cluster.Turn(cluster.Fronts[position%3], map[string]any{"program": "tight", "kind": "talk", "words": "say more"})
					mutex.Lock()
					defer mutex.Unlock()
					if answer != nil {
						wordCount += len(wordsOf(answer.Words))
					}
					if errorKind(err) == "allowance_exhausted" {
						rejected++
					}
				})
			}
			turns.Wait()
			if round == 0 {
				cluster.Fronts[0].Kill()
				for _, store := range cluster.Stores {
					store.LosePower()
				}
				startAll(t, append(slices.Clone(cluster.Stores), cluster.Fronts[0]))
				if err := cluster.AwaitServing(12 * time.Second); err != nil {
					t.Fatal(err)
				}
			}
		}
		if rejected == 0 || wordCount < 20 {
			t.Fatalf("%d turns were rejected and %d words generated, too few for the test", rejected, wordCount)
		}
		if wordCount > 60+27 {
			t.Fatalf("%d words were generated, more than the allowance of 60 and one turn of 27", wordCount)
		}
	})
}

func TestAnswerIsCutAtTurnLimit(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		answer, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "short", "kind": "talk", "words": "a long tale"})
		if err == nil || answer == nil || answer.End != "cut" || answer.Reason != "turn_limit" {
			t.Fatalf("%+v %v", answer, err)
		}
		if count := len(wordsOf(answer.Words)); count != 5 {
			t.Fatalf("%d words, limit 5: %q", count, answer.Words)
		}
	})
}
