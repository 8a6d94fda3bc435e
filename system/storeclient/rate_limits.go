package storeclient

import (
	"context"

	"yardrock.example/system/ratelimit"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// rateLimitName returns the name whose group counts for a tenant, as a session name determines the
// group of a session.
func rateLimitName(tenant string) string { return "rate/" + tenant }

// GrantTokens asks the leader of the group that counts for a tenant for tokens. It may be asked
// twice; the tokens of a lost reply are lost.
//
//	grant, err := client.GrantTokens(ctx, ratelimit.Request{Tenant: "depot", Limit: limit, Config: number, Wanted: 1})
func (client *Client) GrantTokens(ctx context.Context, request ratelimit.Request) (ratelimit.Grant, error) {
	reply, _, err := client.call(ctx, rateLimitName(request.Tenant), callTimeout, func(group uint32) *wire.Query {
		return &wire.Query{Which: schema.Query_Which_rateLimit, RateLimit: wire.NewRateLimitQuery(group, request)}
	})
	if err != nil {
		return ratelimit.Grant{}, err
	}
	if reply.RateLimit == nil {
		return ratelimit.Grant{}, malformedReplyError()
	}
	return reply.RateLimit.Grant(), nil
}
