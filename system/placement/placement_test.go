package placement

import (
	"fmt"
	"slices"
	"testing"
)

func candidates(domains ...int) []Candidate {
	list := []Candidate{}
	for domain, count := range domains {
		for index := range count {
			list = append(list, Candidate{Name: fmt.Sprintf("store-%d-%d", domain, index), Domain: fmt.Sprint(domain)})
		}
	}
	return list
}

// TestNoDomainHoldsAMajorityOfAGroup checks it where the stores allow it.
func TestNoDomainHoldsAMajorityOfAGroup(t *testing.T) {
	for _, test := range []struct {
		stores   []Candidate
		replicas int
		max      int // replicas in one domain
	}{
		{candidates(1, 1, 1), 3, 1},
		{candidates(3, 3, 2), 3, 1},
		{candidates(3, 3, 2), 5, 2},
		{candidates(4, 3, 3), 5, 2},
		{candidates(3, 2), 3, 2},
		{candidates(2, 1), 5, 2},
	} {
		for group := range uint32(64) {
			chosen := ReplicasOf(group, test.stores, test.replicas)
			if want := min(test.replicas, len(test.stores)); len(chosen) != want {
				t.Fatalf("group %d has %d replicas, not %d", group, len(chosen), want)
			}
			used := map[string]int{}
			for _, name := range chosen {
				at := slices.IndexFunc(test.stores, func(candidate Candidate) bool { return candidate.Name == name })
				used[test.stores[at].Domain]++
			}
			for domain, count := range used {
				if count > test.max {
					t.Fatalf("domain %s has %d of %v", domain, count, chosen)
				}
			}
		}
	}
}

func TestReplicasSurviveTheFailuresTheyAreChosenFor(t *testing.T) {
	for failures, replicas := range map[int]int{0: 3, 1: 3, 2: 5, 3: 7} {
		if got := ReplicasToSurvive(failures); got != replicas {
			t.Errorf("%d failures need %d replicas, not %d", failures, replicas, got)
		}
	}
}
