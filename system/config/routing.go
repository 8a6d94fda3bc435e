package config

import (
	"encoding/json"
)

// RouteKind is how often a request of a route may be executed, and how it is answered.
type RouteKind string

// The kinds of route.
const (
	// Repeatable requests are idempotent: they may be executed more than once.
	Repeatable RouteKind = "repeatable"
	// Once requests are executed at most once.
	Once RouteKind = "once"
	// Streaming requests are answered by a stream of events. They are executed at most once,
	// unless the route is resumable.
	Streaming RouteKind = "streaming"
)

// WeightedService is a service that gets a part of a route's requests: its weight divided by the
// sum of the route's weights.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route is how requests are forwarded that are for Host (without port, any case) and whose path
// begins with Prefix, which begins and ends with a slash. Of a host's routes the one with the
// longest prefix applies.
type Route struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Timeout is the longest that a request may take; above 0.
	Timeout Duration `json:"patience"`
	// FirstByteTarget and EventGapTarget are within which the first byte and each further
	// event should come for the answer to have its full worth; 0: no target.
	FirstByteTarget Duration `json:"target"`
	EventGapTarget  Duration `json:"gap"`
	// Urgency orders waiting requests, from 0, the most urgent, to 1000.
	Urgency int               `json:"urgency"`
	Shares  []WeightedService `json:"shares"`
	// MaxAttempts is how many runners one request may be sent to, 1 to 1000.
	MaxAttempts int `json:"tries"`
	// StoresHistory: a turn brings only its new input, and the fleet stores what was said
	// before, for Retention after the last event.
	StoresHistory bool     `json:"keeps_history"`
	Retention     Duration `json:"keep"`
	// Sticky: requests of one session prefer the runner that served it before.
	Sticky bool `json:"sticky"`
	// Resumable: a stream that broke off may be executed again, and goes on where it broke.
	Resumable bool `json:"resumable"`
	// Original is the item as its operator wrote it; it is given back unchanged.
	Original json.RawMessage `json:"written,omitempty"`
}

// Engine is the capacity of one model runner of a service: how many requests it decodes at once,
// the tokens of its prefix cache (0: not known), and the tokens of one event (0 counts as 1).
type Engine struct {
	Slots          int    `json:"slots"`
	CacheTokens    uint64 `json:"cache_tokens"`
	TokensPerEvent uint64 `json:"tokens_per_event"`
}

// Service is a group of runners that do the same work.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of health checks.
	HealthPath string `json:"health_path"`
	// MaxConnections bounds connections to one runner from all fronts together; 0: no limit.
	MaxConnections int `json:"most_connections"`
	// WarmUp is how long a runner warms up after its start; WarmUpRate is how many requests a
	// second it gets meanwhile from all fronts together; 0: no limit.
	WarmUp     Duration `json:"cold_for"`
	WarmUpRate float64  `json:"cold_rate"`
	Engine     *Engine  `json:"engine,omitempty"` // nil: not a model runner
	// Original is the item as its operator wrote it; it is given back unchanged.
	Original json.RawMessage `json:"written,omitempty"`
}

// Bounds limit callers' requests: the size of a header and of a body in bytes, how long a header
// may take to arrive, and how long a connection may be idle. 0 is the ingress's default.
type Bounds struct {
	HeaderBytes   int64           `json:"header_bytes"`
	BodyBytes     int64           `json:"body_bytes"`
	HeaderTimeout Duration        `json:"header_wait"`
	IdleTimeout   Duration        `json:"idle"`
	Original      json.RawMessage `json:"written,omitempty"` // as its operator wrote it
}

// Routing is the part of a config by which callers' requests are forwarded unchanged to runners.
// Its revision is chosen by the operators and grows with every change, by any step.
type Routing struct {
	Revision         uint64            `json:"revision"`
	Routes           []Route           `json:"routes"`
	Services         []Service         `json:"services"`
	Bounds           Bounds            `json:"bounds"`
	AcceptedRequests []AcceptedRequest `json:"taken,omitempty"`
	// UnknownFields has the parts that this version does not know, as they were written.
	UnknownFields map[string]json.RawMessage `json:"unread,omitempty"`

	index *routeIndex // nil before BuildIndex
}
