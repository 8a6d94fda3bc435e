package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"yardrock.example/proof/standin"
	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerclient"
)

// dialogues starts conversations that a test follows up later.
func (cluster *Cluster) dialogues(t *testing.T, count int) []*StreamedAnswer {
	t.Helper()
	said := []*StreamedAnswer{}
	for round := range count {
		answer, err := cluster.Turn(cluster.Fronts[round%len(cluster.Fronts)], map[string]any{"program": "dialogue", "kind": "talk", "words": fmt.Sprintf("before %d", round)})
		if err != nil {
			t.Fatal(err)
		}
		said = append(said, answer)
	}
	return said
}

// followUp follows each conversation; the model must hear what was said.
func (cluster *Cluster) followUp(t *testing.T, said []*StreamedAnswer) {
	t.Helper()
	for position, before := range said {
		question := fmt.Sprintf("after %d", position)
		var after *StreamedAnswer
		err := cluster.Await(15*time.Second, "follow-up", func() (err error) {
			after, err = cluster.Turn(cluster.Fronts[position%len(cluster.Fronts)], map[string]any{"conversation": before.Conversation, "follows": before.Turn, "kind": "talk", "words": question})
			if errorKind(err) == "not_found" {
				t.Fatalf("turn %d is told unknown: %v", position, err)
			}
			return err
		})
		if err != nil {
			t.Fatalf("turn %d: %v", position, err)
		}
		want := words(standin.Answer([]runnerclient.Message{{Role: "caller", Words: fmt.Sprintf("before %d", position)}, {Role: "model", Words: before.Words}}, question))
		if after.Words != want {
			t.Fatalf("turn %d: heard %q, want %q", position, after.Words, want)
		}
	}
}

func (cluster *Cluster) fleet() (reported struct {
	Number       uint64        `json:"number"`
	ConfigNumber uint64        `json:"config_number"`
	Stores       []feed.Member `json:"stores"`
	Controls     []feed.Member `json:"controls"`
	Unhealed     int           `json:"unhealed_groups"`
}, err error) {
	answer, err := cluster.Administer(http.MethodGet, "/v1/fleet", nil)
	if err != nil {
		return reported, err
	}
	if answer.Status != http.StatusOK {
		return reported, &answer.Error
	}
	return reported, json.Unmarshal(answer.Body, &reported)
}

func TestAConfigOutlivesTheLossOfAllControlDisks(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		if err := cluster.PutConfig(strings.ReplaceAll(BasicConfig, "allowance: 60", "allowance: 61")); err != nil {
			t.Fatal(err)
		}
		before, err := cluster.fleet()
		if err != nil {
			t.Fatal(err)
		}
		for _, control := range cluster.Controls {
			control.Kill()
			control.Wipe()
		}
		cluster.Stores[0].Kill() // and one store is away at first
		for _, control := range cluster.Controls {
			if err := control.Start(); err != nil {
				t.Fatal(err)
			}
		}
		err = cluster.Await(30*time.Second, "recovered config", func() error {
			answer, err := cluster.Administer(http.MethodGet, "/v1/config", nil)
			if err != nil {
				return err
			}
			if answer.Status != http.StatusOK {
				return &answer.Error
			}
			if !strings.Contains(string(answer.Body), "allowance: 61") {
				t.Fatalf("an older config was read back: %s", answer.Body)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		after, err := cluster.fleet()
		if err != nil || after.Number <= before.Number || after.ConfigNumber != before.ConfigNumber {
			t.Fatalf("before %+v, after %+v, %v", before, after, err)
		}
		if err := cluster.Stores[0].Start(); err != nil {
			t.Fatal(err)
		}
		if err := cluster.PutConfig(strings.ReplaceAll(BasicConfig, "allowance: 60", "allowance: 62")); err != nil {
			t.Fatal(err)
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

func TestAllThreeSeedMachinesAreReplacedOneAfterAnother(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		said := cluster.dialogues(t, 3)
		for index := range 3 {
			old := cluster.Controls[index]
			old.Kill()
			old.Wipe()
			fresh := cluster.AddControl(3 + index)
			cluster.seeds[index] = fresh.Host + ":7000" // what is started from now on is told so
			if err := fresh.Start(); err != nil {
				t.Fatal(err)
			}
			cluster.Controls[index] = fresh
			err := cluster.Await(60*time.Second, "exchanged control node", func() error {
				reported, err := cluster.fleet()
				if err != nil {
					return err
				}
				listed := func(host string) bool {
					return slices.ContainsFunc(reported.Controls, func(member feed.Member) bool { return strings.HasPrefix(member.Address, host+":") })
				}
				if len(reported.Controls) != 3 || !listed(fresh.Host) || listed(old.Host) {
					return fmt.Errorf("controls: %v", reported.Controls)
				}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := cluster.Turn(cluster.Fronts[index%2], map[string]any{"program": "dialogue", "kind": "talk", "words": "still there"}); err != nil {
				t.Fatal(err)
			}
		}
		// A total outage comes right after. In every second run the settings of the
		// machines still name the old seeds, which are gone.
		if cluster.Seed%2 == 0 {
			cluster.seeds = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
		}
		for _, machine := range cluster.Machines() {
			machine.LosePower()
		}
		for _, machine := range slices.Concat(cluster.Controls, cluster.Stores) {
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		}
		if err := cluster.Await(12*time.Second, "control plane after the outage", func() error {
			_, err := cluster.fleet()
			return err
		}); err != nil {
			t.Fatal(err)
		}
		cluster.seeds = []string{"10.0.0.4:7000", "10.0.0.5:7000", "10.0.0.6:7000"}
		for _, front := range cluster.Fronts {
			if err := front.Start(); err != nil {
				t.Fatal(err)
			}
		}
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		// Processes with the old seeds go on; one that starts needs the new ones.
		cluster.Fronts[0].Kill()
		if err := cluster.Fronts[0].Start(); err != nil {
			t.Fatal(err)
		}
		if err := cluster.PutConfig(BasicConfig + "// exchanged\n"); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, said)
	})
}

func TestAWipedStoreComesBackAsANewNodeAndIsHealed(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		said := cluster.dialogues(t, 8)
		<-time.After(6 * time.Second) // archived
		said = append(said, cluster.dialogues(t, 4)...)
		said = said[:8]
		wiped := cluster.Stores[1]
		before := wiped.Store.Name()
		wiped.Kill()
		wiped.Wipe()
		if err := wiped.Start(); err != nil {
			t.Fatal(err)
		}
		if wiped.Store.Name() == before {
			t.Fatal("a wiped disk kept its name")
		}
		err := cluster.Await(60*time.Second, "healed store", func() error {
			for _, machine := range cluster.Stores {
				for group, status := range machine.Store.Host().Statuses() {
					if status.CommittedInTerm && (!slices.Contains(status.Membership.Voters, wiped.Store.Name()) || len(status.Membership.Voters) != 3) {
						return fmt.Errorf("group %d has %v", group, status.Membership)
					}
				}
			}
			if len(wiped.Store.Host().Statuses()) != 8 {
				return errors.New("not all groups are there")
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		// The healed store and one other now carry everything alone.
		cluster.Stores[0].Kill()
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, said)
	})
}

// listings counts how often a list names a member.
func listings(members []feed.Member, name string) int {
	count := 0
	for _, member := range members {
		if member.Name == name {
			count++
		}
	}
	return count
}

func TestStoreIsAddedAndAnotherDecommissionedWhileTurnsRun(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		said := cluster.dialogues(t, 6)
		<-time.After(6 * time.Second)
		retire := func(name string) *Answer {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			answer, err := cluster.Ask(ctx, http.MethodDelete, cluster.Controls[0].Host+":7200", "/v1/stores/"+name, RootToken, nil)
			if err != nil {
				t.Fatal(err)
			}
			return answer
		}
		if answer := retire(cluster.Stores[0].Store.Name()); answer.Error.Kind != "conflict" {
			t.Fatalf("the third last store was retired: %s", answer.Body)
		}
		if answer := retire("store-unknown"); answer.Error.Kind != "not_found" {
			t.Fatalf("an unknown store was retired: %s", answer.Body)
		}
		stop := cluster.callers(100 * time.Millisecond)
		defer stop()
		fresh := cluster.AddStore(3)
		if err := fresh.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.Stores = append(cluster.Stores, fresh)
		err := cluster.Await(20*time.Second, "enrolled store", func() error {
			answer, err := cluster.Administer(http.MethodPut, "/v1/stores/"+fresh.Store.Name(), map[string]any{})
			if err == nil && answer.Status != http.StatusOK {
				return &answer.Error
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		if answer, err := cluster.Administer(http.MethodPut, "/v1/stores/"+fresh.Store.Name(), map[string]any{}); err != nil || answer.Status != http.StatusOK {
			t.Fatalf("the order to enrol a store, repeated, is not acknowledged: %v %+v", err, answer)
		}
		reported, err := cluster.fleet()
		if err != nil || len(reported.Stores) != 4 || listings(reported.Stores, fresh.Store.Name()) != 1 {
			t.Fatalf("a store was enrolled twice: %v %+v", err, reported.Stores)
		}
		old := cluster.Stores[0]
		name := old.Store.Name()
		began := time.Now()
		if answer := retire(name); answer.Status != http.StatusOK {
			t.Fatalf("retiring: %s", answer.Body)
		}
		t.Logf("retired in %s", time.Since(began))
		// It may be switched off at once, and another one lost.
		old.Kill()
		for _, machine := range cluster.Stores[1:] {
			for group, status := range machine.Store.Host().Statuses() {
				if status.CommittedInTerm && (slices.Contains(status.Membership.Voters, name) || len(status.Membership.Voters) != 3) {
					t.Fatalf("group %d still has %v", group, status.Membership)
				}
			}
		}
		cluster.Stores[1].Kill()
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, said)
	})
}

func TestDamagedArchivesAreRepairedFromPeers(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		said := cluster.dialogues(t, 4)
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
		// Only the mended copy is whole now.
		cluster.followUp(t, said)
	})
}

func TestDomainIsLostAndComesBackWithTrafficSpike(t *testing.T) {
	simulate(t, Shape{Controls: 5, Stores: 3, Fronts: 3, Models: 3, Applications: 3}, func(t *testing.T, cluster *Cluster) {
		said := cluster.dialogues(t, 6)
		lost := []*Machine{}
		for _, machine := range cluster.Machines() {
			if machine.Domain == "east" {
				machine.LosePower()
				lost = append(lost, machine)
			}
		}
		fronts := cluster.Fronts
		cluster.Fronts = fronts[1:]
		began := time.Now()
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		t.Logf("serving %s after the loss", time.Since(began))
		stop := cluster.callers(40 * time.Millisecond)
		cluster.followUp(t, said[:3])
		if err := cluster.PutConfig(BasicConfig + "// without a domain\n"); err != nil {
			t.Fatal(err)
		}
		for _, machine := range lost {
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		}
		stop()
		cluster.Fronts = fronts
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
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
		said := cluster.dialogues(t, 4)
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

// TestAFleetIsFoundedOnlyOnceAllThreeEmptySeedsAnswer starts the seeds one by one,
// and later a wiped one, which must join instead of founding anew.
func TestAFleetIsFoundedOnlyOnceAllThreeEmptySeedsAnswer(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		other := &Cluster{Network: NewNetwork(2), Seed: 2, groups: 8, seeds: slices.Clone(cluster.seeds)}
		for index := range 3 {
			other.Controls = append(other.Controls, other.AddControl(index))
		}
		defer func() {
			for _, machine := range other.Controls {
				machine.Kill()
			}
		}()
		for index, machine := range other.Controls {
			for _, running := range other.Controls[:index] {
				if running.Control.View().Number != 0 || running.Control.Ready() {
					t.Fatalf("a fleet was founded by %d of three seeds", index)
				}
			}
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
			<-time.After(8 * time.Second)
		}
		fleet := other.Controls[0].Control.View().Fleet
		for _, machine := range other.Controls {
			if view := machine.Control.View(); view.Fleet == "" || view.Fleet != fleet {
				t.Fatalf("founded %q and %q", fleet, view.Fleet)
			}
		}
		wiped := other.Controls[2]
		wiped.Kill()
		wiped.Wipe()
		if err := wiped.Start(); err != nil {
			t.Fatal(err)
		}
		<-time.After(20 * time.Second)
		if view := wiped.Control.View(); view.Fleet != fleet {
			t.Fatalf("a wiped seed is in fleet %q, not %q", view.Fleet, fleet)
		}
	})
}

// TestADataFolderOfAnotherFleetIsRefusedAtStart starts a store with another fleet's
// seeds, and one whose own control plane has lost its disks, which must go on.
func TestADataFolderOfAnotherFleetIsRefusedAtStart(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		other := &Cluster{Network: NewNetwork(2), Seed: 2, groups: 8, seeds: slices.Clone(cluster.seeds)}
		for index := range 3 {
			other.Controls = append(other.Controls, other.AddControl(index))
			other.Stores = append(other.Stores, other.AddStore(index))
		}
		defer func() {
			for _, machine := range slices.Concat(other.Controls, other.Stores) {
				machine.Kill()
			}
		}()
		for _, machine := range slices.Concat(other.Controls, other.Stores) {
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		}
		<-time.After(15 * time.Second)
		moved := cluster.Stores[0]
		moved.Kill()
		foreign := other.AddStore(7)
		foreign.Disk, foreign.Archive = moved.Disk, moved.Archive
		if err := foreign.Start(); err != nil {
			t.Fatal(err)
		}
		defer foreign.Kill()
		select {
		case err := <-foreign.Store.ForeignFleet():
			if !apierror.Is(err, apierror.ForeignFleet) {
				t.Fatal(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a data folder of another fleet was taken")
		}
		// A store of this fleet must wait for its control plane to recover.
		for _, control := range cluster.Controls {
			control.Kill()
			control.Wipe()
		}
		cluster.Stores[1].Kill()
		for _, machine := range append(slices.Clone(cluster.Controls), cluster.Stores[1]) {
			if err := machine.Start(); err != nil {
				t.Fatal(err)
			}
		}
		select {
		case err := <-cluster.Stores[1].Store.ForeignFleet():
			t.Fatalf("a store of a fleet that recovers was refused: %v", err)
		case <-time.After(20 * time.Second):
		}
	})
}
