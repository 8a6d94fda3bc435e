package feed

import (
	"slices"
	"testing"
)

func TestRequestHistoryIsBounded(t *testing.T) {
	history := RequestHistory{}
	for number := uint64(1); number <= maxRequests; number++ {
		history = history.With(AcceptedRequest{Digest: 1000 + number, Number: 2 * number})
	}
	if history.EvictedUpTo != 0 || len(history.Packed)/packedRequestSize != maxRequests {
		t.Fatalf("%d requests are recorded, highest evicted number is %d", len(history.Packed)/packedRequestSize, history.EvictedUpTo)
	}
	full := history
	history = history.With(AcceptedRequest{Digest: 7, Number: 9000}, AcceptedRequest{Digest: 8, Number: 9001})
	if len(history.Packed)/packedRequestSize != maxRequests || history.EvictedUpTo != 4 {
		t.Fatalf("after eviction, %d requests are recorded, highest evicted number is %d", len(history.Packed)/packedRequestSize, history.EvictedUpTo)
	}
	if _, accepted := history.NumberOf(1002); accepted {
		t.Fatal("an evicted request is still recorded")
	}
	if number, accepted := history.NumberOf(8); !accepted || number != 9001 {
		t.Fatalf("last request: number %d, recorded %v", number, accepted)
	}
	if !history.MayHaveEvicted(3) || !history.MayHaveEvicted(4) || history.MayHaveEvicted(5) {
		t.Fatal("the numbers that may have been evicted are wrong")
	}
	if _, accepted := full.NumberOf(1001); !accepted || full.EvictedUpTo != 0 {
		t.Fatal("With modified the history in place")
	}
}

func TestRequestsAreRecordedWithTheirChanges(t *testing.T) {
	view := fold(t, View{}, Change{Number: 1, Kind: ChangeConfig, AdminRequest: 5})
	view = fold(t, view, Change{Number: 2, Kind: ChangeDomain, Domain: Domain{Name: "east", State: StateDrained}, AdminRequest: 6})
	view = fold(t, view, Change{Number: 3, Kind: ChangeConfig, RoutingRequests: []AcceptedRequest{{Digest: 7, Number: 70}, {Digest: 8, Number: 80}}, RoutingEvictedUpTo: 60})
	before := view
	view = fold(t, view, Change{Number: 4, Kind: ChangeRunners})
	if !view.EqualExceptObservations(&before) {
		t.Fatal("an observation makes the views unequal")
	}
	if !slices.Equal(slices.Collect(view.AdminRequests.All()), []AcceptedRequest{{5, 1}, {6, 2}}) || view.RoutingRequests.EvictedUpTo != 60 || len(view.RoutingRequests.Packed) != 2*packedRequestSize {
		t.Fatalf("recorded admin requests %+v, routing requests %+v", view.AdminRequests, view.RoutingRequests)
	}
	repeated := fold(t, view, Change{Number: 5, Kind: ChangeDomain, Domain: Domain{Name: "east", State: StateDrained}, AdminRequest: 9})
	if repeated.EqualExceptObservations(&view) {
		t.Fatal("views that differ only in a recorded request are equal")
	}
	if stripped := view.WithoutRequests(); !stripped.AdminRequests.IsEmpty() || !stripped.RoutingRequests.IsEmpty() || len(view.AdminRequests.Packed) != 2*packedRequestSize {
		t.Fatalf("WithoutRequests returned %+v", stripped)
	}
}

func TestRequestDigestSeparatesParts(t *testing.T) {
	first, again := RequestDigest("a"), RequestDigest("a")
	if RequestDigest("a", "bc") == RequestDigest("ab", "c") || first != again {
		t.Fatal("different requests have the same digest, or equal ones do not")
	}
}
