package roundrobin

import (
	"fmt"
	"math"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestPicksStayWithinOneOfTheirShares(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261202))
	properties.Property("after each pick every count is within one of its exact proportion", prop.ForAll(func(first, second, third int) string {
		participants, credits := []Participant{}, Credits{}
		total, counts := 0.0, map[string]float64{}
		for index, weight := range []int{first, second, third} {
			if weight > 0 {
				participants = append(participants, Participant{fmt.Sprint("share-", index), float64(weight)})
				total += float64(weight)
			}
		}
		for picks := 1; picks <= 300; picks++ {
			counts[participants[credits.Pick(participants)].Name]++
			for _, participant := range participants {
				if math.Abs(counts[participant.Name]-float64(picks)*participant.Weight/total) > 1.000001 {
					return fmt.Sprintf("after %d picks, %s has %v picks for weight %v", picks, participant.Name, counts[participant.Name], participant.Weight)
				}
			}
		}
		return ""
	}, gen.IntRange(1, 50), gen.IntRange(0, 50), gen.IntRange(0, 9)))
	properties.TestingRun(t)
}

func TestEqualCreditsPickTheFirst(t *testing.T) {
	participants, credits := []Participant{{"b", 1}, {"a", 1}}, Credits{}
	for round := range 4 {
		for _, want := range []int{0, 1} {
			if got := credits.Pick(participants); got != want {
				t.Fatalf("round %d: picked %d, want %d", round, got, want)
			}
		}
	}
}

func TestAbsentParticipantsLoseTheirCredit(t *testing.T) {
	credits := Credits{}
	both, alone := []Participant{{"a", 1}, {"b", 1}}, []Participant{{"a", 1}}
	credits.Pick(both)
	credits.Pick(alone)
	if _, known := credits["b"]; known {
		t.Fatal("an absent participant kept its credit")
	}
	if got := credits.Pick(nil); got != -1 || len(credits) != 0 {
		t.Fatalf("picked %d without participants, credits %v", got, credits)
	}
}

func TestUndoPickRestoresCredits(t *testing.T) {
	participants, credits := []Participant{{"a", 3}, {"b", 1}}, Credits{}
	first := credits.Pick(participants)
	credits.UndoPick(participants[first].Name)
	counts := [2]int{}
	for range 3 {
		counts[credits.Pick(participants)]++
	}
	if counts != [2]int{3, 0} {
		t.Fatalf("picks %v, want the first participant three times", counts)
	}
}
