package controlplane

import (
	"fmt"
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// TestRepeatedDecommissionAfterManyOthersIsAccepted checks that a repeated decommission request
// is accepted after the view's list of decommissioned stores no longer has the store.
func TestRepeatedDecommissionAfterManyOthersIsAccepted(t *testing.T) {
	stores := []feed.Member{}
	for position := range 104 {
		stores = append(stores, feed.Member{Name: fmt.Sprint("store-", position), Role: feed.RoleStore, Machine: fmt.Sprint("machine-", position), Domain: fmt.Sprint(position % 3)})
	}
	view := feed.View{}
	commit := func(change feed.Change) {
		change.Number = view.Number + 1
		next, err := feed.Fold(view, change)
		if err != nil {
			t.Fatal(err)
		}
		view = next
	}
	commit(feed.Change{Kind: feed.ChangeStores, Members: stores})
	for position := range 100 {
		machine := fmt.Sprint("machine-", position)
		change, err := planDecommission(&view, machine, onMachine(machine))
		if err != nil || change == nil {
			t.Fatalf("%s: %v, %v", machine, change, err)
		}
		commit(*change)
		left := view.Stores[0]
		left.State = feed.StateDecommissioned
		commit(feed.Change{Kind: feed.ChangeStores, Members: view.Stores[1:], Member: left})
	}
	for _, machine := range []string{"machine-0", "machine-99"} {
		if change, err := planDecommission(&view, machine, onMachine(machine)); change != nil || err != nil {
			t.Errorf("repeated request for %s: %v, %v", machine, change, err)
		}
	}
	if _, err := planDecommission(&view, "unknown", onMachine("unknown")); !apierror.Is(err, apierror.NotFound) {
		t.Errorf("request for an unknown machine: %v", err)
	}
	if _, err := planDecommission(&view, "machine-102", onMachine("machine-102")); err != nil {
		t.Errorf("request for a listed store: %v", err)
	}
}
