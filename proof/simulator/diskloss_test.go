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

// lose takes a machine's disks away right now and starts it empty.
func lose(t *testing.T, machine *Machine) {
	t.Helper()
	machine.Kill()
	machine.Wipe()
	if err := machine.Start(); err != nil {
		t.Fatal(err)
	}
}

// wantConfig waits until the config can be read, which must then be the newest
// acknowledged one.
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
			t.Fatalf("an older config was read back, without %s: %s", text, answer)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestADiskLostRightAfterAnAcknowledgementLosesNothing lets the third replica lag
// while something is acknowledged, loses the disk of one of the two others in that
// moment, and has the laggard back.
func TestADiskLostRightAfterAnAcknowledgementLosesNothing(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(7)
		cluster.loseStoreAfterTurns(t, random)
		cluster.loseControlAfterConfig(t, random)
		cluster.enrolFourthStore(t)
		cluster.loseControlsAndStoreAfterConfig(t, random)
	})
}

// drawLaggard draws which of three machines lags behind and which one loses its disk.
func drawLaggard(random *rand.Rand, machines []*Machine) (lags, lost *Machine) {
	order := random.Perm(3)
	return machines[order[0]], machines[order[1]]
}

// loseStoreAfterTurns checks that turns and what they spent are kept.
func (cluster *Cluster) loseStoreAfterTurns(t *testing.T, random *rand.Rand) {
	t.Helper()
	lags, lost := drawLaggard(random, cluster.Stores)
	cluster.Network.Isolate(lags.Host)
	<-time.After(3 * time.Second)
	if err := cluster.AwaitServing(12 * time.Second); err != nil {
		t.Fatal(err)
	}
	said := cluster.startConversations(t, 6)
	before, err := cluster.quota(cluster.Fronts[0], "dialogue")
	if err != nil {
		t.Fatal(err)
	}
	lose(t, lost)
	cluster.Network.Rejoin(lags.Host)
	if err := cluster.AwaitServing(12 * time.Second); err != nil {
		t.Fatal(err)
	}
	after, err := cluster.quota(cluster.Fronts[1], "dialogue")
	if err != nil || after.Spent+after.Reserved < before.Spent {
		t.Fatalf("the tally was %+v, is %+v (%v)", before, after, err)
	}
	cluster.followUp(t, said)
	cluster.awaitHealed(t)
}

// loseControlAfterConfig checks that a config is kept.
func (cluster *Cluster) loseControlAfterConfig(t *testing.T, random *rand.Rand) {
	t.Helper()
	lags, lost := drawLaggard(random, cluster.Controls)
	cluster.Network.Isolate(lags.Host)
	if err := cluster.PutConfig(BasicConfig + "// the first\n"); err != nil {
		t.Fatal(err)
	}
	lose(t, lost)
	cluster.Network.Rejoin(lags.Host)
	cluster.wantConfig(t, "the first")
	if err := cluster.Await(40*time.Second, "three controls", func() error {
		reported, err := cluster.fleet()
		if err == nil && len(reported.Controls) != 3 {
			err = fmt.Errorf("%d controls are listed", len(reported.Controls))
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

// loseControlsAndStoreAfterConfig loses all control disks with one store's, and checks that
// the config and the store list are kept.
func (cluster *Cluster) loseControlsAndStoreAfterConfig(t *testing.T, random *rand.Rand) {
	t.Helper()
	lags, lost := drawLaggard(random, cluster.Stores)
	cluster.Network.Isolate(lags.Host)
	if err := cluster.PutConfig(BasicConfig + "// the second\n"); err != nil {
		t.Fatal(err)
	}
	for _, control := range cluster.Controls {
		control.Kill()
		control.Wipe()
	}
	lose(t, lost)
	cluster.Network.Rejoin(lags.Host)
	for _, control := range cluster.Controls {
		if err := control.Start(); err != nil {
			t.Fatal(err)
		}
	}
	cluster.wantConfig(t, "the second")
	reported, err := cluster.fleet()
	if err != nil || len(reported.Stores) != 4 {
		t.Fatalf("the store list has %v (%v)", reported.Stores, err)
	}
	if err := cluster.AwaitServing(20 * time.Second); err != nil {
		t.Fatal(err)
	}
}

// awaitHealed waits until every group has a leader and the replicas that the store
// list wants, so that the next loss may be borne.
func (cluster *Cluster) awaitHealed(t *testing.T) {
	t.Helper()
	err := cluster.Await(60*time.Second, "healed fleet", func() error {
		reported, err := cluster.fleet()
		if err != nil {
			return err
		}
		if reported.Unhealed > 0 {
			return fmt.Errorf("%d groups are not healed", reported.Unhealed)
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

// TestATotalOutageEndsInTimeWithMachinesMissing kills all at once, with power lost,
// and lets all but some return: a domain, or a control node and a store.
func TestATotalOutageEndsInTimeWithMachinesMissing(t *testing.T) {
	simulate(t, Shape{Controls: 5, Stores: 3, Fronts: 3, Models: 3, Applications: 3}, func(t *testing.T, cluster *Cluster) {
		random := cluster.Random(23)
		all := cluster.Fronts
		for round := range 2 {
			said := cluster.startConversations(t, 6)
			if err := cluster.PutConfig(fmt.Sprintf("%s// before outage %d\n", BasicConfig, round)); err != nil {
				t.Fatal(err)
			}
			before, err := cluster.quota(cluster.Fronts[0], "dialogue")
			if err != nil {
				t.Fatal(err)
			}
			gone := cluster.loseAllPower(random, round)
			cluster.startAllBut(t, gone)
			returned := time.Now()
			if err := cluster.AwaitServing(12 * time.Second); err != nil {
				t.Fatal(err)
			}
			t.Logf("round %d: a turn served at every front %s after the return", round, time.Since(returned))
			after, err := cluster.quota(cluster.Fronts[0], "dialogue")
			if err != nil || after.Spent+after.Reserved < before.Spent {
				t.Fatalf("the tally was %+v, is %+v (%v)", before, after, err)
			}
			cluster.wantConfig(t, fmt.Sprintf("before outage %d", round))
			cluster.followUp(t, said)
			cluster.Fronts = all
			for machine, missing := range gone {
				if missing {
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

// loseAllPower takes all machines' power and draws which of them do not return: a control
// node and a store, or in round 1 a whole domain.
func (cluster *Cluster) loseAllPower(random *rand.Rand, round int) (gone map[*Machine]bool) {
	for _, machine := range cluster.Machines() {
		machine.LosePower()
	}
	<-time.After(time.Duration(500+random.IntN(5000)) * time.Millisecond)
	gone = map[*Machine]bool{cluster.Controls[random.IntN(5)]: true, cluster.Stores[random.IntN(3)]: true}
	if round == 1 {
		name := domain(random.IntN(3))
		clear(gone)
		for _, machine := range cluster.Machines() {
			gone[machine] = machine.Domain == name
		}
	}
	return gone
}

// startAllBut starts all machines but those gone, fronts last; cluster.Fronts are those
// that run from then on.
func (cluster *Cluster) startAllBut(t *testing.T, gone map[*Machine]bool) {
	t.Helper()
	all := cluster.Fronts
	cluster.Fronts = nil
	for _, machine := range cluster.Machines() {
		if !gone[machine] {
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, front := range all {
		if !gone[front] {
			if err := front.Start(); err != nil {
				t.Fatal(err)
			}
			cluster.Fronts = append(cluster.Fronts, front)
		}
	}
}
