package store

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/ratelimit"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// leadershipPollInterval is how often the node looks for groups that it has begun to lead.
const leadershipPollInterval = 100 * time.Millisecond

// rateLimits has the token buckets of the tenants that this node counts for.
type rateLimits struct {
	mutex  sync.Mutex
	groups map[uint32]*groupRateLimits
}

// groupRateLimits has the buckets of one group's tenants in one term.
type groupRateLimits struct {
	term uint64
	// ledSince is when this node first knew that it leads the group in the term.
	ledSince time.Time
	buckets  map[string]*ratelimit.Bucket // by tenant
}

// ofTerm returns the buckets of a group in a term. Those of an earlier term are dropped: another
// leader may have granted tokens since.
func (limits *rateLimits) ofTerm(group uint32, term uint64, now time.Time) *groupRateLimits {
	current := limits.groups[group]
	if current == nil || current.term < term {
		current = &groupRateLimits{term: term, ledSince: now, buckets: map[string]*ratelimit.Bucket{}}
		limits.groups[group] = current
	}
	return current
}

// recordLeadership notes since when this node leads each of its groups, so that tokens accrue from
// then on and not only from the first query.
func (node *Node) recordLeadership() {
	limits := &node.rateLimits
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	statuses := node.host.Statuses()
	for group, status := range statuses {
		if status.Leading {
			limits.ofTerm(group, status.Term, time.Now())
		}
	}
	for group := range limits.groups {
		if !statuses[group].Leading {
			delete(limits.groups, group)
		}
	}
}

// handleRateLimit grants tokens if a quorum confirms that this node leads the tenant's group. They
// count as granted when the query arrived, before any successor could be elected.
func (node *Node) handleRateLimit(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	receivedAt := time.Now()
	term, err := node.host.ConfirmLeadership(ctx, query.RateLimit.Group)
	if err != nil {
		return nil, err
	}
	limits := &node.rateLimits
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	current := limits.ofTerm(query.RateLimit.Group, term, receivedAt)
	if current.term != term {
		return nil, apierror.NewRetryable(apierror.NoQuorum, "the leadership of the tenant's group has changed meanwhile", "retry", leadershipPollInterval)
	}
	bucket := current.buckets[query.RateLimit.Tenant]
	if bucket == nil {
		bucket = ratelimit.NewBucket(current.ledSince)
		current.buckets[query.RateLimit.Tenant] = bucket
	}
	grant := bucket.Take(query.RateLimit.Request(), term, receivedAt)
	return &wire.Reply{Which: schema.Reply_Which_rateLimit, RateLimit: wire.NewRateLimitReply(grant)}, nil
}
