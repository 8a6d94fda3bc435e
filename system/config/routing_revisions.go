package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// MaxAcceptedRequests is the maximum number of requests that a routing records. The feed records
// many more (feed.RequestHistory); nodes of versions without that history use only these.
const MaxAcceptedRequests = 64

// AcceptedRequest is a revision and the digest of the request that created it, by which a retry of
// the request is recognized.
type AcceptedRequest struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// RoutingPatch is a change of a routing by item names: first the named items are removed, then each
// given item replaces the one with its name or is appended.
type RoutingPatch struct {
	Revision       uint64    // of the patched routing
	Routes         []Route   // to add or replace, by name
	Services       []Service // to add or replace, by name
	Tenants        []Tenant  // to add or replace, by name
	RemoveRoutes   []string  // names
	RemoveServices []string  // names
	RemoveTenants  []string  // names
	Bounds         *Bounds   // nil means unchanged
}

// check rejects a patch that contains two items with the same name.
func (patch *RoutingPatch) check() error {
	if err := checkUniqueNames("services", patch.Services, serviceName); err != nil {
		return err
	}
	if err := checkUniqueNames("tenants", patch.Tenants, tenantName); err != nil {
		return err
	}
	return checkUniqueNames("routes", patch.Routes, routeName)
}

// routeName and serviceName return the key of an item of a routing.
func routeName(route Route) string { return route.Name }

func serviceName(service Service) string { return service.Name }

// RevisionOf returns the revision that the request with a digest created, if the request is
// recorded. A nil routing records none.
//
//	if revision, accepted := routing.RevisionOf(digest); accepted { ... }
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

// Patched returns the routing with a patch applied. The receiver may be nil and is not changed.
// Removing an undefined name is not an error. Removing the last tenant leaves an empty list of them, under
// which no key is valid. The result has no accepted requests; WithRouting sets them.
//
//	next, err := routing.Patched(config.RoutingPatch{Revision: 9, RemoveRoutes: []string{"old"}})
func (routing *Routing) Patched(patch RoutingPatch) (Routing, error) {
	if err := patch.check(); err != nil {
		return Routing{}, err
	}
	next := Routing{}
	if routing != nil {
		next = Routing{Routes: routing.Routes, Services: routing.Services, Tenants: routing.Tenants, TenantsOnly: routing.HasTenants(), Bounds: routing.Bounds, UnknownFields: routing.UnknownFields}
	}
	next.Revision = patch.Revision
	next.Routes = mergeByName(next.Routes, patch.RemoveRoutes, patch.Routes, routeName)
	next.Services = mergeByName(next.Services, patch.RemoveServices, patch.Services, serviceName)
	next.Tenants = mergeByName(next.Tenants, patch.RemoveTenants, patch.Tenants, tenantName)
	if patch.Bounds != nil {
		next.Bounds = *patch.Bounds
	}
	return next, next.Check()
}

// mergeByName applies the part of a patch for one kind of item. Remaining items keep their order.
func mergeByName[Item any](items []Item, remove []string, upserts []Item, name func(Item) string) []Item {
	next := slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return slices.Contains(remove, name(item)) })
	positions := make(map[string]int, len(next))
	for position, item := range next {
		positions[name(item)] = position
	}
	for _, item := range upserts {
		if position, found := positions[name(item)]; found {
			next[position] = item
		} else {
			next = append(next, item)
		}
	}
	return next
}

// CurrentRevision returns the routing's revision; 0 for a nil routing.
//
//	base := config.Routing.CurrentRevision()
func (routing *Routing) CurrentRevision() uint64 {
	if routing == nil {
		return 0
	}
	return routing.Revision
}

// WithRouting returns the config with its routing replaced, and the compiled form. The routing must
// be valid, and its revision above the current one. The digest of the request that created it is
// added to the accepted requests, of which the oldest beyond MaxAcceptedRequests are dropped.
//
//	next, compiled, err := config.WithRouting(routing, digest)
func (config *Config) WithRouting(routing Routing, digest string) (*Config, []byte, error) {
	if err := routing.Check(); err != nil {
		return nil, nil, err
	}
	if current := config.Routing.CurrentRevision(); routing.Revision <= current {
		return nil, nil, invalidRouting("revision", fmt.Sprintf("%d is not above the current revision %d", routing.Revision, current), "use a higher one")
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
	compiled, err := next.encode()
	return &next, compiled, err
}

// InheritRouting completes an operator's config with state from the current config's routing, and
// returns the compiled form. A config without routing gets the current one; a routing with the same
// revision must have the same content; a lower revision is rejected. The accepted requests are
// always those of the current routing.
//
//	compiled, err := config.InheritRouting(current)
func (config *Config) InheritRouting(current *Config) ([]byte, error) {
	if current.Routing != nil {
		switch {
		case config.Routing == nil:
			config.Routing = current.Routing
		case config.Routing.Revision < current.Routing.Revision:
			return nil, invalidRouting("routing.revision", fmt.Sprintf("%d is below the current revision %d", config.Routing.Revision, current.Routing.Revision), "omit routing to keep the current one, or use a higher revision")
		case config.Routing.Revision == current.Routing.Revision && !config.Routing.equal(current.Routing):
			return nil, invalidRouting("routing.revision", fmt.Sprintf("the current revision %d has other content", config.Routing.Revision), "use a higher revision")
		}
		inherited := *config.Routing
		inherited.AcceptedRequests = current.Routing.AcceptedRequests
		config.Routing = &inherited
	}
	return config.encode()
}

// equal reports whether two routings have the same effect. It ignores the original items, unknown
// fields and accepted requests.
func (routing *Routing) equal(other *Routing) bool {
	canonicalJSON := func(routing Routing) []byte {
		routing.AcceptedRequests, routing.UnknownFields, routing.Bounds.Original = nil, nil, nil
		routing.Routes, routing.Services = slices.Clone(routing.Routes), slices.Clone(routing.Services)
		for position := range routing.Routes {
			routing.Routes[position].Original = nil
		}
		for position := range routing.Services {
			routing.Services[position].Original = nil
		}
		routing.Tenants = slices.Clone(routing.Tenants)
		for position := range routing.Tenants {
			routing.Tenants[position].Original = nil
		}
		data, _ := json.Marshal(routing) // fails only for a NaN or infinite weight, which JSON cannot express
		return data
	}
	return bytes.Equal(canonicalJSON(*routing), canonicalJSON(*other))
}
