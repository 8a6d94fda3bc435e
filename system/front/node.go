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
	"yardrock.example/system/follower"
	"yardrock.example/system/forwarding"
	"yardrock.example/system/httpface"
	"yardrock.example/system/link"
	"yardrock.example/system/placement"
	"yardrock.example/system/runnerorigin"
	"yardrock.example/system/runnerpool"
	"yardrock.example/system/scheduling"
	"yardrock.example/system/storeorigin"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Settings place a front node.
type Settings struct {
	Address string // for other processes
	Public  string // for callers of the own interface; "" serves none
	Domain  string
	Seeds   []string
	// Machine is what the operators call this machine; it may be empty.
	Machine string
	// Dialect names the headers of runners that queries are forwarded to.
	Dialect runnerpool.Dialect
	// HeldBytes bounds the forwarded queries and histories that are held at once; 0 means
	// forwarding.UsualHeldBytes.
	HeldBytes int64
}

// inForce is a view with its decoded config. It is replaced whole.
type inForce struct {
	view   *feed.View
	config *config.Config
}

// Node is a running front node.
type Node struct {
	settings Settings
	name     string
	caller   *link.Client
	follow   *follower.Client
	stores   *storeorigin.Origin
	runners  *runnerorigin.Origin
	board    *scheduling.Board
	pool     *runnerpool.Pool
	balancer *balancer.Balancer
	forward  *forwarding.Forwarder
	linked   *link.Server
	public   *httpface.Server
	rules    atomic.Pointer[inForce]
	draining atomic.Bool
	// listedSince is since when this node's own session has been in the list.
	listedSince atomic.Pointer[time.Time]
	// fronts names the live fronts that share the runners, this one included, in order.
	fronts atomic.Pointer[[]string]

	context context.Context
	stop    context.CancelFunc
	runs    *runs
}

// Start runs a front node until Close.
//
//	node, err := front.Start(settings, link.TCP{})
//	defer node.Close()
func Start(settings Settings, network link.Network) (*Node, error) {
	node := &Node{settings: settings, name: "front-" + uuid.NewString(), caller: link.NewClient(network), runners: runnerorigin.New(network), runs: newRuns()}
	node.context, node.stop = context.WithCancel(context.Background())
	node.rules.Store(&inForce{view: &feed.View{}, config: &config.Config{}})
	node.fronts.Store(&[]string{node.name})
	node.stores = storeorigin.New(node.caller, func() *feed.View { return node.rules.Load().view })
	node.board = scheduling.NewBoard(node.name, settings.Domain, node.boardState, node.tellOfRunner)
	node.pool = runnerpool.New(network, settings.Dialect)
	node.balancer = balancer.New(settings.Domain, rand.Uint64(), nil)
	node.forward = forwarding.New(forwarding.Settings{Node: node.name, Fresh: node.fresh, AwaitFresh: node.awaitFresh, Rules: node.routes, Balancer: node.balancer, Pool: node.pool, Records: node.stores, HeldBytes: settings.HeldBytes})
	linkListener, err := network.Listen(settings.Address)
	if err != nil {
		return nil, apierror.New(apierror.BadSettings, "cannot listen on "+settings.Address+": "+err.Error(), "use an address of this machine that is free")
	}
	var publicListener net.Listener
	if settings.Public != "" {
		if publicListener, err = network.Listen(settings.Public); err != nil {
			linkListener.Close()
			return nil, apierror.New(apierror.BadSettings, "cannot listen on "+settings.Public+": "+err.Error(), "use an address of this machine that is free")
		}
	}
	member := feed.Member{Name: node.name, Role: feed.RoleFront, Address: settings.Address, Domain: settings.Domain, Machine: settings.Machine}
	node.follow = follower.Start(node.caller, member, settings.Seeds, nil, node.take)
	node.balancer.FollowList(node.follow.RunnerListReadAt)
	go node.greet()
	node.linked = link.Serve(linkListener, node.answer)
	if publicListener != nil {
		node.public = httpface.Serve(publicListener, node.handler(), func() int64 {
			return max(node.rules.Load().config.Limits.BodyBytes, 1024)
		})
	}
	log.WithFields(log.Fields{"node": node.name, "address": settings.Address, "public": settings.Public}).Info("front_started")
	return node, nil
}

// View gives the newest view held here, fresh or not.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.rules.Load().view }

// take decodes a newer view's config and puts both in force.
func (node *Node) take(view *feed.View) error {
	made := node.rules.Load().config
	if view.ConfigNumber != node.rules.Load().view.ConfigNumber || view.Fleet != node.rules.Load().view.Fleet {
		var err error
		if made, err = config.Decode(view.Compiled); err != nil {
			log.WithFields(log.Fields{"node": node.name, "number": view.Number, "error": err.Error()}).Error("config_unreadable")
			return err
		}
	}
	node.rules.Store(&inForce{view: view, config: made})
	node.balance()
	log.WithFields(log.Fields{"node": node.name, "number": view.Number, "config": view.ConfigNumber}).Info("view_taken")
	return nil
}

// fresh tells whether the view held may be acted on.
func (node *Node) fresh() error {
	_, err := node.follow.Fresh()
	return err
}

// awaitFresh is fresh for a query that can wait until the view was confirmed anew, as
// after an outage of all control nodes.
func (node *Node) awaitFresh(ctx context.Context) error {
	_, err := node.follow.AwaitFresh(ctx, freshTimeout)
	return err
}

// routes gives the routes in force.
func (node *Node) routes() forwarding.Rules {
	rules := node.rules.Load()
	return forwarding.Rules{View: rules.view, Routing: rules.config.Routing, Openings: rules.config.SharedPrefixes}
}

// balance tells the balancer what is in force and how many fronts share the runners.
func (node *Node) balance() {
	rules := node.rules.Load()
	if rules.config.Routing == nil {
		return
	}
	fronts := *node.fronts.Load()
	node.balancer.Update(balancer.State{View: rules.view, Routes: rules.config.Routing, Fronts: len(fronts), Front: node.name, Names: fronts})
	node.pool.Retain(rules.view.Runners)
}

// Forward carries a query to a runner by the routes in force, and its answer back.
//
//	err := node.Forward(ctx, query, answer)
func (node *Node) Forward(ctx context.Context, query *forwarding.Query, answer forwarding.Answer) error {
	return node.forward.Serve(ctx, query, answer)
}

// Bounds tells what callers of forwarded queries may send; all is 0 while no routes are
// in force.
//
//	longest := node.Bounds().BodyBytes
func (node *Node) Bounds() config.Bounds {
	if routing := node.rules.Load().config.Routing; routing != nil {
		return routing.Bounds
	}
	return config.Bounds{}
}

// boardState tells the board which fronts share the runners. This one counts only
// once it has been listed for a while, so that the others have heard of it too.
func (node *Node) boardState() scheduling.State {
	rules := node.rules.Load()
	fronts := []placement.Candidate{}
	for _, member := range node.follow.Members() {
		if member.Role == feed.RoleFront && node.joined() {
			fronts = append(fronts, placement.Candidate{Name: member.Name, Domain: member.Domain})
		}
	}
	return scheduling.State{View: rules.view, Config: rules.config, Fronts: fronts}
}

// joined tells whether the other fronts have had time to hear of this one.
func (node *Node) joined() bool {
	since := node.listedSince.Load()
	return since != nil && time.Since(*since) >= joinSettle
}

// tellOfRunner lets the other fronts know that a runner looks just started, or
// answers again. Each also finds out by itself; this only makes it sooner.
func (node *Node) tellOfRunner(address string, cooled bool) {
	log.WithFields(log.Fields{"node": node.name, "runner": address, "cooled": cooled}).Info("runner_noted")
	for _, member := range node.peers() {
		node.runs.start(func() { node.tell(member, wire.RunnerWarmUpNote{Address: address, WarmingUp: cooled}) })
	}
}

func (node *Node) tell(member feed.Member, note wire.RunnerWarmUpNote) {
	ctx, cancel := context.WithTimeout(node.context, probeTimeout)
	defer cancel()
	if _, err := node.caller.Call(ctx, member.Address, &wire.Query{Fleet: node.rules.Load().view.Fleet, Which: schema.Query_Which_runner, RunnerWarmUp: &note}); err != nil {
		log.WithFields(log.Fields{"node": node.name, "front": member.Name, "error": err.Error()}).Debug("note_not_taken")
	}
}

func (node *Node) peers() []feed.Member {
	return slices.DeleteFunc(slices.Clone(node.follow.Members()), func(member feed.Member) bool {
		return member.Role != feed.RoleFront || member.Name == node.name
	})
}

// greet notes when this front is listed itself, and tells fronts that are new which
// runners look just started.
func (node *Node) greet() {
	ticker := time.NewTicker(greetInterval)
	defer ticker.Stop()
	known := map[string]bool{}
	for {
		select {
		case <-ticker.C:
		case <-node.context.Done():
			return
		}
		if slices.ContainsFunc(node.follow.Members(), func(member feed.Member) bool { return member.Name == node.name }) {
			node.listedSince.CompareAndSwap(nil, new(time.Now()))
		}
		now := map[string]bool{}
		for _, member := range node.peers() {
			now[member.Name] = true
			if known[member.Name] {
				continue
			}
			for _, address := range node.board.Cooled() {
				node.tell(member, wire.RunnerWarmUpNote{Address: address, WarmingUp: true})
			}
		}
		fronts := append(slices.Collect(maps.Keys(now)), node.name)
		slices.Sort(fronts)
		if !slices.Equal(*node.fronts.Swap(&fronts), fronts) {
			node.balance()
		}
		known = now
	}
}

// answer takes other fronts' notes, and tells other processes who this is, so that it
// may serve as a seed.
func (node *Node) answer(_ context.Context, query *wire.Query) *wire.Reply {
	switch query.Which {
	case schema.Query_Which_runner:
		if fleet := node.rules.Load().view.Fleet; query.Fleet != fleet {
			return wire.ErrorReply(apierror.New(apierror.ForeignFleet, "the asking front belongs to fleet "+query.Fleet+", this one to "+fleet, "correct its seeds"))
		}
		node.board.Note(query.RunnerWarmUp.Address, query.RunnerWarmUp.WarmingUp)
		return &wire.Reply{}
	case schema.Query_Which_status:
		view := node.follow.View()
		out, waiting := node.board.Demand()
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
func (node *Node) SetSeeds(seeds []string) { node.follow.SetSeeds(seeds) }

// Ready tells whether the node may take work now.
//
//	if node.Ready() { ... }
func (node *Node) Ready() bool {
	view, err := node.follow.Fresh()
	return err == nil && view.ConfigNumber > 0 && len(view.Stores) > 0 && len(node.boardState().Fronts) > 0 && !node.draining.Load()
}

// Drain refuses new work and waits until the runs under way have ended.
//
//	node.Drain(ctx)
func (node *Node) Drain(ctx context.Context) {
	node.draining.Store(true)
	node.forward.Settled(ctx)
	ended := make(chan struct{})
	go func() {
		node.runs.wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	if node.public == nil {
		return
	}
	if err := node.public.Drain(ctx); err != nil {
		log.WithFields(log.Fields{"node": node.name, "error": err.Error()}).Warn("drain_cut_short")
	}
}

// Close stops the node at once. Runs under way are broken off.
//
//	node.Close()
func (node *Node) Close() {
	node.draining.Store(true)
	node.stop()
	if node.public != nil {
		node.public.Close()
	}
	node.forward.Close()
	node.pool.Close()
	node.follow.Stop()
	node.linked.Close()
	node.runs.close()
	node.caller.Close()
}

const (
	commitTimeout  = 6 * time.Second
	fenceTimeout   = 4 * time.Second
	deadlineMargin = 5 * time.Second
	settleTimeout  = 30 * time.Second
	// reservationUse is how long after its asking a reservation may be dispatched
	// under; past that and the run's own time, the stores settle it.
	reservationUse    = 15 * time.Second
	reservationMargin = 15 * time.Second
	tailWait          = time.Second
	probeTimeout      = 500 * time.Millisecond
	joinSettle        = time.Second
	// freshTimeout is how long after its view was fresh last, or after its start, a front
	// lets queries wait rather than refuse them.
	freshTimeout    = 1500 * time.Millisecond
	greetInterval   = 300 * time.Millisecond
	backgroundPause = 300 * time.Millisecond
	proveTimeout    = 1500 * time.Millisecond
	sessionsKnown   = 1500 * time.Millisecond
)
