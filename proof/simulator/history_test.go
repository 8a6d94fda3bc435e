package simulator

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
)

const (
	historyRoutes  = 120
	historyChanges = 240
	historyTimeout = 30 * time.Second
)

// historyRoute returns one of many routes, with a version in its original text.
func historyRoute(number int, version uint64) config.Route {
	return config.Route{
		Name: fmt.Sprintf("route-%d", number), Host: fmt.Sprintf("host-%d.example", number), Prefix: "/", Kind: config.Once,
		Timeout: config.Duration(time.Second), MaxAttempts: 1, Shares: []config.WeightedService{{Service: "small", Weight: 1}},
		Original: []byte(fmt.Sprintf(`{"version":%d,"note":%q}`, version, strings.Repeat("n", 200))),
	}
}

func historyRouting(revision uint64) config.Routing {
	routing := config.Routing{Revision: revision, Services: []config.Service{{Name: "small", HealthPath: "/health"}}}
	for number := range historyRoutes {
		routing.Routes = append(routing.Routes, historyRoute(number, revision))
	}
	return routing
}

// patchRoute replaces one route and increments the revision.
func (cluster *Cluster) patchRoute(t *testing.T, base uint64) {
	t.Helper()
	patch := config.RoutingPatch{Revision: base + 1, Routes: []config.Route{historyRoute(int(base)%historyRoutes, base+1)}}
	err := cluster.requestChange(int(base), historyTimeout, func(ctx context.Context, node *controlplane.Node) error {
		return node.PatchRouting(ctx, "root", base, patch, fmt.Sprint("order ", base))
	})
	if err != nil {
		t.Fatalf("revision %d: %v", base+1, err)
	}
}

// awaitConfig waits until a node holds the config with a number, and returns its digest.
func (cluster *Cluster) awaitConfig(t *testing.T, host string, number uint64, view func() *feed.View) []byte {
	t.Helper()
	err := cluster.Await(historyTimeout, fmt.Sprintf("config %d at %s", number, host), func() error {
		if current := view().ConfigNumber; current != number {
			return fmt.Errorf("it holds config %d", current)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return feed.ConfigDigest(view().Source, view().Compiled)
}

// checkSameConfig checks that every control node, store and front holds the same config.
func (cluster *Cluster) checkSameConfig(t *testing.T, when string) {
	t.Helper()
	cluster.mustReadRouting(t, historyTimeout)
	newest := cluster.leader().Control.View()
	digest := feed.ConfigDigest(newest.Source, newest.Compiled)
	for _, machine := range cluster.Machines() {
		view := machine.viewFunc()
		if view == nil {
			continue
		}
		if got := cluster.awaitConfig(t, machine.Host, newest.ConfigNumber, view); !bytes.Equal(got, digest) {
			t.Fatalf("%s: %s holds different content for config %d", when, machine.Host, newest.ConfigNumber)
		}
	}
}

// viewFunc returns the function that reads the running node's view, or nil if no node runs.
func (machine *Machine) viewFunc() func() *feed.View {
	switch {
	case machine.Control != nil:
		return machine.Control.View
	case machine.Store != nil:
		return machine.Store.View
	case machine.Front != nil:
		return machine.Front.View
	}
	return nil
}

// TestManyConfigChangesThenRestarts changes the routing hundreds of times while a front, a store and
// a control node are isolated in turn. It then restarts the control nodes one after another and
// wipes one: all nodes must hold the same config, and a start must read a bounded amount.
func TestManyConfigChangesThenRestarts(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		if err := cluster.replaceRouting(0, 0, historyRouting(1), "first"); err != nil {
			t.Fatal(err)
		}
		isolated := []*Machine{cluster.Fronts[0], cluster.Stores[1], cluster.Controls[2]}
		for base := uint64(1); base < historyChanges; base++ {
			if base%80 == 20 {
				cluster.Network.Isolate(isolated[base/80].Host)
			}
			if base%80 == 70 {
				cluster.Network.Rejoin(isolated[base/80].Host)
			}
			cluster.patchRoute(t, base)
		}
		cluster.checkSameConfig(t, "after the changes")
		for _, machine := range cluster.Controls {
			machine.Kill()
			machine.Disk.TakeRead()
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
			if read, maximum := machine.Disk.TakeRead(), maxStartBytes(cluster); read > maximum {
				t.Errorf("%s read %d bytes at its start, at most %d allowed", machine.Host, read, maximum)
			}
			cluster.checkSameConfig(t, "after a restart")
		}
		wiped := cluster.Controls[1]
		wiped.Kill()
		wiped.Wipe()
		if err := wiped.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.checkSameConfig(t, "after a wipe")
		if read := cluster.mustReadRouting(t, historyTimeout); read.Revision != historyChanges || len(read.Routes) != historyRoutes {
			t.Errorf("read revision %d with %d routes", read.Revision, len(read.Routes))
		}
	})
}

// maxStartBytes returns how many bytes a control node may read at its start: a few times the config
// in force, plus an allowance for each change that is not in a snapshot yet. A log of whole configs
// would take hundreds of times the config.
func maxStartBytes(cluster *Cluster) int {
	view := cluster.leader().Control.View()
	const bytesPerChange, configCopies, slack = 4 << 10, 8, 1 << 20
	return configCopies*(len(view.Source)+len(view.Compiled)) + historyChanges*bytesPerChange + slack
}

// TestClientFarBehindReceivesFullView changes so much while a front and a store are isolated
// that the deltas they need are no longer retained.
func TestClientFarBehindReceivesFullView(t *testing.T) {
	const replacements, noteSize = 30, 600
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(7)
		lagging := []*Machine{cluster.Fronts[1], cluster.Stores[0]}
		for _, machine := range lagging {
			cluster.Network.Isolate(machine.Host)
		}
		before := cluster.leader().Control.View()
		for revision := range uint64(replacements) {
			next := historyRouting(revision + 1)
			for index := range next.Routes {
				note := make([]byte, noteSize/2)
				for position := range note {
					note[position] = byte(random.Uint32())
				}
				next.Routes[index].Original = fmt.Appendf(nil, `{"note":"%x"}`, note)
			}
			if err := cluster.replaceRouting(int(revision), revision, next, fmt.Sprint("order ", revision)); err != nil {
				t.Fatal(err)
			}
		}
		for _, machine := range lagging {
			if current := machine.viewFunc()().Number; current > before.Number {
				t.Errorf("%s was isolated at view %d and holds view %d", machine.Host, before.Number, current)
			}
			cluster.Network.Rejoin(machine.Host)
		}
		cluster.checkSameConfig(t, "after the isolated nodes rejoined")
	})
}

// TestEarlierConfigIsRestoredOrReportedMissing restores an earlier config, and expects NotFound for
// one that is not retained.
func TestEarlierConfigIsRestoredOrReportedMissing(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		number := cluster.leader().Control.View().ConfigNumber
		original := currentConfigSource(cluster)
		if err := cluster.PutConfig(Config("") + "\n// later\n"); err != nil {
			t.Fatal(err)
		}
		answer, err := cluster.Administer("POST", "/v1/query", map[string]any{"text": fmt.Sprintf("restore config %d", number)})
		if err != nil || answer.Status != 200 {
			t.Fatalf("%v, %v", answer, err)
		}
		if restored := currentConfigSource(cluster); restored != original {
			t.Errorf("the restored config is %q", restored)
		}
		answer, err = cluster.Administer("POST", "/v1/query", map[string]any{"text": "restore config 999"})
		if err != nil || answer.Status == 200 || !strings.Contains(answer.String(), string(apierror.NotFound)) {
			t.Errorf("%v, %v", answer, err)
		}
	})
}

func currentConfigSource(cluster *Cluster) string { return cluster.leader().Control.View().Source }
