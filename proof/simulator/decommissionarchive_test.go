package simulator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// untilArchive waits until so long before or after the next time that stores archive and
// compare all their copies. They archive every 5 s and compare every 10 s, all counted from
// when the cluster's clock began.
func untilArchive(offset time.Duration) {
	const period = 10 * time.Second
	elapsed := time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))
	<-time.After((elapsed/period+1)*period - elapsed + offset)
}

// withoutLeastLoaded returns all stores but the one that has replicas of the fewest groups: the
// others share the most groups.
func (cluster *Cluster) withoutLeastLoaded() []*Machine {
	spare := slices.MinFunc(cluster.Stores, func(left, right *Machine) int {
		return len(left.Store.Host().Statuses()) - len(right.Store.Host().Statuses())
	})
	return slices.DeleteFunc(slices.Clone(cluster.Stores), func(machine *Machine) bool { return machine == spare })
}

// led counts the groups that a store leads and another has a replica of.
func (machine *Machine) led(other *Machine) int {
	count := 0
	for _, status := range machine.Store.Host().Statuses() {
		if status.CommittedInTerm && slices.Contains(status.Membership.Voters, other.Store.Name()) {
			count++
		}
	}
	return count
}

// TestDecommissionedStoreKeepsNewestArchivedRangeAvailable cuts one store off while a range is
// archived on the other two of its group, and retires one of these meanwhile. The cut one
// comes back, and then the last store that was there all the time loses its disk.
func TestDecommissionedStoreKeepsNewestArchivedRangeAvailable(t *testing.T) {
	simulate(t, fourStores, func(t *testing.T, cluster *Cluster) {
		cluster.awaitStores(t, 4)
		sharing := cluster.withoutLeastLoaded()
		at := cluster.Random(61).IntN(len(sharing))
		cut := sharing[at]
		sharing = slices.Delete(sharing, at, at+1)
		untilArchive(-5900 * time.Millisecond)
		cluster.Network.Isolate(cut.Host)
		if err := cluster.AwaitServing(4 * time.Second); err != nil {
			t.Fatal(err)
		}
		stays := slices.MaxFunc(sharing, func(left, right *Machine) int { return left.led(cut) - right.led(cut) })
		leaving := sharing[0]
		if leaving == stays {
			leaving = sharing[1]
		}
		said := cluster.startConversations(t, 12)
		untilArchive(50 * time.Millisecond)
		machine := "storage " + leaving.Host
		if err := cluster.beginRetire(0, machine); err != nil {
			t.Fatal(err)
		}
		<-time.After(3500 * time.Millisecond)
		cluster.Network.Rejoin(cut.Host)
		returned := time.Now()
		state := feed.StateDecommissioning
		for time.Since(returned) < successorTime {
			if reported, err := cluster.retireState(1, machine); err == nil && reported == feed.StateDecommissioned && state == feed.StateDecommissioning {
				t.Logf("retired %s after the cut", time.Since(returned))
				state = reported
				leaving.LosePower()
				leaving.Wipe()
			}
			<-time.After(50 * time.Millisecond)
		}
		lose(t, stays)
		if state == feed.StateDecommissioning {
			cluster.awaitRetired(t, machine)
			leaving.LosePower()
			leaving.Wipe()
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, said)
	})
}

// groupsOn lists the groups of which a store has a voting replica, by the word of any store.
func (cluster *Cluster) groupsOn(name string) map[uint32]bool {
	groups := map[uint32]bool{}
	for _, machine := range cluster.Stores {
		for group, status := range machine.Store.Host().Statuses() {
			if status.CommittedInTerm && slices.Contains(status.Membership.Voters, name) {
				groups[group] = true
			}
		}
	}
	return groups
}

// differingArchives lists the groups of which two voters differ in the archived ranges that
// they hold.
func (cluster *Cluster) differingArchives(t *testing.T) map[uint32]string {
	t.Helper()
	caller := link.NewClient(cluster.Network.At("10.8.2.1"))
	defer caller.Close()
	sums := func(machine *Machine, group uint32) []uint64 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reply, err := caller.Call(ctx, machine.Host+":7000", &wire.Query{Which: schema.Query_Which_digests, Digests: &wire.DigestQuery{Group: group}})
		if err != nil || reply.Digests == nil {
			t.Fatalf("%s: %v", machine.Host, err)
		}
		return reply.Digests.BucketDigests
	}
	lacking := map[uint32]string{}
	for _, leader := range cluster.Stores {
		for group, status := range leader.Store.Host().Statuses() {
			if !status.CommittedInTerm {
				continue
			}
			for _, machine := range cluster.Stores {
				if slices.Contains(status.Membership.Voters, machine.Store.Name()) && !slices.Equal(sums(machine, group), sums(leader, group)) {
					lacking[group] = machine.Host + " and " + leader.Host
				}
			}
		}
	}
	return lacking
}

// wantArchivesEqual wants all voters of the groups that a store has left to hold the same
// archived ranges at once, and those of all groups within the time in which a replica that
// missed a range is repaired.
func (cluster *Cluster) wantArchivesEqual(t *testing.T, left map[uint32]bool) {
	t.Helper()
	for group, pair := range cluster.differingArchives(t) {
		if left[group] {
			t.Errorf("group %d: %s differ in what is archived, though a store has left it", group, pair)
		}
	}
	if err := cluster.Await(2*time.Second, "same archived ranges everywhere", func() error {
		if lacking := cluster.differingArchives(t); len(lacking) > 0 {
			return fmt.Errorf("%v differ", lacking)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
}

// TestDecommissionEndsWithAllArchivesElsewhere retires a store as another one comes
// back that was cut off while ranges were archived.
func TestDecommissionEndsWithAllArchivesElsewhere(t *testing.T) {
	simulate(t, fourStores, func(t *testing.T, cluster *Cluster) {
		cluster.awaitStores(t, 4)
		order := cluster.Random(62).Perm(4)
		cut, leaving := cluster.Stores[order[0]], cluster.Stores[order[1]]
		untilArchive(-5900 * time.Millisecond)
		cluster.Network.Isolate(cut.Host)
		if err := cluster.AwaitServing(4 * time.Second); err != nil {
			t.Fatal(err)
		}
		said := cluster.startConversations(t, 12)
		untilArchive(3500 * time.Millisecond)
		cluster.Network.Rejoin(cut.Host)
		machine, left := "storage "+leaving.Host, cluster.groupsOn(leaving.Store.Name())
		if err := cluster.beginRetire(0, machine); err != nil {
			t.Fatal(err)
		}
		cluster.awaitRetired(t, machine)
		cluster.Stores = slices.DeleteFunc(cluster.Stores, func(machine *Machine) bool { return machine == leaving })
		cluster.wantArchivesEqual(t, left)
		leaving.LosePower()
		leaving.Wipe()
		cluster.followUp(t, said)
	})
}

// TestDecommissionDuringFaults kills, wipes or cuts off another store, the leaving one or
// the control leader, right after a store begins to decommission. The decommissioned one loses
// its disk as soon as it is reported as retired, and another 4.3 s after the faults have ended.
func TestDecommissionDuringFaults(t *testing.T) {
	const away, cutFor = 500 * time.Millisecond, 20 * time.Second
	troubles := map[string]func(t *testing.T, cluster *Cluster, machine *Machine){
		"kill": func(t *testing.T, _ *Cluster, machine *Machine) {
			machine.Kill()
			<-time.After(away)
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		},
		"wipe": func(t *testing.T, _ *Cluster, machine *Machine) {
			machine.LosePower()
			machine.Wipe()
			<-time.After(away)
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		},
		"cut": func(_ *testing.T, cluster *Cluster, machine *Machine) {
			cluster.Network.Isolate(machine.Host)
			<-time.After(cutFor)
			cluster.Network.Rejoin(machine.Host)
		},
	}
	for name, fault := range troubles {
		t.Run(name, func(t *testing.T) {
			simulate(t, fourStores, func(t *testing.T, cluster *Cluster) {
				cluster.awaitStores(t, 4)
				said := cluster.startConversations(t, 8)
				<-time.After(time.Duration(cluster.Random(63).IntN(6000)) * time.Millisecond)
				order := cluster.Random(64).Perm(4)
				leaving, other, second := cluster.Stores[order[0]], cluster.Stores[order[1]], cluster.Stores[order[2]]
				victims := []*Machine{other, leaving, cluster.leader()}
				victim := victims[cluster.Random(65).IntN(len(victims))]
				machine := "storage " + leaving.Host
				if err := cluster.beginRetire(0, machine); err != nil {
					t.Fatal(err)
				}
				fault(t, cluster, victim)
				over := time.Now()
				cluster.awaitRetired(t, machine)
				leaving.LosePower()
				leaving.Wipe()
				cluster.Stores = slices.DeleteFunc(cluster.Stores, func(machine *Machine) bool { return machine == leaving })
				<-time.After(successorTime - time.Since(over))
				lose(t, second)
				if err := cluster.AwaitServing(12 * time.Second); err != nil {
					t.Fatal(err)
				}
				cluster.followUp(t, said)
			})
		})
	}
}
