package config_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/configsource"
)

// exampleRouting returns a routing with routes for two hosts, one of them with nested prefixes.
func exampleRouting() config.Routing {
	route := func(name, host, prefix string) config.Route {
		return config.Route{Name: name, Host: host, Prefix: prefix, Kind: config.Streaming, Timeout: config.Duration(4 * time.Second), MaxAttempts: 2, Shares: []config.WeightedService{{"chat", 90}, {"chat-new", 10}}}
	}
	return config.Routing{
		Revision: 7,
		Routes: []config.Route{
			route("whole", "one.example", "/"), route("talk", "one.example", "/talk/"), route("talk-late", "one.example", "/talk/late/"),
			route("other", "Two.example", "/talk/"),
		},
		Services: []config.Service{{Name: "chat", HealthPath: "/health", Engine: &config.Engine{Slots: 4}}, {Name: "chat-new", HealthPath: "/health", WarmUpRate: 2.5}},
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	routing := exampleRouting()
	unindexed := routing
	routing.BuildIndex()
	for query, want := range map[[2]string]string{
		{"one.example", "/"}:               "whole",
		{"one.example", "/talk"}:           "whole",
		{"one.example", "/talk/"}:          "talk",
		{"one.example", "/talk/7/late/"}:   "talk",
		{"one.example", "/talk/late"}:      "talk",
		{"one.example", "/talk/late/er"}:   "talk-late",
		{"one.example:8080", "/talk/x"}:    "talk",
		{"ONE.example", "/talk/x"}:         "talk",
		{"two.example", "/talk/x"}:         "other",
		{"two.example", "/"}:               "",
		{"two.example", "/talk"}:           "",
		{"three.example", "/talk/"}:        "",
		{"", "/talk/"}:                     "",
		{"one.example", ""}:                "",
		{"one.example", "talk/"}:           "",
		{"one.example", "*"}:               "",
		{"one.example", "/talk//late/"}:    "talk",
		{"one.example", "//talk/"}:         "whole",
		{"one.example:8080:1", "/talk/"}:   "",
		{"[one.example]:8080", "/talk/ab"}: "talk",
	} {
		for _, candidate := range []*config.Routing{&routing, &unindexed} {
			route, found := candidate.Match(query[0], query[1])
			if found != (want != "") || (found && route.Name != want) {
				t.Errorf("%v matches %+v, want %q", query, route, want)
			}
		}
	}
	var nilRouting *config.Routing
	if _, found := nilRouting.Match("one.example", "/"); found {
		t.Error("a nil routing has a route")
	}
	if service, found := routing.Service("chat-new"); !found || service.WarmUpRate != 2.5 {
		t.Errorf("service %+v", service)
	}
	if _, found := unindexed.Service("chat-old"); found {
		t.Error("an unknown service was found")
	}
	if got := testing.AllocsPerRun(100, func() { routing.Match("one.example", "/talk/late/er") }); got != 0 {
		t.Errorf("Match allocates %v times", got)
	}
}

// routingSource returns the source of a config that has only a routing; JSON is valid CUE.
func routingSource(t *testing.T, routing *config.Routing) string {
	t.Helper()
	data, err := json.Marshal(routing)
	if err != nil {
		t.Fatal(err)
	}
	return "routing: " + string(data)
}

func TestGoChecksAndSchemaAcceptAValidRouting(t *testing.T) {
	valid := exampleRouting()
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	decoded, compiled, err := configsource.Compile(routingSource(t, &valid))
	if err != nil || decoded.Routing == nil || !decoded.Routing.Equal(&valid) {
		t.Fatalf("%+v %v", decoded, err)
	}
	if redecoded, err := config.Decode(compiled); err != nil || !redecoded.Routing.HasIndex() || !redecoded.Routing.Equal(&valid) {
		t.Fatalf("%+v %v", redecoded, err)
	}
}

// TestGoChecksAndSchemaRejectTheSameRoutings guards against rules that exist only in Go or only in
// the CUE schema. The checks in Go must also name the field.
func TestGoChecksAndSchemaRejectTheSameRoutings(t *testing.T) {
	for field, broken := range map[string]func(*config.Routing){
		"routes[1].name":          func(routing *config.Routing) { routing.Routes[1].Name = "" },
		"routes[2].name":          func(routing *config.Routing) { routing.Routes[2].Name = "two words" },
		"routes[3].name":          func(routing *config.Routing) { routing.Routes[3].Name = "talk" },
		"routes[0].host":          func(routing *config.Routing) { routing.Routes[0].Host = "one.example/talk" },
		"routes[1].host":          func(routing *config.Routing) { routing.Routes[1].Host = "" },
		"routes[1].prefix":        func(routing *config.Routing) { routing.Routes[1].Prefix = "/talk" },
		"routes[2].prefix":        func(routing *config.Routing) { routing.Routes[2].Prefix = "talk/" },
		"routes[2].prefix: route": func(routing *config.Routing) { routing.Routes[2].Prefix = "/talk/" },
		"routes[3].prefix: route": func(routing *config.Routing) { routing.Routes[3].Host = "ONE.example" },
		"routes[0].kind":          func(routing *config.Routing) { routing.Routes[0].Kind = "sometimes" },
		"routes[1].kind":          func(routing *config.Routing) { routing.Routes[1].Kind = "" },
		"routes[0].patience":      func(routing *config.Routing) { routing.Routes[0].Timeout = 0 },
		"routes[1].patience":      func(routing *config.Routing) { routing.Routes[1].Timeout = -1 },
		"routes[0].target":        func(routing *config.Routing) { routing.Routes[0].FirstByteTarget = -1 },
		"routes[0].gap":           func(routing *config.Routing) { routing.Routes[0].EventGapTarget = -1 },
		"routes[0].keep":          func(routing *config.Routing) { routing.Routes[0].Retention = -1 },
		"routes[0].urgency":       func(routing *config.Routing) { routing.Routes[0].Urgency = -1 },
		"routes[0].tries":         func(routing *config.Routing) { routing.Routes[0].MaxAttempts = 0 },
		"routes[0].shares":        func(routing *config.Routing) { routing.Routes[0].Shares = nil },
		"routes[1].shares": func(routing *config.Routing) {
			routing.Routes[1].Shares = []config.WeightedService{{"chat", 0}, {"chat-new", 0}}
		},
		"routes[1].shares[1].service": func(routing *config.Routing) {
			routing.Routes[1].Shares = []config.WeightedService{{"chat", 1}, {"none", 1}}
		},
		"routes[1].shares[0].weight": func(routing *config.Routing) {
			routing.Routes[1].Shares = []config.WeightedService{{"chat", -1}, {"chat-new", 2}}
		},
		"services[1].name":             func(routing *config.Routing) { routing.Services[1].Name = "chat" },
		"services[0].health_path":      func(routing *config.Routing) { routing.Services[0].HealthPath = "health" },
		"services[0].most_connections": func(routing *config.Routing) { routing.Services[0].MaxConnections = -1 },
		"services[0].cold_for":         func(routing *config.Routing) { routing.Services[0].WarmUp = -1 },
		"services[0].cold_rate":        func(routing *config.Routing) { routing.Services[0].WarmUpRate = -0.5 },
		"services[0].engine.slots":     func(routing *config.Routing) { routing.Services[0].Engine = &config.Engine{Slots: -1} },
		"bounds.header_bytes":          func(routing *config.Routing) { routing.Bounds.HeaderBytes = -1 },
		"bounds.body_bytes":            func(routing *config.Routing) { routing.Bounds.BodyBytes = -1 },
		"bounds.header_wait":           func(routing *config.Routing) { routing.Bounds.HeaderTimeout = -1 },
		"bounds.idle":                  func(routing *config.Routing) { routing.Bounds.IdleTimeout = -1 },
	} {
		routing := exampleRouting()
		broken(&routing)
		err := routing.Check()
		if !apierror.Is(err, apierror.Invalid) || !strings.Contains(err.Error(), field) || !strings.Contains(err.Error(), "remedy") {
			t.Errorf("%s: %v", field, err)
		}
		if _, _, err := configsource.Compile(routingSource(t, &routing)); !apierror.Is(err, apierror.Invalid) {
			t.Errorf("%s: accepted by the schema: %v", field, err)
		}
		if _, _, err := (&config.Config{}).WithRouting(routing, "digest"); !apierror.Is(err, apierror.Invalid) {
			t.Errorf("%s: accepted by WithRouting: %v", field, err)
		}
	}
}

// TestWeightThatIsNotANumberIsRejected is separate because JSON, and so the schema, cannot express
// NaN.
func TestWeightThatIsNotANumberIsRejected(t *testing.T) {
	notANumber := exampleRouting()
	notANumber.Routes[0].Shares = []config.WeightedService{{"chat", math.NaN()}}
	if err := notANumber.Check(); !apierror.Is(err, apierror.Invalid) {
		t.Errorf("a NaN weight: %v", err)
	}
}

// configWithRouting returns a valid config without routing, and the same config with a routing in
// decoded and compiled form.
func configWithRouting(t *testing.T, routing *config.Routing) (base, next *config.Config, compiled []byte) {
	t.Helper()
	base, _, err := configsource.Compile(validSource)
	if err != nil {
		t.Fatal(err)
	}
	if next, compiled, err = base.WithRouting(*routing, "first"); err != nil {
		t.Fatal(err)
	}
	return base, next, compiled
}

func TestWithRoutingRemembersTheRequestAndKeepsOriginals(t *testing.T) {
	routing := exampleRouting()
	routing.Routes[0].Original = json.RawMessage(`{"name":"<&>","wait":4000.0}`)
	base, _, compiled := configWithRouting(t, &routing)
	if base.Routing != nil {
		t.Fatalf("the receiver was changed: %+v", base.Routing)
	}
	redecoded, err := config.Decode(compiled)
	if err != nil || !redecoded.Routing.Equal(&routing) || redecoded.RunnerGroups["large"].Concurrency != 3 || string(redecoded.Routing.Routes[0].Original) != `{"name":"<&>","wait":4000.0}` {
		t.Fatalf("%+v %v", redecoded.Routing, err)
	}
	if revision, accepted := redecoded.Routing.RevisionOf("first"); !accepted || revision != 7 {
		t.Fatalf("accepted: %+v", redecoded.Routing.AcceptedRequests)
	}
}

func TestRoutingNeedsAHigherRevision(t *testing.T) {
	routing := exampleRouting()
	_, next, _ := configWithRouting(t, &routing)
	for _, revision := range []uint64{0, 6, 7} {
		routing.Revision = revision
		if _, _, err := next.WithRouting(routing, "second"); !apierror.Is(err, apierror.Invalid) || !strings.Contains(err.Error(), "revision") {
			t.Errorf("revision %d: %v", revision, err)
		}
	}
}

func TestOldestAcceptedRequestsAreForgotten(t *testing.T) {
	routing := exampleRouting()
	_, next, _ := configWithRouting(t, &routing)
	var err error
	for revision := uint64(8); revision < 200; revision++ {
		routing.Revision = revision
		if next, _, err = next.WithRouting(routing, fmt.Sprint(revision)); err != nil {
			t.Fatal(err)
		}
	}
	if _, accepted := next.Routing.RevisionOf("199"); !accepted || len(next.Routing.AcceptedRequests) != 64 {
		t.Fatalf("%d requests are remembered, want the latest 64", len(next.Routing.AcceptedRequests))
	}
}

func TestRoutingPatchRemovesAndReplacesByName(t *testing.T) {
	before := exampleRouting()
	changed := before.Routes[1]
	changed.Timeout = config.Duration(time.Second)
	added := before.Routes[1]
	added.Name, added.Prefix = "new", "/new/"
	names := func(routing config.Routing) string {
		list := []string{}
		for _, route := range routing.Routes {
			list = append(list, route.Name)
		}
		return strings.Join(list, " ")
	}
	next, err := before.Patched(config.RoutingPatch{Revision: 9, Routes: []config.Route{added, changed}, RemoveRoutes: []string{"talk-late", "never"}, Bounds: &config.Bounds{BodyBytes: 5}})
	if err != nil || next.Revision != 9 || names(next) != "whole talk other new" || next.Routes[1].Timeout != config.Duration(time.Second) || next.Bounds.BodyBytes != 5 {
		t.Fatalf("%+v %v", next, err)
	}
	if names(before) != "whole talk talk-late other" || before.Routes[1].Timeout == changed.Timeout {
		t.Fatalf("the patched routing was changed: %+v", before)
	}
	if _, err := before.Patched(config.RoutingPatch{Revision: 9, RemoveServices: []string{"chat-new"}}); !apierror.Is(err, apierror.Invalid) || !strings.Contains(err.Error(), `"chat-new"`) {
		t.Fatalf("a service used by a route was removed: %v", err)
	}
	if _, err := before.Patched(config.RoutingPatch{Revision: 9, Routes: []config.Route{added, added}}); !apierror.Is(err, apierror.Invalid) {
		t.Fatalf("a patch with a duplicate name: %v", err)
	}
	var nilRouting *config.Routing
	if next, err := nilRouting.Patched(config.RoutingPatch{Revision: 1, Services: before.Services, Routes: before.Routes}); err != nil || !next.Equal(&config.Routing{Revision: 1, Routes: before.Routes, Services: before.Services}) {
		t.Fatalf("%+v %v", next, err)
	}
}

func TestConfigWithoutRoutingInheritsTheCurrentOne(t *testing.T) {
	base, _, _ := configsource.Compile(validSource)
	current, _, err := base.WithRouting(exampleRouting(), "first")
	if err != nil {
		t.Fatal(err)
	}
	inherit := func(change func(*config.Routing)) (*config.Config, error) {
		decoded, _, err := configsource.Compile(validSource)
		if err != nil {
			t.Fatal(err)
		}
		if change != nil {
			routing := exampleRouting()
			change(&routing)
			decoded.Routing = &routing
		}
		compiled, err := decoded.InheritRouting(current)
		if err != nil {
			return nil, err
		}
		return config.Decode(compiled)
	}
	for name, change := range map[string]func(*config.Routing){
		"none": nil, "the same": func(*config.Routing) {}, "higher": func(routing *config.Routing) { routing.Revision, routing.Routes = 8, nil },
	} {
		decoded, err := inherit(change)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if _, accepted := decoded.Routing.RevisionOf("first"); !accepted {
			t.Errorf("%s: the accepted requests were lost: %+v", name, decoded.Routing)
		}
	}
	for name, change := range map[string]func(*config.Routing){
		"lower": func(routing *config.Routing) { routing.Revision = 6 }, "other": func(routing *config.Routing) { routing.Routes = nil },
	} {
		if _, err := inherit(change); !apierror.Is(err, apierror.Invalid) || !strings.Contains(err.Error(), "routing.revision") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// BenchmarkTwoHundredRoutes measures the CPU cost on a control node of a request with 200 routes:
// checks, encoding and decoding.
func BenchmarkTwoHundredRoutes(b *testing.B) {
	routing := exampleRouting()
	for position := range 200 {
		route := routing.Routes[0]
		route.Name, route.Prefix = fmt.Sprint("route-", position), fmt.Sprintf("/route-%d/", position)
		route.Original = json.RawMessage(`{"called":"route","at":"one.example","from":"/route/","sort":"streaming","wait":4000,"parts":[{"to":"chat","part":90},{"to":"chat-new","part":10}]}`)
		routing.Routes = append(routing.Routes, route)
	}
	for b.Loop() {
		_, compiled, err := (&config.Config{}).WithRouting(routing, "digest")
		if err != nil {
			b.Fatal(err)
		}
		if _, err := config.Decode(compiled); err != nil {
			b.Fatal(err)
		}
	}
}
