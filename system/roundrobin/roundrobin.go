// Package roundrobin implements smooth weighted round-robin, as nginx does.
//
// Each pick adds to every participant's credit its fraction of the total weight, picks
// the participant with the most credit and takes 1 from it. With constant weights each
// participant's count stays close to its exact share at any time (within one for up to
// three participants, as the tests check), and its picks are spread out evenly.
package roundrobin

// Share is a participant with its weight, which must be above 0.
type Share struct {
	Name   string
	Weight float64
}

// Credits is the state between picks, by participant. The zero value of an entry is that
// of a new participant. A Credits is not safe for concurrent use.
type Credits map[string]float64

// Pick returns the index of the next participant; among equal credits the first one is
// picked. Participants that are not among the shares lose their credit. There must be at
// least one share, otherwise Pick returns -1.
//
//	chosen := shares[credits.Pick(shares)]
func (credits Credits) Pick(shares []Share) int {
	total, present := 0.0, make(map[string]bool, len(shares))
	for _, share := range shares {
		total += share.Weight
		present[share.Name] = true
	}
	for name := range credits {
		if !present[name] {
			delete(credits, name)
		}
	}
	best := -1
	for index, share := range shares {
		credits[share.Name] += share.Weight / total
		if best < 0 || credits[share.Name] > credits[shares[best].Name] {
			best = index
		}
	}
	if best >= 0 {
		credits[shares[best].Name]--
	}
	return best
}

// Return undoes a pick that was not used.
//
//	credits.Return(chosen.Name)
func (credits Credits) Return(name string) { credits[name]++ }
