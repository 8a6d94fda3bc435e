package scale

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"yardrock.example/proof/simulator"
	"yardrock.example/system/link"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	m.Run()
}

// simulateHollowNodes runs body against a small cluster on the simulated network and clock.
func simulateHollowNodes(t *testing.T, body func(ctx context.Context, cluster *simulator.Cluster, hollow *HollowNodes, caller *link.Client, controls []string)) {
	synctest.Test(t, func(t *testing.T) {
		cluster, err := simulator.Start(1, simulator.Shape{Controls: 3, Stores: 3, Fronts: 1, Models: 1, Applications: 1}, simulator.BasicConfig)
		hollow := &HollowNodes{}
		if cluster != nil {
			defer func() {
				hollow.Stop()
				cluster.Stop()
				<-time.After(time.Minute) // lets goroutines that wait on the bubble's clock exit
			}()
		}
		if err != nil {
			t.Fatal(err)
		}
		caller := link.NewClient(cluster.Network.At("10.9.9.8"))
		defer caller.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		controls := []string{}
		for _, control := range cluster.Controls {
			controls = append(controls, control.Host+":7000")
		}
		body(ctx, cluster, hollow, caller, controls)
	})
}

func hostNetworks(cluster *simulator.Cluster) func(int) link.Network {
	return func(position int) link.Network { return cluster.Network.At(fmt.Sprintf("10.8.0.%d", position+1)) }
}

func TestHollowNodesKeepSessionsAndApplyChangesInTime(t *testing.T) {
	simulateHollowNodes(t, func(ctx context.Context, cluster *simulator.Cluster, hollow *HollowNodes, caller *link.Client, controls []string) {
		const nodes = 30
		if err := hollow.Grow(ctx, nodes, time.Second, "10.8.0.1:7000", controls, hostNetworks(cluster)); err != nil {
			t.Fatal(err)
		}
		if err := hollow.Await(ctx, "fresh", (*HollowNode).UpToDate); err != nil {
			t.Fatal(err)
		}
		if err := hollow.Await(ctx, "aware of all nodes", func(node *HollowNode) bool { return node.Members() >= nodes }); err != nil {
			t.Fatal(err)
		}
		for position := range 6 {
			sent := time.Now()
			number, err := propose(ctx, caller, controls, domainChange(position%2 == 0))
			if err != nil {
				t.Fatal(err)
			}
			delays, err := hollow.Delays(ctx, number, sent)
			if err != nil {
				t.Fatal(err)
			}
			if maximum := delays[len(delays)-1]; maximum > 2*time.Second || len(delays) != nodes {
				t.Errorf("change %d was in force at %d nodes after %s", number, len(delays), maximum)
			}
		}
	})
}

func TestHollowNodesFollowNewLeader(t *testing.T) {
	simulateHollowNodes(t, func(ctx context.Context, cluster *simulator.Cluster, hollow *HollowNodes, caller *link.Client, controls []string) {
		if err := hollow.Grow(ctx, 20, time.Second, "10.8.0.1:7000", controls, hostNetworks(cluster)); err != nil {
			t.Fatal(err)
		}
		if err := hollow.Await(ctx, "fresh", (*HollowNode).UpToDate); err != nil {
			t.Fatal(err)
		}
		for _, control := range cluster.Controls {
			if control.Control.IsLeader() {
				control.Kill()
				break
			}
		}
		killed := time.Now()
		number, err := propose(ctx, caller, controls, domainChange(true))
		if err != nil {
			t.Fatal(err)
		}
		delays, err := hollow.Delays(ctx, number, killed)
		if err != nil {
			t.Fatal(err)
		}
		if maximum := delays[len(delays)-1]; maximum > 6*time.Second {
			t.Errorf("the change was in force everywhere only %s after the leader was killed", maximum)
		}
	})
}

// TestHollowNodeTrafficGrowsLinearly guards against traffic per node that grows faster than
// linearly with the number of nodes, although every node learns of all others.
func TestHollowNodeTrafficGrowsLinearly(t *testing.T) {
	simulateHollowNodes(t, func(ctx context.Context, cluster *simulator.Cluster, hollow *HollowNodes, _ *link.Client, controls []string) {
		sizes, read := []float64{}, []float64{}
		for _, nodes := range []int{8, 16, 32} {
			if err := hollow.Grow(ctx, nodes, time.Second, "10.8.0.1:7000", controls, hostNetworks(cluster)); err != nil {
				t.Fatal(err)
			}
			if err := hollow.Await(ctx, "fresh and aware of all nodes", func(node *HollowNode) bool { return node.UpToDate() && node.Members() >= nodes }); err != nil {
				t.Fatal(err)
			}
			<-time.After(2 * time.Second)
			before := hollow.Bytes.Read.Load()
			const idle = 3 * time.Second
			<-time.After(idle)
			sizes = append(sizes, float64(nodes))
			read = append(read, float64(hollow.Bytes.Read.Load()-before)/idle.Seconds()/float64(nodes))
		}
		slope, err := Fit("hollow.bytes_in_per_s", "nodes", sizes, read, Linear)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("bytes per second and node at %v nodes: %.0f, exponent %.2f", sizes, read, slope.Exponent)
		if slope.ExceedsClaim {
			t.Errorf("bytes read per node grow as %+v with values %v", slope, read)
		}
	})
}

func TestRunnerListAndRoutingOfGivenSize(t *testing.T) {
	seen := map[string]bool{}
	for _, runner := range RunnerList(2600) {
		seen[runner.Address] = true
	}
	if len(seen) != 2600 {
		t.Errorf("got %d distinct addresses for 2600 runners", len(seen))
	}
	routing := Routing(2000, 3)
	names := map[string]bool{}
	for _, route := range routing.Routes {
		names[route.Name] = len(route.Original) > 0 && len(route.Shares) == 2
	}
	if len(names) != 2000 || !names["route-01999"] || routing.Revision != 3 || len(routing.Services) != 3 {
		t.Errorf("got %d routes at revision %d", len(names), routing.Revision)
	}
}

func TestMissingControlNodeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		caller := link.NewClient(simulator.NewNetwork(1).At("10.9.9.8"))
		defer caller.Close()
		if _, err := propose(ctx, caller, []string{"10.0.0.1:7000"}, domainChange(true)); err == nil {
			t.Error("propose succeeded without a reachable control node")
		}
	})
}
