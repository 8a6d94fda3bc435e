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

// resumedStream is a streamed answer assembled from several connections.
type resumedStream struct {
	conversation string
	turn, last   uint64
	words, end   string
}

// add appends what one connection delivered. It returns an error if the turn differs or the seqs
// are not consecutive.
func (stream *resumedStream) add(answer *Answer) error {
	part, _ := ReadStream(newReader(answer.Body))
	if part.Conversation != "" && stream.conversation == "" {
		stream.conversation, stream.turn, stream.last = part.Conversation, part.Turn, part.Turn
	}
	if part.Turn != stream.turn {
		return fmt.Errorf("turn %d was resumed as turn %d", stream.turn, part.Turn)
	}
	for _, seq := range part.Seqs {
		if seq != stream.last+1 {
			return fmt.Errorf("seq %d follows %d", seq, stream.last)
		}
		stream.last = seq
	}
	stream.words += part.Words
	stream.end = part.End
	return nil
}

// TestStreamsStayCompleteWhileStoresFail guards against missing, repeated or changed pieces in streams
// that readers resume at other fronts from their last seq, while stores lose power, are partitioned,
// or accept appends whose answers are lost.
func TestStreamsStayCompleteWhileStoresFail(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 2, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(29)
		trial := &streamTrial{t: t, cluster: cluster}
		for round := range 8 {
			var sent sync.WaitGroup
			for number := range 6 {
				question := fmt.Sprintf("round %d, question %d", round, number)
				order, disconnectAfter := random.Perm(3), time.Duration(60+random.IntN(150))*time.Millisecond
				sent.Go(func() { trial.readAnswer(question, order, disconnectAfter) })
			}
			<-time.After(time.Duration(20+random.IntN(150)) * time.Millisecond)
			store, duration := cluster.Stores[random.IntN(3)], time.Duration(200+random.IntN(1500))*time.Millisecond
			trial.injectFault(round%4, store, duration)
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

// streamTrial counts complete answers and resumed connections.
type streamTrial struct {
	t                 *testing.T
	cluster           *Cluster
	mutex             sync.Mutex
	complete, resumed int
}

// readAnswer sends a question and reads its answer from one front after another in the given
// order. The first two connections are closed after disconnectAfter.
func (trial *streamTrial) readAnswer(question string, order []int, disconnectAfter time.Duration) {
	t := trial.t
	want := joinPieces(standin.Answer(nil, question))
	stream := &resumedStream{}
	for attempt := range 12 {
		front := trial.cluster.Fronts[order[attempt%3]]
		timeout := 30 * time.Second
		if attempt < 2 {
			timeout = disconnectAfter // closes the connection during the answer
		}
		answer := trial.askOrResume(front, question, stream, timeout)
		if answer == nil || answer.Status != http.StatusOK {
			<-time.After(500 * time.Millisecond)
			continue
		}
		if err := stream.add(answer); err != nil {
			t.Errorf("%s: %v", question, err)
			return
		}
		if stream.end != "" && stream.end != "failed" {
			break
		}
		trial.mutex.Lock()
		trial.resumed++
		trial.mutex.Unlock()
	}
	if stream.end == "complete" && stream.words != want {
		t.Errorf("%s: received %q, want %q", question, stream.words, want)
	}
	if !strings.HasPrefix(want, stream.words) {
		t.Errorf("%s: received %q, which is no prefix of %q", question, stream.words, want)
	}
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	if stream.end == "complete" {
		trial.complete++
	}
}

// askOrResume sends the question, or resumes the answer after the last received seq.
func (trial *streamTrial) askOrResume(front *Machine, question string, stream *resumedStream, timeout time.Duration) *Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer *Answer
	if stream.conversation == "" {
		answer, _ = trial.cluster.Ask(ctx, http.MethodPost, front.Host+":7100", "/v1/conversations", TeamToken, talk(question, question))
	} else {
		answer, _ = trial.cluster.Ask(ctx, http.MethodGet, front.Host+":7100", fmt.Sprintf("/v1/conversations/%s/tail?cursor=%d&turn=%d", stream.conversation, stream.last, stream.turn), TeamToken, nil)
	}
	return answer
}

// injectFault injects a fault at a store for the duration: 0 is a power loss, 1 a partition, others
// drop its answers.
func (trial *streamTrial) injectFault(fault int, store *Machine, duration time.Duration) {
	cluster := trial.cluster
	trial.t.Helper()
	switch fault {
	case 0:
		store.LosePower()
		<-time.After(duration)
		if err := store.Start(); err != nil {
			trial.t.Fatal(err)
		}
	case 1:
		cluster.Network.Isolate(store.Host)
		<-time.After(duration)
		cluster.Network.Rejoin(store.Host)
	default:
		for _, front := range cluster.Fronts {
			cluster.Network.CutOneWay(store.Host, front.Host) // appends arrive, their answers do not
		}
		<-time.After(duration)
		for _, front := range cluster.Fronts {
			cluster.Network.Heal(store.Host, front.Host)
		}
	}
}
