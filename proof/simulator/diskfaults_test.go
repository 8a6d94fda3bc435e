package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDamagedArchivesAreRepairedFromPeers(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		said := cluster.startConversations(t, 4)
		<-time.After(6 * time.Second)
		rotten := cluster.Stores[0]
		names, err := rotten.Archive.List()
		if err != nil || len(names) == 0 {
			t.Fatalf("nothing was archived: %v", err)
		}
		for position, name := range names {
			rotten.Archive.FlipBit(name, []int{40, -30}[position%2]) // an index, or a chunk
		}
		rotten.Kill()
		if err := rotten.Start(); err != nil {
			t.Fatal(err)
		}
		<-time.After(25 * time.Second) // a scrub, and a repair round after it
		for _, other := range cluster.Stores[1:] {
			for _, name := range func() []string { names, _ := other.Archive.List(); return names }() {
				other.Archive.FlipBit(name, -30)
			}
		}
		// Only the repaired copy is complete now.
		cluster.followUp(t, said)
	})
}

func TestAStalledDiskLosesLeadershipAndConfirmsNothing(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		stalled := cluster.Stores[0]
		stalled.Disk.Stall()
		began := time.Now()
		err := cluster.Await(10*time.Second, "leadership moved", func() error {
			for group, status := range stalled.Store.Host().Statuses() {
				if status.Leading {
					return fmt.Errorf("group %d is still led", group)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("leadership moved after %s", time.Since(began))
		// It may stand for election in vain, but not keep the others from theirs.
		err = cluster.Await(5*time.Second, "leaders of all groups", func() error {
			for group := range uint32(8) {
				led := slices.ContainsFunc(cluster.Stores[1:], func(machine *Machine) bool { return machine.Store.Host().Statuses()[group].CommittedInTerm })
				if !led {
					return fmt.Errorf("group %d is not led", group)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitServing(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		said := cluster.startConversations(t, 4)
		stalled.LosePower()
		if err := stalled.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Stores[1].Kill() // the stalled one must have caught up, or nothing is confirmed
		cluster.followUp(t, said)
	})
}

func TestAFullDiskRefusesAndRecovers(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		for _, store := range cluster.Stores[:2] {
			store.Disk.Fill(true)
		}
		if _, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "no room"}); err == nil {
			t.Fatal("a turn was complete while two of three disks were full")
		}
		for _, store := range cluster.Stores[:2] {
			store.Disk.Fill(false)
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}
