package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/forwarding"
)

// TestWipedStoreConfirmsNothingForItsPredecessor checks that a store which starts empty at the
// address of one that acknowledged a change does not count as that one. A front that reaches only it
// and a store that missed the change must not act on an outdated view.
func TestWipedStoreConfirmsNothingForItsPredecessor(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		front, network := cluster.Fronts[0], cluster.Network
		wiped, stale := cluster.Stores[0], cluster.Stores[2]
		for _, machine := range []*Machine{front, stale} {
			for _, other := range append(append([]*Machine{}, cluster.Controls...), cluster.Stores[:2]...) {
				network.Cut(machine.Host, other.Host)
			}
		}
		if err := cluster.PutConfig(strings.Replace(RoutedConfig, "revision: 1", "revision: 2", 1)); err != nil {
			t.Fatal(err)
		}
		wiped.Kill()
		wiped.Wipe()
		for _, other := range append(append([]*Machine{}, cluster.Controls...), cluster.Stores[1]) {
			network.Cut(wiped.Host, other.Host)
		}
		if err := wiped.Start(); err != nil {
			t.Fatal(err)
		}
		network.Heal(front.Host, wiped.Host)
		cluster.Sleep(2 * time.Second) // until the front's view has expired
		for number := range 20 {
			name := fmt.Sprintf("old-%d", number)
			if answer := cluster.Forward(front, forwarding.Request{ID: name, Path: "/lookup/" + name}); !answer.Rejected() {
				t.Fatalf("a front without confirmation by a store majority answered: %d %v", answer.Status, answer.Err)
			}
			cluster.Sleep(100 * time.Millisecond)
		}
	})
}
