package placement

import (
	"fmt"
	"slices"
	"testing"
)

func places(domains ...int) []Place {
	made := []Place{}
	for domain, count := range domains {
		for index := range count {
			made = append(made, Place{Name: fmt.Sprintf("store-%d-%d", domain, index), Domain: fmt.Sprint(domain)})
		}
	}
	return made
}

// A group's copies are spread so that no domain holds a majority of them where the
// stores allow it.
func TestNoDomainHoldsAMajorityOfAGroup(t *testing.T) {
	for _, one := range []struct {
		stores []Place
		copies int
		most   int // copies in one domain
	}{
		{places(1, 1, 1), 3, 1},
		{places(3, 3, 2), 3, 1},
		{places(3, 3, 2), 5, 2},
		{places(4, 3, 3), 5, 2},
		{places(3, 2), 3, 2},
		{places(2, 1), 5, 2},
	} {
		for group := range uint32(64) {
			chosen := ReplicasOf(group, one.stores, one.copies)
			if want := min(one.copies, len(one.stores)); len(chosen) != want {
				t.Fatalf("group %d has %d copies, not %d", group, len(chosen), want)
			}
			used := map[string]int{}
			for _, name := range chosen {
				at := slices.IndexFunc(one.stores, func(place Place) bool { return place.Name == name })
				used[one.stores[at].Domain]++
			}
			for domain, count := range used {
				if count > one.most {
					t.Fatalf("domain %s holds %d of %v", domain, count, chosen)
				}
			}
		}
	}
}

func TestCopiesOutliveWhatMayBeLostAtOnce(t *testing.T) {
	for lost, copies := range map[int]int{0: 3, 1: 3, 2: 5, 3: 7} {
		if got := Copies(lost); got != copies {
			t.Errorf("the loss of %d needs %d copies, not %d", lost, copies, got)
		}
	}
}
