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

// historyRoute is one of many routes; its version stands in what its operator wrote.
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

// amend replaces one route, under the next revision.
func (cluster *Cluster) amend(t *testing.T, base uint64) {
	t.Helper()
	amendment := config.RoutingPatch{Revision: base + 1, Routes: []config.Route{historyRoute(int(base)%historyRoutes, base+1)}}
	err := cluster.requestChange(int(base), historyTimeout, func(ctx context.Context, node *controlplane.Node) error {
		return node.PatchRouting(ctx, "root", base, amendment, fmt.Sprint("order ", base))
	})
	if err != nil {
		t.Fatalf("revision %d: %v", base+1, err)
	}
}

// awaitConfig waits until a machine's node holds a config of a number, and gives its digest.
func (cluster *Cluster) awaitConfig(t *testing.T, host string, number uint64, view func() *feed.View) []byte {
	t.Helper()
	err := cluster.Await(historyTimeout, fmt.Sprintf("config %d at %s", number, host), func() error {
		if buffered := view().ConfigNumber; buffered != number {
			return fmt.Errorf("it holds %d", buffered)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return feed.ConfigDigest(view().Source, view().Compiled)
}

// checkSameConfig demands that every control node, store and front holds the same config.
func (cluster *Cluster) checkSameConfig(t *testing.T, when string) {
	t.Helper()
	cluster.mustRead(t, historyTimeout)
	newest := cluster.leader().Control.View()
	digest := feed.ConfigDigest(newest.Source, newest.Compiled)
	for _, machine := range cluster.Machines() {
		view := machine.view()
		if view == nil {
			continue
		}
		if buffered := cluster.awaitConfig(t, machine.Host, newest.ConfigNumber, view); !bytes.Equal(buffered, digest) {
			t.Fatalf("%s: %s holds another config of number %d", when, machine.Host, newest.ConfigNumber)
		}
	}
}

// view reads the view that a running node holds.
func (machine *Machine) view() func() *feed.View {
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

// TestManyConfigChangesThenRestarts makes hundreds of changes of many routes while a front,
// a store and a control node in turn miss some of them, then restarts and wipes control
// nodes one after another: all hold the same config, and what a start reads is bounded.
func TestManyConfigChangesThenRestarts(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		if err := cluster.replace(0, 0, historyRouting(1), "first"); err != nil {
			t.Fatal(err)
		}
		missing := []*Machine{cluster.Fronts[0], cluster.Stores[1], cluster.Controls[2]}
		for base := uint64(1); base < historyChanges; base++ {
			if base%80 == 20 {
				cluster.Network.Isolate(missing[base/80].Host)
			}
			if base%80 == 70 {
				cluster.Network.Rejoin(missing[base/80].Host)
			}
			cluster.amend(t, base)
		}
		cluster.checkSameConfig(t, "after the changes")
		for _, machine := range cluster.Controls {
			machine.Kill()
			machine.Disk.TakeRead()
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
			if read, maximum := machine.Disk.TakeRead(), startBytes(cluster); read > maximum {
				t.Errorf("%s read %d bytes at its start, more than %d", machine.Host, read, maximum)
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
		if read := cluster.mustRead(t, historyTimeout); read.Revision != historyChanges || len(read.Routes) != historyRoutes {
			t.Errorf("revision %d with %d routes", read.Revision, len(read.Routes))
		}
	})
}

// startBytes is what a control node may read at its start: a few times the config in force,
// and a part for each change that is not in a snapshot yet. With whole configs in the log it
// would be hundreds of times the config.
func startBytes(cluster *Cluster) int {
	view := cluster.leader().Control.View()
	const perChange, fewTimes, slack = 4 << 10, 8, 1 << 20
	return fewTimes*(len(view.Source)+len(view.Compiled)) + historyChanges*perChange + slack
}

// TestClientFarBehindGetsACompleteView changes so much while a front and a store are cut off
// that the differences are no longer kept.
func TestClientFarBehindGetsACompleteView(t *testing.T) {
	const replacements, noteSize = 30, 600
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(7)
		behind := []*Machine{cluster.Fronts[1], cluster.Stores[0]}
		for _, machine := range behind {
			cluster.Network.Isolate(machine.Host)
		}
		before := cluster.leader().Control.View()
		for revision := range uint64(replacements) {
			next := historyRouting(revision + 1)
			for at := range next.Routes {
				note := make([]byte, noteSize/2)
				for position := range note {
					note[position] = byte(random.Uint32())
				}
				next.Routes[at].Original = fmt.Appendf(nil, `{"note":"%x"}`, note)
			}
			if err := cluster.replace(int(revision), revision, next, fmt.Sprint("order ", revision)); err != nil {
				t.Fatal(err)
			}
		}
		for _, machine := range behind {
			if buffered := machine.view()().Number; buffered > before.Number {
				t.Errorf("%s was cut off at %d and holds %d", machine.Host, before.Number, buffered)
			}
			cluster.Network.Rejoin(machine.Host)
		}
		cluster.checkSameConfig(t, "after they came back")
	})
}

// TestEarlierConfigIsRestoredOrReportedMissing restores a config through differences, and
// demands a clear error for one that is no longer kept.
func TestEarlierConfigIsRestoredOrReportedMissing(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		number := cluster.leader().Control.View().ConfigNumber
		digest := sourceOf(cluster)
		if err := cluster.PutConfig(Config("") + "\n// later\n"); err != nil {
			t.Fatal(err)
		}
		answer, err := cluster.Administer("POST", "/v1/query", map[string]any{"text": fmt.Sprintf("restore config %d", number)})
		if err != nil || answer.Status != 200 {
			t.Fatalf("%v, %v", answer, err)
		}
		if restored := sourceOf(cluster); restored != digest {
			t.Errorf("restored is %q", restored)
		}
		answer, err = cluster.Administer("POST", "/v1/query", map[string]any{"text": "restore config 999"})
		if err != nil || answer.Status == 200 || !strings.Contains(answer.String(), string(apierror.NotFound)) {
			t.Errorf("%v, %v", answer, err)
		}
	})
}

func sourceOf(cluster *Cluster) string { return cluster.leader().Control.View().Source }
