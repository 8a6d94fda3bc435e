package simulator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"yardrock.example/proof/standin"
)

// streamPosition is a streamed answer put together over several connections.
type streamPosition struct {
	conversation string
	turn, last   uint64
	words, end   string
}

// take adds what one connection brought; every seq must follow the one before.
func (heard *streamPosition) take(answer *Answer) error {
	said, _ := ReadStream(newReader(answer.Body))
	if said.Conversation != "" && heard.conversation == "" {
		heard.conversation, heard.turn, heard.last = said.Conversation, said.Turn, said.Turn
	}
	if said.Turn != heard.turn {
		return fmt.Errorf("turn %d was resumed as turn %d", heard.turn, said.Turn)
	}
	for _, seq := range said.Seqs {
		if seq != heard.last+1 {
			return fmt.Errorf("seq %d came after %d", seq, heard.last)
		}
		heard.last = seq
	}
	heard.words += said.Words
	heard.end = said.End
	return nil
}

// TestStreamsStayCompleteWhileStoresFail streams answers while store nodes die, lose
// power, are cut off, or take appends whose answers are lost. Readers go on at other
// fronts from the last seq they have.
func TestStreamsStayCompleteWhileStoresFail(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 2, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(29)
		complete, resumed := 0, 0
		for round := range 8 {
			var sent sync.WaitGroup
			var mutex sync.Mutex
			for number := range 6 {
				question := fmt.Sprintf("round %d, question %d", round, number)
				order, leaves := random.Perm(3), time.Duration(60+random.IntN(150))*time.Millisecond
				sent.Go(func() {
					want := words(standin.Answer(nil, question))
					heard := &streamPosition{}
					for try := range 12 {
						front := cluster.Fronts[order[try%3]]
						timeout := 30 * time.Second
						if try < 2 {
							timeout = leaves // the connection breaks amid the answer
						}
						ctx, cancel := context.WithTimeout(context.Background(), timeout)
						var answer *Answer
						if heard.conversation == "" {
							answer, _ = cluster.Ask(ctx, http.MethodPost, front.Host+":7100", "/v1/conversations", TeamToken, talk(question, question))
						} else {
							answer, _ = cluster.Ask(ctx, http.MethodGet, front.Host+":7100", fmt.Sprintf("/v1/conversations/%s/tail?cursor=%d&turn=%d", heard.conversation, heard.last, heard.turn), TeamToken, nil)
						}
						cancel()
						if answer == nil || answer.Status != http.StatusOK {
							<-time.After(500 * time.Millisecond)
							continue
						}
						if err := heard.take(answer); err != nil {
							t.Errorf("%s: %v", question, err)
							return
						}
						if heard.end != "" && heard.end != "failed" {
							break
						}
						mutex.Lock()
						resumed++
						mutex.Unlock()
					}
					if heard.end == "complete" && heard.words != want {
						t.Errorf("%s: heard %q, want %q", question, heard.words, want)
					}
					if !strings.HasPrefix(want, heard.words) {
						t.Errorf("%s: heard %q, which is no beginning of %q", question, heard.words, want)
					}
					mutex.Lock()
					defer mutex.Unlock()
					if heard.end == "complete" {
						complete++
					}
				})
			}
			<-time.After(time.Duration(20+random.IntN(150)) * time.Millisecond)
			store, lasts := cluster.Stores[random.IntN(3)], time.Duration(200+random.IntN(1500))*time.Millisecond
			switch round % 4 {
			case 0:
				store.LosePower()
				<-time.After(lasts)
				if err := store.Start(); err != nil {
					t.Fatal(err)
				}
			case 1:
				cluster.Network.Isolate(store.Host)
				<-time.After(lasts)
				cluster.Network.Rejoin(store.Host)
			default:
				for _, front := range cluster.Fronts {
					cluster.Network.CutOneWay(store.Host, front.Host) // appends arrive, their answers do not
				}
				<-time.After(lasts)
				for _, front := range cluster.Fronts {
					cluster.Network.Heal(store.Host, front.Host)
				}
			}
			sent.Wait()
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
		}
		t.Logf("%d complete, %d resumed", complete, resumed)
		if complete < 20 || resumed < 20 {
			t.Fatalf("only %d answers were complete, %d resumed", complete, resumed)
		}
	})
}
