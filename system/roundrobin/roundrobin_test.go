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
	properties.Property("after each pick every count is within one of its share", prop.ForAll(func(first, second, third int) string {
		shares, credits := []Share{}, Credits{}
		total, counts := 0.0, map[string]float64{}
		for index, weight := range []int{first, second, third} {
			if weight > 0 {
				shares = append(shares, Share{fmt.Sprint("share-", index), float64(weight)})
				total += float64(weight)
			}
		}
		for picks := 1; picks <= 300; picks++ {
			counts[shares[credits.Pick(shares)].Name]++
			for _, share := range shares {
				if math.Abs(counts[share.Name]-float64(picks)*share.Weight/total) > 1.000001 {
					return fmt.Sprintf("after %d picks, %s had %v of weight %v", picks, share.Name, counts[share.Name], share.Weight)
				}
			}
		}
		return ""
	}, gen.IntRange(1, 50), gen.IntRange(0, 50), gen.IntRange(0, 9)))
	properties.TestingRun(t)
}

func TestEqualCreditsPickTheFirst(t *testing.T) {
	shares, credits := []Share{{"b", 1}, {"a", 1}}, Credits{}
	for round := range 4 {
		for _, want := range []int{0, 1} {
			if got := credits.Pick(shares); got != want {
				t.Fatalf("round %d: picked %d, want %d", round, got, want)
			}
		}
	}
}

func TestAbsentParticipantsLoseTheirCredit(t *testing.T) {
	credits := Credits{}
	both, alone := []Share{{"a", 1}, {"b", 1}}, []Share{{"a", 1}}
	credits.Pick(both)
	credits.Pick(alone)
	if _, known := credits["b"]; known {
		t.Fatal("an absent participant has credit")
	}
	if got := credits.Pick(nil); got != -1 || len(credits) != 0 {
		t.Fatalf("picked %d of none, credits %v", got, credits)
	}
}

func TestReturnedPicksCountAsNotMade(t *testing.T) {
	shares, credits := []Share{{"a", 3}, {"b", 1}}, Credits{}
	first := credits.Pick(shares)
	credits.Return(shares[first].Name)
	counts := [2]int{}
	for range 3 {
		counts[credits.Pick(shares)]++
	}
	if counts != [2]int{3, 0} {
		t.Fatalf("picked %v, want the first all three times", counts)
	}
}
