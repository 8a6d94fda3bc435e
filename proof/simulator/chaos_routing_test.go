package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/controlplane"
	"yardrock.example/system/feed"
)

// routingChange is a change of the routing that an operator sent.
type routingChange struct {
	revision uint64
	routing  config.Routing
	indexed  config.Routing // routing with its index built
	sentAt   time.Time
	ackedAt  time.Time // zero if it was not acknowledged
	rejected bool      // for a conflict or as invalid: it must never be in force
}

// routingForRevision returns the routing of a revision. The services of tool calls are random, and
// the route /only-REVISION/ exists in no other routing.
func routingForRevision(revision uint64, random *rand.Rand) config.Routing {
	seconds := func(count float64) config.Duration { return config.Duration(count * float64(time.Second)) }
	route := func(name, prefix string, kind config.RouteKind, timeout float64, attempts int, shares ...config.WeightedService) config.Route {
		return config.Route{Name: name, Host: RoutedHost, Prefix: prefix, Kind: kind, Timeout: seconds(timeout), FirstByteTarget: seconds(0.25), EventGapTarget: seconds(0.4), Shares: shares, MaxAttempts: attempts}
	}
	shares := func() []config.WeightedService {
		switch random.IntN(3) {
		case 0:
			return []config.WeightedService{{Service: "tools", Weight: 1}}
		case 1:
			return []config.WeightedService{{Service: "others", Weight: 1}}
		}
		return []config.WeightedService{{Service: "tools", Weight: 2}, {Service: "others", Weight: 1}}
	}
	kept := route("kept", "/talk/kept/", config.Streaming, 3.5+random.Float64(), 2, config.WeightedService{Service: "engines", Weight: 1})
	kept.StoresHistory, kept.Retention, kept.Sticky = true, seconds(120), true
	chat := route("chat", "/talk/chat/", config.Streaming, 3.5+random.Float64(), 3, config.WeightedService{Service: "engines", Weight: 1})
	chat.Resumable, chat.Sticky, chat.Urgency = true, true, 1
	routing := config.Routing{
		Revision: revision,
		Services: []config.Service{
			{Name: "engines", HealthPath: "/health", MaxConnections: 60, WarmUp: config.Duration(warmUpTime), WarmUpRate: warmUpRate, Engine: &config.Engine{Slots: 32, CacheTokens: 190000, TokensPerEvent: 4}},
			{Name: "tools", HealthPath: "/health", MaxConnections: 60, WarmUp: config.Duration(warmUpTime), WarmUpRate: warmUpRate},
			{Name: "others", HealthPath: "/health", MaxConnections: 60, WarmUp: config.Duration(warmUpTime), WarmUpRate: warmUpRate},
		},
		Routes: []config.Route{
			kept, chat,
			route("lookup", "/lookup/", config.Repeatable, 1.5+random.Float64(), 3, shares()...),
			route("order", "/order/", config.Once, 2+random.Float64(), 2, shares()...),
			route("only", fmt.Sprintf("/only-%d/", revision), config.Repeatable, 1, 2, shares()...),
		},
		Bounds: config.Bounds{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: seconds(3), IdleTimeout: seconds(15)},
	}
	return routing
}

// changeRouting replaces or patches the routing of revision base. It reports whether the change was
// acknowledged.
func (chaos *chaosRun) changeRouting(random *rand.Rand, base, revision uint64, asPatch bool) bool {
	chaos.mutex.Lock()
	change := &routingChange{revision: revision, routing: routingForRevision(revision, random), sentAt: time.Now()}
	change.indexed = change.routing
	change.indexed.BuildIndex()
	chaos.routingChanges = append(chaos.routingChanges, change)
	chaos.mutex.Unlock()
	digest := fmt.Sprintf("%d-%d", revision, random.Uint64())
	err := chaos.cluster.requestChange(random.IntN(3), 8*time.Second, func(ctx context.Context, node *controlplane.Node) error {
		if asPatch {
			return node.PatchRouting(ctx, "root", base, config.RoutingPatch{Revision: revision, Routes: change.routing.Routes}, digest)
		}
		return node.ReplaceRouting(ctx, "root", base, change.routing, digest)
	})
	chaos.mutex.Lock()
	defer chaos.mutex.Unlock()
	if err == nil {
		change.ackedAt = time.Now()
	}
	change.rejected = apierror.Is(err, apierror.Conflict) || apierror.Is(err, apierror.Invalid)
	return err == nil
}

// changeRoutings changes the routing, sometimes by two concurrent operators, and drains domains.
func (chaos *chaosRun) changeRoutings(random *rand.Rand, until time.Time) {
	base, newest := uint64(1), uint64(1)
	for time.Now().Before(until) {
		<-time.After(time.Duration(500+random.IntN(3500)) * time.Millisecond)
		if random.IntN(4) == 0 {
			chaos.drainDomain(random)
			continue
		}
		var current *config.Routing
		err := chaos.cluster.requestChange(random.IntN(3), 3*time.Second, func(ctx context.Context, node *controlplane.Node) (err error) {
			current, err = node.ReadRouting(ctx)
			return err
		})
		if err != nil {
			continue
		}
		if current.Revision < base {
			chaos.t.Errorf("CONFIG: revision %d was read after revision %d", current.Revision, base)
		}
		base = current.Revision
		count := 1 + random.IntN(3)/2
		results := make(chan bool, count)
		for range count {
			newest = max(newest, base) + 1 + uint64(random.IntN(3))
			seed, revision := random.Uint64(), newest
			go func() { results <- chaos.changeRouting(rand.New(rand.NewPCG(seed, 3)), base, revision, seed%2 == 0) }()
		}
		acked := 0
		for range count {
			if <-results {
				acked++
			}
		}
		if acked > 1 {
			chaos.t.Errorf("CONFIG: two changes based on revision %d were acknowledged", base)
		}
	}
}

// drainDomain drains a domain for some seconds. Some of its runners restart their warm-up shortly
// before it serves again.
func (chaos *chaosRun) drainDomain(random *rand.Rand) {
	name := domain(random.IntN(3))
	setState := func(state string) bool {
		return chaos.cluster.requestChange(random.IntN(3), 4*time.Second, func(ctx context.Context, node *controlplane.Node) error {
			return node.SetDomainState(ctx, "root", name, state)
		}) == nil
	}
	span := &drainedSpan{domain: name}
	if setState(feed.StateDrained) {
		span.drained = time.Now()
		chaos.mutex.Lock()
		chaos.drainedSpans = append(chaos.drainedSpans, span)
		chaos.mutex.Unlock()
	}
	<-time.After(time.Duration(4000+random.IntN(5000)) * time.Millisecond)
	chaos.mutex.Lock()
	span.refilled = time.Now()
	for _, process := range chaos.runners {
		if process.machine.Domain == name && process.listed && process.drainingSince.IsZero() && process.stoppedAt.IsZero() && !span.drained.IsZero() && random.IntN(2) == 0 {
			process.warmingUp = append(process.warmingUp, warmUpSpan{time.Now(), time.Now().Add(warmUpNoticeBound), time.Now().Add(warmUpTime)})
		}
	}
	chaos.mutex.Unlock()
	chaos.publishRunners()
	for !setState(feed.StateServing) {
		<-time.After(200 * time.Millisecond)
	}
}
