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
		var mutex sync.Mutex
		var sent sync.WaitGroup
		reported, why := map[string]map[string]int{}, map[string][]string{}
		ask := func(front *Machine, key string, later time.Duration) {
			sent.Go(func() {
				<-time.After(later)
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
				defer cancel()
				answer, err := cluster.Ask(ctx, http.MethodPost, front.Host+":7100", "/v1/queries", TeamToken, map[string]any{"program": "dialogue", "kind": "receipt", "query_key": key, "words": "pay"})
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case err != nil:
					reported[key]["lost"]++
				case answer.Status == http.StatusOK:
					reported[key]["done"]++
				default:
					reported[key][answer.Error.Kind]++
					why[key] = append(why[key], answer.Error.Message)
					if answer.Error.Kind == "not_run" && answer.Header.Get("Retry-After") == "" {
						t.Errorf("%s was refused without saying when to come back", key)
					}
				}
			})
		}
		for round := range 10 {
			for number := range 8 {
				key := fmt.Sprintf("key-%d-%d", round, number)
				mutex.Lock()
				reported[key] = map[string]int{}
				mutex.Unlock()
				for _, position := range random.Perm(3) {
					ask(cluster.Fronts[position], key, time.Duration(random.IntN(400))*time.Millisecond)
				}
			}
			<-time.After(time.Duration(random.IntN(300)) * time.Millisecond)
			front, store := cluster.Fronts[random.IntN(3)], cluster.Stores[random.IntN(3)]
			lasts := time.Duration(300+random.IntN(3000)) * time.Millisecond
			switch random.IntN(6) {
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
		sent.Wait()
		<-time.After(30 * time.Second) // whoever was late has woken
		sums := map[string]int{}
		for key, kinds := range reported {
			count := cluster.executions("dialogue/receipt/" + key)
			sums["ran"] += count
			for kind, times := range kinds {
				sums[kind] += times
			}
			if count > 1 {
				t.Errorf("%s ran %d times", key, count)
			}
			if kinds["not_run"] > 0 && count > 0 {
				t.Errorf("%s ran, and was told: %v (%q)", key, kinds, why[key])
			}
			if kinds["done"] > 0 && count != 1 {
				t.Errorf("%s ran %d times, and was told: %v", key, count, kinds)
			}
		}
		t.Logf("%v", sums)
		if sums["ran"] == 0 || sums["done"] == 0 {
			t.Fatalf("nothing was tested: %v", sums)
		}
	})
}
