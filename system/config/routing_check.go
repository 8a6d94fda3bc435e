package config

import (
	"fmt"
	"strings"
	"time"

	"yardrock.example/system/apierror"
)

// isLabel is #Label of the schema.
func isLabel(text string) bool {
	return len(text) >= 1 && len(text) <= maxLabel && !strings.ContainsFunc(text, func(letter rune) bool { return letter < '!' || letter > '~' })
}

// isPath is the rule of a health path in the schema.
func isPath(text string) bool {
	return strings.HasPrefix(text, "/") && !strings.ContainsFunc(text, func(letter rune) bool { return letter < ' ' || letter > '~' })
}

// isPrefix is the rule of a route's prefix in the schema.
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
	labelRemedy    = fmt.Sprintf("use 1 to %d visible ASCII letters without spaces", maxLabel)
	urgencyRemedy  = fmt.Sprintf("use 0 to %d", maxUrgency)
	attemptsRemedy = fmt.Sprintf("use 1 to %d", maxAttempts)
)

var routeKinds = map[RouteKind]bool{Repeatable: true, Once: true, Streaming: true}

// fieldRule is a rule for one field, and what its error says.
type fieldRule struct {
	violated bool
	field    string
	what     string // a format for the value, if there is one
	value    any
	remedy   string
}

// firstViolation returns the error of the first rule that is violated, for fields of the item at
// a path.
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

// checkUniqueNames rejects items of which two have the same name.
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

// invalidRouting is the error of a field of the routing.
func invalidRouting(field, what, remedy string) error {
	return apierror.New(apierror.Invalid, "the routing is invalid: "+field+": "+what, remedy+"; nothing was changed")
}

// check applies the rules of #Route in the schema and those that no schema can express: that a
// share names one of the services, and that the weights add up to more than 0. A weight that
// is not a number violates them.
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

// check applies the rules of #Service in the schema.
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

// check applies the rules of bounds in the schema.
func (bounds *Bounds) check() error {
	return firstViolation("bounds", []fieldRule{
		{bounds.HeaderBytes < 0, ".header_bytes", "it is below 0", nil, "use 0 or more; 0 is the usual"},
		{bounds.BodyBytes < 0, ".body_bytes", "it is below 0", nil, "use 0 or more; 0 is the usual"},
		{bounds.HeaderTimeout < 0, ".header_wait", "it is below 0", nil, durationRemedy},
		{bounds.IdleTimeout < 0, ".idle", "it is below 0", nil, durationRemedy},
	})
}

// Check applies the rules that a routing must satisfy whatever was active before. The error
// names the first field that violates one.
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
