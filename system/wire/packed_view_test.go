package wire

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"testing"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire/schema"
)

func packedExample() *feed.View {
	return &feed.View{Fleet: "fleet", Number: 7, ConfigNumber: 5, Source: "a: 1", Compiled: bytes.Repeat([]byte(`{"route":1}`), 1000),
		Domains: []feed.Domain{}, Runners: []feed.Runner{{Address: "10.0.0.1:80", State: feed.StateServing}}, FoundingStores: []feed.Member{},
		Stores: []feed.Member{{Name: "a"}}, Controls: []feed.Member{}, RoleLeases: []feed.RoleLease{}, Founding: []string{}, Decommissioned: []feed.Member{}}
}

func TestPackedViewRoundTrips(t *testing.T) {
	view := packedExample()
	packed := PackView(view)
	if len(packed) > 1000 {
		t.Errorf("a view is packed into %d bytes", len(packed))
	}
	for name, data := range map[string][]byte{"packed": packed, "encoded": MustEncode(schema.View_TypeID, view)} {
		if read, err := UnpackView(data); err != nil || !reflect.DeepEqual(read, view) {
			t.Errorf("%s: %v, %+v", name, err, read)
		}
	}
}

func TestDamagedPackedViewIsRejected(t *testing.T) {
	packed := PackView(packedExample())
	for name, data := range map[string][]byte{
		"nothing": nil, "only the marker": {packedViewMarker}, "cut": packed[:len(packed)/2],
		"a size beyond its content": append([]byte{packedViewMarker, 0xff, 0xff, 0xff, 0xff, 0x07}, packed[3:]...),
	} {
		if _, err := UnpackView(data); err == nil {
			t.Errorf("%s was read", name)
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		data := bytes.Clone(packed)
		data[random.IntN(len(data))] ^= byte(1 + random.IntN(255))
		_, _ = UnpackView(data) // must end, within bounds
	}
}

func TestPackedViewCachePacksAViewOnce(t *testing.T) {
	view, cache := packedExample(), PackedViewCache{}
	first := cache.Get(view)
	if second := cache.Get(view); &first[0] != &second[0] {
		t.Error("a view of one number was packed twice")
	}
	view.Number++
	if read, err := UnpackView(cache.Get(view)); err != nil || read.Number != view.Number {
		t.Errorf("%v, %+v", err, read)
	}
}
