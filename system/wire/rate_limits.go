package wire

import (
	"time"

	"yardrock.example/system/ratelimit"
	"yardrock.example/system/wire/schema"
)

// RateLimitQuery requests tokens for a tenant from the leader of its group.
type RateLimitQuery struct {
	Group    uint32        `capnp:"group"`
	Tenant   string        `capnp:"tenant"`
	Rate     float64       `capnp:"rate"`
	Burst    float64       `capnp:"burst"`
	Config   uint64        `capnp:"config"`
	Wanted   uint32        `capnp:"wanted"`
	Unused   uint32        `capnp:"unused"`
	Term     uint64        `capnp:"term"`
	MaxDelay time.Duration `capnp:"maxDelay"`
}

// NewRateLimitQuery returns the query for a request to the leader of a group.
//
//	query := wire.NewRateLimitQuery(group, request)
func NewRateLimitQuery(group uint32, request ratelimit.Request) *RateLimitQuery {
	return &RateLimitQuery{
		Group: group, Tenant: request.Tenant, Rate: request.Limit.Rate, Burst: request.Limit.Burst, Config: request.Config,
		Wanted: request.Wanted, Unused: request.Unused, Term: request.Term, MaxDelay: request.MaxDelay,
	}
}

// Request returns the request that the query carries.
//
//	grant := bucket.Take(query.RateLimit.Request(), term, receivedAt)
func (query *RateLimitQuery) Request() ratelimit.Request {
	return ratelimit.Request{
		Tenant: query.Tenant, Limit: ratelimit.Limit{Rate: query.Rate, Burst: query.Burst}, Config: query.Config,
		Wanted: query.Wanted, Unused: query.Unused, Term: query.Term, MaxDelay: query.MaxDelay,
	}
}

// RateLimitReply is the wire form of a ratelimit.Grant.
type RateLimitReply struct {
	Granted    uint32        `capnp:"granted"`
	RetryAfter time.Duration `capnp:"retryAfter"`
	Term       uint64        `capnp:"term"`
	Delay      time.Duration `capnp:"delay"`
}

// NewRateLimitReply returns the reply with a grant.
//
//	reply := wire.NewRateLimitReply(grant)
func NewRateLimitReply(grant ratelimit.Grant) *RateLimitReply {
	return &RateLimitReply{Granted: grant.Granted, RetryAfter: grant.RetryAfter, Term: grant.Term, Delay: grant.Delay}
}

// Grant returns the grant that the reply carries.
//
//	grant := reply.RateLimit.Grant()
func (reply *RateLimitReply) Grant() ratelimit.Grant {
	return ratelimit.Grant{Granted: reply.Granted, RetryAfter: reply.RetryAfter, Term: reply.Term, Delay: reply.Delay}
}

func encodeRateLimitQuery(target schema.RateLimitQuery, value *RateLimitQuery) error {
	target.SetGroup(value.Group)
	target.SetRate(value.Rate)
	target.SetBurst(value.Burst)
	target.SetConfig(value.Config)
	target.SetWanted(value.Wanted)
	target.SetUnused(value.Unused)
	target.SetTerm(value.Term)
	target.SetMaxDelay(int64(value.MaxDelay))
	return target.SetTenant(value.Tenant)
}

func decodeRateLimitQuery(source schema.RateLimitQuery, value *RateLimitQuery) (err error) {
	*value = RateLimitQuery{
		Group: source.Group(), Rate: source.Rate(), Burst: source.Burst(), Config: source.Config(),
		Wanted: source.Wanted(), Unused: source.Unused(), Term: source.Term(), MaxDelay: time.Duration(source.MaxDelay()),
	}
	value.Tenant, err = source.Tenant()
	return err
}

func encodeRateLimitReply(target schema.RateLimitReply, value *RateLimitReply) error {
	target.SetGranted(value.Granted)
	target.SetRetryAfter(int64(value.RetryAfter))
	target.SetTerm(value.Term)
	target.SetDelay(int64(value.Delay))
	return nil
}

func decodeRateLimitReply(source schema.RateLimitReply, value *RateLimitReply) error {
	*value = RateLimitReply{Granted: source.Granted(), RetryAfter: time.Duration(source.RetryAfter()), Term: source.Term(), Delay: time.Duration(source.Delay())}
	return nil
}
