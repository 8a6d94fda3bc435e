package placement

import (
	"fmt"
	"slices"
	"testing"
)

func candidates(domains ...int) []Candidate {
	made := []Candidate{}
	for domain, count := range domains {
		for index := range count {
			made = append(made, Candidate{Name: fmt.Sprintf("store-%d-%d", domain, index), Domain: fmt.Sprint(domain)})
		}
	}
	return made
}

// A group's copies are spread so that no domain holds a majority of them where the
// stores allow it.
func TestNoDomainHoldsAMajorityOfAGroup(t *testing.T) {
	for _, one := range []struct {
		stores []Candidate
		copies int
		most   int // copies in one domain
	}{
		{candidates(1, 1, 1), 3, 1},
		{candidates(3, 3, 2), 3, 1},
		{candidates(3, 3, 2), 5, 2},
		{candidates(4, 3, 3), 5, 2},
		{candidates(3, 2), 3, 2},
		{candidates(2, 1), 5, 2},
	} {
		for group := range uint32(64) {
			chosen := ReplicasOf(group, one.stores, one.copies)
			if want := min(one.copies, len(one.stores)); len(chosen) != want {
				t.Fatalf("group %d has %d copies, not %d", group, len(chosen), want)
			}
			used := map[string]int{}
			for _, name := range chosen {
				at := slices.IndexFunc(one.stores, func(place Candidate) bool { return place.Name == name })
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

func TestReplicasSurviveTheFailuresTheyAreChosenFor(t *testing.T) {
	for lost, copies := range map[int]int{0: 3, 1: 3, 2: 5, 3: 7} {
		if got := ReplicasToSurvive(lost); got != copies {
			t.Errorf("the loss of %d needs %d copies, not %d", lost, copies, got)
		}
	}
}
