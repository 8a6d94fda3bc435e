package config

import (
	"encoding/json"
	"slices"
)

// RouteKind determines how often a request of a route may be executed, and how it is answered.
type RouteKind string

// The kinds of route.
const (
	// Repeatable requests are idempotent: they may be executed more than once.
	Repeatable RouteKind = "repeatable"
	// Once requests are executed at most once.
	Once RouteKind = "once"
	// Streaming requests are answered with a stream of events. They are executed at most once,
	// unless the route is resumable.
	Streaming RouteKind = "streaming"
	// Keyed requests must bear an operation key. All requests of a tenant with the same key, on routes
	// of any kind, are one operation, which is executed at most once; a repeat gets the answer of the
	// first execution.
	Keyed RouteKind = "keyed"
)

// WeightedService is a service that receives a share of a route's requests: its weight divided by
// the sum of the route's weights.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route defines how requests to Host (without port, case-insensitive) whose path begins with Prefix
// are forwarded. Prefix begins and ends with a slash. Of a host's routes, the one with the longest
// matching prefix applies.
type Route struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Timeout is the maximum duration of a request; above 0.
	Timeout Duration `json:"patience"`
	// FirstByteTarget is the target for the time to the first byte of the answer, EventGapTarget
	// for the time between events. 0 means no target.
	FirstByteTarget Duration `json:"target"`
	EventGapTarget  Duration `json:"gap"`
	// Urgency is the priority of queued requests, from 0, the most urgent, to 1000.
	Urgency int               `json:"urgency"`
	Shares  []WeightedService `json:"shares"`
	// MaxAttempts is the maximum number of runners that one request is sent to, 1 to 1000.
	MaxAttempts int `json:"tries"`
	// StoresHistory states that a turn contains only its new input, and the fleet stores the
	// earlier turns, for Retention after the last event.
	StoresHistory bool     `json:"keeps_history"`
	Retention     Duration `json:"keep"`
	// Sticky makes requests of a session prefer the runner that served it last.
	Sticky bool `json:"sticky"`
	// Resumable allows an interrupted stream to be executed again; it continues where it was
	// interrupted.
	Resumable bool `json:"resumable"`
	// Public routes are open to requests without a tenant's key.
	Public bool `json:"public,omitempty"`
	// Original is the item as its operator wrote it; it is returned unchanged.
	Original json.RawMessage `json:"written,omitempty"`
}

// IsServedBy reports whether the named service has a share of the route.
//
//	if route.IsServedBy("chat-small") { ... }
func (route *Route) IsServedBy(serviceName string) bool {
	return slices.ContainsFunc(route.Shares, func(share WeightedService) bool {
		return share.Service == serviceName && share.Weight > 0
	})
}

// Engine is the capacity of each model runner of a service: the number of requests that it decodes
// concurrently, the size of its prefix cache in tokens (0: unknown), and the tokens per event (0
// counts as 1).
type Engine struct {
	Slots          int    `json:"slots"`
	CacheTokens    uint64 `json:"cache_tokens"`
	TokensPerEvent uint64 `json:"tokens_per_event"`
}

// Service is a group of runners that do the same work.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the URL path of health checks.
	HealthPath string `json:"health_path"`
	// MaxConnections limits the connections to one runner from all fronts together; 0 means no
	// limit.
	MaxConnections int `json:"most_connections"`
	// WarmUp is how long a runner warms up after its start. WarmUpRate limits the requests per
	// second that it receives meanwhile from all fronts together; 0 means no limit.
	WarmUp     Duration `json:"cold_for"`
	WarmUpRate float64  `json:"cold_rate"`
	// Deduplicates states that the runners share a record of operation keys, and answer a repeated
	// request themselves.
	Deduplicates bool    `json:"deduplicates,omitempty"`
	Engine       *Engine `json:"engine,omitempty"` // nil: not a model runner
	// Original is the item as its operator wrote it; it is returned unchanged.
	Original json.RawMessage `json:"written,omitempty"`
}

// Bounds limit client requests: the size of header and body in bytes, how long a header may take
// to arrive, and how long a connection may be idle. 0 selects the ingress's default.
type Bounds struct {
	HeaderBytes   int64           `json:"header_bytes"`
	BodyBytes     int64           `json:"body_bytes"`
	HeaderTimeout Duration        `json:"header_wait"`
	IdleTimeout   Duration        `json:"idle"`
	Original      json.RawMessage `json:"written,omitempty"` // as its operator wrote it
}

// Routing is the part of a config that defines how client requests are forwarded unchanged to
// runners. Operators choose its revision, which increases with every change, by any amount.
type Routing struct {
	Revision uint64    `json:"revision"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
	// TenantsOnly states that requests need the key of a tenant even if the list of tenants is empty:
	// the operator has given a list, or has removed the last tenant of one.
	TenantsOnly      bool              `json:"tenants_only,omitempty"`
	Bounds           Bounds            `json:"bounds"`
	AcceptedRequests []AcceptedRequest `json:"taken,omitempty"`
	// UnknownFields preserves the fields that this version does not know, as they were written.
	UnknownFields map[string]json.RawMessage `json:"unread,omitempty"`

	index *routeIndex // nil before BuildIndex
}
