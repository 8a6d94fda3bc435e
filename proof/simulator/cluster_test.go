package simulator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"yardrock.example/proof/standin"
	"yardrock.example/system/runnerclient"
)

func TestMain(m *testing.M) {
	if os.Getenv("LOGS") == "" {
		log.SetHandler(discard.New())
	}
	m.Run()
}

// seeds returns the seeds of each simulation. The environment variable SEEDS is a seed or a range
// such as 1-100; without it there are a few fixed ones.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	first, last, found := strings.Cut(os.Getenv("SEEDS"), "-")
	if first == "" {
		return []uint64{1, 2}
	}
	if !found {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 32)
	through, throughErr := strconv.ParseUint(last, 10, 32)
	if err != nil || throughErr != nil || from > through {
		t.Fatalf("SEEDS is %q; want a seed or a range such as 1-100", os.Getenv("SEEDS"))
	}
	chosen := []uint64{}
	for seed := from; seed <= through; seed++ {
		chosen = append(chosen, seed)
	}
	return chosen
}

// simulate runs a test for each seed, each on its own cluster in a synctest bubble.
func simulate(t *testing.T, shape Shape, body func(t *testing.T, cluster *Cluster)) {
	t.Helper()
	t.Parallel()
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				cluster, err := Start(seed, shape, BasicConfig)
				if cluster != nil {
					defer func() {
						cluster.Stop()
						<-time.After(time.Minute) // lets goroutines that wait on the bubble's clock end
					}()
				}
				if err != nil {
					t.Fatal(err)
				}
				body(t, cluster)
			})
		})
	}
}

func joinPieces(pieces []string) string {
	all := ""
	for _, piece := range pieces {
		all += piece
	}
	return all
}

func TestConversationContinuesAtAnotherFront(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		first, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "hello there"})
		if err != nil {
			t.Fatal(err)
		}
		if want := joinPieces(standin.Answer(nil, "hello there")); first.Words != want {
			t.Fatalf("got %q, want %q", first.Words, want)
		}
		second, err := cluster.Turn(cluster.Fronts[1], map[string]any{"conversation": first.Conversation, "follows": first.Turn, "kind": "talk", "words": "and now?"})
		if err != nil {
			t.Fatal(err)
		}
		history := []runnerclient.Message{{Role: "caller", Text: "hello there"}, {Role: "model", Text: first.Words}}
		if want := joinPieces(standin.Answer(history, "and now?")); second.Words != want {
			t.Fatalf("got %q, want %q", second.Words, want)
		}
	})
}
