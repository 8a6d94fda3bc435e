package simulator

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// TestSlotIsReleasedWhenTheNextRunnerMayNotBeUsed holds a front up before the first byte of
// a request, so that it takes a slot of another runner, and freezes it until its view is no
// longer fresh. Whatever the request ends with, no slot may stay in use: it would count
// against the runner's limit until the front restarts.
func TestSlotIsReleasedWhenTheNextRunnerMayNotBeUsed(t *testing.T) {
	patient := strings.ReplaceAll(BasicConfig, `patience: "5s"`, `patience: "20s"`)
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		if err := cluster.PutConfig(patient); err != nil {
			t.Fatal(err)
		}
		for _, one := range works {
			cluster.Network.Cut(front.Host, one.runner)
			responses := make(chan *Answer, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				body := map[string]any{"query_key": "slot-" + one.name}
				for key, value := range one.body {
					body[key] = value
				}
				response, _ := cluster.Ask(ctx, http.MethodPost, front.Host+":7100", one.path, TeamToken, body)
				responses <- response
			}()
			<-time.After(100 * time.Millisecond)
			cluster.Network.Freeze(front.Host)
			cluster.Network.Heal(front.Host, one.runner)
			<-time.After(6 * time.Second)
			cluster.Network.Thaw(front.Host)
			<-responses
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
			for _, load := range runnerLoads(t, cluster, front.Host) {
				if load.InFlight != 0 {
					t.Errorf("%s: %d slots of %s are in use, though no work is", one.name, load.InFlight, load.Address)
				}
			}
		}
	})
}

// runnerLoads returns what a front reports to have in flight at each runner.
func runnerLoads(t *testing.T, cluster *Cluster, host string) []wire.RunnerLoad {
	t.Helper()
	caller := link.NewClient(cluster.Network.At("10.8.1.1"))
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := caller.Call(ctx, host+":7000", &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
	if err != nil {
		t.Fatal(err)
	}
	return reply.Status.RunnerLoads
}
