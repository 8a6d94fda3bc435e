package simulator

import (
	"net/http"
	"testing"
)

// TestEventsOfEverySuccessfulStreamAreSaved guards against turns that are answered whole and saved
// without the data of their events, as the status or a parameter of the type is unusual.
func TestEventsOfEverySuccessfulStreamAreSaved(t *testing.T) {
	for name, head := range map[string]struct {
		status int
		kind   string
	}{
		"a parameter":             {http.StatusOK, "text/event-stream; charset=utf-8"},
		"a parameter of no value": {http.StatusOK, "Text/Event-Stream;x"},
		"another success":         {http.StatusCreated, "text/event-stream"},
	} {
		t.Run(name, func(t *testing.T) {
			simulateRouted(t, func(t *testing.T, cluster *Cluster) {
				for _, machine := range cluster.Engines {
					machine.Engine.StreamStatus, machine.Engine.StreamType = head.status, head.kind
				}
				first := cluster.forwardKeptTurn(0, "first", "", "one ")
				if first.Err != nil || first.Status != head.status || string(first.Body) != streamOf("one ") {
					t.Fatalf("%d %q %v", first.Status, first.Body, first.Err)
				}
				second := cluster.forwardKeptTurn(1, "second", "first", "two ")
				if got, want := promptOf(cluster, "second"), "one "+first.Text()+"two "; second.Err != nil || got != want {
					t.Errorf("%v, a runner got %q, not %q", second.Err, got, want)
				}
			})
		})
	}
}
