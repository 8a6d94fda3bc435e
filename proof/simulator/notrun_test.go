package simulator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestNotRunIsNeverReportedForWorkThatRuns guards against a "not_run" answer to a request that has run
// or runs later. Each key is sent to three fronts at about the same time, with little capacity and
// with faults of fronts, stores and links, and compared with the runners' records.
func TestNotRunIsNeverReportedForWorkThatRuns(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		limitedConfig := strings.NewReplacer(`application: {concurrency: 16`, `application: {concurrency: 1`, `cold_concurrency: 2`, `cold_concurrency: 1`, `platform:`, "limits: {queue: 1, queue_patience: \"50ms\"}\nplatform:").Replace(BasicConfig)
		if err := cluster.PutConfig(limitedConfig); err != nil {
			t.Fatal(err)
		}
		random := cluster.Random(5)
		trial := &notRunTrial{t: t, cluster: cluster, outcomes: map[string]map[string]int{}, messages: map[string][]string{}}
		for round := range 10 {
			for number := range 8 {
				key := fmt.Sprintf("key-%d-%d", round, number)
				trial.mutex.Lock()
				trial.outcomes[key] = map[string]int{}
				trial.mutex.Unlock()
				for _, position := range random.Perm(3) {
					trial.send(cluster.Fronts[position], key, time.Duration(random.IntN(400))*time.Millisecond)
				}
			}
			<-time.After(time.Duration(random.IntN(300)) * time.Millisecond)
			front, store := cluster.Fronts[random.IntN(3)], cluster.Stores[random.IntN(3)]
			duration := time.Duration(300+random.IntN(3000)) * time.Millisecond
			trial.injectFault(random.IntN(6), front, store, duration)
		}
		trial.sent.Wait()
		<-time.After(30 * time.Second) // for delayed requests to end
		trial.check()
	})
}

// notRunTrial sends each key to several fronts and records the answers.
type notRunTrial struct {
	t        *testing.T
	cluster  *Cluster
	sent     sync.WaitGroup
	mutex    sync.Mutex
	outcomes map[string]map[string]int // count of each kind of answer, by key
	messages map[string][]string       // error messages, by key
}

// send sends a request with a key to a front after a delay and counts the kind of its answer.
func (trial *notRunTrial) send(front *Machine, key string, delay time.Duration) {
	trial.sent.Go(func() {
		<-time.After(delay)
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		answer, err := trial.cluster.Ask(ctx, http.MethodPost, front.Host+":7100", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "query_key": key, "words": "pay"})
		trial.mutex.Lock()
		defer trial.mutex.Unlock()
		kinds := trial.outcomes[key]
		switch {
		case err != nil:
			kinds["lost"]++
		case answer.Status == http.StatusOK:
			kinds["done"]++
		default:
			kinds[answer.Error.Kind]++
			trial.messages[key] = append(trial.messages[key], answer.Error.Message)
			if answer.Error.Kind == "not_run" && answer.Header.Get("Retry-After") == "" {
				trial.t.Errorf("%s was rejected without a Retry-After header", key)
			}
		}
	})
}

// injectFault injects the fault with the given number and ends it after the duration.
func (trial *notRunTrial) injectFault(fault int, front, store *Machine, duration time.Duration) {
	t, cluster := trial.t, trial.cluster
	t.Helper()
	switch fault {
	case 0:
		cluster.Network.Freeze(front.Host)
		<-time.After(duration)
		cluster.Network.Thaw(front.Host)
	case 1:
		for _, peer := range cluster.Stores {
			cluster.Network.CutOneWay(peer.Host, front.Host) // begin and fence requests arrive, their answers do not
		}
		<-time.After(duration)
		for _, peer := range cluster.Stores {
			cluster.Network.Heal(peer.Host, front.Host)
		}
	case 2:
		front.Kill()
		<-time.After(duration)
		if err := front.Start(); err != nil {
			t.Fatal(err)
		}
	case 3:
		store.LosePower()
		if err := store.Start(); err != nil {
			t.Fatal(err)
		}
	case 4:
		cluster.Network.Isolate(front.Host)
		<-time.After(duration)
		cluster.Network.Rejoin(front.Host)
	case 5: // load without a fault
	}
}

// check compares the answers that callers received with the executions at the runners.
func (trial *notRunTrial) check() {
	t := trial.t
	t.Helper()
	totals := map[string]int{}
	for key, kinds := range trial.outcomes {
		count := trial.cluster.executions("dialogue/receipt/" + key)
		totals["ran"] += count
		for kind, answered := range kinds {
			totals[kind] += answered
		}
		if count > 1 {
			t.Errorf("%s ran %d times", key, count)
		}
		if kinds["not_run"] > 0 && count > 0 {
			t.Errorf("%s ran, but was answered with %v (%q)", key, kinds, trial.messages[key])
		}
		if kinds["done"] > 0 && count != 1 {
			t.Errorf("%s ran %d times and was answered with %v", key, count, kinds)
		}
	}
	t.Logf("%v", totals)
	if totals["ran"] == 0 || totals["done"] == 0 {
		t.Fatalf("nothing was tested: %v", totals)
	}
}
