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
		trial := &streamTrial{t: t, cluster: cluster}
		for round := range 8 {
			var sent sync.WaitGroup
			for number := range 6 {
				question := fmt.Sprintf("round %d, question %d", round, number)
				order, leaves := random.Perm(3), time.Duration(60+random.IntN(150))*time.Millisecond
				sent.Go(func() { trial.listen(question, order, leaves) })
			}
			<-time.After(time.Duration(20+random.IntN(150)) * time.Millisecond)
			store, lasts := cluster.Stores[random.IntN(3)], time.Duration(200+random.IntN(1500))*time.Millisecond
			trial.strike(round%4, store, lasts)
			sent.Wait()
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
		}
		t.Logf("%d complete, %d resumed", trial.complete, trial.resumed)
		if trial.complete < 20 || trial.resumed < 20 {
			t.Fatalf("only %d answers were complete, %d resumed", trial.complete, trial.resumed)
		}
	})
}

// streamTrial counts how many answers were complete, and how often one was resumed.
type streamTrial struct {
	t                 *testing.T
	cluster           *Cluster
	mutex             sync.Mutex
	complete, resumed int
}

// listen asks a question and reads its answer, at one front after another in the given
// order. The first two connections break after the time leaves.
func (trial *streamTrial) listen(question string, order []int, leaves time.Duration) {
	t := trial.t
	want := joinPieces(standin.Answer(nil, question))
	heard := &streamPosition{}
	for try := range 12 {
		front := trial.cluster.Fronts[order[try%3]]
		timeout := 30 * time.Second
		if try < 2 {
			timeout = leaves // the connection breaks amid the answer
		}
		answer := trial.askOn(front, question, heard, timeout)
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
		trial.mutex.Lock()
		trial.resumed++
		trial.mutex.Unlock()
	}
	if heard.end == "complete" && heard.words != want {
		t.Errorf("%s: heard %q, want %q", question, heard.words, want)
	}
	if !strings.HasPrefix(want, heard.words) {
		t.Errorf("%s: heard %q, which is no beginning of %q", question, heard.words, want)
	}
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	if heard.end == "complete" {
		trial.complete++
	}
}

// askOn asks the question, or goes on reading from where the answer broke off.
func (trial *streamTrial) askOn(front *Machine, question string, heard *streamPosition, timeout time.Duration) *Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer *Answer
	if heard.conversation == "" {
		answer, _ = trial.cluster.Ask(ctx, http.MethodPost, front.Host+":7100", "/v1/conversations", TeamToken, talk(question, question))
	} else {
		answer, _ = trial.cluster.Ask(ctx, http.MethodGet, front.Host+":7100", fmt.Sprintf("/v1/conversations/%s/tail?cursor=%d&turn=%d", heard.conversation, heard.last, heard.turn), TeamToken, nil)
	}
	return answer
}

// strike injects a fault at a store: 0 takes its power, 1 isolates it, others lose its answers.
func (trial *streamTrial) strike(fault int, store *Machine, lasts time.Duration) {
	cluster := trial.cluster
	trial.t.Helper()
	switch fault {
	case 0:
		store.LosePower()
		<-time.After(lasts)
		if err := store.Start(); err != nil {
			trial.t.Fatal(err)
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
}
