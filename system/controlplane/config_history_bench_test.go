package controlplane

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/configsource"
	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// newRouting returns a routing with a number of routes, each with about 300 bytes of the
// operator's original JSON.
func newRouting(routes int) config.Routing {
	routing := config.Routing{Services: []config.Service{{Name: "chat", HealthPath: "/", MaxConnections: 8}}}
	for number := range routes {
		routing.Routes = append(routing.Routes, newRoute(number, 0))
	}
	return routing
}

func newRoute(number, version int) config.Route {
	original := fmt.Sprintf(`{"name":"route-%d","host":"host-%d.example","version":%d,"note":%q}`, number, number, version, strings.Repeat("n", 200))
	return config.Route{Name: fmt.Sprintf("route-%d", number), Host: fmt.Sprintf("host-%d.example", number), Prefix: "/", Kind: config.Repeatable,
		Timeout: config.Duration(time.Second), MaxAttempts: 1 + version%5, Shares: []config.WeightedService{{Service: "chat", Weight: 1}}, Original: json.RawMessage(original)}
}

// applyRouteChanges applies a number of changes to a state machine, each of which replaces one
// route, encoded as a leader proposes them. It returns the total size of the log entries in bytes.
func applyRouteChanges(tb testing.TB, machine *feedStateMachine, routes, changes int) (logged int) {
	tb.Helper()
	decoded, _, err := configsource.Compile("")
	if err != nil {
		tb.Fatal(err)
	}
	routing := newRouting(routes)
	for number := range changes {
		if number > 0 {
			routing, err = decoded.Routing.Patched(config.RoutingPatch{Routes: []config.Route{newRoute(number%routes, number)}})
			if err != nil {
				tb.Fatal(err)
			}
		}
		routing.Revision = uint64(number + 1)
		next, compiled, err := decoded.WithRouting(routing, fmt.Sprintf("%064d", number))
		if err != nil {
			tb.Fatal(err)
		}
		decoded = next
		view := machine.state().view
		change := feed.Change{Kind: feed.ChangeConfig, By: "root", Expects: true, Expected: view.ConfigNumber, Compiled: compiled}
		logged += applyChange(tb, machine, compactForLog(view, change))
	}
	return logged
}

func applyChange(tb testing.TB, machine *feedStateMachine, change feed.Change) int {
	tb.Helper()
	data := wire.MustEncode(schema.Change_TypeID, &change)
	if outcome := machine.Apply(raft.Entry{Data: data}).(changeOutcome); outcome.err != nil {
		tb.Fatal(outcome.err)
	}
	return len(data)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkConfigHistory reports the memory use of a control node's state machine, the sizes of its
// snapshot and log entries, and the time of a restore, after changes that each replace one route.
//
//	go test ./system/controlplane -run - -bench ConfigHistory -benchtime 1x
func BenchmarkConfigHistory(b *testing.B) {
	for _, routes := range []int{8, 100, 400, 1500} {
		for _, changes := range []int{20, 300, 1000} {
			b.Run(fmt.Sprintf("routes=%d/changes=%d", routes, changes), func(b *testing.B) {
				for range b.N {
					before := heapBytes()
					machine := newFeedStateMachine()
					logged := applyRouteChanges(b, machine, routes, changes)
					heap := heapBytes() - before
					snapshot := machine.Snapshot()()
					began := time.Now()
					if err := newFeedStateMachine().Restore(snapshot); err != nil {
						b.Fatal(err)
					}
					restored := time.Since(began)
					view := machine.state().view
					b.ReportMetric(float64(len(view.Source)+len(view.Compiled))/1024, "config-KiB")
					b.ReportMetric(heap/1024, "held-KiB")
					b.ReportMetric(float64(len(snapshot))/1024, "snapshot-KiB")
					b.ReportMetric(float64(logged)/1024, "log-KiB")
					b.ReportMetric(float64(restored.Microseconds())/1000, "restore-ms")
					runtime.KeepAlive(machine)
				}
			})
		}
	}
}
