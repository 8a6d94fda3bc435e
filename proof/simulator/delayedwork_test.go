package simulator

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
)

// work is one kind of query that ends at a runner.
type work struct {
	name, path, runner string
	body               map[string]any
}

var works = []work{
	{"lookup", "/v1/lookups", "10.0.4.1", map[string]any{"program": "dialogue", "kind": "lookup", "words": "which"}},
	{"once", "/v1/queries", "10.0.4.1", map[string]any{"program": "dialogue", "kind": "receipt", "words": "pay"}},
	{"turn", "/v1/conversations", "10.0.3.1", map[string]any{"program": "dialogue", "kind": "talk", "words": "hello"}},
}

// TestWorkDelayedBeforeItsFirstByteChecksAgain holds a front up between its
// choice of a runner and the first byte: the dial is slow, and the front is frozen
// meanwhile. When it wakes, the config is another, the runner leaves, or its
// domain is emptied.
func TestWorkDelayedBeforeItsFirstByteChecksAgain(t *testing.T) {
	patient := strings.ReplaceAll(BasicConfig, `patience: "5s"`, `patience: "20s"`)
	changes := []struct {
		name string
		do   func(cluster *Cluster) error
		undo func(cluster *Cluster) error
	}{
		{"config", func(cluster *Cluster) error {
			return cluster.PutConfig(strings.NewReplacer(`path: "/plain"`, `path: "/plain-new"`, `path: "/turn"`, `path: "/turn-new"`).Replace(patient))
		}, func(cluster *Cluster) error { return cluster.PutConfig(patient) }},
		{"leaving", func(cluster *Cluster) error {
			cluster.listRunners(func(runner *standin.ListedRunner) { runner.State = "leaving" })
			return nil
		}, func(cluster *Cluster) error {
			cluster.listRunners(func(*standin.ListedRunner) {})
			return nil
		}},
		{"emptied", func(cluster *Cluster) error {
			_, err := cluster.Administer(http.MethodPost, "/v1/domains/east", map[string]any{"state": "emptied", "force": true})
			return err
		}, func(cluster *Cluster) error {
			_, err := cluster.Administer(http.MethodPost, "/v1/domains/east", map[string]any{"state": "serving"})
			return err
		}},
	}
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		if err := cluster.PutConfig(patient); err != nil {
			t.Fatal(err)
		}
		for _, change := range changes {
			for _, one := range works {
				cluster.Network.Cut(front.Host, one.runner)
				answers := make(chan *Answer, 1)
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
					defer cancel()
					one.body["query_key"] = change.name + one.name
					answer, _ := cluster.Ask(ctx, http.MethodPost, front.Host+":7100", one.path, TeamToken, one.body)
					answers <- answer
				}()
				<-time.After(100 * time.Millisecond) // chosen, recorded, and dialling
				cluster.Network.Freeze(front.Host)
				cluster.Network.Heal(front.Host, one.runner)
				if err := change.do(cluster); err != nil {
					t.Fatal(err)
				}
				<-time.After(6 * time.Second)
				woken := time.Now()
				cluster.Network.Thaw(front.Host)
				answer := <-answers
				if answer == nil || answer.Error.Kind != "not_run" {
					t.Errorf("%s, %s: %s", change.name, one.name, answer)
				}
				for _, machine := range cluster.Runners {
					for at, path := range machine.Runner.Paths() {
						if machine.Host == one.runner && at >= woken.UnixNano() && !strings.HasSuffix(path, "-new") {
							t.Errorf("%s, %s: sent to %s when the front woke", change.name, one.name, path)
						}
					}
				}
				if err := change.undo(cluster); err != nil {
					t.Fatal(err)
				}
				if err := cluster.AwaitServing(12 * time.Second); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
