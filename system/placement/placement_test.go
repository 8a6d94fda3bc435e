package placement

import (
	"fmt"
	"slices"
	"testing"
)

// candidates returns stores in numbered domains, given the number of stores per domain.
func candidates(domains ...int) []Candidate {
	list := []Candidate{}
	for domain, count := range domains {
		for index := range count {
			list = append(list, Candidate{Name: fmt.Sprintf("store-%d-%d", domain, index), Domain: fmt.Sprint(domain)})
		}
	}
	return list
}

// TestNoDomainHoldsAMajorityOfAGroup checks that a domain holds a majority only if the number of
// stores per domain makes that unavoidable.
func TestNoDomainHoldsAMajorityOfAGroup(t *testing.T) {
	for _, test := range []struct {
		stores   []Candidate
		replicas int
		max      int // replicas per domain
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
				t.Fatalf("group %d has %d replicas, want %d", group, len(chosen), want)
			}
			perDomain := map[string]int{}
			for _, name := range chosen {
				index := slices.IndexFunc(test.stores, func(candidate Candidate) bool { return candidate.Name == name })
				perDomain[test.stores[index].Domain]++
			}
			for domain, count := range perDomain {
				if count > test.max {
					t.Fatalf("domain %s has %d of the replicas %v", domain, count, chosen)
				}
			}
		}
	}
}

func TestReplicasSurviveTheFailuresTheyAreChosenFor(t *testing.T) {
	for failures, replicas := range map[int]int{0: 3, 1: 3, 2: 5, 3: 7} {
		if got := ReplicasToSurvive(failures); got != replicas {
			t.Errorf("%d failures: want %d replicas, got %d", failures, replicas, got)
		}
	}
}
