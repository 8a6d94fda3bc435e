// Package front is a front node: the caller API, the chain of filters that each
// query passes, turns and their runs.
package front

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
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
	"yardrock.example/system/placement"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
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

// activeConfig is a view with its decoded config. It is replaced whole.
type activeConfig struct {
	view   *feed.View
	config *config.Config
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

// View gives the newest view held here, fresh or not.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.active.Load().view }

// applyView decodes a newer view's config and puts both in force.
func (node *Node) applyView(view *feed.View) error {
	decoded := node.active.Load().config
	if view.ConfigNumber != node.active.Load().view.ConfigNumber || view.Fleet != node.active.Load().view.Fleet {
		var err error
		if decoded, err = config.Decode(view.Compiled); err != nil {
			log.WithFields(log.Fields{"node": node.name, "number": view.Number, "error": err.Error()}).Error("config_unreadable")
			return err
		}
	}
	node.active.Store(&activeConfig{view: view, config: decoded})
	node.updateBalancer()
	log.WithFields(log.Fields{"node": node.name, "number": view.Number, "config": view.ConfigNumber}).Info("view applied")
	return nil
}

// checkViewFresh tells whether the view held may be acted on.
func (node *Node) checkViewFresh() error {
	_, err := node.feedClient.Fresh()
	return err
}

// awaitViewFresh is fresh for a query that can wait until the view was confirmed anew, as
// after an outage of all control nodes.
func (node *Node) awaitViewFresh(ctx context.Context) error {
	_, err := node.feedClient.AwaitFresh(ctx, viewFreshTimeout)
	return err
}

// activeRouting gives the routes in force.
func (node *Node) activeRouting() forwarding.ActiveConfig {
	rules := node.active.Load()
	return forwarding.ActiveConfig{View: rules.view, Routing: rules.config.Routing, SharedPrefixes: rules.config.SharedPrefixes}
}

// updateBalancer tells the balancer what is in force and how many fronts share the runners.
func (node *Node) updateBalancer() {
	rules := node.active.Load()
	if rules.config.Routing == nil {
		return
	}
	fronts := *node.frontNames.Load()
	node.balancer.Update(balancer.State{View: rules.view, Routing: rules.config.Routing, FrontCount: len(fronts), FrontName: node.name, FrontNames: fronts})
	node.pool.Retain(rules.view.Runners)
}

// Forward carries a query to a runner by the routes in force, and its answer back.
//
//	err := node.Forward(ctx, query, answer)
func (node *Node) Forward(ctx context.Context, request *forwarding.Request, answer forwarding.ResponseWriter) error {
	return node.forwarder.Serve(ctx, request, answer)
}

// Bounds tells what callers of forwarded queries may send; all is 0 while no routes are
// in force.
//
//	longest := node.Bounds().BodyBytes
func (node *Node) Bounds() config.Bounds {
	if routing := node.active.Load().config.Routing; routing != nil {
		return routing.Bounds
	}
	return config.Bounds{}
}

// schedulerState tells the board which fronts share the runners. This one counts only
// once it has been listed for a while, so that the others have heard of it too.
func (node *Node) schedulerState() scheduler.State {
	rules := node.active.Load()
	fronts := []placement.Candidate{}
	for _, member := range node.feedClient.Members() {
		if member.Role == feed.RoleFront && node.hasJoined() {
			fronts = append(fronts, placement.Candidate{Name: member.Name, Domain: member.Domain})
		}
	}
	return scheduler.State{View: rules.view, Config: rules.config, Fronts: fronts}
}

// hasJoined tells whether the other fronts have had time to hear of this one.
func (node *Node) hasJoined() bool {
	since := node.listedSince.Load()
	return since != nil && time.Since(*since) >= joinDelay
}

// notifyPeers lets the other fronts know that a runner looks just started, or
// answers again. Each also finds out by itself; this only makes it sooner.
func (node *Node) notifyPeers(address string, cooled bool) {
	log.WithFields(log.Fields{"node": node.name, "runner": address, "cooled": cooled}).Info("runner_noted")
	for _, member := range node.peers() {
		node.background.start(func() { node.notifyPeer(member, wire.RunnerWarmUpNote{Address: address, WarmingUp: cooled}) })
	}
}

func (node *Node) notifyPeer(member feed.Member, note wire.RunnerWarmUpNote) {
	ctx, cancel := context.WithTimeout(node.context, probeTimeout)
	defer cancel()
	if _, err := node.caller.Call(ctx, member.Address, &wire.Query{Fleet: node.active.Load().view.Fleet, Which: schema.Query_Which_runner, RunnerWarmUp: &note}); err != nil {
		log.WithFields(log.Fields{"node": node.name, "front": member.Name, "error": err.Error()}).Debug("note_not_taken")
	}
}

func (node *Node) peers() []feed.Member {
	return slices.DeleteFunc(slices.Clone(node.feedClient.Members()), func(member feed.Member) bool {
		return member.Role != feed.RoleFront || member.Name == node.name
	})
}

// watchPeers notes when this front is listed itself, and tells fronts that are new which
// runners look just started.
func (node *Node) watchPeers() {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	known := map[string]bool{}
	for {
		select {
		case <-ticker.C:
		case <-node.context.Done():
			return
		}
		if slices.ContainsFunc(node.feedClient.Members(), func(member feed.Member) bool { return member.Name == node.name }) {
			node.listedSince.CompareAndSwap(nil, new(time.Now()))
		}
		now := map[string]bool{}
		for _, member := range node.peers() {
			now[member.Name] = true
			if known[member.Name] {
				continue
			}
			for _, address := range node.scheduler.SuspectedRestarts() {
				node.notifyPeer(member, wire.RunnerWarmUpNote{Address: address, WarmingUp: true})
			}
		}
		fronts := append(slices.Collect(maps.Keys(now)), node.name)
		slices.Sort(fronts)
		if !slices.Equal(*node.frontNames.Swap(&fronts), fronts) {
			node.updateBalancer()
		}
		known = now
	}
}

// handleCall takes other fronts' notes, and tells other processes who this is, so that it
// may serve as a seed.
func (node *Node) handleCall(_ context.Context, request *wire.Query) *wire.Reply {
	switch request.Which {
	case schema.Query_Which_runner:
		if fleet := node.active.Load().view.Fleet; request.Fleet != fleet {
			return wire.ErrorReply(apierror.New(apierror.ForeignFleet, "the asking front belongs to fleet "+request.Fleet+", this one to "+fleet, "correct its seeds"))
		}
		node.scheduler.ReportRestart(request.RunnerWarmUp.Address, request.RunnerWarmUp.WarmingUp)
		return &wire.Reply{}
	case schema.Query_Which_status:
		view := node.feedClient.View()
		out, waiting := node.scheduler.Status()
		return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{
			RunnerLoads: out, Queued: waiting,
			Name: node.name, Role: feed.RoleFront, Address: node.settings.Address, Domain: node.settings.Domain,
			Fleet: view.Fleet, ViewNumber: view.Number, Controls: view.Controls,
		}}
	}
	return wire.ErrorReply(apierror.New(apierror.Invalid, "a front node answers only who it is, and takes notes on runners", "ask a store or control node"))
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
