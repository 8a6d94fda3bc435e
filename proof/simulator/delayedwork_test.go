package simulator

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
)

// runnerRequest is a request with the runner that it is dispatched to.
type runnerRequest struct {
	name, path, runner string
	body               map[string]any
}

// rampTime is longer than a runner warms up by BasicConfig.
const rampTime = 3 * time.Second

// withKey returns the body of the request with an idempotency key. Each call returns a map of its own:
// tests and seeds run in parallel.
func (request runnerRequest) withKey(key string) map[string]any {
	body := maps.Clone(request.body)
	body["query_key"] = key
	return body
}

var runnerRequests = []runnerRequest{
	{"lookup", "/v1/lookups", "10.0.4.1", map[string]any{"program": "dialogue", "kind": "lookup", "words": "which"}},
	{"once", "/v1/queries", "10.0.4.1", map[string]any{"program": "dialogue", "kind": "receipt", "words": "pay"}},
	{"turn", "/v1/conversations", "10.0.3.1", map[string]any{"program": "dialogue", "kind": "talk", "words": "hello"}},
}

// TestRequestDelayedBeforeItsFirstByteIsCheckedAgain guards against a front that sends a request on an
// outdated decision: it is frozen between the choice of a runner and the first byte, and meanwhile
// the config changes, the runner drains, or its domain is drained.
func TestRequestDelayedBeforeItsFirstByteIsCheckedAgain(t *testing.T) {
	longTimeoutConfig := strings.ReplaceAll(BasicConfig, `patience: "5s"`, `patience: "20s"`)
	changes := []struct {
		name   string
		apply  func(cluster *Cluster) error
		revert func(cluster *Cluster) error
	}{
		{"config", func(cluster *Cluster) error {
			return cluster.PutConfig(strings.NewReplacer(`path: "/plain"`, `path: "/plain-new"`, `path: "/turn"`, `path: "/turn-new"`).Replace(longTimeoutConfig))
		}, func(cluster *Cluster) error { return cluster.PutConfig(longTimeoutConfig) }},
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
		if err := cluster.PutConfig(longTimeoutConfig); err != nil {
			t.Fatal(err)
		}
		for _, change := range changes {
			for _, request := range runnerRequests {
				warmUp(t, cluster, front.Host, request, "before-"+change.name+request.name) // the request must not wait for a slot
				cluster.Network.Cut(front.Host, request.runner)
				answers := make(chan *Answer, 1)
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
					defer cancel()
					answer, _ := cluster.Ask(ctx, http.MethodPost, front.Host+":7100", request.path, TeamToken, request.withKey(change.name+request.name))
					answers <- answer
				}()
				<-time.After(100 * time.Millisecond) // the runner is chosen, the request recorded, and the dial pending
				cluster.Network.Freeze(front.Host)
				cluster.Network.Heal(front.Host, request.runner)
				if err := change.apply(cluster); err != nil {
					t.Fatal(err)
				}
				<-time.After(6 * time.Second)
				thawedAt := time.Now()
				cluster.Network.Thaw(front.Host)
				answer := <-answers
				if answer == nil || answer.Error.Kind != "not_run" {
					t.Errorf("%s, %s: %s", change.name, request.name, answer)
				}
				for _, machine := range cluster.Runners {
					for arrival, path := range machine.Runner.Paths() {
						if machine.Host == request.runner && arrival >= thawedAt.UnixNano() && !strings.HasSuffix(path, "-new") {
							t.Errorf("%s, %s: sent to %s after the front resumed", change.name, request.name, path)
						}
					}
				}
				if err := change.revert(cluster); err != nil {
					t.Fatal(err)
				}
				if err := cluster.AwaitServing(12 * time.Second); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// warmUp has a front's request answered, and waits until the runner has warmed up: until then its limit
// may leave nothing for this front. A suspected restart counts as one until the runner has answered.
func warmUp(t *testing.T, cluster *Cluster, host string, request runnerRequest, key string) {
	t.Helper()
	attempt := 0
	if err := cluster.Await(20*time.Second, "the runner of "+request.name, func() error {
		attempt++
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		answer, err := cluster.Ask(ctx, http.MethodPost, host+":7100", request.path, TeamToken, request.withKey(fmt.Sprint(key, attempt)))
		if err != nil || answer.Status != http.StatusOK {
			return fmt.Errorf("%v %w", answer, err)
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	cluster.Sleep(rampTime)
}
