package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// MaxAcceptedRequests is how many requests a routing remembers. The feed remembers many more
// (feed.RequestHistory); nodes of the version before it look only here.
const MaxAcceptedRequests = 64

// AcceptedRequest is a revision and the digest of the request that brought it, so that the same
// request, if it is sent again, is recognized.
type AcceptedRequest struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// RoutingPatch is a change of a routing by names: first the named items are removed, then each
// given item replaces the one of its name or is added at the end.
type RoutingPatch struct {
	Revision       uint64    // of the routing that it makes
	Routes         []Route   // to add, or in place of those of their names
	Services       []Service // likewise
	RemoveRoutes   []string  // names
	RemoveServices []string  // names
	Bounds         *Bounds   // nil: unchanged
}

// check rejects a patch that gives an item twice.
func (patch *RoutingPatch) check() error {
	if err := checkUniqueNames("services", patch.Services, serviceName); err != nil {
		return err
	}
	return checkUniqueNames("routes", patch.Routes, routeName)
}

// routeName and serviceName are the keys by which items of a routing are distinguished.
func routeName(route Route) string { return route.Name }

func serviceName(service Service) string { return service.Name }

// RevisionOf returns the revision that a request of a digest brought, if it is remembered. A nil
// routing remembers none.
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

// Patched returns the routing with a patch applied. The receiver, which may be nil, is not changed.
// Removing a name that is not there is no error. The accepted requests are left to
// WithRouting.
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

// mergeByName applies the part of a patch for one kind of item. Items that stay keep their
// order.
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

// CurrentRevision returns the routing's revision; 0 if there is no routing yet.
//
//	base := config.Routing.CurrentRevision()
func (routing *Routing) CurrentRevision() uint64 {
	if routing == nil {
		return 0
	}
	return routing.Revision
}

// WithRouting returns the config with another routing, and its compiled form. The routing must be
// valid, and its revision above the current one. The digest of the request that brought it is
// remembered with it, in place of the oldest beyond MaxAcceptedRequests.
//
//	next, compiled, err := config.WithRouting(routing, digest)
func (config *Config) WithRouting(routing Routing, digest string) (*Config, []byte, error) {
	if err := routing.Check(); err != nil {
		return nil, nil, err
	}
	if current := config.Routing.CurrentRevision(); routing.Revision <= current {
		return nil, nil, invalidRouting("revision", fmt.Sprintf("%d is not above %d, which is in force", routing.Revision, current), "give it a higher one")
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

// InheritRouting completes a config that an operator wrote by the current one's routing, and
// gives its compiled form. A config without routing gets the current one; a routing of the same
// revision must have the same content; a smaller revision is rejected. The accepted requests are
// the current ones in any case.
//
//	compiled, err := config.InheritRouting(current)
func (config *Config) InheritRouting(current *Config) ([]byte, error) {
	if current.Routing != nil {
		switch {
		case config.Routing == nil:
			config.Routing = current.Routing
		case config.Routing.Revision < current.Routing.Revision:
			return nil, invalidRouting("routing.revision", fmt.Sprintf("%d is below %d, which is in force", config.Routing.Revision, current.Routing.Revision), "leave routing out to keep what is in force, or give it a higher revision")
		case config.Routing.Revision == current.Routing.Revision && !config.Routing.equal(current.Routing):
			return nil, invalidRouting("routing.revision", fmt.Sprintf("%d is in force with other content", config.Routing.Revision), "give it a higher revision")
		}
		inherited := *config.Routing
		inherited.AcceptedRequests = current.Routing.AcceptedRequests
		config.Routing = &inherited
	}
	return config.encode()
}

// equal reports whether two routings have the same effect: how their operators wrote them, unknown
// fields and accepted requests do not count.
func (routing *Routing) equal(other *Routing) bool {
	effect := func(routing Routing) []byte {
		routing.AcceptedRequests, routing.UnknownFields, routing.Bounds.Original = nil, nil, nil
		routing.Routes, routing.Services = slices.Clone(routing.Routes), slices.Clone(routing.Services)
		for position := range routing.Routes {
			routing.Routes[position].Original = nil
		}
		for position := range routing.Services {
			routing.Services[position].Original = nil
		}
		data, _ := json.Marshal(routing) // fails only for a weight that is no number, which Check rejects
		return data
	}
	return bytes.Equal(effect(*routing), effect(*other))
}
