package balancer

import (
	"slices"

	"yardrock.example/system/config"
)

// pickService picks one of a route's services that have candidates, by smooth weighted
// round-robin: over any sequence of picks each service's count stays within one of its
// weight's share. The newest definition of the route counts. It returns false if no
// service has candidates.
func (balancer *Balancer) pickService(requested *config.Route) (*servicePool, bool) {
	current := balancer.topology.Load()
	route := current.routes[requested.Name]
	if route == nil {
		route = requested
	}
	total, usable := 0.0, 0
	var only *servicePool
	for _, share := range route.Shares {
		if pool := current.usablePool(share); pool != nil {
			total += share.Weight
			usable++
			only = pool
		}
	}
	if usable <= 1 {
		delete(balancer.roundRobin, route.Name)
		return only, usable == 1
	}
	credits, known := balancer.roundRobin[route.Name]
	if !known {
		credits = map[string]float64{}
		balancer.roundRobin[route.Name] = credits
	}
	var best *servicePool
	for _, share := range route.Shares {
		pool := current.usablePool(share)
		if pool == nil {
			delete(credits, share.Service)
			continue
		}
		credits[share.Service] += share.Weight / total
		if best == nil || credits[share.Service] > credits[best.service.Name] {
			best = pool
		}
	}
	for name := range credits {
		if !slices.ContainsFunc(route.Shares, func(share config.WeightedService) bool { return share.Service == name }) {
			delete(credits, name)
		}
	}
	credits[best.service.Name]--
	return best, true
}

// usablePool returns the pool of a share that can take requests, or nil.
func (current *topology) usablePool(share config.WeightedService) *servicePool {
	pool := current.services[share.Service]
	if pool == nil || share.Weight <= 0 || len(pool.candidates) == 0 {
		return nil
	}
	return pool
}

// returnPick undoes a pick that led to no lease.
func (balancer *Balancer) returnPick(requested *config.Route, service string) {
	if credits, known := balancer.roundRobin[requested.Name]; known {
		credits[service]++
	}
}
