// Package front is a front node: the caller API, the chain of filters that each
// query passes, turns and their runs.
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
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/storeclient"
)

// Settings place a front node.
type Settings struct {
	Address       string // for other processes
	PublicAddress string // for callers of the own interface; "" serves none
	Domain        string
	Seeds         []string
	// Machine is what the operators call this machine; it may be empty.
	Machine string
	// HeaderNames names the headers of runners that queries are forwarded to.
	Dialect runnerpool.HeaderNames
	// MaxBufferedBytes bounds the forwarded queries and histories that are held at once; 0 means
	// forwarding.UsualHeldBytes.
	MaxBufferedBytes int64
}

// Node is a running front node.
type Node struct {
	settings     Settings
	name         string
	caller       *link.Client
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
	// listedSince is since when this node's own session has been in the list.
	listedSince atomic.Pointer[time.Time]
	// frontNames names the live fronts that share the runners, this one included, in order.
	frontNames atomic.Pointer[[]string]

	context    context.Context
	stop       context.CancelFunc
	background *taskGroup
}

// Start runs a front node until Close.
//
//	node, err := front.Start(settings, link.TCP{})
//	defer node.Close()
func Start(settings Settings, network link.Network) (*Node, error) {
	node := &Node{settings: settings, name: "front-" + uuid.NewString(), caller: link.NewClient(network), runnerClient: runnerclient.New(network), background: newTaskGroup()}
	node.context, node.stop = context.WithCancel(context.Background())
	node.active.Store(&activeConfig{view: &feed.View{}, config: &config.Config{}})
	node.frontNames.Store(&[]string{node.name})
	node.stores = storeclient.New(node.caller, func() *feed.View { return node.active.Load().view })
	node.scheduler = scheduler.New(node.name, settings.Domain, node.schedulerState, node.notifyPeers)
	node.pool = runnerpool.New(network, settings.Dialect)
	node.balancer = balancer.New(settings.Domain, rand.Uint64(), nil)
	node.forwarder = forwarding.New(forwarding.Settings{Node: node.name, CheckViewFresh: node.checkViewFresh, AwaitViewFresh: node.awaitViewFresh, ActiveConfig: node.activeRouting, Balancer: node.balancer, Pool: node.pool, TurnStore: node.stores, MaxBufferedBytes: settings.MaxBufferedBytes})
	linkListener, err := network.Listen(settings.Address)
	if err != nil {
		return nil, apierror.New(apierror.BadSettings, "cannot listen on "+settings.Address+": "+err.Error(), "use an address of this machine that is free")
	}
	var publicListener net.Listener
	if settings.PublicAddress != "" {
		if publicListener, err = network.Listen(settings.PublicAddress); err != nil {
			linkListener.Close()
			return nil, apierror.New(apierror.BadSettings, "cannot listen on "+settings.PublicAddress+": "+err.Error(), "use an address of this machine that is free")
		}
	}
	member := feed.Member{Name: node.name, Role: feed.RoleFront, Address: settings.Address, Domain: settings.Domain, Machine: settings.Machine}
	node.feedClient = feedclient.Start(node.caller, member, settings.Seeds, nil, node.applyView)
	node.balancer.SetListReadTime(node.feedClient.RunnerListReadAt)
	go node.watchPeers()
	node.linkServer = link.Serve(linkListener, node.handleCall)
	if publicListener != nil {
		node.publicServer = httpapi.Serve(publicListener, node.handler(), func() int64 {
			return max(node.active.Load().config.Limits.BodyBytes, 1024)
		})
	}
	log.WithFields(log.Fields{"node": node.name, "address": settings.Address, "public": settings.PublicAddress}).Info("front_started")
	return node, nil
}

// Forward carries a query to a runner by the routes in force, and its answer back.
//
//	err := node.Forward(ctx, query, answer)
func (node *Node) Forward(ctx context.Context, request *forwarding.Request, answer forwarding.ResponseWriter) error {
	return node.forwarder.Serve(ctx, request, answer)
}

// Name is the node's name, made anew at each start.
//
//	name := node.Name()
func (node *Node) Name() string { return node.name }

// SetSeeds replaces the seed addresses, as SIGHUP does.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) { node.feedClient.SetSeeds(seeds) }

// Ready tells whether the node may take work now.
//
//	if node.Ready() { ... }
func (node *Node) Ready() bool {
	view, err := node.feedClient.Fresh()
	return err == nil && view.ConfigNumber > 0 && len(view.Stores) > 0 && len(node.schedulerState().Fronts) > 0 && !node.draining.Load()
}

// Drain refuses new work and waits until the runs under way have ended.
//
//	node.Drain(ctx)
func (node *Node) Drain(ctx context.Context) {
	node.draining.Store(true)
	node.forwarder.AwaitTurnCommits(ctx)
	ended := make(chan struct{})
	go func() {
		node.background.wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	if node.publicServer == nil {
		return
	}
	if err := node.publicServer.Drain(ctx); err != nil {
		log.WithFields(log.Fields{"node": node.name, "error": err.Error()}).Warn("drain_cut_short")
	}
}

// Close stops the node at once. Runs under way are broken off.
//
//	node.Close()
func (node *Node) Close() {
	node.draining.Store(true)
	node.stop()
	if node.publicServer != nil {
		node.publicServer.Close()
	}
	node.forwarder.Close()
	node.pool.Close()
	node.feedClient.Stop()
	node.linkServer.Close()
	node.background.close()
	node.caller.Close()
}

const (
	commitTimeout  = 6 * time.Second
	fenceTimeout   = 4 * time.Second
	deadlineMargin = 5 * time.Second
	settleTimeout  = 30 * time.Second
	// reservationDispatchWindow is how long after its asking a reservation may be dispatched
	// under; past that and the run's own time, the stores settle it.
	reservationDispatchWindow = 15 * time.Second
	reservationMargin         = 15 * time.Second
	tailPollTimeout           = time.Second
	probeTimeout              = 500 * time.Millisecond
	joinDelay                 = time.Second
	// viewFreshTimeout is how long after its view was fresh last, or after its start, a front
	// lets queries wait rather than refuse them.
	viewFreshTimeout        = 1500 * time.Millisecond
	peerPollInterval        = 300 * time.Millisecond
	backgroundRetryInterval = 300 * time.Millisecond
	proveNotRunTimeout      = 1500 * time.Millisecond
	memberListMaxAge        = 1500 * time.Millisecond
)
