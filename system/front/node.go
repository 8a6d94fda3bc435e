// Package front is a front node. It serves callers in two ways: it forwards HTTP requests
// to runners by routes (Forward, package forwarding), and it serves the work API of its
// own: conversations, turns, tool calls, lookups and work that runs at most once.
//
// A request of the work API passes a chain of filters (request.go, filters.go): view and
// token, program and kind of work, the session log of its conversation, a slot at a runner,
// a reservation of words, the record of its begin, a last check, and the dispatch.
//
// Guarantees:
//   - A begin is committed before anything is sent to a runner, and the end before the
//     caller sees it. A turn is streamed from what is committed only.
//   - apierror.NotRun on recorded work is proven by the session log: its begin is closed as
//     not run, or a fence has taken its place.
//   - Work of the kind Once is sent to a runner at most once under one idempotency key.
//   - Until the first byte leaves, the view must be fresh, and the configuration and the
//     runner those that the request was admitted with.
//
// A front stores nothing. Its view of the fleet comes from the feed (feedclient), what lasts
// is in the stores (storeclient). What a front that died leaves open is closed by the next
// reader once it is overdue, and its reservations are settled by the stores.
package front

import (
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
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/taskgroup"
)

const (
	// commitTimeout bounds a command or read at the stores.
	commitTimeout = 6 * time.Second
	// settleTimeout is how long an end of work or a settlement is tried in the background.
	settleTimeout = 30 * time.Second
	// backgroundRetryInterval is the pause between two such attempts.
	backgroundRetryInterval = 300 * time.Millisecond
	// deadlineMargin is how much longer than its runner's timeout a run may stay open
	// before any front may close it.
	deadlineMargin = 5 * time.Second
	// minBodyLimit is the least size limit of a body of the work API, in bytes, so that a
	// front without a configuration yet still reads a request and can say why it is rejected.
	minBodyLimit = 1024
)

// Settings configure a front node.
type Settings struct {
	// Address is where other nodes call this one.
	Address string
	// PublicAddress is where callers reach the work API; "" serves none.
	PublicAddress string
	// Domain is the failure domain of this machine.
	Domain string
	// Seeds are addresses of nodes that know the fleet; one that answers is enough.
	Seeds []string
	// Machine is the operators' name of this machine; it may be "".
	Machine string
	// Dialect names the HTTP header fields of the runners that requests are forwarded to.
	Dialect runnerpool.HeaderNames
	// MaxBufferedBytes bounds the forwarded requests and histories that are buffered at
	// once; 0 means forwarding.DefaultMaxBufferedBytes.
	MaxBufferedBytes int64
	// LogRequests writes one log line for every forwarded request, with its stages.
	LogRequests bool
	// Figures is where forwarded requests and the state of the balancer are reported; nil
	// reports nothing.
	Figures *metrics.Registry
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
	linkServer   *link.Server
	publicServer *httpapi.Server
	active       atomic.Pointer[activeConfig]
	draining     atomic.Bool
	// listedSince is since when this node has been on the member list; nil before.
	listedSince atomic.Pointer[time.Time]
	// frontNames are the live fronts that share the runners, this one included, sorted.
	frontNames atomic.Pointer[[]string]

	// context ends with Close; background tasks and work under way run under it.
	context context.Context
	stop    context.CancelFunc
	// background are the tasks that Drain waits for: work under way, commits, and notes to
	// other fronts. watching is watchPeers alone, which ends only with the context.
	background  taskgroup.Group
	peerWatcher taskgroup.Group
}

// Start starts a front node; Close ends it. An error is of the kind BadSettings.
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
	node.peerWatcher.Go(node.watchPeers)
	node.linkServer = link.Serve(linkListener, node.handleCall)
	if publicListener != nil {
		node.publicServer = httpapi.Serve(publicListener, node.handler(), func() int64 {
			return max(node.active.Load().config.Limits.BodyBytes, minBodyLimit)
		})
	}
	log.WithFields(log.Fields{"node": node.name, "address": settings.Address, "public": settings.PublicAddress}).Info("front started")
	return node, nil
}

// newNode makes a node with all that needs no network yet.
func newNode(settings Settings, network link.Network) *Node {
	node := &Node{settings: settings, name: "front-" + uuid.NewString(), linkClient: link.NewClient(network), runnerClient: runnerclient.New(network)}
	node.context, node.stop = context.WithCancel(context.Background())
	node.active.Store(&activeConfig{view: &feed.View{}, config: &config.Config{}})
	node.frontNames.Store(&[]string{node.name})
	node.stores = storeclient.New(node.linkClient, func() *feed.View { return node.active.Load().view })
	node.scheduler = scheduler.New(node.name, settings.Domain, node.schedulerState, node.notifyPeers)
	node.pool = runnerpool.New(network, settings.Dialect)
	node.balancer = balancer.New(settings.Domain, rand.Uint64(), nil)
	node.forwarder = forwarding.New(forwarding.Settings{
		Node: node.name, CheckViewFresh: node.checkViewFresh, AwaitViewFresh: node.awaitViewFresh, ActiveConfig: node.activeRouting,
		Balancer: node.balancer, Pool: node.pool, TurnStore: node.stores, MaxBufferedBytes: settings.MaxBufferedBytes,
		LogRequests: settings.LogRequests, Observe: requestObserver(settings.Figures),
	})
	if settings.Figures != nil {
		publishBalancer(settings.Figures, node.balancer.Status)
	}
	return node
}

// listen opens the listeners for other nodes and, if it is set, for callers.
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
		return nil, apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+address+": "+err.Error(), "use an address of this machine that is free")
	}
	return listener, nil
}

// Forward forwards a request to a runner by the routes in force and relays the response.
// Its errors are those of forwarding.Forwarder.Serve.
//
//	err := node.Forward(ctx, request, writer)
func (node *Node) Forward(ctx context.Context, request *forwarding.Request, writer forwarding.ResponseWriter) error {
	return node.forwarder.Serve(ctx, request, writer)
}

// Name returns the node's name, which is made anew at each start.
//
//	name := node.Name()
func (node *Node) Name() string { return node.name }

// SetSeeds replaces the seed addresses, as SIGHUP does.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) { node.feedClient.SetSeeds(seeds) }

// Ready reports whether the node may take requests now.
//
//	if node.Ready() { ... }
func (node *Node) Ready() bool {
	view, err := node.feedClient.Fresh()
	return err == nil && view.ConfigNumber > 0 && len(view.Stores) > 0 && len(node.schedulerState().Fronts) > 0 && !node.draining.Load()
}

// Drain rejects new work and returns once the work under way and its commits have ended,
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
		log.WithFields(log.Fields{"node": node.name, "error": err.Error()}).Warn("drain ended before all requests")
	}
}

// Close stops the node at once, cancels work under way and waits for its goroutines. What
// the others use is closed after them: connections to other nodes come last.
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
	node.pool.Close()
	node.feedClient.Stop()
	node.linkServer.Close()
	node.background.Close()
	node.linkClient.Close()
}
