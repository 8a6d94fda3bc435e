// Package front implements the front node, which serves clients in two ways: it forwards HTTP
// requests to runners by routes (Forward, package forwarding), and it serves the work API:
// conversations, turns, tool calls, lookups and work that runs at most once. One execution of
// work that is recorded in a session log is a run.
//
// A request to the work API passes a chain of filters (request.go, filters.go): view and
// token, program and kind of work, the session log of its conversation, a slot on a runner,
// a reservation of words, the record of its start, a final check, and the dispatch.
//
// Guarantees:
//   - The start of a run is committed before anything is sent to a runner, and its end before
//     the client sees it. A turn is streamed only from committed events.
//   - apierror.NotRun for recorded work is proven by the session log: its run is closed as
//     not run, or a fence (sessionlog.Fenced) has taken the place of its start.
//   - Work sent to the method Once reaches a runner at most once per idempotency key.
//   - When the first byte is sent, the view is fresh, the program and the kind of work are
//     configured as they were when the runner was chosen, and the runner may still be used.
//
// A front stores nothing. Its view of the fleet comes from the feed (feedclient), and durable
// state is in the stores (storeclient). Runs that a failed front leaves open are closed by the
// next reader once they are overdue, and its reservations are settled by the stores.
package front

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/feedclient"
	"yardrock.example/system/forwarding"
	"yardrock.example/system/httpapi"
	"yardrock.example/system/link"
	"yardrock.example/system/metrics"
	"yardrock.example/system/ratelimit"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/taskgroup"
)

const (
	// commitTimeout bounds one command to the stores or one read from them.
	commitTimeout = 6 * time.Second
	// settleTimeout bounds the background attempts to record an end or settle a reservation.
	settleTimeout = 30 * time.Second
	// backgroundRetryInterval is the delay between two such attempts.
	backgroundRetryInterval = 300 * time.Millisecond
	// deadlineMargin is how long after its runner's timeout an open run becomes overdue, so
	// that any front may close it.
	deadlineMargin = 5 * time.Second
	// minBodyLimit is the smallest limit on a request body of the work API, in bytes, so that
	// a front without a config yet can still read a request and say why it is rejected.
	minBodyLimit = 1024
	// DefaultDrainTimeout is the default of Settings.DrainTimeout.
	DefaultDrainTimeout = 3 * time.Second
)

// Settings configure a front node.
type Settings struct {
	// Address is the address for calls from other nodes.
	Address string
	// PublicAddress is the address of the work API for clients; if "", it is not served.
	PublicAddress string
	// Domain is the failure domain of this machine.
	Domain string
	// Seeds are addresses of nodes of the fleet; one that responds is enough.
	Seeds []string
	// Machine is the operator's name for this machine; it may be "".
	Machine string
	// HeaderNames has the names of the HTTP headers in forwarded requests and responses.
	HeaderNames runnerpool.HeaderNames
	// MaxBufferedBytes bounds the total size of buffered forwarded requests and histories;
	// 0 means forwarding.DefaultMaxBufferedBytes.
	MaxBufferedBytes int64
	// DrainTimeout is how long after the platform has listed a runner as draining the front may
	// still send it forwarded requests; 0 means DefaultDrainTimeout.
	DrainTimeout time.Duration
	// RateLimitLease is how long after it was asked for a token of a tenant's rate limit may be
	// used; 0 means ratelimit.DefaultLeaseLifetime.
	RateLimitLease time.Duration
	// OperationRetention is how long an operation is recorded; 0 means
	// forwarding.DefaultOperationRetention, which is also the shortest time.
	OperationRetention time.Duration
	// LogRequests enables a log line for each forwarded request, with the time of its stages.
	LogRequests bool
	// Metrics receives the metrics of forwarded requests and of the balancer; nil disables
	// them.
	Metrics *metrics.Registry
}

// Node is a running front node. It is safe for concurrent use.
type Node struct {
	settings     Settings
	name         string
	linkClient   *link.Client
	feedClient   *feedclient.Client
	stores       *storeclient.Client
	runnerClient *runnerclient.Client
	scheduler    *scheduler.Scheduler
	pool         *runnerpool.Pool
	balancer     *balancer.Balancer
	forwarder    *forwarding.Forwarder
	rateLimiter  *ratelimit.Limiter
	linkServer   *link.Server
	publicServer *httpapi.Server
	current      atomic.Pointer[currentConfig]
	draining     atomic.Bool
	// listedSince is when this node first appeared on the member list; nil before that.
	listedSince atomic.Pointer[time.Time]
	// frontNames has the sorted names of the live fronts, including this one.
	frontNames atomic.Pointer[[]string]

	// context ends with Close; background tasks and work in flight run under it.
	context context.Context
	stop    context.CancelFunc
	// background has the tasks that Drain waits for: work in flight, commits, and
	// notifications to other fronts. peerWatcher runs only watchPeers, which ends with the
	// context.
	background  taskgroup.Group
	peerWatcher taskgroup.Group
}

// Start starts a front node; Close stops it. Its error is of kind BadSettings.
//
//	node, err := front.Start(settings, link.TCP{})
//	defer node.Close()
func Start(settings Settings, network link.Network) (*Node, error) {
	linkListener, publicListener, err := listen(settings, network)
	if err != nil {
		return nil, err
	}
	node := newNode(settings, network)
	member := feed.Member{Name: node.name, Role: feed.RoleFront, Address: settings.Address, Domain: settings.Domain, Machine: settings.Machine}
	node.feedClient = feedclient.Start(node.linkClient, member, settings.Seeds, nil, node.applyView)
	node.balancer.SetListReadTime(node.feedClient.RunnerListReadAt)
	node.balancer.SetDrainTimeout(node.settings.DrainTimeout)
	node.peerWatcher.Go(node.watchPeers)
	node.linkServer = link.Serve(linkListener, node.handleCall)
	if publicListener != nil {
		node.publicServer = httpapi.Serve(publicListener, node.handler(), func() int64 {
			return max(node.current.Load().config.Limits.BodyBytes, minBodyLimit)
		})
	}
	log.WithFields(log.Fields{"node": node.name, "address": settings.Address, "public": settings.PublicAddress}).Info("front started")
	return node, nil
}

// newNode returns a node with the components that open no connections yet.
func newNode(settings Settings, network link.Network) *Node {
	settings.DrainTimeout = cmp.Or(settings.DrainTimeout, DefaultDrainTimeout)
	node := &Node{settings: settings, name: "front-" + uuid.NewString(), linkClient: link.NewClient(network), runnerClient: runnerclient.New(network)}
	node.context, node.stop = context.WithCancel(context.Background())
	node.current.Store(&currentConfig{view: &feed.View{}, config: &config.Config{}})
	node.frontNames.Store(&[]string{node.name})
	node.stores = storeclient.New(node.linkClient, func() *feed.View { return node.current.Load().view })
	node.scheduler = scheduler.New(node.name, settings.Domain, node.schedulerState, node.notifyPeers)
	node.pool = runnerpool.New(network, settings.HeaderNames)
	node.balancer = balancer.New(settings.Domain, rand.Uint64(), nil)
	node.rateLimiter = ratelimit.New(ratelimit.Settings{Granter: node.stores, LeaseLifetime: settings.RateLimitLease})
	node.forwarder = forwarding.New(forwarding.Settings{
		Node: node.name, CheckViewFresh: node.checkViewFresh, AwaitViewFresh: node.awaitViewFresh, CurrentConfig: node.forwardingConfig,
		Balancer: node.balancer, Pool: node.pool, TurnStore: node.stores, RateLimiter: node.rateLimiter, OperationRetention: settings.OperationRetention, MaxBufferedBytes: settings.MaxBufferedBytes,
		LogRequests: settings.LogRequests, Observe: requestObserver(settings.Metrics),
	})
	if settings.Metrics != nil {
		publishBalancer(settings.Metrics, node.balancer.Status)
		settings.Metrics.Gauge("runner_list_age_seconds", func() float64 { return time.Since(node.feedClient.RunnerListReadAt()).Seconds() })
	}
	return node
}

// listen opens the listener for other nodes and, if PublicAddress is set, the one for clients.
func listen(settings Settings, network link.Network) (linkListener, publicListener net.Listener, err error) {
	if linkListener, err = listenOn(settings.Address, network); err != nil || settings.PublicAddress == "" {
		return linkListener, nil, err
	}
	if publicListener, err = listenOn(settings.PublicAddress, network); err != nil {
		linkListener.Close()
		return nil, nil, err
	}
	return linkListener, publicListener, nil
}

// listenOn opens one listener.
func listenOn(address string, network link.Network) (net.Listener, error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+address+": "+err.Error(), "use a free address of this machine")
	}
	return listener, nil
}

// Forward forwards a request to a runner by the current routes and relays the response.
// Its errors are those of forwarding.Forwarder.Serve.
//
//	err := node.Forward(ctx, request, writer)
func (node *Node) Forward(ctx context.Context, request *forwarding.Request, writer forwarding.ResponseWriter) error {
	return node.forwarder.Serve(ctx, request, writer)
}

// Name returns the node's name, which is generated anew at each start.
//
//	name := node.Name()
func (node *Node) Name() string { return node.name }

// SetSeeds replaces the seed addresses, as after a reload of the settings on SIGHUP.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) { node.feedClient.SetSeeds(seeds) }

// Ready reports whether the node can serve requests now.
//
//	if node.Ready() { ... }
func (node *Node) Ready() bool {
	view, err := node.feedClient.Fresh()
	return err == nil && view.ConfigNumber > 0 && len(view.Stores) > 0 && len(node.schedulerState().Fronts) > 0 && !node.draining.Load()
}

// Drain rejects new work and returns once the work in flight and its commits have finished,
// or the context ends.
//
//	node.Drain(ctx)
func (node *Node) Drain(ctx context.Context) {
	node.draining.Store(true)
	node.forwarder.AwaitTurnCommits(ctx)
	node.background.Wait(ctx)
	if node.publicServer == nil {
		return
	}
	if err := node.publicServer.Drain(ctx); err != nil {
		log.WithFields(log.Fields{"node": node.name, "error": err.Error()}).Warn("drain ended before all requests had finished")
	}
}

// Close stops the node immediately, cancels work in flight and waits for its goroutines.
// Components are closed before those that they use, so connections to other nodes come last.
//
//	node.Close()
func (node *Node) Close() {
	node.draining.Store(true)
	node.stop()
	node.peerWatcher.Close()
	if node.publicServer != nil {
		node.publicServer.Close()
	}
	node.forwarder.Close()
	node.rateLimiter.Close()
	node.pool.Close()
	node.feedClient.Stop()
	node.linkServer.Close()
	node.background.Close()
	node.linkClient.Close()
}
