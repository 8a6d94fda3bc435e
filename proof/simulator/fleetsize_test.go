package simulator

import (
	"testing"
	"time"

	"yardrock.example/system/controlplane"
)

// TestSessionTrafficIsBoundedAsFleetGrows compares the network traffic of idle control nodes with 5
// and with 65 nodes that have sessions and follow the feed.
func TestSessionTrafficIsBoundedAsFleetGrows(t *testing.T) {
	simulate(t, Shape{Controls: 3, Stores: 3, Fronts: 2, Models: 1, Applications: 1, Engines: 1}, func(t *testing.T, cluster *Cluster) {
		const span = 10
		measure := func() (messages, bytes, maximum int64) {
			before := map[string][2]int64{}
			for _, machine := range cluster.Controls {
				sent, writes := cluster.Network.Sent(machine.Host)
				before[machine.Host] = [2]int64{sent, writes}
			}
			<-time.After(span * time.Second)
			for _, machine := range cluster.Controls {
				sent, writes := cluster.Network.Sent(machine.Host)
				messages += writes - before[machine.Host][1]
				bytes += sent - before[machine.Host][0]
				maximum = max(maximum, writes-before[machine.Host][1])
			}
			return messages / span, bytes / span, maximum / span
		}
		<-time.After(5 * time.Second)
		messages, bytes, maximum := measure()
		t.Logf("5 following nodes: all control nodes send %d messages and %d bytes per second, one at most %d messages", messages, bytes, maximum)
		cluster.followFeed(t, 60)
		<-time.After(5 * time.Second)
		moreMessages, moreBytes, maximumOfMore := measure()
		t.Logf("65 following nodes: all control nodes send %d messages and %d bytes per second, one at most %d messages", moreMessages, moreBytes, maximumOfMore)
		if perNode := float64(moreMessages-messages) / 60; perNode > 6 || moreBytes > 400_000 {
			t.Errorf("each further node costs the control nodes %.1f messages per second, all 65 cost %d bytes per second", perNode, moreBytes)
		}
		if 10*maximumOfMore > 7*moreMessages {
			t.Errorf("one control node sends %d of %d messages", maximumOfMore, moreMessages)
		}
	})
}

// TestWipedFleetIsNotBootstrappedAgain wipes all control nodes, whose settings say that the fleet
// exists: they must wait instead of bootstrapping another.
func TestWipedFleetIsNotBootstrappedAgain(t *testing.T) {
	simulate(t, autoEnrolShape(3, 3), func(t *testing.T, cluster *Cluster) {
		cluster.adjust = func(_ *Cluster, settings *controlplane.Settings) { settings.JoinExisting = true }
		for _, machine := range cluster.Controls {
			machine.LosePower()
			machine.Wipe()
		}
		startAll(t, cluster.Controls)
		<-time.After(20 * time.Second)
		for _, machine := range cluster.Controls {
			if view := machine.Control.View(); view.Number != 0 || machine.Control.Ready() {
				t.Fatalf("%s has bootstrapped fleet %s", machine.Host, view.Fleet)
			}
		}
	})
}
