package simulator

import (
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/forwarding"
)

// TestTwoDisksLostAtOnceLoseNoTurn checks that with five replicas the loss of two disks neither
// loses a turn nor stops the fleet.
func TestTwoDisksLostAtOnceLoseNoTurn(t *testing.T) {
	shape := Shape{Controls: 5, Stores: 6, Fronts: 2, Models: 1, Applications: 1, Engines: 3, Tools: 2, AutoEnrol: true, Replicas: 5}
	simulate(t, shape, func(t *testing.T, cluster *Cluster) {
		if err := cluster.PutConfig(RoutedConfig); err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitForwarding(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		turn := func(program, name, follows string) *ForwardedAnswer {
			return cluster.Forward(cluster.Fronts[0], forwarding.Request{ID: name, Path: "/talk/kept/1", Follows: follows, Body: []byte("words of " + name), Program: program, HasOutputBudget: true, OutputBudget: 10000, MaxOutputTokens: 40})
		}
		histories := map[string]string{}
		for number := range 24 {
			program := fmt.Sprintf("p%d", number)
			first := turn(program, program+"-1", "")
			if !first.Complete() {
				t.Fatalf("%s: %d %v", program, first.Status, first.Err)
			}
			histories[program] = "words of " + program + "-1" + first.Text()
		}
		lost := []*Machine{cluster.Stores[0], cluster.Stores[1]} // in two domains
		for _, machine := range lost {
			machine.LosePower()
			machine.Wipe()
		}
		check := func(step string) {
			for program, before := range histories {
				name := program + step
				if err := cluster.Await(4*time.Second, "a turn of "+program, func() error {
					name += "'"
					if answer := turn(program, name, program+"-1"); !answer.Complete() {
						return fmt.Errorf("%d: %w", answer.Status, answer.Err)
					}
					return nil
				}); err != nil {
					t.Fatal(err)
				}
				if got := promptOf(cluster, name); got != before+"words of "+name {
					t.Fatalf("%s: the engine got the prompt %q", name, got)
				}
			}
		}
		check("-away")
		startAll(t, lost)
		check("-back")
	})
}
