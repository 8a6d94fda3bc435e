package wire

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"testing"

	"yardrock.example/system/feed"
	"yardrock.example/system/wire/schema"
)

func exampleView() *feed.View {
	return &feed.View{Fleet: "fleet", Number: 7, ConfigNumber: 5, Source: "a: 1", Compiled: bytes.Repeat([]byte(`{"route":1}`), 1000),
		Domains: []feed.Domain{}, Runners: []feed.Runner{{Address: "10.0.0.1:80", State: feed.StateServing}}, FoundingStores: []feed.Member{},
		Stores: []feed.Member{{Name: "a"}}, Controls: []feed.Member{}, RoleLeases: []feed.RoleLease{}, Founding: []string{}, Decommissioned: []feed.Member{}}
}

func TestPackedViewRoundTrips(t *testing.T) {
	view := exampleView()
	packed := PackView(view)
	if len(packed) > 1000 {
		t.Errorf("the packed view has %d bytes, want at most 1000", len(packed))
	}
	for name, data := range map[string][]byte{"packed": packed, "encoded": MustEncode(schema.View_TypeID, view)} {
		if decoded, err := UnpackView(data); err != nil || !reflect.DeepEqual(decoded, view) {
			t.Errorf("%s: %v, %+v", name, err, decoded)
		}
	}
}

func TestCorruptPackedViewIsRejected(t *testing.T) {
	packed := PackView(exampleView())
	for name, data := range map[string][]byte{
		"nothing": nil, "only the marker": {packedViewMarker}, "cut": packed[:len(packed)/2],
		"a declared size beyond its content": append([]byte{packedViewMarker, 0xff, 0xff, 0xff, 0xff, 0x07}, packed[3:]...),
	} {
		if _, err := UnpackView(data); err == nil {
			t.Errorf("%s was decoded", name)
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		data := bytes.Clone(packed)
		data[random.IntN(len(data))] ^= byte(1 + random.IntN(255))
		_, _ = UnpackView(data) // must terminate, with bounded memory
	}
}

func TestPackedViewCachePacksAViewOnce(t *testing.T) {
	view, cache := exampleView(), PackedViewCache{}
	first := cache.Get(view)
	if second := cache.Get(view); &first[0] != &second[0] {
		t.Error("the same view was packed twice")
	}
	view.Number++
	if decoded, err := UnpackView(cache.Get(view)); err != nil || decoded.Number != view.Number {
		t.Errorf("%v, %+v", err, decoded)
	}
}
