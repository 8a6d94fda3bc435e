package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDamagedArchivesAreRepairedFromPeers(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		answers := cluster.startConversations(t, 4)
		<-time.After(6 * time.Second)
		damaged := cluster.Stores[0]
		names, err := damaged.Archive.List()
		if err != nil || len(names) == 0 {
			t.Fatalf("nothing was archived: %v", err)
		}
		for position, name := range names {
			damaged.Archive.FlipBit(name, []int{40, -30}[position%2]) // damages an index or a chunk
		}
		damaged.Kill()
		if err := damaged.Start(); err != nil {
			t.Fatal(err)
		}
		<-time.After(25 * time.Second) // one scrub and the following repair round
		for _, other := range cluster.Stores[1:] {
			for _, name := range func() []string { names, _ := other.Archive.List(); return names }() {
				other.Archive.FlipBit(name, -30)
			}
		}
		// Only the repaired copy is intact now.
		cluster.followUp(t, answers)
	})
}

func TestStalledDiskLosesLeadershipAndAcknowledgesNothing(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		stalled := cluster.Stores[0]
		stalled.Disk.Stall()
		began := time.Now()
		err := cluster.Await(10*time.Second, "transfer of leadership", func() error {
			for group, status := range stalled.Store.Host().Statuses() {
				if status.Leading {
					return fmt.Errorf("the stalled store still leads group %d", group)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("leadership moved after %s", time.Since(began))
		// The stalled store may be a candidate, but must not prevent the others from electing a leader.
		err = cluster.Await(5*time.Second, "leaders of all groups", func() error {
			for group := range uint32(8) {
				led := slices.ContainsFunc(cluster.Stores[1:], func(machine *Machine) bool { return machine.Store.Host().Statuses()[group].CommittedInTerm })
				if !led {
					return fmt.Errorf("group %d has no leader", group)
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
		answers := cluster.startConversations(t, 4)
		stalled.LosePower()
		if err := stalled.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Stores[1].Kill() // so that a quorum needs the store that was stalled
		cluster.followUp(t, answers)
	})
}

func TestFullDisksRejectTurnsAndRecover(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		for _, store := range cluster.Stores[:2] {
			store.Disk.Fill(true)
		}
		if _, err := cluster.Turn(cluster.Fronts[0], map[string]any{"program": "dialogue", "kind": "talk", "words": "no room"}); err == nil {
			t.Fatal("a turn completed while two of three disks were full")
		}
		for _, store := range cluster.Stores[:2] {
			store.Disk.Fill(false)
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}
