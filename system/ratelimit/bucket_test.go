package ratelimit

import (
	"testing"
	"time"
)

func TestSuccessorBeginsWithAnEmptyBucket(t *testing.T) {
	electedAt := time.Unix(100, 0)
	limit := Limit{Rate: 10, Burst: 5}
	request := Request{Tenant: "a", Limit: limit, Config: 1, Wanted: 9}
	if grant := NewBucket(electedAt).Take(request, 2, electedAt); grant.Granted != 0 || grant.RetryAfter != 100*time.Millisecond {
		t.Errorf("at its election: %+v", grant)
	}
	if grant := NewBucket(electedAt).Take(request, 2, electedAt.Add(250*time.Millisecond)); grant.Granted != 2 {
		t.Errorf("250 ms after its election: %+v", grant)
	}
	if grant := NewBucket(electedAt).Take(request, 2, electedAt.Add(time.Hour)); grant.Granted != 5 {
		t.Errorf("an hour after its election: %+v", grant)
	}
}

func TestBucketGrantsInAdvanceWithinTheLongestDelay(t *testing.T) {
	now := time.Unix(100, 0)
	bucket := NewBucket(now)
	request := Request{Limit: Limit{Rate: 10, Burst: 5}, Config: 1, Wanted: 3, MaxDelay: 250 * time.Millisecond}
	if grant := bucket.Take(request, 2, now); grant.Granted != 2 || grant.Delay != 200*time.Millisecond || grant.RetryAfter != 300*time.Millisecond {
		t.Errorf("from an empty bucket: %+v", grant)
	}
	if grant := bucket.Take(request, 2, now); grant.Granted != 0 || grant.Delay != 0 {
		t.Errorf("again: %+v", grant)
	}
	if grant := bucket.Take(request, 2, now.Add(300*time.Millisecond)); grant.Granted != 1 || grant.Delay != 0 {
		t.Errorf("after 300 ms: %+v", grant)
	}
}

func TestNewerConfigSetsTheLimit(t *testing.T) {
	now := time.Unix(100, 0)
	bucket := NewBucket(now.Add(-time.Hour))
	high, low := Limit{Rate: 1000, Burst: 1000}, Limit{Rate: 10, Burst: 5}
	if grant := bucket.Take(Request{Limit: high, Config: 1, Wanted: 1}, 2, now); grant.Granted != 1 {
		t.Fatalf("%+v", grant)
	}
	if grant := bucket.Take(Request{Limit: low, Config: 2, Wanted: 50}, 2, now); grant.Granted != 5 {
		t.Errorf("the lower limit grants %+v", grant)
	}
	if grant := bucket.Take(Request{Limit: high, Config: 1, Wanted: 50}, 2, now.Add(time.Second)); grant.Granted != 5 {
		t.Errorf("a front with the older config gets %+v", grant)
	}
}

func TestUnusedTokensReturnOnlyInTheirTerm(t *testing.T) {
	now := time.Unix(100, 0)
	bucket := NewBucket(now)
	request := Request{Limit: Limit{Rate: 1, Burst: 5}, Config: 1, Wanted: 3, Unused: 2, Term: 1}
	if grant := bucket.Take(request, 2, now); grant.Granted != 0 {
		t.Errorf("tokens of another term: %+v", grant)
	}
	request.Term = 2
	if grant := bucket.Take(request, 2, now); grant.Granted != 2 {
		t.Errorf("tokens of this term: %+v", grant)
	}
	// The query is executed twice: it takes at least what it puts back.
	if grant := bucket.Take(request, 2, now); grant.Granted > 2 {
		t.Errorf("a repeated query: %+v", grant)
	}
}
