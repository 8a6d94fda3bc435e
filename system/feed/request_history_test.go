package feed

import (
	"slices"
	"testing"
)

func TestRequestHistoryIsBoundedAndMarksWhatItForgot(t *testing.T) {
	history := RequestHistory{}
	for number := uint64(1); number <= maxRequests; number++ {
		history = history.With(AcceptedRequest{Digest: 1000 + number, Number: 2 * number})
	}
	if history.Forgotten != 0 || len(history.Packed)/packedRequestSize != maxRequests {
		t.Fatalf("%d requests are remembered, %d forgotten", len(history.Packed)/packedRequestSize, history.Forgotten)
	}
	full := history
	history = history.With(AcceptedRequest{Digest: 7, Number: 9000}, AcceptedRequest{Digest: 8, Number: 9001})
	if len(history.Packed)/packedRequestSize != maxRequests || history.Forgotten != 4 {
		t.Fatalf("%d requests are remembered, those up to %d forgotten", len(history.Packed)/packedRequestSize, history.Forgotten)
	}
	if _, accepted := history.NumberOf(1002); accepted {
		t.Fatal("a forgotten request is known")
	}
	if number, accepted := history.NumberOf(8); !accepted || number != 9001 {
		t.Fatalf("the last request has number %d, %v", number, accepted)
	}
	if !history.MayHaveForgotten(3) || !history.MayHaveForgotten(4) || history.MayHaveForgotten(5) {
		t.Fatal("the mark of what was forgotten is wrong")
	}
	if _, accepted := full.NumberOf(1001); !accepted || full.Forgotten != 0 {
		t.Fatal("a history was changed in place")
	}
}

func TestRequestsAreRememberedWithTheirChanges(t *testing.T) {
	view := fold(t, View{}, Change{Number: 1, Kind: ChangeConfig, AdminRequest: 5})
	view = fold(t, view, Change{Number: 2, Kind: ChangeDomain, Domain: Domain{Name: "east", State: StateDrained}, AdminRequest: 6})
	view = fold(t, view, Change{Number: 3, Kind: ChangeConfig, RoutingRequests: []AcceptedRequest{{Digest: 7, Number: 70}, {Digest: 8, Number: 80}}, RoutingForgotten: 60})
	before := view
	view = fold(t, view, Change{Number: 4, Kind: ChangeRunners})
	if !view.EqualExceptObservations(&before) {
		t.Fatal("an observation is taken for a request")
	}
	if !slices.Equal(slices.Collect(view.AdminRequests.All()), []AcceptedRequest{{5, 1}, {6, 2}}) || view.RoutingRequests.Forgotten != 60 || len(view.RoutingRequests.Packed) != 2*packedRequestSize {
		t.Fatalf("remembered are %+v and %+v", view.AdminRequests, view.RoutingRequests)
	}
	again := fold(t, view, Change{Number: 5, Kind: ChangeDomain, Domain: Domain{Name: "east", State: StateDrained}, AdminRequest: 9})
	if again.EqualExceptObservations(&view) {
		t.Fatal("a request that changes nothing else is not distinguished from none")
	}
	if bare := view.WithoutRequests(); !bare.AdminRequests.IsEmpty() || !bare.RoutingRequests.IsEmpty() || len(view.AdminRequests.Packed) != 2*packedRequestSize {
		t.Fatalf("without requests: %+v", bare)
	}
}

func TestRequestDigestSeparatesParts(t *testing.T) {
	first, again := RequestDigest("a"), RequestDigest("a")
	if RequestDigest("a", "bc") == RequestDigest("ab", "c") || first != again {
		t.Fatal("digests do not identify requests")
	}
}
