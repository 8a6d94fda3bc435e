package config

import (
	"fmt"
	"strings"
	"time"

	"yardrock.example/system/apierror"
)

// isLabel implements #Label of the schema.
func isLabel(text string) bool {
	return len(text) >= 1 && len(text) <= maxLabel && !strings.ContainsFunc(text, func(char rune) bool { return char < '!' || char > '~' })
}

// isPath implements the schema's rule for a health path.
func isPath(text string) bool {
	return strings.HasPrefix(text, "/") && !strings.ContainsFunc(text, func(char rune) bool { return char < ' ' || char > '~' })
}

// isPrefix implements the schema's rule for the prefix of a route.
func isPrefix(text string) bool {
	return isPath(text) && strings.HasSuffix(text, "/") && !strings.Contains(text, " ")
}

const (
	maxLabel    = 255 // bytes
	maxUrgency  = 1000
	maxAttempts = 1000

	durationRemedy = "use 0 or more"
)

var (
	labelRemedy    = fmt.Sprintf("use 1 to %d printable ASCII characters without spaces", maxLabel)
	urgencyRemedy  = fmt.Sprintf("use 0 to %d", maxUrgency)
	attemptsRemedy = fmt.Sprintf("use 1 to %d", maxAttempts)
)

var routeKinds = map[RouteKind]bool{Repeatable: true, Once: true, Streaming: true, Keyed: true}

// fieldRule is a rule for one field, already evaluated, and the error if it is violated.
type fieldRule struct {
	violated bool
	field    string
	message  string // a format string for value, unless value is nil
	value    any
	remedy   string
}

// firstViolation returns the error of the first violated rule. Path is that of the item whose
// fields are checked.
func firstViolation(path string, rules []fieldRule) error {
	for _, rule := range rules {
		if !rule.violated {
			continue
		}
		message := rule.message
		if rule.value != nil {
			message = fmt.Sprintf(rule.message, rule.value)
		}
		return invalidRouting(path+rule.field, message, rule.remedy)
	}
	return nil
}

// checkUniqueNames rejects two items with the same name.
func checkUniqueNames[Item any](path string, items []Item, name func(Item) string) error {
	seen := make(map[string]bool, len(items))
	for position, item := range items {
		if seen[name(item)] {
			return invalidRouting(fmt.Sprintf("%s[%d].name", path, position), fmt.Sprintf("%q is defined twice", name(item)), "give each item a unique name")
		}
		seen[name(item)] = true
	}
	return nil
}

// invalidRouting returns the error for an invalid field of the routing.
func invalidRouting(field, message, remedy string) error {
	return apierror.New(apierror.Invalid, "the routing is invalid: "+field+": "+message, remedy+"; nothing was changed")
}

// check applies the rules of #Route in the schema and two that a schema cannot express: each share
// refers to a defined service, and the weights add up to more than 0. NaN weights are rejected:
// the conditions are negated because every comparison with NaN is false.
func (route *Route) check(path string, services map[string]bool) error {
	if err := firstViolation(path, []fieldRule{
		{!isLabel(route.Name), ".name", "%q is not a valid name", route.Name, labelRemedy},
		{!isLabel(route.Host) || strings.Contains(route.Host, "/"), ".host", "%q is not a valid host", route.Host, "use a host name without port and path"},
		{!isPrefix(route.Prefix), ".prefix", "%q is not a valid prefix", route.Prefix, "begin and end it with a slash"},
		{!routeKinds[route.Kind], ".kind", "%q is not a kind of route", route.Kind, "use repeatable, once, streaming or keyed"},
		{route.Timeout <= 0, ".patience", "%v is not above 0", time.Duration(route.Timeout), "use a duration above 0"},
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
			{!services[share.Service], ".service", "no service is named %q", share.Service, "define it, or use an existing name"},
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

// check applies the rules of #Service in the schema.
func (service *Service) check(path string) error {
	rules := []fieldRule{
		{!isLabel(service.Name), ".name", "%q is not a valid name", service.Name, labelRemedy},
		{!isPath(service.HealthPath), ".health_path", "%q is not a valid path", service.HealthPath, "begin it with a slash"},
		{service.MaxConnections < 0, ".most_connections", "it is below 0", nil, "use 0 or more; 0 sets no limit"},
		{service.WarmUp < 0, ".cold_for", "it is below 0", nil, durationRemedy},
		{!(service.WarmUpRate >= 0), ".cold_rate", "it is below 0", nil, "use 0 or more; 0 sets no limit"},
	}
	if service.Engine != nil {
		rules = append(rules, fieldRule{service.Engine.Slots < 0, ".engine.slots", "it is below 0", nil, "use 0 or more"})
	}
	return firstViolation(path, rules)
}

// check applies the schema's rules for bounds.
func (bounds *Bounds) check() error {
	return firstViolation("bounds", []fieldRule{
		{bounds.HeaderBytes < 0, ".header_bytes", "it is below 0", nil, "use 0 or more; 0 selects the default"},
		{bounds.BodyBytes < 0, ".body_bytes", "it is below 0", nil, "use 0 or more; 0 selects the default"},
		{bounds.HeaderTimeout < 0, ".header_wait", "it is below 0", nil, durationRemedy},
		{bounds.IdleTimeout < 0, ".idle", "it is below 0", nil, durationRemedy},
	})
}

// Check applies the rules that do not depend on the current routing. The error names the first
// field that violates one.
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
			return invalidRouting(path+".prefix", fmt.Sprintf("route %q has the same host %s and prefix %s", other, route.Host, route.Prefix), "give each route a unique combination of host and prefix")
		}
		seen[key] = route.Name
	}
	if err := routing.checkTenants(); err != nil {
		return err
	}
	return routing.Bounds.check()
}
