package balancer

import (
	"yardrock.example/system/config"
	"yardrock.example/system/roundrobin"
)

// pickService picks one of a route's services that have candidates, by weighted
// round-robin. It uses the newest definition of the route and returns false if no service
// has candidates.
func (balancer *Balancer) pickService(requested *config.Route) (*servicePool, bool) {
	current := balancer.topology.Load()
	route := current.routes[requested.Name]
	if route == nil {
		route = requested
	}
	pools, shares := current.usablePools(route)
	if len(pools) <= 1 {
		delete(balancer.roundRobin, route.Name)
		if len(pools) == 0 {
			return nil, false
		}
		return pools[0], true
	}
	credits, known := balancer.roundRobin[route.Name]
	if !known {
		credits = roundrobin.Credits{}
		balancer.roundRobin[route.Name] = credits
	}
	return pools[credits.Pick(shares)], true
}

// usablePools returns the pools of a route that have a share and candidates, and their
// shares.
func (current *topology) usablePools(route *config.Route) ([]*servicePool, []roundrobin.Participant) {
	pools, shares := make([]*servicePool, 0, len(route.Shares)), make([]roundrobin.Participant, 0, len(route.Shares))
	for _, share := range route.Shares {
		if pool := current.services[share.Service]; pool != nil && share.Weight > 0 && len(pool.candidates) > 0 {
			pools = append(pools, pool)
			shares = append(shares, roundrobin.Participant{Name: share.Service, Weight: share.Weight})
		}
	}
	return pools, shares
}

// poolFor returns the pool of the service that a request names or, if it names none, of one that it
// picks. It returns false if there is none with candidates.
func (balancer *Balancer) poolFor(request *Request) (*servicePool, bool) {
	if request.Service == "" {
		return balancer.pickService(request.Route)
	}
	pool := balancer.topology.Load().services[request.Service]
	return pool, pool != nil && len(pool.candidates) > 0
}

// returnPick reverts the pick for a request that got no lease.
func (balancer *Balancer) returnPick(request *Request, service string) {
	if credits, known := balancer.roundRobin[request.Route.Name]; known && request.Service == "" {
		credits.UndoPick(service)
	}
}
