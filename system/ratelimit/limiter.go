package ratelimit

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/apierror"
)

const (
	// DefaultLeaseLifetime is the default of Settings.LeaseLifetime.
	DefaultLeaseLifetime = 250 * time.Millisecond
	// minLeaseLifetime leaves time for the query and for the way to the runner.
	minLeaseLifetime = 150 * time.Millisecond
	// leaseShare is the share of the allowed excess for the lifetime of tokens; the rest is for the
	// tokens that a leader granted in advance before it lost its leadership.
	leaseShare = 0.5
	// forecastPeriod is the period whose arrivals a front leases tokens for in advance.
	forecastPeriod = 200 * time.Millisecond
	// maxRefusalReuse bounds how long a refusal answers further requests without a query.
	maxRefusalReuse = 100 * time.Millisecond
	// queryTimeout bounds one query for tokens; minRetryAfter is the shortest retry delay.
	queryTimeout  = time.Second
	minRetryAfter = 50 * time.Millisecond
	// unavailableRetryAfter is the retry delay while no leader grants tokens.
	unavailableRetryAfter = 200 * time.Millisecond
	// idleLeaseRetention is how long the lease of a tenant without requests is kept.
	idleLeaseRetention = time.Minute
)

// LeaseLifetime returns the lifetime of tokens for which requests exceed a limit within a window by
// less than a fraction of it: the requests of the lifetime itself come on top. It is at most
// DefaultLeaseLifetime, as a longer one saves no queries.
//
//	lifetime := ratelimit.LeaseLifetime(5*time.Second, 0.1)
func LeaseLifetime(window time.Duration, excess float64) time.Duration {
	return max(minLeaseLifetime, min(DefaultLeaseLifetime, time.Duration(leaseShare*excess*float64(window))))
}

// Granter asks the leader that counts for a tenant for tokens. storeclient.Client implements it.
type Granter interface {
	GrantTokens(ctx context.Context, request Request) (Grant, error)
}

// Settings configure a Limiter.
type Settings struct {
	Granter Granter
	// LeaseLifetime is how long after it was asked for a token may be spent, and the longest time
	// that a request waits for one; 0 means DefaultLeaseLifetime. In that time a tenant may exceed
	// its limit by its rate.
	LeaseLifetime time.Duration
}

// Limiter admits the requests of a front by tokens that it leases.
type Limiter struct {
	settings Settings
	context  context.Context // ends with Close
	stop     context.CancelFunc
	queries  sync.WaitGroup

	mutex  sync.Mutex
	leases map[string]*lease // by tenant
}

// lease is the tokens that a front has for one tenant. The limiter's mutex guards it.
type lease struct {
	tokens       uint32
	usableAt     time.Time
	expiresAt    time.Time
	term         uint64 // in which the tokens, and the unused ones, were granted
	unused       uint32 // expired tokens to return with the next query
	refusedUntil time.Time
	lastErr      error         // of the last query; nil if it was answered
	waiting      uint32        // requests that wait for the query in flight
	answered     chan struct{} // closed when the query in flight has ended; nil without one
	lastUsed     time.Time
	arrivals     arrivalCounter
}

// New returns a limiter, which must be closed with Close.
//
//	limiter := ratelimit.New(ratelimit.Settings{Granter: stores})
func New(settings Settings) *Limiter {
	if settings.LeaseLifetime == 0 {
		settings.LeaseLifetime = DefaultLeaseLifetime
	}
	limiter := &Limiter{settings: settings, leases: map[string]*lease{}}
	limiter.context, limiter.stop = context.WithCancel(context.Background())
	return limiter
}

// Close cancels the queries in flight and waits for them.
//
//	limiter.Close()
func (limiter *Limiter) Close() {
	limiter.stop()
	limiter.queries.Wait()
}

// Admit spends a token for one request, and returns until when the request must be sent. The error
// is RateLimited if the tenant has used up its limit, and NotRun if no leader grants tokens now;
// both say when to retry.
//
//	sendBy, err := limiter.Admit(ctx, "depot", ratelimit.Limit{Rate: 20, Burst: 5}, view.ConfigNumber)
func (limiter *Limiter) Admit(ctx context.Context, tenant string, limit Limit, config uint64) (time.Time, error) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	held := limiter.leaseOf(tenant)
	held.arrivals.add(time.Now())
	for asked := false; ; asked = true {
		now := time.Now()
		held.expire(now)
		switch {
		case held.tokens > 0:
			held.tokens--
			usableAt, sendBy := held.usableAt, held.expiresAt
			return sendBy, limiter.awaitTime(ctx, usableAt)
		case now.Before(held.refusedUntil):
			return time.Time{}, rateLimitedError(held.refusedUntil.Sub(now))
		case asked && held.lastErr != nil:
			return time.Time{}, apierror.WrapRetryable(held.lastErr, apierror.NotRun, "no store grants requests of this tenant now", "retry", unavailableRetryAfter)
		}
		if err := limiter.awaitQuery(ctx, held, Request{Tenant: tenant, Limit: limit, Config: config}); err != nil {
			return time.Time{}, err
		}
	}
}

// awaitTime waits until a time. The mutex is held when it is called and when it returns, but not
// meanwhile.
func (limiter *Limiter) awaitTime(ctx context.Context, until time.Time) error {
	wait := time.Until(until)
	if wait <= 0 {
		return nil
	}
	limiter.mutex.Unlock()
	defer limiter.mutex.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return apierror.WrapRetryable(ctx.Err(), apierror.NotRun, "the request could not be counted in time", "retry", unavailableRetryAfter)
	}
}

// leaseOf returns the lease of a tenant, and drops those of tenants that are idle.
func (limiter *Limiter) leaseOf(tenant string) *lease {
	now := time.Now()
	held, found := limiter.leases[tenant]
	if !found {
		for name, other := range limiter.leases {
			if other.answered == nil && now.Sub(other.lastUsed) > idleLeaseRetention {
				delete(limiter.leases, name)
			}
		}
		held = &lease{}
		limiter.leases[tenant] = held
	}
	held.lastUsed = now
	return held
}

// expire counts tokens whose time is over as unused.
func (held *lease) expire(now time.Time) {
	if held.tokens > 0 && !now.Before(held.expiresAt) {
		held.unused += held.tokens
		held.tokens = 0
	}
}

// awaitQuery waits for the query in flight, or starts one. The mutex is held when it is called and
// when it returns, but not meanwhile.
func (limiter *Limiter) awaitQuery(ctx context.Context, held *lease, request Request) error {
	held.waiting++
	if held.answered == nil {
		held.answered = make(chan struct{})
		request.Wanted = held.waiting + held.arrivals.recent(time.Now())
		// A query may be executed twice. It then takes at least as many tokens as it puts back.
		request.MaxDelay = limiter.settings.LeaseLifetime
		request.Unused, request.Term = min(held.unused, request.Wanted), held.term
		limiter.queries.Go(func() { limiter.query(held, request) })
	}
	answered := held.answered
	limiter.mutex.Unlock()
	var err error
	select {
	case <-answered:
	case <-ctx.Done():
		err = apierror.WrapRetryable(ctx.Err(), apierror.NotRun, "the request could not be counted in time", "retry", unavailableRetryAfter)
	}
	limiter.mutex.Lock()
	held.waiting--
	return err
}

// query asks for tokens once. Their time counts from before the query was sent.
func (limiter *Limiter) query(held *lease, request Request) {
	ctx, cancel := context.WithTimeout(limiter.context, queryTimeout)
	defer cancel()
	sentAt := time.Now()
	grant, err := limiter.settings.Granter.GrantTokens(ctx, request)
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := time.Now()
	if held.lastErr = err; err == nil {
		held.unused = 0
		// The leader's delay counts from when the query arrived there, which is before now.
		held.tokens, held.usableAt, held.term = grant.Granted, now.Add(grant.Delay), grant.Term
		held.expiresAt = sentAt.Add(grant.Delay + limiter.settings.LeaseLifetime)
		if grant.Granted < request.Wanted {
			held.refusedUntil = now.Add(min(max(grant.RetryAfter, minRetryAfter), maxRefusalReuse))
		}
	}
	close(held.answered)
	held.answered = nil
}

// rateLimitedError returns the error of a request beyond its tenant's limit.
func rateLimitedError(retryAfter time.Duration) error {
	return apierror.NewRetryable(apierror.RateLimited, "the tenant has sent more requests than its rate limit allows", "retry later, or raise the limit", max(retryAfter, minRetryAfter))
}

// arrivalCounter counts the requests of the current and of the previous forecastPeriod.
type arrivalCounter struct {
	began             time.Time
	current, previous uint32
}

// add counts a request.
func (counter *arrivalCounter) add(now time.Time) {
	counter.advance(now)
	counter.current++
}

// recent returns how many requests came in the previous period.
func (counter *arrivalCounter) recent(now time.Time) uint32 {
	counter.advance(now)
	return counter.previous
}

// advance begins a new period if the current one is over.
func (counter *arrivalCounter) advance(now time.Time) {
	elapsed := now.Sub(counter.began)
	if elapsed < forecastPeriod {
		return
	}
	counter.previous = counter.current
	if elapsed >= 2*forecastPeriod {
		counter.previous = 0
	}
	counter.began, counter.current = now, 0
}
