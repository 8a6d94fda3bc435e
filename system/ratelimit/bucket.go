// Package ratelimit limits the requests of a tenant over all fronts together.
//
// Each tenant belongs to one session log group, and the leader of that group counts for it: its
// Bucket grants tokens, one per request. Fronts lease tokens through a Limiter and spend them
// without asking again until the lease expires. The group's followers are the successors: Raft
// elects one of them if the leader fails.
//
// Guarantees, for a limit of rate r and burst b:
//   - The tokens that all leaders together grant within a period t number at most r*t + b. A grant
//     counts as made when its query arrived, or when its tokens accrue if they are granted in
//     advance, and is valid only if a quorum has confirmed the leader after the query arrived. So
//     the grants of a leader end when its successor is elected, and the successor begins with an
//     empty bucket at its own election.
//   - A token is spent within the lease lifetime after its front asked for it or it accrued. Within
//     a period t, requests spend at most r*(t + lifetime) + b tokens, and r*MaxDelay more around the
//     election of a successor.
//   - No grant is written to disk: after the loss of all leaders, buckets are empty.
//
// The package has no I/O of its own. Bucket is used by one caller at a time; Limiter is safe for
// concurrent use.
package ratelimit

import (
	"math"
	"time"
)

// Limit is the limit of a tenant.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is how many requests above the rate may come at a time.
	Burst float64
}

// capacity returns the size of the bucket of a limit; with less than 1 it would grant nothing.
func (limit Limit) capacity() float64 { return math.Max(limit.Burst, 1) }

// Bucket is the token bucket of one tenant at the leader that counts for it.
type Bucket struct {
	limit     Limit
	config    uint64 // number of the config that set the limit
	tokens    float64
	updatedAt time.Time
}

// NewBucket returns the bucket of a leader elected at the given time. It is empty then, as the
// previous leader may have granted everything that had accrued.
//
//	bucket := ratelimit.NewBucket(electedAt)
func NewBucket(electedAt time.Time) *Bucket { return &Bucket{updatedAt: electedAt} }

// Request is a front's request for tokens.
type Request struct {
	Tenant string
	Limit  Limit
	// Config is the number of the config that has the limit. The limit of the highest one applies.
	Config uint64
	// Wanted is how many tokens the front asks for. Unused is how many of its earlier tokens have
	// expired unspent; they were granted in the leader's term Term.
	Wanted uint32
	Unused uint32
	Term   uint64
	// MaxDelay is how long the front's requests may wait for tokens to accrue.
	MaxDelay time.Duration
}

// Grant is the answer to a Request.
type Grant struct {
	Granted uint32
	// RetryAfter is the time until the next token accrues if fewer than wanted were granted.
	RetryAfter time.Duration
	// Delay is how long after the request the tokens may be used, at most MaxDelay. They have been
	// granted before they accrued.
	Delay time.Duration
	// Term is the term of the leader that granted the tokens.
	Term uint64
}

// Take grants as many of the wanted tokens as the bucket has or, if it has none, as many as accrue
// within the longest delay. now is when the request arrived. Unused tokens are put back if they
// were granted in the same term.
//
//	grant := bucket.Take(request, term, receivedAt)
func (bucket *Bucket) Take(request Request, term uint64, now time.Time) Grant {
	bucket.adopt(request, now)
	if request.Term == term {
		bucket.tokens = math.Min(bucket.limit.capacity(), bucket.tokens+float64(request.Unused))
	}
	available := math.Floor(bucket.tokens)
	if available < 1 {
		available = math.Max(0, math.Floor(bucket.tokens+bucket.limit.Rate*request.MaxDelay.Seconds()))
	}
	grant := Grant{Granted: uint32(math.Min(float64(request.Wanted), available)), Term: term}
	bucket.tokens -= float64(grant.Granted)
	if bucket.tokens < 0 && grant.Granted > 0 {
		grant.Delay = bucket.timeUntil(0)
	}
	if grant.Granted < request.Wanted {
		grant.RetryAfter = bucket.timeUntil(1)
	}
	return grant
}

// timeUntil returns the time until the bucket has a number of tokens; 0 without a rate.
func (bucket *Bucket) timeUntil(tokens float64) time.Duration {
	if bucket.limit.Rate <= 0 {
		return 0
	}
	return time.Duration(math.Max(0, tokens-bucket.tokens) / bucket.limit.Rate * float64(time.Second))
}

// adopt applies the limit of a request if its config is newer, and adds the tokens that have accrued
// under the limit so far. The first limit applies from the leader's election on.
func (bucket *Bucket) adopt(request Request, now time.Time) {
	if bucket.config == 0 {
		bucket.limit, bucket.config = request.Limit, request.Config
	}
	if elapsed := now.Sub(bucket.updatedAt); elapsed > 0 {
		bucket.tokens = math.Min(bucket.limit.capacity(), bucket.tokens+bucket.limit.Rate*elapsed.Seconds())
		bucket.updatedAt = now
	}
	if request.Config > bucket.config {
		bucket.limit, bucket.config = request.Limit, request.Config
		bucket.tokens = math.Min(bucket.tokens, bucket.limit.capacity())
	}
}
