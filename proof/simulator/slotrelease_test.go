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

// TestSlotIsReleasedWhenTheNextRunnerMayNotBeUsed guards against leaked slots, which count against
// the runner's limit until the front restarts. The front takes a slot of a second runner after the
// dial to the first is delayed, and is frozen until its view is stale.
func TestSlotIsReleasedWhenTheNextRunnerMayNotBeUsed(t *testing.T) {
	longTimeoutConfig := strings.ReplaceAll(BasicConfig, `patience: "5s"`, `patience: "20s"`)
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 1, Applications: 1}, func(t *testing.T, cluster *Cluster) {
		front := cluster.Fronts[0]
		if err := cluster.PutConfig(longTimeoutConfig); err != nil {
			t.Fatal(err)
		}
		for _, request := range runnerRequests {
			cluster.Network.Cut(front.Host, request.runner)
			responses := make(chan *Answer, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				response, _ := cluster.Ask(ctx, http.MethodPost, front.Host+":7100", request.path, TeamToken, request.withKey("slot-"+request.name))
				responses <- response
			}()
			<-time.After(100 * time.Millisecond)
			cluster.Network.Freeze(front.Host)
			cluster.Network.Heal(front.Host, request.runner)
			<-time.After(6 * time.Second)
			cluster.Network.Thaw(front.Host)
			<-responses
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
			for _, load := range runnerLoads(t, cluster, front.Host) {
				if load.InFlight != 0 {
					t.Errorf("%s: %d slots of %s are in use, though no request is in flight", request.name, load.InFlight, load.Address)
				}
			}
		}
	})
}

// runnerLoads returns the load at each runner as a front reports it.
func runnerLoads(t *testing.T, cluster *Cluster, host string) []wire.RunnerLoad {
	t.Helper()
	client := link.NewClient(cluster.Network.At("10.8.1.1"))
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := client.Call(ctx, host+":7000", &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
	if err != nil {
		t.Fatal(err)
	}
	return reply.Status.RunnerLoads
}
