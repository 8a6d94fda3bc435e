package scale

import (
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

// parseClaims returns the claims in the page's tables, keyed "figure against dimension": the rows of
// at least four cells that start with a figure's name in backticks, its dimension and its growth.
func parseClaims(page string) map[string]Growth {
	claims := map[string]Growth{}
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) < 4 || !strings.HasPrefix(strings.TrimSpace(line), "| `") {
			continue
		}
		for position := range cells {
			cells[position] = strings.TrimSpace(cells[position])
		}
		if growth := Growth(cells[2]); maxExponents[growth] > 0 {
			claims[strings.Trim(cells[0], "`")+" against "+cells[1]] = growth
		}
	}
	return claims
}

func TestCapacityPageStatesClaimedGrowth(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	checked := map[string]Growth{}
	for dimension, figures := range ClaimedGrowth {
		if _, known := dimensions[dimension]; !known {
			t.Errorf("claimed growth for unknown dimension %q", dimension)
		}
		for figure, growth := range figures {
			checked[figure+" against "+dimension] = growth
		}
	}
	documented := parseClaims(string(page))
	for _, claim := range slices.Sorted(maps.Keys(checked)) {
		if documented[claim] != checked[claim] {
			t.Errorf("%s is checked as %s, but the page states %q", claim, checked[claim], documented[claim])
		}
	}
	for _, claim := range slices.Sorted(maps.Keys(documented)) {
		if checked[claim] == "" {
			t.Errorf("the page states that %s is %s, but no run checks it", claim, documented[claim])
		}
	}
	if len(checked) < 10 {
		t.Errorf("only %d figures are checked", len(checked))
	}
}
