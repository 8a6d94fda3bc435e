package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yardrock.example/system/apierror"
)

var errNoLeader = errors.New("no leader")

// fakeLeaders is a Granter whose leader changes at random, and whose replies come late, get lost or
// answer a query that was executed twice.
type fakeLeaders struct {
	mutex  sync.Mutex
	random *rand.Rand
	term   uint64
	bucket *Bucket
	lossy  bool
	down   bool // no leader answers
	// queries counts the calls.
	queries int
}

func (leaders *fakeLeaders) draw(bound time.Duration) time.Duration {
	leaders.mutex.Lock()
	defer leaders.mutex.Unlock()
	return time.Duration(leaders.random.Int64N(int64(bound)))
}

func (leaders *fakeLeaders) chance(percent int) bool {
	return leaders.draw(100) < time.Duration(percent)
}

func (leaders *fakeLeaders) elect() {
	leaders.mutex.Lock()
	defer leaders.mutex.Unlock()
	leaders.term++
	leaders.bucket = NewBucket(time.Now())
}

func (leaders *fakeLeaders) GrantTokens(_ context.Context, request Request) (Grant, error) {
	<-time.After(leaders.draw(5 * time.Millisecond))
	leaders.mutex.Lock()
	leaders.queries++
	term, bucket, receivedAt := leaders.term, leaders.bucket, time.Now()
	leaders.mutex.Unlock()
	<-time.After(leaders.draw(5 * time.Millisecond)) // a quorum confirms the leader
	executions := 1
	if leaders.lossy && leaders.chance(5) {
		executions = 2
	}
	lost := leaders.lossy && leaders.chance(5)
	leaders.mutex.Lock()
	defer leaders.mutex.Unlock()
	if leaders.term != term || leaders.down {
		return Grant{}, errNoLeader
	}
	grant := Grant{}
	for range executions {
		grant = bucket.Take(request, term, receivedAt)
	}
	if lost {
		return Grant{}, errNoLeader
	}
	return grant, nil
}

// maxWithin returns the largest number of times within any period.
func maxWithin(times []time.Time, period time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	highest, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= period {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// TestRequestsStayWithinTheLimitThroughLeaderChanges sends far more than the limit through several
// fronts while leaders change and replies get lost.
func TestRequestsStayWithinTheLimitThroughLeaderChanges(t *testing.T) {
	for seed := range uint64(20) {
		for _, limit := range []Limit{{Rate: 40, Burst: 10}, {Rate: 3, Burst: 3}, {Rate: 200, Burst: 200}} {
			t.Run(fmt.Sprintf("seed-%d-rate-%v", seed, limit.Rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkLimit(t, seed, limit) })
			})
		}
	}
}

func checkLimit(t *testing.T, seed uint64, limit Limit) {
	const fronts, window, duration = 5, 5 * time.Second, 20 * time.Second
	leaders := &fakeLeaders{random: rand.New(rand.NewPCG(seed, 1)), lossy: true}
	leaders.elect()
	var mutex sync.Mutex
	admitted := []time.Time{}
	var requests sync.WaitGroup
	began := time.Now()
	for range fronts {
		limiter := New(Settings{Granter: leaders})
		t.Cleanup(limiter.Close)
		requests.Go(func() {
			for time.Since(began) < duration {
				<-time.After(leaders.draw(time.Duration(2 * fronts * float64(time.Second) / (3 * limit.Rate))))
				requests.Go(func() {
					sendBy, err := limiter.Admit(t.Context(), "tenant", limit, 1)
					if err == nil && time.Now().Before(sendBy) {
						mutex.Lock()
						admitted = append(admitted, time.Now())
						mutex.Unlock()
					}
				})
			}
		})
	}
	requests.Go(func() {
		for time.Since(began) < duration {
			<-time.After(time.Second + leaders.draw(3*time.Second))
			leaders.elect()
		}
	})
	requests.Wait()
	allowed := limit.Rate*(window+2*DefaultLeaseLifetime).Seconds() + limit.Burst + 1
	if highest := maxWithin(admitted, window); float64(highest) > allowed {
		t.Errorf("%d requests within %s, at most %.0f are allowed", highest, window, allowed)
	}
	if least := limit.Rate * duration.Seconds() / 2; float64(len(admitted)) < least {
		t.Errorf("%d requests were admitted in %s, at least %.0f expected", len(admitted), duration, least)
	}
}

// TestRequestsBelowTheLimitAreAdmitted sends four fifths of the limit through several fronts.
func TestRequestsBelowTheLimitAreAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fronts, perFront = 4, 200
		limit := Limit{Rate: 50, Burst: 20}
		leaders := &fakeLeaders{random: rand.New(rand.NewPCG(1, 1))}
		leaders.elect()
		<-time.After(time.Second)
		var mutex sync.Mutex
		refused := 0
		var requests sync.WaitGroup
		for range fronts {
			limiter := New(Settings{Granter: leaders})
			t.Cleanup(limiter.Close)
			for range perFront {
				at := leaders.draw(time.Duration(fronts * perFront / (0.8 * limit.Rate) * float64(time.Second)))
				requests.Go(func() {
					<-time.After(at)
					if _, err := limiter.Admit(t.Context(), "tenant", limit, 1); err != nil {
						mutex.Lock()
						refused++
						mutex.Unlock()
					}
				})
			}
		}
		requests.Wait()
		if refused > fronts*perFront/100 {
			t.Errorf("%d of %d requests were refused", refused, fronts*perFront)
		}
		if leaders.queries > fronts*perFront {
			t.Errorf("%d queries for %d requests", leaders.queries, fronts*perFront)
		}
	})
}

// TestRefusalSaysWhenToRetry: a request beyond the limit is answered at once, and so is one that no
// leader counts.
func TestRefusalSaysWhenToRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaders := &fakeLeaders{random: rand.New(rand.NewPCG(1, 1))}
		leaders.elect()
		limiter := New(Settings{Granter: leaders})
		defer limiter.Close()
		limit := Limit{Rate: 0.5, Burst: 1}
		began := time.Now()
		_, err := limiter.Admit(t.Context(), "tenant", limit, 1)
		if refusal := apierror.Of(err); refusal.Kind != apierror.RateLimited || refusal.RetryAfter <= 0 || time.Since(began) > 50*time.Millisecond {
			t.Errorf("after %s: %v", time.Since(began), err)
		}
		leaders.down = true
		_, err = limiter.Admit(t.Context(), "another", limit, 1)
		if refusal := apierror.Of(err); refusal.Kind != apierror.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("without an answer: %v", err)
		}
	})
}
