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

// sleepUntilArchiving sleeps until offset from the next time at which stores both archive and compare
// their archived ranges. They archive every 5 s and compare every 10 s, counted from the start of
// the simulated clock.
func sleepUntilArchiving(offset time.Duration) {
	const period = 10 * time.Second
	elapsed := time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))
	<-time.After((elapsed/period+1)*period - elapsed + offset)
}

// withoutLeastLoaded returns all stores except the one with the fewest replicas, so that the
// returned ones have the most groups in common.
func (cluster *Cluster) withoutLeastLoaded() []*Machine {
	leastLoaded := slices.MinFunc(cluster.Stores, func(left, right *Machine) int {
		return len(left.Store.Host().Statuses()) - len(right.Store.Host().Statuses())
	})
	return slices.DeleteFunc(slices.Clone(cluster.Stores), func(machine *Machine) bool { return machine == leastLoaded })
}

// ledGroupsSharedWith counts the groups that a store leads and in which another store is a voter.
func (machine *Machine) ledGroupsSharedWith(other *Machine) int {
	count := 0
	for _, status := range machine.Store.Host().Statuses() {
		if status.CommittedInTerm && slices.Contains(status.Membership.Voters, other.Store.Name()) {
			count++
		}
	}
	return count
}

// TestDecommissionedStoreKeepsNewestArchivedRangeAvailable isolates one store while the other
// two voters of its groups archive a range, and decommissions one of these two. After the isolated
// store has rejoined, the last store that archived the range loses its disk.
func TestDecommissionedStoreKeepsNewestArchivedRangeAvailable(t *testing.T) {
	simulate(t, fourStoreShape, func(t *testing.T, cluster *Cluster) {
		cluster.awaitStores(t, 4)
		candidates := cluster.withoutLeastLoaded()
		index := cluster.Random(61).IntN(len(candidates))
		isolated := candidates[index]
		candidates = slices.Delete(candidates, index, index+1)
		sleepUntilArchiving(-5900 * time.Millisecond)
		cluster.Network.Isolate(isolated.Host)
		if err := cluster.AwaitServing(4 * time.Second); err != nil {
			t.Fatal(err)
		}
		survivor := slices.MaxFunc(candidates, func(left, right *Machine) int {
			return left.ledGroupsSharedWith(isolated) - right.ledGroupsSharedWith(isolated)
		})
		leaving := candidates[0]
		if leaving == survivor {
			leaving = candidates[1]
		}
		answers := cluster.startConversations(t, 12)
		sleepUntilArchiving(50 * time.Millisecond)
		machineName := "storage " + leaving.Host
		if err := cluster.beginDecommission(0, machineName); err != nil {
			t.Fatal(err)
		}
		<-time.After(3500 * time.Millisecond)
		cluster.Network.Rejoin(isolated.Host)
		rejoined := time.Now()
		state := feed.StateDecommissioning
		for time.Since(rejoined) < recoveryTime {
			if reported, err := cluster.decommissionState(1, machineName); err == nil && reported == feed.StateDecommissioned && state == feed.StateDecommissioning {
				t.Logf("decommissioned %s after the isolated store rejoined", time.Since(rejoined))
				state = reported
				leaving.LosePower()
				leaving.Wipe()
			}
			<-time.After(50 * time.Millisecond)
		}
		wipeAndRestart(t, survivor)
		if state == feed.StateDecommissioning {
			cluster.awaitDecommissioned(t, machineName)
			leaving.LosePower()
			leaving.Wipe()
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, answers)
	})
}

// groupsWithVoter returns the groups of which a store is a voter, as reported by their leaders.
func (cluster *Cluster) groupsWithVoter(name string) map[uint32]bool {
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

// differingArchiveGroups compares the digests of the archived ranges of all voters with those of
// their group's leader. For each group with a difference it names two differing stores.
func (cluster *Cluster) differingArchiveGroups(t *testing.T) map[uint32]string {
	t.Helper()
	caller := link.NewClient(cluster.Network.At("10.8.2.1"))
	defer caller.Close()
	digests := func(machine *Machine, group uint32) []uint64 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reply, err := caller.Call(ctx, machine.Host+":7000", &wire.Query{Which: schema.Query_Which_digests, Digests: &wire.DigestQuery{Group: group}})
		if err != nil || reply.Digests == nil {
			t.Fatalf("%s: %v", machine.Host, err)
		}
		return reply.Digests.BucketDigests
	}
	differing := map[uint32]string{}
	for _, leader := range cluster.Stores {
		for group, status := range leader.Store.Host().Statuses() {
			if !status.CommittedInTerm {
				continue
			}
			for _, machine := range cluster.Stores {
				if slices.Contains(status.Membership.Voters, machine.Store.Name()) && !slices.Equal(digests(machine, group), digests(leader, group)) {
					differing[group] = machine.Host + " and " + leader.Host
				}
			}
		}
	}
	return differing
}

// checkArchivesEqual checks that the voters of each group that a store has left hold the same
// archived ranges immediately, and that the voters of all groups do within the time that the
// repair of a missed range takes.
func (cluster *Cluster) checkArchivesEqual(t *testing.T, leftGroups map[uint32]bool) {
	t.Helper()
	for group, pair := range cluster.differingArchiveGroups(t) {
		if leftGroups[group] {
			t.Errorf("group %d: %s hold different archived ranges after a store has left the group", group, pair)
		}
	}
	if err := cluster.Await(2*time.Second, "equal archived ranges on all voters", func() error {
		if differing := cluster.differingArchiveGroups(t); len(differing) > 0 {
			return fmt.Errorf("archived ranges differ: %v", differing)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
}

// TestDecommissionEndsWithAllArchivesReplicated decommissions a store just as another one
// rejoins that was isolated while ranges were archived.
func TestDecommissionEndsWithAllArchivesReplicated(t *testing.T) {
	simulate(t, fourStoreShape, func(t *testing.T, cluster *Cluster) {
		cluster.awaitStores(t, 4)
		order := cluster.Random(62).Perm(4)
		isolated, leaving := cluster.Stores[order[0]], cluster.Stores[order[1]]
		sleepUntilArchiving(-5900 * time.Millisecond)
		cluster.Network.Isolate(isolated.Host)
		if err := cluster.AwaitServing(4 * time.Second); err != nil {
			t.Fatal(err)
		}
		answers := cluster.startConversations(t, 12)
		sleepUntilArchiving(3500 * time.Millisecond)
		cluster.Network.Rejoin(isolated.Host)
		machineName, leftGroups := "storage "+leaving.Host, cluster.groupsWithVoter(leaving.Store.Name())
		if err := cluster.beginDecommission(0, machineName); err != nil {
			t.Fatal(err)
		}
		cluster.awaitDecommissioned(t, machineName)
		cluster.Stores = slices.DeleteFunc(cluster.Stores, func(machine *Machine) bool { return machine == leaving })
		cluster.checkArchivesEqual(t, leftGroups)
		leaving.LosePower()
		leaving.Wipe()
		cluster.followUp(t, answers)
	})
}

// TestDecommissionDuringFaults kills, wipes or isolates another store, the leaving store or the
// control leader right after a decommission begins. The leaving store is wiped as soon as it is
// reported as decommissioned, and another store recoveryTime after the fault has ended.
func TestDecommissionDuringFaults(t *testing.T) {
	const downtime, isolation = 500 * time.Millisecond, 20 * time.Second
	faults := map[string]func(t *testing.T, cluster *Cluster, machine *Machine){
		"kill": func(t *testing.T, _ *Cluster, machine *Machine) {
			machine.Kill()
			<-time.After(downtime)
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		},
		"wipe": func(t *testing.T, _ *Cluster, machine *Machine) {
			machine.LosePower()
			machine.Wipe()
			<-time.After(downtime)
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		},
		"cut": func(_ *testing.T, cluster *Cluster, machine *Machine) {
			cluster.Network.Isolate(machine.Host)
			<-time.After(isolation)
			cluster.Network.Rejoin(machine.Host)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, fourStoreShape, func(t *testing.T, cluster *Cluster) {
				cluster.awaitStores(t, 4)
				answers := cluster.startConversations(t, 8)
				<-time.After(time.Duration(cluster.Random(63).IntN(6000)) * time.Millisecond)
				order := cluster.Random(64).Perm(4)
				leaving, other, nextLost := cluster.Stores[order[0]], cluster.Stores[order[1]], cluster.Stores[order[2]]
				victims := []*Machine{other, leaving, cluster.leader()}
				victim := victims[cluster.Random(65).IntN(len(victims))]
				machineName := "storage " + leaving.Host
				if err := cluster.beginDecommission(0, machineName); err != nil {
					t.Fatal(err)
				}
				fault(t, cluster, victim)
				faultEnd := time.Now()
				cluster.awaitDecommissioned(t, machineName)
				leaving.LosePower()
				leaving.Wipe()
				cluster.Stores = slices.DeleteFunc(cluster.Stores, func(machine *Machine) bool { return machine == leaving })
				<-time.After(recoveryTime - time.Since(faultEnd))
				wipeAndRestart(t, nextLost)
				if err := cluster.AwaitServing(12 * time.Second); err != nil {
					t.Fatal(err)
				}
				cluster.followUp(t, answers)
			})
		})
	}
}
