package config

import (
	"net"
	"strings"
)

// Service finds a service by name. A nil routing has none.
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

// routeIndex indexes routes by lower-case host and by prefix, services by name, and tenants by
// their keys. It is immutable.
type routeIndex struct {
	hosts    map[string]*hostRoutes
	services map[string]*Service
	tenants  map[string]*Tenant // by the hash of each key
}

// hostRoutes holds the routes of one host by prefix, and the length of the longest prefix.
type hostRoutes struct {
	prefixes      map[string]*Route
	longestPrefix int
}

// BuildIndex builds the index for lookups; without it, every call of Match builds one. Decode calls
// it. The routes and services must not be changed afterwards.
//
//	routing.BuildIndex()
func (routing *Routing) BuildIndex() {
	index := &routeIndex{hosts: map[string]*hostRoutes{}, services: make(map[string]*Service, len(routing.Services)), tenants: make(map[string]*Tenant, len(routing.Tenants))}
	for position := range routing.Tenants {
		for _, hash := range routing.Tenants[position].KeyHashes {
			index.tenants[hash] = &routing.Tenants[position]
		}
	}
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

// Match finds the route of a request: of its host's routes, the one with the longest prefix of the
// path. The host may have a port and upper-case letters. A lookup with an index and a lower-case
// host without port does not allocate. A nil routing has no routes.
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
	// Every prefix ends with a slash, so only positions after a slash can match.
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
