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
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerclient"
)

// startConversations starts conversations that followUp continues.
func (cluster *Cluster) startConversations(t *testing.T, count int) []*StreamedAnswer {
	t.Helper()
	conversations := []*StreamedAnswer{}
	for round := range count {
		answer, err := cluster.Turn(cluster.Fronts[round%len(cluster.Fronts)], map[string]any{"program": "dialogue", "kind": "talk", "words": fmt.Sprintf("before %d", round)})
		if err != nil {
			t.Fatal(err)
		}
		conversations = append(conversations, answer)
	}
	return conversations
}

// followUp continues each conversation and checks that the model received its history.
func (cluster *Cluster) followUp(t *testing.T, conversations []*StreamedAnswer) {
	t.Helper()
	for position, before := range conversations {
		question := fmt.Sprintf("after %d", position)
		var after *StreamedAnswer
		err := cluster.Await(15*time.Second, "follow-up", func() (err error) {
			after, err = cluster.Turn(cluster.Fronts[position%len(cluster.Fronts)], map[string]any{"conversation": before.Conversation, "follows": before.Turn, "kind": "talk", "words": question})
			if errorKind(err) == "not_found" {
				t.Fatalf("turn %d is reported as unknown: %v", position, err)
			}
			return err
		})
		if err != nil {
			t.Fatalf("turn %d: %v", position, err)
		}
		want := joinPieces(standin.Answer([]runnerclient.Message{{Role: "caller", Text: fmt.Sprintf("before %d", position)}, {Role: "model", Text: before.Words}}, question))
		if after.Words != want {
			t.Fatalf("turn %d: got %q, want %q", position, after.Words, want)
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

func TestConfigSurvivesLossOfAllControlDisks(t *testing.T) {
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
		cluster.Stores[0].Kill() // one store is down during the recovery
		for _, control := range cluster.Controls {
			if err := control.Start(); err != nil {
				t.Fatal(err)
			}
		}
		cluster.wantConfigWithin(t, 30*time.Second, "allowance: 61")
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

func TestWipedStoreReturnsAsNewNodeAndIsRepaired(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		conversations := cluster.startConversations(t, 8)
		<-time.After(6 * time.Second) // until they are archived
		conversations = append(conversations, cluster.startConversations(t, 4)...)
		conversations = conversations[:8]
		wiped := cluster.Stores[1]
		before := wiped.Store.Name()
		wiped.Kill()
		wiped.Wipe()
		if err := wiped.Start(); err != nil {
			t.Fatal(err)
		}
		if wiped.Store.Name() == before {
			t.Fatal("a store with a wiped disk kept its name")
		}
		err := cluster.Await(60*time.Second, "repaired store", func() error {
			for _, machine := range cluster.Stores {
				for group, status := range machine.Store.Host().Statuses() {
					if status.CommittedInTerm && (!slices.Contains(status.Membership.Voters, wiped.Store.Name()) || len(status.Membership.Voters) != 3) {
						return fmt.Errorf("group %d has members %v", group, status.Membership)
					}
				}
			}
			if len(wiped.Store.Host().Statuses()) != 8 {
				return errors.New("the store lacks groups")
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		// The repaired store and one other now form the majority of every group.
		cluster.Stores[0].Kill()
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, conversations)
	})
}

// countMember returns how often a list contains a member.
func countMember(members []feed.Member, name string) int {
	count := 0
	for _, member := range members {
		if member.Name == name {
			count++
		}
	}
	return count
}

// enrolStoreTwice adds a fourth store and resends the request after it was acknowledged.
func (cluster *Cluster) enrolStoreTwice(t *testing.T) {
	t.Helper()
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
		t.Fatalf("the repeated request to enrol a store is not acknowledged: %v %+v", err, answer)
	}
	reported, err := cluster.fleet()
	if err != nil || len(reported.Stores) != 4 || countMember(reported.Stores, fresh.Store.Name()) != 1 {
		t.Fatalf("a store was enrolled twice: %v %+v", err, reported.Stores)
	}
}

// checkNotVoter checks that each group has three voters, none of which is the first store, whose
// name is given.
func (cluster *Cluster) checkNotVoter(t *testing.T, name string) {
	t.Helper()
	for _, machine := range cluster.Stores[1:] {
		for group, status := range machine.Store.Host().Statuses() {
			if status.CommittedInTerm && (slices.Contains(status.Membership.Voters, name) || len(status.Membership.Voters) != 3) {
				t.Fatalf("group %d still has members %v", group, status.Membership)
			}
		}
	}
}

func TestStoreIsAddedAndAnotherDecommissionedWhileTurnsRun(t *testing.T) {
	simulate(t, Small, func(t *testing.T, cluster *Cluster) {
		conversations := cluster.startConversations(t, 6)
		<-time.After(6 * time.Second)
		decommission := func(name string) *Answer {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			answer, err := cluster.Ask(ctx, http.MethodDelete, cluster.Controls[0].Host+":7200", "/v1/stores/"+name, RootToken, nil)
			if err != nil {
				t.Fatal(err)
			}
			return answer
		}
		if answer := decommission(cluster.Stores[0].Store.Name()); answer.Error.Kind != "conflict" {
			t.Fatalf("one of the last three stores was decommissioned: %s", answer.Body)
		}
		if answer := decommission("store-unknown"); answer.Error.Kind != "not_found" {
			t.Fatalf("an unknown store was decommissioned: %s", answer.Body)
		}
		stop := cluster.startLoad(100 * time.Millisecond)
		defer stop()
		cluster.enrolStoreTwice(t)
		old := cluster.Stores[0]
		name := old.Store.Name()
		began := time.Now()
		if answer := decommission(name); answer.Status != http.StatusOK {
			t.Fatalf("decommission: %s", answer.Body)
		}
		t.Logf("decommissioned in %s", time.Since(began))
		// It may be switched off at once, and another store may fail.
		old.Kill()
		cluster.checkNotVoter(t, name)
		cluster.Stores[1].Kill()
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
		cluster.followUp(t, conversations)
	})
}

func TestDomainLossAndReturnWithTrafficSpike(t *testing.T) {
	simulate(t, Shape{Controls: 5, Stores: 3, Fronts: 3, Models: 3, Applications: 3}, func(t *testing.T, cluster *Cluster) {
		conversations := cluster.startConversations(t, 6)
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
		t.Logf("serving %s after the loss of the domain", time.Since(began))
		stop := cluster.startLoad(40 * time.Millisecond)
		cluster.followUp(t, conversations[:3])
		if err := cluster.PutConfig(BasicConfig + "// without a domain\n"); err != nil {
			t.Fatal(err)
		}
		startAll(t, lost)
		stop()
		cluster.Fronts = fronts
		if err := cluster.AwaitServing(12 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}
