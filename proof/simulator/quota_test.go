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
		spoken, exhausted := 0, 0
		for round := range 3 {
			var sent sync.WaitGroup
			for position := range 9 {
				sent.Go(func() {
					said, err := cluster.Turn(cluster.Fronts[position%3], map[string]any{"program": "tight", "kind": "talk", "words": "say more"})
					mutex.Lock()
					defer mutex.Unlock()
					if said != nil {
						spoken += len(wordsOf(said.Words))
					}
					if errorKind(err) == "allowance_exhausted" {
						exhausted++
					}
				})
			}
			sent.Wait()
			if round == 0 {
				cluster.Fronts[0].Kill()
				for _, store := range cluster.Stores {
					store.LosePower()
				}
				for _, machine := range append(slices.Clone(cluster.Stores), cluster.Fronts[0]) {
					if err := machine.Start(); err != nil {
						t.Fatal(err)
					}
				}
				if err := cluster.AwaitServing(12 * time.Second); err != nil {
					t.Fatal(err)
				}
			}
		}
		if exhausted == 0 || spoken < 20 {
			t.Fatalf("%d turns were refused, %d words spoken: nothing was tested", exhausted, spoken)
		}
		if spoken > 60+27 {
			t.Fatalf("%d words were spoken of an allowance of 60 and a turn of 27", spoken)
		}
	})
}

func TestAnAnswerIsCutAtItsReservation(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		said, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "short", "kind": "talk", "words": "a long tale"})
		if err == nil || said == nil || said.End != "cut" || said.Reason != "turn_limit" {
			t.Fatalf("%+v %v", said, err)
		}
		if count := len(wordsOf(said.Words)); count != 5 {
			t.Fatalf("%d words, limit 5: %q", count, said.Words)
		}
	})
}
