package config

import (
	"encoding/json"
	"fmt"
	"math"
)

// Tenant is a client organization. Its requests bear one of its keys; the tenants share the
// fleet's runners.
type Tenant struct {
	Name string `json:"name"`
	// KeyHashes are the hashes of its keys (HashToken). A tenant without keys can send nothing but
	// requests of public routes.
	KeyHashes []string `json:"key_hashes"`
	// Urgency, if not nil, replaces that of the routes for its requests; 0 to 1000, 0 is the most
	// urgent.
	Urgency *int `json:"urgency,omitempty"`
	// Rate limits its requests, in requests per second through all fronts together; 0 means no
	// limit. Burst is how many requests above the rate it may send at a time.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Original is the item as its operator wrote it; it is returned unchanged.
	Original json.RawMessage `json:"written,omitempty"`
}

// tenantName returns the key of a tenant in a routing.
func tenantName(tenant Tenant) string { return tenant.Name }

// check applies the rules of #Tenant in the schema.
func (tenant *Tenant) check(path string) error {
	return firstViolation(path, []fieldRule{
		{!isLabel(tenant.Name), ".name", "%q is not a valid name", tenant.Name, labelRemedy},
		{tenant.Urgency != nil && (*tenant.Urgency < 0 || *tenant.Urgency > maxUrgency), ".urgency", "it is out of range", nil, urgencyRemedy},
		{!isLimit(tenant.Rate), ".rate", "%v is not a valid rate", tenant.Rate, "use 0 or more; 0 sets no limit"},
		{!isLimit(tenant.Burst), ".burst", "%v is not a valid burst", tenant.Burst, "use 0 or more"},
	})
}

// isLimit reports whether a number is a finite one of 0 or more.
func isLimit(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

// checkTenants validates the tenants: their names are unique, and so are their keys. Error messages
// do not contain keys or their hashes.
func (routing *Routing) checkTenants() error {
	if err := checkUniqueNames("tenants", routing.Tenants, tenantName); err != nil {
		return err
	}
	owners := map[string]string{}
	for position := range routing.Tenants {
		tenant := &routing.Tenants[position]
		path := fmt.Sprintf("tenants[%d]", position)
		if err := tenant.check(path); err != nil {
			return err
		}
		for _, hash := range tenant.KeyHashes {
			if owner, found := owners[hash]; found && owner != tenant.Name {
				return invalidRouting(path+".key_hashes", fmt.Sprintf("tenant %q has the same key", owner), "give each tenant keys of its own")
			}
			owners[hash] = tenant.Name
		}
	}
	return nil
}

// HasTenants reports whether requests need the key of a tenant, except on public routes. A nil
// routing has no tenants. One with an empty list of them has: no key is valid.
//
//	if routing.HasTenants() { ... }
func (routing *Routing) HasTenants() bool {
	return routing != nil && (routing.TenantsOnly || len(routing.Tenants) > 0)
}

// TenantByKey finds the tenant that a key belongs to. The lookup is by the key's hash, so that its
// duration reveals nothing about other keys.
//
//	tenant, found := routing.TenantByKey(key)
func (routing *Routing) TenantByKey(key string) (*Tenant, bool) {
	if routing == nil || key == "" {
		return nil, false
	}
	hash := HashToken(key)
	if routing.index != nil {
		tenant, found := routing.index.tenants[hash]
		return tenant, found
	}
	for position := range routing.Tenants {
		for _, known := range routing.Tenants[position].KeyHashes {
			if known == hash {
				return &routing.Tenants[position], true
			}
		}
	}
	return nil, false
}

// DeduplicatesOperations reports whether all services with a share of the route deduplicate
// operations by their keys. Each service has a record of its own, so a keyed request may be sent again
// to the service that got it first, and to no other.
//
//	if routing.DeduplicatesOperations(route) { ... }
func (routing *Routing) DeduplicatesOperations(route *Route) bool {
	for _, share := range route.Shares {
		if share.Weight > 0 && !routing.deduplicates(share.Service) {
			return false
		}
	}
	return true
}

// DeduplicatesAt reports whether the named service has a share of the route and deduplicates
// operations by their keys.
//
//	if routing.DeduplicatesAt(route, "ledger") { ... }
func (routing *Routing) DeduplicatesAt(route *Route, serviceName string) bool {
	return route.IsServedBy(serviceName) && routing.deduplicates(serviceName)
}

// deduplicates reports whether a service is defined and deduplicates operations by their keys.
func (routing *Routing) deduplicates(serviceName string) bool {
	service, found := routing.Service(serviceName)
	return found && service.Deduplicates
}
