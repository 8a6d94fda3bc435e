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

// sent sends work under a key in the background.
func (cluster *Cluster) sent(front *Machine, path string, body map[string]any) <-chan *Answer {
	answers := make(chan *Answer, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		answer, _ := cluster.Ask(ctx, http.MethodPost, front.Host+":7100", path, TeamToken, body)
		answers <- answer
	}()
	return answers
}

// named returns the conversation that a query key names.
func named(program, key string) string {
	sum := sha256.Sum256([]byte(strings.Join([]string{"depot", program, "", key}, "\x00")))
	return "c-" + hex.EncodeToString(sum[:16])
}

// spokenIn counts the words that a conversation's record holds, of callers and model.
func (cluster *Cluster) spokenIn(t *testing.T, front *Machine, name string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	answer, err := cluster.Ask(ctx, http.MethodGet, front.Host+":7100", "/v1/conversations/"+name+"?limit=4000", TeamToken, nil)
	if err != nil {
		t.Fatal(err)
	}
	var reported struct {
		Events []struct{ Words string }
	}
	if err := json.Unmarshal(answer.Body, &reported); err != nil {
		t.Fatal(err)
	}
	spoken := 0
	for _, event := range reported.Events {
		spoken += len(wordsOf(event.Words))
	}
	return spoken
}

// resumed tails the first turn of the conversation that a query key named.
func (cluster *Cluster) resumed(front *Machine, key string) <-chan *Answer {
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

// TestWorkOfADeadFrontIsClosedAtOnce kills and freezes a front amid its runs. Who
// asks for them elsewhere gets the final answer at once, long before the runs'
// deadline; what a frozen front may still record is not closed over its head.
func TestWorkOfADeadFrontIsClosedAtOnce(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		dead, other := cluster.Fronts[0], cluster.Fronts[1]
		if err := cluster.PutConfig(strings.ReplaceAll(BasicConfig, `patience: "5s"`, `patience: "20s"`)); err != nil {
			t.Fatal(err)
		}
		<-time.After(2 * time.Second)
		cluster.askForWorkOfKilledFront(t, dead, other)
		if err := dead.Start(); err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.askForWorkOfFrozenFront(t, dead, other)
		for _, key := range []string{"dead-once", "frozen-once"} {
			if count := cluster.executions("dialogue/receipt/" + key); count != 1 {
				t.Fatalf("%s ran %d times", key, count)
			}
		}
	})
}

// answerWithin gives the answer, which must come within a time.
func answerWithin(t *testing.T, what string, bound time.Duration, answers <-chan *Answer) *Answer {
	t.Helper()
	select {
	case answer := <-answers:
		return answer
	case <-time.After(bound):
		t.Fatalf("%s: no answer within %s", what, bound)
	}
	return nil
}

// mustBeCut checks that a stream ended as cut.
func mustBeCut(t *testing.T, what string, turn *Answer) {
	t.Helper()
	if said, err := ReadStream(newReader(turn.Body)); err != nil || said.End != "cut" {
		t.Fatalf("%s: %s", what, turn)
	}
}

func (cluster *Cluster) askForWorkOfKilledFront(t *testing.T, dead, other *Machine) {
	t.Helper()
	cluster.sent(dead, "/v1/queries", receipt("dead-once", "pay !slow"))
	cluster.sent(dead, "/v1/conversations", talk("dead-turn", "go on !endless"))
	<-time.After(200 * time.Millisecond)
	dead.Kill()
	once := answerWithin(t, "work of a killed front", 1500*time.Millisecond, cluster.sent(other, "/v1/queries", receipt("dead-once", "pay !slow")))
	if once.Error.Kind != "unknown" || once.Error.RetryAfter != 0 {
		t.Fatalf("work of a killed front: %s", once)
	}
	mustBeCut(t, "turn of a killed front", answerWithin(t, "turn of a killed front", 1500*time.Millisecond, cluster.resumed(other, "dead-turn")))
}

func (cluster *Cluster) askForWorkOfFrozenFront(t *testing.T, frozen, other *Machine) {
	t.Helper()
	cluster.sent(frozen, "/v1/queries", receipt("frozen-once", "pay !slow"))
	cluster.sent(frozen, "/v1/conversations", talk("frozen-turn", "go on !endless"))
	<-time.After(200 * time.Millisecond)
	cluster.Network.Freeze(frozen.Host)
	<-time.After(4 * time.Second) // its session is over
	once := answerWithin(t, "work of a frozen front", 2*time.Second, cluster.sent(other, "/v1/queries", receipt("frozen-once", "pay !slow")))
	if once.Error.Kind != "unknown" || once.Error.RetryAfter == 0 {
		t.Fatalf("work of a frozen front: %s", once)
	}
	mustBeCut(t, "turn of a frozen front", answerWithin(t, "turn of a frozen front", 2*time.Second, cluster.resumed(other, "frozen-turn")))
	cluster.Network.Thaw(frozen.Host)
	<-time.After(2 * time.Second)
	once = answerWithin(t, "work of a woken front", 2*time.Second, cluster.sent(other, "/v1/queries", receipt("frozen-once", "pay !slow")))
	if once.Status != http.StatusOK {
		t.Fatalf("work of a woken front: %s", once)
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

// loseReservationAnswer kills a front after its reservation arrived and its answer did not.
func (cluster *Cluster) loseReservationAnswer(front *Machine, ask map[string]any) {
	for _, store := range cluster.Stores {
		cluster.Network.CutOneWay(store.Host, front.Host)
	}
	answers := cluster.sent(front, "/v1/conversations", ask)
	<-time.After(500 * time.Millisecond)
	front.Kill()
	<-answers
	for _, store := range cluster.Stores {
		cluster.Network.Heal(store.Host, front.Host)
	}
}

// awaitSettled waits until nothing of a program's quota is reserved any more.
func (cluster *Cluster) awaitSettled(t *testing.T, program string) (reported quotaUsage) {
	t.Helper()
	err := cluster.Await(90*time.Second, "settled tally", func() (err error) {
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

// TestReservationsOfLostFrontsAreSettled lets fronts die amid turns of a program, and
// loses the answers to reservations, over and over. What was spoken stays counted;
// what was only reserved comes back, so that the program can go on.
func TestReservationsOfLostFrontsAreSettled(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 2, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		rules := strings.NewReplacer(`tight: {team: "depot", allowance: 60, turn_limit: 25}`, `tight: {team: "depot", allowance: 900, turn_limit: 150}`, `ramp: "1s"`, `ramp: "100ms"`).Replace(BasicConfig)
		if err := cluster.PutConfig(rules); err != nil {
			t.Fatal(err)
		}
		for round := range 6 {
			front := cluster.Fronts[round%2]
			ask := map[string]any{"program": "tight", "kind": "talk", "words": "say much !endless", "query_key": fmt.Sprintf("lost-%d", round)}
			switch round {
			case 3, 4:
				cluster.loseReservationAnswer(front, ask)
			default:
				answers := cluster.sent(front, "/v1/conversations", ask)
				<-time.After(time.Duration(60+cluster.Random(uint64(round)).IntN(300)) * time.Millisecond)
				front.Kill()
				<-answers
				<-cluster.sent(cluster.Fronts[2], "/v1/conversations", ask)
			}
			if err := front.Start(); err != nil {
				t.Fatal(err)
			}
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
		}
		reported := cluster.awaitSettled(t, "tight")
		spoken := 0
		for _, round := range []int{0, 1, 2, 5} {
			spoken += cluster.spokenIn(t, cluster.Fronts[2], named("tight", fmt.Sprintf("lost-%d", round)))
		}
		t.Logf("%d words are recorded, %d are counted", spoken, reported.Spent)
		if spoken < 300 || reported.Spent < spoken || reported.Spent > 900+150 {
			t.Fatalf("%d words are recorded, %d are counted", spoken, reported.Spent)
		}
		if _, err := cluster.Turn(cluster.Fronts[2], map[string]any{"program": "tight", "kind": "talk", "words": "once more"}); err != nil {
			t.Fatalf("the program cannot go on: %v", err)
		}
	})
}

// TestWrongClocksForgetNothingAndCloseNothingEarly lets store machines' clocks be two
// days ahead, hours behind, and jump, while each of them leads for a time.
func TestWrongClocksForgetNothingAndCloseNothingEarly(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		said := cluster.dialogues(t, 6)
		random := cluster.Random(11)
		for round := range 3 {
			for position, store := range cluster.Stores {
				store.ClockOffset = []time.Duration{48 * time.Hour, -5 * time.Hour, time.Duration(random.IntN(96)-48) * time.Hour}[(position+round)%3]
			}
			away := cluster.Stores[round]
			away.Kill()
			live := cluster.sent(cluster.Fronts[0], "/v1/queries", receipt(fmt.Sprintf("clock-%d", round), "pay !slow"))
			again := cluster.sent(cluster.Fronts[1], "/v1/queries", receipt(fmt.Sprintf("clock-%d", round), "pay !slow"))
			for _, answers := range []<-chan *Answer{live, again} {
				if answer := <-answers; answer == nil || answer.Status != http.StatusOK {
					t.Fatalf("a live run was closed early: %s", answer)
				}
			}
			<-time.After(11 * time.Second) // archived, and what is over its time forgotten
			if err := away.Start(); err != nil {
				t.Fatal(err)
			}
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
		}
		cluster.followUp(t, said)
	})
}
