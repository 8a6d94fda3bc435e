package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/forwarding"
)

// TestWipedStoreConfirmsNothingForItsPredecessor: a store that starts empty at the address of
// one that acknowledged a change does not count as that one. A front that reaches only it
// and a store that missed the change must not act on its old view.
func TestWipedStoreConfirmsNothingForItsPredecessor(t *testing.T) {
	simulateRouted(t, func(t *testing.T, cluster *Cluster) {
		front, network := cluster.Fronts[0], cluster.Network
		wiped, behind := cluster.Stores[0], cluster.Stores[2]
		for _, host := range []*Machine{front, behind} {
			for _, other := range append(append([]*Machine{}, cluster.Controls...), cluster.Stores[:2]...) {
				network.Cut(host.Host, other.Host)
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
		cluster.Sleep(2 * time.Second) // what the front knew is too old by now
		for number := range 20 {
			name := fmt.Sprintf("old-%d", number)
			if answer := cluster.Forward(front, forwarding.Request{Name: name, Path: "/lookup/" + name}); !answer.Rejected() {
				t.Fatalf("a front that no store majority confirmed answered: %d %v", answer.Status, answer.Err)
			}
			cluster.Sleep(100 * time.Millisecond)
		}
	})
}
