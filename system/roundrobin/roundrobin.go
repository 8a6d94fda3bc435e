// Package roundrobin implements smooth weighted round-robin, as in nginx.
//
// Each pick adds to every participant's credit its fraction of the total weight, picks the
// participant with the most credit and subtracts 1 from it. With constant weights, the number
// of picks of each participant stays close to its exact proportion at any time (within one
// for up to three participants), and its picks are evenly spaced.
package roundrobin

// Participant is one of the weighted choices. Weight must be positive.
type Participant struct {
	Name   string
	Weight float64
}

// Credits is the credit of each participant between picks; a new participant starts with 0.
// Credits is not safe for concurrent use.
type Credits map[string]float64

// Pick returns the index of the next participant, or -1 if there is none. Among equal credits
// the first one is picked. Participants that are absent lose their credit.
//
//	chosen := participants[credits.Pick(participants)]
func (credits Credits) Pick(participants []Participant) int {
	total, present := 0.0, make(map[string]bool, len(participants))
	for _, participant := range participants {
		total += participant.Weight
		present[participant.Name] = true
	}
	for name := range credits {
		if !present[name] {
			delete(credits, name)
		}
	}
	best := -1
	for index, participant := range participants {
		credits[participant.Name] += participant.Weight / total
		if best < 0 || credits[participant.Name] > credits[participants[best].Name] {
			best = index
		}
	}
	if best >= 0 {
		credits[participants[best].Name]--
	}
	return best
}

// UndoPick reverts a pick that was not used.
//
//	credits.UndoPick(chosen.Name)
func (credits Credits) UndoPick(name string) { credits[name]++ }
