package balancer

import (
	"slices"

	"yardrock.example/system/config"
)

// pickService turns the wheel of a route over the services that have usable runners: over any
// span each service's share stays within one of its weight.
func (balancer *Balancer) pickService(requested *config.Route) (*servicePool, bool) {
	current := balancer.topology.Load()
	route := current.routes[requested.Name]
	if route == nil {
		route = requested
	}
	total, usable := 0.0, 0
	var only *servicePool
	for _, share := range route.Shares {
		if one := current.services[share.Service]; one != nil && share.Weight > 0 && len(one.candidates) > 0 {
			total += share.Weight
			usable++
			only = one
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
		one := current.services[share.Service]
		if one == nil || share.Weight <= 0 || len(one.candidates) == 0 {
			delete(credits, share.Service)
			continue
		}
		credits[share.Service] += share.Weight / total
		if best == nil || credits[share.Service] > credits[best.service.Name] {
			best = one
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

// returnPick gives a turn of the wheel back that was not used.
func (balancer *Balancer) returnPick(requested *config.Route, service string) {
	if credits, known := balancer.roundRobin[requested.Name]; known {
		credits[service]++
	}
}
