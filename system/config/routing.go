package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"yardrock.example/system/apierror"
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

// Taken is a revision that was taken, with the digest of the order that brought it, so
// that the same order sent again is known.
type AcceptedRequest struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
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

// RoutingPatch changes a routing by names: items are removed first, then added or put in
// the place of those that have their names.
type RoutingPatch struct {
	Revision       uint64
	Routes         []Route
	Services       []Service
	RemoveRoutes   []string
	RemoveServices []string
	Bounds         *Bounds // nil: they stay
}

// MaxAcceptedRequests is how many orders a routing itself remembers. The feed remembers many more;
// nodes of the version before look only here.
const MaxAcceptedRequests = 64

// checkUniqueNames refuses items of which two have one name.
func checkUniqueNames[Item any](path string, items []Item, name func(Item) string) error {
	seen := make(map[string]bool, len(items))
	for position, item := range items {
		if seen[name(item)] {
			return invalidRouting(fmt.Sprintf("%s[%d].name", path, position), fmt.Sprintf("%q is there twice", name(item)), "give each item a name of its own")
		}
		seen[name(item)] = true
	}
	return nil
}

func invalidRouting(field, what, remedy string) error {
	return apierror.New(apierror.Invalid, "the routing is invalid: "+field+": "+what, remedy+"; nothing was changed")
}

func routeName(route Route) string       { return route.Name }
func serviceName(service Service) string { return service.Name }

// isLabel is #Label of the schema.
func isLabel(text string) bool {
	return len(text) >= 1 && len(text) <= 255 && !strings.ContainsFunc(text, func(letter rune) bool { return letter < '!' || letter > '~' })
}

func isPath(text string) bool {
	return strings.HasPrefix(text, "/") && !strings.ContainsFunc(text, func(letter rune) bool { return letter < ' ' || letter > '~' })
}

func isPrefix(text string) bool {
	return isPath(text) && strings.HasSuffix(text, "/") && !strings.Contains(text, " ")
}

const (
	labelRemedy    = "use 1 to 255 visible ASCII letters without spaces"
	durationRemedy = "use 0 or more"
	maxUrgency     = 1000
	maxAttempts    = 1000
)

var (
	urgencyRemedy  = fmt.Sprintf("use 0 to %d", maxUrgency)
	attemptsRemedy = fmt.Sprintf("use 1 to %d", maxAttempts)
)

var routeKinds = map[RouteKind]bool{Repeatable: true, Once: true, Streaming: true}

// fieldRule is one thing that a field must not be.
type fieldRule struct {
	violated bool
	field    string
	what     string // with a verb for the value, if there is one
	value    any
	remedy   string
}

func firstViolation(path string, rules []fieldRule) error {
	for _, rule := range rules {
		if !rule.violated {
			continue
		}
		what := rule.what
		if rule.value != nil {
			what = fmt.Sprintf(rule.what, rule.value)
		}
		return invalidRouting(path+rule.field, what, rule.remedy)
	}
	return nil
}

// check holds the same rules as #Route of the schema, which is too slow for hundreds of
// items on a small machine, and those that no schema can hold.
func (route *Route) check(path string, services map[string]bool) error {
	if err := firstViolation(path, []fieldRule{
		{!isLabel(route.Name), ".name", "%q is no name", route.Name, labelRemedy},
		{!isLabel(route.Host) || strings.Contains(route.Host, "/"), ".host", "%q is no host", route.Host, "name a host without port and path"},
		{!isPrefix(route.Prefix), ".prefix", "%q is no prefix", route.Prefix, "let it begin and end with a slash"},
		{!routeKinds[route.Kind], ".kind", "%q is no kind of route", route.Kind, "use repeatable, once or streaming"},
		{route.Timeout <= 0, ".patience", "%v is not above 0", time.Duration(route.Timeout), "give a time above 0"},
		{route.FirstByteTarget < 0, ".target", "it is below 0", nil, durationRemedy},
		{route.EventGapTarget < 0, ".gap", "it is below 0", nil, durationRemedy},
		{route.Retention < 0, ".keep", "it is below 0", nil, durationRemedy},
		{route.Urgency < 0 || route.Urgency > maxUrgency, ".urgency", "%d is out of range", route.Urgency, urgencyRemedy},
		{route.MaxAttempts < 1 || route.MaxAttempts > maxAttempts, ".tries", "%d is out of range", route.MaxAttempts, attemptsRemedy},
	}); err != nil {
		return err
	}
	total := 0.0
	for position, share := range route.Shares {
		sharePath := fmt.Sprintf("%s.shares[%d]", path, position)
		if err := firstViolation(sharePath, []fieldRule{
			{!services[share.Service], ".service", "no service is named %q", share.Service, "add it, or name one that is there"},
			{!(share.Weight >= 0), ".weight", "%v is below 0", share.Weight, "use 0 or more"},
		}); err != nil {
			return err
		}
		total += share.Weight
	}
	if !(total > 0) {
		return invalidRouting(path+".shares", "the weights add up to 0", "give one service a weight above 0")
	}
	return nil
}

// check holds the same rules as #Service of the schema.
func (service *Service) check(path string) error {
	rules := []fieldRule{
		{!isLabel(service.Name), ".name", "%q is no name", service.Name, labelRemedy},
		{!isPath(service.HealthPath), ".health_path", "%q is no path", service.HealthPath, "let it begin with a slash"},
		{service.MaxConnections < 0, ".most_connections", "it is below 0", nil, "use 0 or more; 0 sets no limit"},
		{service.WarmUp < 0, ".cold_for", "it is below 0", nil, durationRemedy},
		{!(service.WarmUpRate >= 0), ".cold_rate", "it is below 0", nil, "use 0 or more; 0 sets no limit"},
	}
	if service.Engine != nil {
		rules = append(rules, fieldRule{service.Engine.Slots < 0, ".engine.slots", "it is below 0", nil, "use 0 or more"})
	}
	return firstViolation(path, rules)
}

func (bounds *Bounds) check() error {
	return firstViolation("bounds", []fieldRule{
		{bounds.HeaderBytes < 0, ".header_bytes", "it is below 0", nil, "use 0 or more; 0 is the usual"},
		{bounds.BodyBytes < 0, ".body_bytes", "it is below 0", nil, "use 0 or more; 0 is the usual"},
		{bounds.HeaderTimeout < 0, ".header_wait", "it is below 0", nil, durationRemedy},
		{bounds.IdleTimeout < 0, ".idle", "it is below 0", nil, durationRemedy},
	})
}

// Check refuses a routing that can't be in force, whatever was in force before: the
// error names the field and the remedy.
//
//	if err := routing.Check(); apierror.Is(err, apierror.Invalid) { ... }
func (routing *Routing) Check() error {
	if err := checkUniqueNames("services", routing.Services, serviceName); err != nil {
		return err
	}
	services := make(map[string]bool, len(routing.Services))
	for position := range routing.Services {
		if err := routing.Services[position].check(fmt.Sprintf("services[%d]", position)); err != nil {
			return err
		}
		services[routing.Services[position].Name] = true
	}
	if err := checkUniqueNames("routes", routing.Routes, routeName); err != nil {
		return err
	}
	type hostPrefix struct{ host, prefix string }
	seen := make(map[hostPrefix]string, len(routing.Routes))
	for position := range routing.Routes {
		route := &routing.Routes[position]
		path := fmt.Sprintf("routes[%d]", position)
		if err := route.check(path, services); err != nil {
			return err
		}
		key := hostPrefix{strings.ToLower(route.Host), route.Prefix}
		if other, found := seen[key]; found {
			return invalidRouting(path+".prefix", fmt.Sprintf("route %q has the host %s and the prefix %s too", other, route.Host, route.Prefix), "give each route a host and prefix of its own")
		}
		seen[key] = route.Name
	}
	return routing.Bounds.check()
}

// Service finds a service by name.
//
//	service, found := routing.Service("chat-small")
func (routing *Routing) Service(name string) (*Service, bool) {
	if routing == nil {
		return nil, false
	}
	if routing.index != nil {
		service, found := routing.index.services[name]
		return service, found
	}
	for position := range routing.Services {
		if routing.Services[position].Name == name {
			return &routing.Services[position], true
		}
	}
	return nil, false
}

// routeIndex finds the routes of a host by prefix. It is never changed once made.
type routeIndex struct {
	hosts    map[string]*hostRoutes
	services map[string]*Service
}

type hostRoutes struct {
	prefixes      map[string]*Route
	longestPrefix int
}

// BuildIndex makes lookups cheap from now on; Decode has done it already. The routes and
// services must not be changed afterwards.
//
//	routing.BuildIndex()
func (routing *Routing) BuildIndex() {
	index := &routeIndex{hosts: map[string]*hostRoutes{}, services: make(map[string]*Service, len(routing.Services))}
	for position := range routing.Services {
		index.services[routing.Services[position].Name] = &routing.Services[position]
	}
	for position := range routing.Routes {
		route := &routing.Routes[position]
		host := strings.ToLower(route.Host)
		routes := index.hosts[host]
		if routes == nil {
			routes = &hostRoutes{prefixes: map[string]*Route{}}
			index.hosts[host] = routes
		}
		routes.prefixes[route.Prefix] = route
		routes.longestPrefix = max(routes.longestPrefix, len(route.Prefix))
	}
	routing.index = index
}

// Match finds the route of a query: of its host's routes the one with the longest prefix
// that begins the path. The host may have a port and capital letters. A lookup allocates
// nothing if the host is written as in the route.
//
//	route, found := routing.Match("chat.example", "/talk/7")
func (routing *Routing) Match(host, path string) (*Route, bool) {
	if routing == nil {
		return nil, false
	}
	if routing.index == nil {
		routing = &Routing{Routes: routing.Routes, Services: routing.Services}
		routing.BuildIndex()
	}
	routes, found := routing.index.hosts[host]
	if !found {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			host = bare
		}
		if routes, found = routing.index.hosts[strings.ToLower(host)]; !found {
			return nil, false
		}
	}
	// Every prefix ends with a slash, so only the places after one can match.
	for end := min(len(path), routes.longestPrefix); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if route, found := routes.prefixes[path[:end]]; found {
			return route, true
		}
	}
	return nil, false
}

// RevisionOf tells whether an order of this digest was taken, under which revision.
//
//	if revision, taken := routing.RevisionOf(digest); taken { ... }
func (routing *Routing) RevisionOf(digest string) (uint64, bool) {
	if routing == nil {
		return 0, false
	}
	for _, accepted := range routing.AcceptedRequests {
		if accepted.Digest == digest {
			return accepted.Revision, true
		}
	}
	return 0, false
}

// Patched gives the routing with an amendment carried out; the receiver, which may be
// nil, stays as it is. A name to remove that is not there is left alone.
//
//	next, err := routing.Patched(config.RoutingPatch{Revision: 9, RemoveRoutes: []string{"old"}})
func (routing *Routing) Patched(patch RoutingPatch) (Routing, error) {
	if err := patch.check(); err != nil {
		return Routing{}, err
	}
	next := Routing{}
	if routing != nil {
		next = Routing{Routes: routing.Routes, Services: routing.Services, Bounds: routing.Bounds, UnknownFields: routing.UnknownFields}
	}
	next.Revision = patch.Revision
	next.Routes = mergeByName(next.Routes, patch.RemoveRoutes, patch.Routes, routeName)
	next.Services = mergeByName(next.Services, patch.RemoveServices, patch.Services, serviceName)
	if patch.Bounds != nil {
		next.Bounds = *patch.Bounds
	}
	return next, next.Check()
}

func (patch *RoutingPatch) check() error {
	if err := checkUniqueNames("services", patch.Services, serviceName); err != nil {
		return err
	}
	return checkUniqueNames("routes", patch.Routes, routeName)
}

// mergeByName keeps the order of the items that stay.
func mergeByName[Item any](items []Item, remove []string, put []Item, name func(Item) string) []Item {
	next := slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return slices.Contains(remove, name(item)) })
	positions := make(map[string]int, len(next))
	for position, item := range next {
		positions[name(item)] = position
	}
	for _, item := range put {
		if at, found := positions[name(item)]; found {
			next[at] = item
		} else {
			next = append(next, item)
		}
	}
	return next
}

// CurrentRevision tells the routing's revision; there is none before the first.
//
//	base := made.Routing.CurrentRevision()
func (routing *Routing) CurrentRevision() uint64 {
	if routing == nil {
		return 0
	}
	return routing.Revision
}

// WithRouting gives the config with another routing, and its compiled form. The routing
// must be valid and its revision above the one in force; the order's digest is kept.
//
//	next, compiled, err := made.WithRouting(routing, digest)
func (config *Config) WithRouting(routing Routing, digest string) (*Config, []byte, error) {
	if err := routing.Check(); err != nil {
		return nil, nil, err
	}
	if inForce := config.Routing.CurrentRevision(); routing.Revision <= inForce {
		return nil, nil, invalidRouting("revision", fmt.Sprintf("%d is not above %d, which is in force", routing.Revision, inForce), "give it a higher one")
	}
	routing.AcceptedRequests = nil
	if config.Routing != nil {
		routing.AcceptedRequests = slices.Clone(config.Routing.AcceptedRequests)
	}
	routing.AcceptedRequests = append(routing.AcceptedRequests, AcceptedRequest{Revision: routing.Revision, Digest: digest})
	routing.AcceptedRequests = routing.AcceptedRequests[max(0, len(routing.AcceptedRequests)-MaxAcceptedRequests):]
	if routing.Routes == nil {
		routing.Routes = []Route{}
	}
	if routing.Services == nil {
		routing.Services = []Service{}
	}
	next := *config
	next.Routing = &routing
	compiled, err := next.Encode()
	return &next, compiled, err
}

// InheritRouting carries the routing in force over into a config that an operator wrote: a
// config without one keeps it, one of the same revision must be the same, and a revision
// may not fall.
//
//	compiled, err := made.InheritRouting(inForce)
func (config *Config) InheritRouting(inForce *Config) ([]byte, error) {
	if inForce.Routing != nil {
		switch {
		case config.Routing == nil:
			config.Routing = inForce.Routing
		case config.Routing.Revision < inForce.Routing.Revision:
			return nil, invalidRouting("routing.revision", fmt.Sprintf("%d is below %d, which is in force", config.Routing.Revision, inForce.Routing.Revision), "leave routing out to keep what is in force, or give it a higher revision")
		case config.Routing.Revision == inForce.Routing.Revision && !config.Routing.equal(inForce.Routing):
			return nil, invalidRouting("routing.revision", fmt.Sprintf("%d is in force with other content", config.Routing.Revision), "give it a higher revision")
		}
		inherited := *config.Routing
		inherited.AcceptedRequests = inForce.Routing.AcceptedRequests
		config.Routing = &inherited
	}
	return config.Encode()
}

// equal tells whether two routings do the same.
func (routing *Routing) equal(other *Routing) bool {
	bare := func(routing Routing) []byte {
		routing.AcceptedRequests, routing.UnknownFields, routing.Bounds.Original = nil, nil, nil
		routing.Routes, routing.Services = slices.Clone(routing.Routes), slices.Clone(routing.Services)
		for position := range routing.Routes {
			routing.Routes[position].Original = nil
		}
		for position := range routing.Services {
			routing.Services[position].Original = nil
		}
		data, _ := json.Marshal(routing)
		return data
	}
	return bytes.Equal(bare(*routing), bare(*other))
}
