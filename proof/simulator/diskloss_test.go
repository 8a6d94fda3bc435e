package simulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

// wipeAndRestart kills a machine, wipes its disks and starts it again.
func wipeAndRestart(t *testing.T, machine *Machine) {
	t.Helper()
	machine.Kill()
	machine.Wipe()
	if err := machine.Start(); err != nil {
		t.Fatal(err)
	}
}

// wantConfig waits until the config can be read and checks that it contains the text that marks
// the newest acknowledged config.
func (cluster *Cluster) wantConfig(t *testing.T, text string) {
	t.Helper()
	cluster.wantConfigWithin(t, 40*time.Second, text)
}

func (cluster *Cluster) wantConfigWithin(t *testing.T, timeout time.Duration, text string) {
	t.Helper()
	err := cluster.Await(timeout, "readable config", func() error {
		answer, err := cluster.Administer(http.MethodGet, "/v1/config", nil)
		if err != nil {
			return err
		}
		if answer.Status != http.StatusOK {
			return &answer.Error
		}
		if !strings.Contains(string(answer.Body), text) {
			t.Fatalf("read an older config, without %s: %s", text, answer)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestDiskLossAfterAcknowledgementLosesNothing isolates one of three replicas while a write is
// acknowledged, then wipes one of the other two and lets the lagging replica rejoin.
func TestDiskLossAfterAcknowledgementLosesNothing(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(7)
		cluster.loseStoreAfterTurns(t, random)
		cluster.loseControlAfterConfig(t, random)
		cluster.enrolFourthStore(t)
		cluster.loseControlsAndStoreAfterConfig(t, random)
	})
}

// chooseLaggingAndLost picks from three machines one that lags behind and one that loses its disk.
func chooseLaggingAndLost(random *rand.Rand, machines []*Machine) (lagging, lost *Machine) {
	order := random.Perm(3)
	return machines[order[0]], machines[order[1]]
}

// loseStoreAfterTurns checks that turns and their token usage survive the loss of a store's disk.
func (cluster *Cluster) loseStoreAfterTurns(t *testing.T, random *rand.Rand) {
	t.Helper()
	lagging, lost := chooseLaggingAndLost(random, cluster.Stores)
	cluster.Network.Isolate(lagging.Host)
	<-time.After(3 * time.Second)
	if err := cluster.AwaitServing(12 * time.Second); err != nil {
		t.Fatal(err)
	}
	answers := cluster.startConversations(t, 6)
	before, err := cluster.quota(cluster.Fronts[0], "dialogue")
	if err != nil {
		t.Fatal(err)
	}
	wipeAndRestart(t, lost)
	cluster.Network.Rejoin(lagging.Host)
	if err := cluster.AwaitServing(12 * time.Second); err != nil {
		t.Fatal(err)
	}
	after, err := cluster.quota(cluster.Fronts[1], "dialogue")
	if err != nil || after.Spent+after.Reserved < before.Spent {
		t.Fatalf("quota usage was %+v, is %+v (%v)", before, after, err)
	}
	cluster.followUp(t, answers)
	cluster.awaitHealed(t)
}

// loseControlAfterConfig checks that a config survives the loss of a control node's disk.
func (cluster *Cluster) loseControlAfterConfig(t *testing.T, random *rand.Rand) {
	t.Helper()
	lagging, lost := chooseLaggingAndLost(random, cluster.Controls)
	cluster.Network.Isolate(lagging.Host)
	if err := cluster.PutConfig(BasicConfig + "// the first\n"); err != nil {
		t.Fatal(err)
	}
	wipeAndRestart(t, lost)
	cluster.Network.Rejoin(lagging.Host)
	cluster.wantConfig(t, "the first")
	if err := cluster.Await(40*time.Second, "three control nodes", func() error {
		reported, err := cluster.fleet()
		if err == nil && len(reported.Controls) != 3 {
			err = fmt.Errorf("%d control nodes are listed", len(reported.Controls))
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
}

func (cluster *Cluster) enrolFourthStore(t *testing.T) {
	t.Helper()
	fresh := cluster.AddStore(3)
	if err := fresh.Start(); err != nil {
		t.Fatal(err)
	}
	if err := cluster.Await(20*time.Second, "enrolled store", func() error {
		answer, err := cluster.Administer(http.MethodPut, "/v1/stores/"+fresh.Store.Name(), map[string]any{})
		if err == nil && answer.Status != http.StatusOK && answer.Error.Kind != "conflict" {
			err = &answer.Error
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	cluster.Stores = append(cluster.Stores, fresh)
	cluster.awaitHealed(t)
}

// loseControlsAndStoreAfterConfig wipes all control nodes and one store, and checks that the
// config and the store list survive.
func (cluster *Cluster) loseControlsAndStoreAfterConfig(t *testing.T, random *rand.Rand) {
	t.Helper()
	lagging, lost := chooseLaggingAndLost(random, cluster.Stores)
	cluster.Network.Isolate(lagging.Host)
	if err := cluster.PutConfig(BasicConfig + "// the second\n"); err != nil {
		t.Fatal(err)
	}
	for _, control := range cluster.Controls {
		control.Kill()
		control.Wipe()
	}
	wipeAndRestart(t, lost)
	cluster.Network.Rejoin(lagging.Host)
	for _, control := range cluster.Controls {
		if err := control.Start(); err != nil {
			t.Fatal(err)
		}
	}
	cluster.wantConfig(t, "the second")
	reported, err := cluster.fleet()
	if err != nil || len(reported.Stores) != 4 {
		t.Fatalf("store list is %v (%v), want 4 stores", reported.Stores, err)
	}
	if err := cluster.AwaitServing(20 * time.Second); err != nil {
		t.Fatal(err)
	}
}

// awaitHealed waits until every group has a leader and all its replicas, and every running store
// is listed, so that the cluster tolerates the next loss.
func (cluster *Cluster) awaitHealed(t *testing.T) {
	t.Helper()
	err := cluster.Await(60*time.Second, "healed fleet", func() error {
		reported, err := cluster.fleet()
		if err != nil {
			return err
		}
		if reported.Unhealed > 0 {
			return fmt.Errorf("%d groups lack replicas", reported.Unhealed)
		}
		for _, machine := range cluster.Stores {
			if machine.Store == nil {
				continue
			}
			listed := false
			for _, member := range reported.Stores {
				listed = listed || member.Name == machine.Store.Name()
			}
			if !listed {
				return errors.New(machine.Host + " is not listed")
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestRecoveryFromTotalOutageWithMachinesMissing cuts the power of all machines at once.
// All but a control node and a store, or all but one domain, start again; service must resume.
func TestRecoveryFromTotalOutageWithMachinesMissing(t *testing.T) {
	simulate(t, Shape{Controls: 5, Stores: 3, Fronts: 3, Models: 3, Applications: 3}, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(23)
		allFronts := cluster.Fronts
		for round := range 2 {
			answers := cluster.startConversations(t, 6)
			if err := cluster.PutConfig(fmt.Sprintf("%s// before outage %d\n", BasicConfig, round)); err != nil {
				t.Fatal(err)
			}
			before, err := cluster.quota(cluster.Fronts[0], "dialogue")
			if err != nil {
				t.Fatal(err)
			}
			missing := cluster.loseAllPower(random, round)
			cluster.startAllExcept(t, missing)
			restarted := time.Now()
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
			t.Logf("round %d: every front serves turns %s after the restart", round, time.Since(restarted))
			after, err := cluster.quota(cluster.Fronts[0], "dialogue")
			if err != nil || after.Spent+after.Reserved < before.Spent {
				t.Fatalf("quota usage was %+v, is %+v (%v)", before, after, err)
			}
			cluster.wantConfig(t, fmt.Sprintf("before outage %d", round))
			cluster.followUp(t, answers)
			cluster.Fronts = allFronts
			for machine, absent := range missing {
				if absent {
					if err := machine.Start(); err != nil {
						t.Fatal(err)
					}
				}
			}
			cluster.awaitHealed(t)
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// loseAllPower cuts the power of all machines and picks those that stay down: a control node
// and a store, or in round 1 a whole domain.
func (cluster *Cluster) loseAllPower(random *rand.Rand, round int) (missing map[*Machine]bool) {
	for _, machine := range cluster.Machines() {
		machine.LosePower()
	}
	<-time.After(time.Duration(500+random.IntN(5000)) * time.Millisecond)
	missing = map[*Machine]bool{cluster.Controls[random.IntN(5)]: true, cluster.Stores[random.IntN(3)]: true}
	if round == 1 {
		name := domain(random.IntN(3))
		clear(missing)
		for _, machine := range cluster.Machines() {
			missing[machine] = machine.Domain == name
		}
	}
	return missing
}

// startAllExcept starts all machines except the missing ones. Fronts start last, and
// cluster.Fronts holds only the running ones from then on.
func (cluster *Cluster) startAllExcept(t *testing.T, missing map[*Machine]bool) {
	t.Helper()
	allFronts := cluster.Fronts
	cluster.Fronts = nil
	for _, machine := range cluster.Machines() {
		if !missing[machine] {
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, front := range allFronts {
		if !missing[front] {
			if err := front.Start(); err != nil {
				t.Fatal(err)
			}
			cluster.Fronts = append(cluster.Fronts, front)
		}
	}
}
