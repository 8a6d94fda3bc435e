package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func generateItems(count int) []string {
	items := []string{}
	for number := range count {
		items = append(items, fmt.Sprintf(`{"name":"item-%d","note":"%s"},`, number, strings.Repeat("n", 200)))
	}
	return items
}

func joinItems(items []string) []byte { return []byte(strings.Join(items, "")) }

func TestAppliedDeltaRestoresTheBytes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		items := generateItems(random.IntN(60))
		base := joinItems(items)
		for range random.IntN(5) {
			position := random.IntN(len(items) + 1)
			switch {
			case random.IntN(2) == 0 || position == len(items):
				items = append(items[:position:position], append([]string{fmt.Sprint("new", random.Uint64())}, items[position:]...)...)
			default:
				items = append(items[:position:position], items[position+1:]...)
			}
		}
		next := joinItems(items)
		result, err := Apply(base, Make(base, next))
		if err != nil || !bytes.Equal(result, next) {
			t.Fatalf("Apply: %v; got %d bytes, want %d", err, len(result), len(next))
		}
	}
}

func TestDeltaSizeFollowsTheChange(t *testing.T) {
	items := generateItems(1500)
	base := joinItems(items)
	items[700] = strings.ReplaceAll(items[700], "item-700", "other")
	items = append(items[:100], items[101:]...)
	delta := Make(base, joinItems(items))
	if len(delta) > 1024 {
		t.Errorf("the delta has %d bytes for a small change of %d bytes", len(delta), len(base))
	}
}

func TestMakeWithinRejectsDeltasBeyondLimit(t *testing.T) {
	base := joinItems(generateItems(100))
	other := bytes.Repeat([]byte("unrelated content, of which nothing is in the base; "), 200)
	for _, test := range []struct {
		next  []byte
		limit int
		fits  bool
	}{
		{base, 64, true}, {append(bytes.Clone(base), other...), 64, false}, {other, len(other) / 2, false},
		{other, len(other) + 64, true}, {nil, 1, true},
	} {
		delta, fits := MakeWithin(base, test.next, test.limit)
		if fits != test.fits || (fits && len(delta) > test.limit) {
			t.Errorf("new version of %d bytes, limit %d: fits is %v with a delta of %d bytes", len(test.next), test.limit, fits, len(delta))
		}
	}
}

func TestDamagedDeltaIsRejected(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	base := joinItems(generateItems(20))
	delta := Make(base, append([]byte("before"), base...))
	for _, damaged := range [][]byte{nil, {0xff}, delta[:len(delta)-1], append(bytes.Clone(delta), 0xff)} {
		if _, err := Apply(base, damaged); err == nil {
			t.Errorf("Apply accepted the damaged delta %x", damaged)
		}
	}
	if _, err := Apply(base[:100], delta); err == nil {
		t.Error("Apply accepted a truncated base")
	}
	for range 5000 {
		damaged := bytes.Clone(delta)
		for range 1 + random.IntN(4) {
			damaged[random.IntN(len(damaged))] = byte(random.Uint32())
		}
		_, _ = Apply(base, damaged) // may succeed with other bytes, but must terminate without a panic
	}
}
