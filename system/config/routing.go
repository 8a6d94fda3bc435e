package config

import (
	"encoding/json"
)

// RouteKind tells what may be done with a query of a route.
type RouteKind string

// The kinds of route.
const (
	// Repeatable work may run more than once.
	Repeatable RouteKind = "repeatable"
	// Once work runs at most once for each query.
	Once RouteKind = "once"
	// Streaming work is answered by events; it runs at most once, unless resumable.
	Streaming RouteKind = "streaming"
)

// WeightedService is the part of a route's work that goes to one service.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route says what is done with queries for a host whose path begins with a prefix; of
// a host's routes the longest prefix counts.
type Route struct {
	Name            string            `json:"name"`
	Host            string            `json:"host"`
	Prefix          string            `json:"prefix"`
	Kind            RouteKind         `json:"kind"`
	Timeout         Duration          `json:"patience"` // the longest that a query may be held
	FirstByteTarget Duration          `json:"target"`   // to the first byte, for full worth
	EventGapTarget  Duration          `json:"gap"`      // between two events, for full worth
	Urgency         int               `json:"urgency"`  // 0 is the most urgent
	Shares          []WeightedService `json:"shares"`
	MaxAttempts     int               `json:"tries"` // runners that one query may be sent to
	// StoresHistory: a turn brings only its new input; the fleet keeps what was said.
	StoresHistory bool     `json:"keeps_history"`
	Retention     Duration `json:"keep"`
	Sticky        bool     `json:"sticky"`
	Resumable     bool     `json:"resumable"`
	// Original is the item as its operator wrote it; it is read back unchanged.
	Original json.RawMessage `json:"written,omitempty"`
}

// Engine is what one model runner of a service bears.
type Engine struct {
	Slots          int    `json:"slots"`
	CacheTokens    uint64 `json:"cache_tokens"`
	TokensPerEvent uint64 `json:"tokens_per_event"`
}

// Service is a group of runners that do the same work.
type Service struct {
	Name           string          `json:"name"`
	HealthPath     string          `json:"health_path"`
	MaxConnections int             `json:"most_connections"` // to one runner, from all fronts together
	WarmUp         Duration        `json:"cold_for"`
	WarmUpRate     float64         `json:"cold_rate"` // queries a second that a cold runner bears; 0: any
	Engine         *Engine         `json:"engine,omitempty"`
	Original       json.RawMessage `json:"written,omitempty"`
}

// Bounds limit what callers may send and how long they may take.
type Bounds struct {
	HeaderBytes   int64           `json:"header_bytes"`
	BodyBytes     int64           `json:"body_bytes"`
	HeaderTimeout Duration        `json:"header_wait"`
	IdleTimeout   Duration        `json:"idle"`
	Original      json.RawMessage `json:"written,omitempty"`
}

// Routing is the part of a config that says how callers' queries are forwarded to
// runners unchanged. Its revisions are given by the operators and rise unevenly.
type Routing struct {
	Revision         uint64            `json:"revision"`
	Routes           []Route           `json:"routes"`
	Services         []Service         `json:"services"`
	Bounds           Bounds            `json:"bounds"`
	AcceptedRequests []AcceptedRequest `json:"taken,omitempty"`
	// UnknownFields holds the parts that this version doesn't know, as they were written.
	UnknownFields map[string]json.RawMessage `json:"unread,omitempty"`

	index *routeIndex
}
