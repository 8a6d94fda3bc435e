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

// TestNotRunIsNeverReportedForWorkThatRuns sends one key to three fronts about the same
// time, while runners are short, links break, and fronts freeze, are cut off or die.
// The runners' own records judge: once any request under a key was answered "not run",
// nothing under that key may have run or run later.
func TestNotRunIsNeverReportedForWorkThatRuns(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 3, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		scarce := strings.NewReplacer(`application: {concurrency: 16`, `application: {concurrency: 1`, `cold_concurrency: 2`, `cold_concurrency: 1`, `platform:`, "limits: {queue: 1, queue_patience: \"50ms\"}\nplatform:").Replace(BasicConfig)
		if err := cluster.PutConfig(scarce); err != nil {
			t.Fatal(err)
		}
		random := cluster.Random(5)
		trial := &notRunTrial{t: t, cluster: cluster, reported: map[string]map[string]int{}, why: map[string][]string{}}
		for round := range 10 {
			for number := range 8 {
				key := fmt.Sprintf("key-%d-%d", round, number)
				trial.mutex.Lock()
				trial.reported[key] = map[string]int{}
				trial.mutex.Unlock()
				for _, position := range random.Perm(3) {
					trial.ask(cluster.Fronts[position], key, time.Duration(random.IntN(400))*time.Millisecond)
				}
			}
			<-time.After(time.Duration(random.IntN(300)) * time.Millisecond)
			front, store := cluster.Fronts[random.IntN(3)], cluster.Stores[random.IntN(3)]
			lasts := time.Duration(300+random.IntN(3000)) * time.Millisecond
			trial.strike(random.IntN(6), front, store, lasts)
		}
		trial.sent.Wait()
		<-time.After(30 * time.Second) // whoever was late has woken
		trial.check()
	})
}

// notRunTrial is a run that sends keys to several fronts each.
type notRunTrial struct {
	t        *testing.T
	cluster  *Cluster
	sent     sync.WaitGroup
	mutex    sync.Mutex
	reported map[string]map[string]int // how often each key was answered with each kind
	why      map[string][]string       // messages of the errors by key
}

// ask sends a query under a key to a front after a delay, and counts the kind of its answer.
func (trial *notRunTrial) ask(front *Machine, key string, later time.Duration) {
	trial.sent.Go(func() {
		<-time.After(later)
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		answer, err := trial.cluster.Ask(ctx, http.MethodPost, front.Host+":7100", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "query_key": key, "words": "pay"})
		trial.mutex.Lock()
		defer trial.mutex.Unlock()
		reported := trial.reported[key]
		switch {
		case err != nil:
			reported["lost"]++
		case answer.Status == http.StatusOK:
			reported["done"]++
		default:
			reported[answer.Error.Kind]++
			trial.why[key] = append(trial.why[key], answer.Error.Message)
			if answer.Error.Kind == "not_run" && answer.Header.Get("Retry-After") == "" {
				trial.t.Errorf("%s was refused without saying when to come back", key)
			}
		}
	})
}

// strike injects the fault of that number, and ends it after a time.
func (trial *notRunTrial) strike(fault int, front, store *Machine, lasts time.Duration) {
	t, cluster := trial.t, trial.cluster
	t.Helper()
	switch fault {
	case 0:
		cluster.Network.Freeze(front.Host)
		<-time.After(lasts)
		cluster.Network.Thaw(front.Host)
	case 1:
		for _, one := range cluster.Stores {
			cluster.Network.CutOneWay(one.Host, front.Host) // begins and fences arrive, their answers do not
		}
		<-time.After(lasts)
		for _, one := range cluster.Stores {
			cluster.Network.Heal(one.Host, front.Host)
		}
	case 2:
		front.Kill()
		<-time.After(lasts)
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
		<-time.After(lasts)
		cluster.Network.Rejoin(front.Host)
	case 5: // a crowd alone
	}
}

// check compares the responses that callers got with what the runners ran.
func (trial *notRunTrial) check() {
	t := trial.t
	t.Helper()
	sums := map[string]int{}
	for key, kinds := range trial.reported {
		count := trial.cluster.executions("dialogue/receipt/" + key)
		sums["ran"] += count
		for kind, times := range kinds {
			sums[kind] += times
		}
		if count > 1 {
			t.Errorf("%s ran %d times", key, count)
		}
		if kinds["not_run"] > 0 && count > 0 {
			t.Errorf("%s ran, and was told: %v (%q)", key, kinds, trial.why[key])
		}
		if kinds["done"] > 0 && count != 1 {
			t.Errorf("%s ran %d times, and was told: %v", key, count, kinds)
		}
	}
	t.Logf("%v", sums)
	if sums["ran"] == 0 || sums["done"] == 0 {
		t.Fatalf("nothing was tested: %v", sums)
	}
}
