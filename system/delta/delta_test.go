package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func itemsOf(count int) []string {
	items := []string{}
	for number := range count {
		items = append(items, fmt.Sprintf(`{"name":"item-%d","note":"%s"},`, number, strings.Repeat("n", 200)))
	}
	return items
}

func joined(items []string) []byte { return []byte(strings.Join(items, "")) }

func TestAppliedDeltaRestoresTheBytes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		items := itemsOf(random.IntN(60))
		base := joined(items)
		for range random.IntN(5) {
			at := random.IntN(len(items) + 1)
			switch {
			case random.IntN(2) == 0 || at == len(items):
				items = append(items[:at:at], append([]string{fmt.Sprint("new", random.Uint64())}, items[at:]...)...)
			default:
				items = append(items[:at:at], items[at+1:]...)
			}
		}
		next := joined(items)
		result, err := Apply(base, Make(base, next))
		if err != nil || !bytes.Equal(result, next) {
			t.Fatalf("%v: %d bytes for %d", err, len(result), len(next))
		}
	}
}

func TestDeltaIsAsLargeAsTheChange(t *testing.T) {
	items := itemsOf(1500)
	base := joined(items)
	items[700] = strings.ReplaceAll(items[700], "item-700", "other")
	items = append(items[:100], items[101:]...)
	delta := Make(base, joined(items))
	if len(delta) > 1024 {
		t.Errorf("%d bytes for a change of %d", len(delta), len(base))
	}
}

func TestDeltaBeyondItsLimitIsAbandoned(t *testing.T) {
	base := joined(itemsOf(100))
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
			t.Errorf("%d bytes within %d: %v, %d", len(test.next), test.limit, fits, len(delta))
		}
	}
}

func TestDamagedDeltaIsRejected(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	base := joined(itemsOf(20))
	delta := Make(base, append([]byte("before"), base...))
	for _, wrong := range [][]byte{nil, {0xff}, delta[:len(delta)-1], append(bytes.Clone(delta), 0xff)} {
		if _, err := Apply(base, wrong); err == nil {
			t.Errorf("%x was applied", wrong)
		}
	}
	if _, err := Apply(base[:100], delta); err == nil {
		t.Error("a delta was applied to a shorter base")
	}
	for range 5000 {
		wrong := bytes.Clone(delta)
		for range 1 + random.IntN(4) {
			wrong[random.IntN(len(wrong))] = byte(random.Uint32())
		}
		_, _ = Apply(base, wrong) // may give other bytes, but must end
	}
}
