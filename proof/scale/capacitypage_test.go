package scale

import (
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

// claimed reads the claims out of the page's tables: the rows whose first cell is a
// figure's name in backticks, with the size, the growth and more after it.
func claimed(page string) map[string]Growth {
	found := map[string]Growth{}
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) < 4 || !strings.HasPrefix(strings.TrimSpace(line), "| `") {
			continue
		}
		for position := range cells {
			cells[position] = strings.TrimSpace(cells[position])
		}
		if growth := Growth(cells[2]); exponents[growth] > 0 {
			found[strings.Trim(cells[0], "`")+" against "+cells[1]] = growth
		}
	}
	return found
}

func TestCapacityPageStatesClaimedGrowth(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	judged := map[string]Growth{}
	for against, figures := range ClaimedGrowth {
		if _, known := dimensions[against]; !known {
			t.Errorf("nothing can be measured against %q", against)
		}
		for figure, growth := range figures {
			judged[figure+" against "+against] = growth
		}
	}
	said := claimed(string(page))
	for _, claim := range slices.Sorted(maps.Keys(judged)) {
		if said[claim] != judged[claim] {
			t.Errorf("%s is judged as %s, and the page says %q", claim, judged[claim], said[claim])
		}
	}
	for _, claim := range slices.Sorted(maps.Keys(said)) {
		if judged[claim] == "" {
			t.Errorf("the page says that %s is %s, and no run judges it", claim, said[claim])
		}
	}
	if len(judged) < 10 {
		t.Errorf("only %d figures are judged", len(judged))
	}
}
