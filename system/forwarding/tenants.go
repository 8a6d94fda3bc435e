package forwarding

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/ratelimit"
	"yardrock.example/system/sessionlog"
)

// authenticate is the filter that finds the tenant of the request. Without tenants in the
// configuration, and on public routes, no key is required.
func authenticate(_ context.Context, _ *Forwarder, exchange *exchange) (bool, error) {
	tenant, err := tenantOf(exchange.current.Routing, exchange.route, exchange.TenantKey)
	exchange.tenant = tenant
	return false, err
}

// tenantOf returns the tenant that a key belongs to under a routing; nil if the request needs none.
func tenantOf(routing *config.Routing, route *config.Route, key string) (*config.Tenant, error) {
	if !routing.HasTenants() {
		return nil, nil
	}
	tenant, found := routing.TenantByKey(key)
	if !found && !route.Public {
		return nil, apierror.New(apierror.Unauthorized, "the request has no key of a tenant", "send a key that the configuration has")
	}
	return tenant, nil
}

// nameOf returns the name of a tenant; "" for none.
func nameOf(tenant *config.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// urgencyOf returns the urgency of a tenant's requests; nil for that of their routes.
func urgencyOf(tenant *config.Tenant) *int {
	if tenant == nil {
		return nil
	}
	return tenant.Urgency
}

// tenantScope is the beginning of the names of the sessions that belong to the request's tenant.
func (exchange *exchange) tenantScope() string {
	return sessionlog.TenantScope(nameOf(exchange.tenant))
}

// limitRate is the filter that counts the request against its tenant's rate limit.
func limitRate(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	defer exchange.timer.end(StageRateLimit)
	return false, exchange.acquireToken(ctx, forwarder)
}

// rateLimitWaitFraction is the fraction of its remaining time that a request may wait until it is
// counted.
const rateLimitWaitFraction = 0.35

// acquireToken spends a token of the tenant's rate limit unless the request has one that it may
// still use.
func (exchange *exchange) acquireToken(ctx context.Context, forwarder *Forwarder) error {
	if !exchange.isRateLimited() || time.Now().Before(exchange.sendBy) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rateLimitWaitFraction*float64(time.Until(exchange.deadline))))
	defer cancel()
	limit := ratelimit.Limit{Rate: exchange.tenant.Rate, Burst: exchange.tenant.Burst}
	sendBy, err := forwarder.settings.RateLimiter.Admit(ctx, exchange.tenant.Name, limit, exchange.current.View.ConfigNumber)
	exchange.sendBy = sendBy
	return err
}

// isRateLimited reports whether the request counts against a rate limit.
func (exchange *exchange) isRateLimited() bool {
	return exchange.tenant != nil && exchange.tenant.Rate > 0
}
