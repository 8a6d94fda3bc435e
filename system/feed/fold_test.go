package feed

import "testing"

// fold folds one change into the view and fails the test on an error.
func fold(t *testing.T, view View, change Change) View {
	t.Helper()
	next, err := Fold(view, change)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestStoreStaysDecommissionedUntilItsMachineIsEnrolledAgain(t *testing.T) {
	east, west := Member{Name: "a", Machine: "east-1"}, Member{Name: "b", Machine: "west-1"}
	unnamed := Member{Name: "c"}
	view := fold(t, View{}, Change{Number: 1, Kind: ChangeStores, Members: []Member{east, west, unnamed}})
	removed := east
	removed.State = StateDecommissioned
	view = fold(t, view, Change{Number: 2, Kind: ChangeStores, Members: []Member{west, unnamed}, Member: removed})
	for _, test := range []struct {
		store          Member
		decommissioned bool
	}{
		{east, true}, {Member{Name: "d", Machine: "east-1"}, true}, {Member{Name: "a"}, true},
		{west, false}, {unnamed, false}, {Member{Name: "d"}, false},
	} {
		if view.WasDecommissioned(test.store) != test.decommissioned {
			t.Errorf("WasDecommissioned(%+v) is wrong; decommissioned stores: %+v", test.store, view.Decommissioned)
		}
	}
	before := view
	reenrolled := Member{Name: "d", Machine: "east-1"}
	view = fold(t, view, Change{Number: 3, Kind: ChangeStores, Members: []Member{west, unnamed, reenrolled}})
	if view.WasDecommissioned(east) || len(view.Decommissioned) != 0 || !before.WasDecommissioned(east) {
		t.Errorf("decommissioned stores after enrolment: %+v, before: %+v", view.Decommissioned, before.Decommissioned)
	}
	for number := uint64(4); number < 200; number++ {
		view = fold(t, view, Change{Number: number, Kind: ChangeStores, Members: []Member{west}, Member: Member{Name: "n" + string(rune(number))}})
	}
	if len(view.Decommissioned) != maxDecommissioned {
		t.Errorf("%d decommissioned stores are listed", len(view.Decommissioned))
	}
}
