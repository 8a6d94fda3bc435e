package simulator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendInBackground sends a request in the background; the channel receives nil if there is no answer.
func (cluster *Cluster) sendInBackground(front *Machine, path string, body map[string]any) <-chan *Answer {
	answers := make(chan *Answer, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		answer, _ := cluster.Ask(ctx, http.MethodPost, front.Host+":7100", path, TeamToken, body)
		answers <- answer
	}()
	return answers
}

// named returns the name of the conversation that a request with this query key starts.
func named(program, key string) string {
	sum := sha256.Sum256([]byte(strings.Join([]string{"depot", program, "", key}, "\x00")))
	return "c-" + hex.EncodeToString(sum[:16])
}

// recordedWords counts the words recorded in a conversation, of callers and of the model.
func (cluster *Cluster) recordedWords(t *testing.T, front *Machine, conversation string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	answer, err := cluster.Ask(ctx, http.MethodGet, front.Host+":7100", "/v1/conversations/"+conversation+"?limit=4000", TeamToken, nil)
	if err != nil {
		t.Fatal(err)
	}
	var reported struct {
		Events []struct{ Words string }
	}
	if err := json.Unmarshal(answer.Body, &reported); err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, event := range reported.Events {
		count += len(wordsOf(event.Words))
	}
	return count
}

// resumeInBackground tails the first turn of the conversation started with a query key.
func (cluster *Cluster) resumeInBackground(front *Machine, key string) <-chan *Answer {
	answers := make(chan *Answer, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		answer, _ := cluster.Ask(ctx, http.MethodGet, front.Host+":7100", "/v1/conversations/"+named("dialogue", key)+"/tail?cursor=1&turn=1", TeamToken, nil)
		answers <- answer
	}()
	return answers
}

func receipt(key, words string) map[string]any {
	return map[string]any{"program": "dialogue", "kind": "receipt", "query_key": key, "words": words}
}

func talk(key, words string) map[string]any {
	return map[string]any{"program": "dialogue", "kind": "talk", "query_key": key, "words": words}
}

// TestRequestsOfAFailedFrontAreClosedAtOnce guards against callers that must wait for the deadline
// of a request whose front was killed: another front answers at once. The outcome of a frozen
// front's request is not final, as that front may still record it.
func TestRequestsOfAFailedFrontAreClosedAtOnce(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		failed, other := cluster.Fronts[0], cluster.Fronts[1]
		if err := cluster.PutConfig(strings.ReplaceAll(BasicConfig, `patience: "5s"`, `patience: "20s"`)); err != nil {
			t.Fatal(err)
		}
		<-time.After(2 * time.Second)
		cluster.checkRequestsOfKilledFront(t, failed, other)
		if err := failed.Start(); err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.checkRequestsOfFrozenFront(t, failed, other)
		for _, key := range []string{"dead-once", "frozen-once"} {
			if count := cluster.executions("dialogue/receipt/" + key); count != 1 {
				t.Fatalf("%s ran %d times", key, count)
			}
		}
	})
}

// answerWithin returns the answer and fails the test if there is none within the timeout.
func answerWithin(t *testing.T, what string, timeout time.Duration, answers <-chan *Answer) *Answer {
	t.Helper()
	select {
	case answer := <-answers:
		return answer
	case <-time.After(timeout):
		t.Fatalf("%s: no answer within %s", what, timeout)
	}
	return nil
}

// checkCut checks that a stream ended with "cut".
func checkCut(t *testing.T, what string, answer *Answer) {
	t.Helper()
	if streamed, err := ReadStream(newReader(answer.Body)); err != nil || streamed.End != "cut" {
		t.Fatalf("%s: %s", what, answer)
	}
}

func (cluster *Cluster) checkRequestsOfKilledFront(t *testing.T, killed, other *Machine) {
	t.Helper()
	cluster.sendInBackground(killed, "/v1/queries", receipt("dead-once", "pay !slow"))
	cluster.sendInBackground(killed, "/v1/conversations", talk("dead-turn", "go on !endless"))
	<-time.After(200 * time.Millisecond)
	killed.Kill()
	once := answerWithin(t, "request of a killed front", 1500*time.Millisecond, cluster.sendInBackground(other, "/v1/queries", receipt("dead-once", "pay !slow")))
	if once.Error.Kind != "unknown" || once.Error.RetryAfter != 0 {
		t.Fatalf("request of a killed front: %s", once)
	}
	checkCut(t, "turn of a killed front", answerWithin(t, "turn of a killed front", 1500*time.Millisecond, cluster.resumeInBackground(other, "dead-turn")))
}

func (cluster *Cluster) checkRequestsOfFrozenFront(t *testing.T, frozen, other *Machine) {
	t.Helper()
	cluster.sendInBackground(frozen, "/v1/queries", receipt("frozen-once", "pay !slow"))
	cluster.sendInBackground(frozen, "/v1/conversations", talk("frozen-turn", "go on !endless"))
	<-time.After(200 * time.Millisecond)
	cluster.Network.Freeze(frozen.Host)
	<-time.After(4 * time.Second) // its session has expired
	once := answerWithin(t, "request of a frozen front", 2*time.Second, cluster.sendInBackground(other, "/v1/queries", receipt("frozen-once", "pay !slow")))
	if once.Error.Kind != "unknown" || once.Error.RetryAfter == 0 {
		t.Fatalf("request of a frozen front: %s", once)
	}
	checkCut(t, "turn of a frozen front", answerWithin(t, "turn of a frozen front", 2*time.Second, cluster.resumeInBackground(other, "frozen-turn")))
	cluster.Network.Thaw(frozen.Host)
	<-time.After(2 * time.Second)
	once = answerWithin(t, "request of a resumed front", 2*time.Second, cluster.sendInBackground(other, "/v1/queries", receipt("frozen-once", "pay !slow")))
	if once.Status != http.StatusOK {
		t.Fatalf("request of a resumed front: %s", once)
	}
}

type quotaUsage struct {
	Spent    int `json:"spent"`
	Reserved int `json:"reserved"`
}

func (cluster *Cluster) quota(front *Machine, program string) (reported quotaUsage, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := cluster.Ask(ctx, http.MethodGet, front.Host+":7100", "/v1/tallies/"+program, TeamToken, nil)
	if err != nil {
		return reported, err
	}
	return reported, json.Unmarshal(answer.Body, &reported)
}

// killWithLostReservationAnswer kills a front after the stores received its reservation and before
// their answer reached it.
func (cluster *Cluster) killWithLostReservationAnswer(front *Machine, body map[string]any) {
	for _, store := range cluster.Stores {
		cluster.Network.CutOneWay(store.Host, front.Host)
	}
	answers := cluster.sendInBackground(front, "/v1/conversations", body)
	<-time.After(500 * time.Millisecond)
	front.Kill()
	<-answers
	for _, store := range cluster.Stores {
		cluster.Network.Heal(store.Host, front.Host)
	}
}

// awaitSettled waits until no part of a program's quota is reserved.
func (cluster *Cluster) awaitSettled(t *testing.T, program string) (reported quotaUsage) {
	t.Helper()
	err := cluster.Await(90*time.Second, "settled quota", func() (err error) {
		if reported, err = cluster.quota(cluster.Fronts[2], program); err == nil && reported.Reserved > 0 {
			err = fmt.Errorf("%d words are still reserved", reported.Reserved)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return reported
}

// TestReservationsOfLostFrontsAreSettled guards against quota leaked by fronts that are killed
// during turns or whose reservations are not answered: recorded words stay charged, the rest of
// the reservation is released.
func TestReservationsOfLostFrontsAreSettled(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 2, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		changedConfig := strings.NewReplacer(`tight: {team: "depot", allowance: 60, turn_limit: 25}`, `tight: {team: "depot", allowance: 900, turn_limit: 150}`, `ramp: "1s"`, `ramp: "100ms"`).Replace(BasicConfig)
		if err := cluster.PutConfig(changedConfig); err != nil {
			t.Fatal(err)
		}
		for round := range 6 {
			front := cluster.Fronts[round%2]
			body := map[string]any{"program": "tight", "kind": "talk", "words": "say much !endless", "query_key": fmt.Sprintf("lost-%d", round)}
			switch round {
			case 3, 4:
				cluster.killWithLostReservationAnswer(front, body)
			default:
				answers := cluster.sendInBackground(front, "/v1/conversations", body)
				<-time.After(time.Duration(60+cluster.Random(uint64(round)).IntN(300)) * time.Millisecond)
				front.Kill()
				<-answers
				<-cluster.sendInBackground(cluster.Fronts[2], "/v1/conversations", body)
			}
			if err := front.Start(); err != nil {
				t.Fatal(err)
			}
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
		}
		reported := cluster.awaitSettled(t, "tight")
		recorded := 0
		for _, round := range []int{0, 1, 2, 5} {
			recorded += cluster.recordedWords(t, cluster.Fronts[2], named("tight", fmt.Sprintf("lost-%d", round)))
		}
		t.Logf("%d words are recorded, %d are charged", recorded, reported.Spent)
		if recorded < 300 || reported.Spent < recorded || reported.Spent > 900+150 {
			t.Fatalf("%d words are recorded, %d are charged", recorded, reported.Spent)
		}
		if _, err := cluster.Turn(cluster.Fronts[2], map[string]any{"program": "tight", "kind": "talk", "words": "once more"}); err != nil {
			t.Fatalf("the program cannot start another turn: %v", err)
		}
	})
}

// TestWrongClocksExpireNothingEarly guards against sessions and requests that expire early when
// wall clocks of stores are days ahead, hours behind, or jump, with each store down once.
func TestWrongClocksExpireNothingEarly(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		conversations := cluster.startConversations(t, 6)
		random := cluster.Random(11)
		for round := range 3 {
			for position, store := range cluster.Stores {
				store.ClockOffset = []time.Duration{48 * time.Hour, -5 * time.Hour, time.Duration(random.IntN(96)-48) * time.Hour}[(position+round)%3]
			}
			down := cluster.Stores[round]
			down.Kill()
			first := cluster.sendInBackground(cluster.Fronts[0], "/v1/queries", receipt(fmt.Sprintf("clock-%d", round), "pay !slow"))
			repeated := cluster.sendInBackground(cluster.Fronts[1], "/v1/queries", receipt(fmt.Sprintf("clock-%d", round), "pay !slow"))
			for _, answers := range []<-chan *Answer{first, repeated} {
				if answer := <-answers; answer == nil || answer.Status != http.StatusOK {
					t.Fatalf("a running request was closed early: %s", answer)
				}
			}
			<-time.After(11 * time.Second) // for archiving and for the removal of expired data
			if err := down.Start(); err != nil {
				t.Fatal(err)
			}
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
		}
		cluster.followUp(t, conversations)
	})
}
