package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// MaxAcceptedRequests is how many orders a routing itself remembers. The feed remembers many more;
// nodes of the version before look only here.
const MaxAcceptedRequests = 64

// Taken is a revision that was taken, with the digest of the order that brought it, so
// that the same order sent again is known.
type AcceptedRequest struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
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

func (patch *RoutingPatch) check() error {
	if err := checkUniqueNames("services", patch.Services, serviceName); err != nil {
		return err
	}
	return checkUniqueNames("routes", patch.Routes, routeName)
}

func routeName(route Route) string { return route.Name }

func serviceName(service Service) string { return service.Name }

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
