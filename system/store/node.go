// Package store implements a store node. A store node holds replicas of the Raft groups that
// contain session logs and quota usage, an archive of evicted events, and the current view of
// the feed.
//
// There are two kinds of view: a feed.View describes the fleet, including the addresses of the
// stores; a sessionlog.View is the replicated state of one group.
//
// The files of the package:
//
//   - requests.go, commands.go, reads.go, turns.go and status.go handle queries from other
//     processes; tail.go wakes readers that wait for the next event.
//   - node_groups.go connects package sessionlog to package replica; group_clock.go implements
//     the clock of each group.
//   - node_view.go stores the views of the feed durably before they are used or acknowledged.
//   - group_placement.go and group_move.go move groups to the stores that the placement assigns,
//     one membership change at a time.
//   - archiver.go, archive_replication.go and archive_guard.go move events from the replicated
//     state to the archives of a majority; archive_repair.go and lagging_replicas.go repair
//     archives that lack events (anti-entropy).
//   - shared_prefix.go deduplicates input prefixes that sessions share; quota.go settles
//     reservations that fronts abandoned.
//
// Invariants:
//
//   - A read or a turn's history is complete or fails with apierror.Gap; it never omits an
//     event.
//   - Events are evicted from the replicated state only once a majority of the group's voters
//     has archived them, and membership changes preserve this (archiveGuard).
//   - Background tasks commit their changes through the group's leader, so a deposed leader
//     changes nothing: the Raft term is the fencing token.
//   - A group's clock never runs ahead of elapsed time, so no session or deadline expires
//     early.
package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/archive"
	"yardrock.example/system/durablelog"
	"yardrock.example/system/feed"
	"yardrock.example/system/feedclient"
	"yardrock.example/system/link"
	"yardrock.example/system/replica"
	"yardrock.example/system/sharedprefix"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
)

const (
	// callTimeout bounds one call to another store.
	callTimeout = 2 * time.Second
	// commandTimeout bounds the commit of a command or a linearizable read of a group.
	commandTimeout = 3 * time.Second
)

// Settings configure a store node.
type Settings struct {
	// Address is the address (host:port) that the node listens on and advertises.
	Address string
	// Domain is the failure domain of the machine, for example a zone.
	Domain string
	// Seeds are the addresses of nodes through which the node discovers the fleet.
	Seeds   []string
	Replica replica.Settings
	// WallClock returns the machine's time, which need not be correct; nil means time.Now.
	WallClock func() time.Time
	// Machine is the operator's name for this machine; it may be empty.
	Machine string
}

// Node is a running store node. It owns its data directory, its archive and its goroutines,
// which Close stops and waits for. Its methods are safe for concurrent use.
type Node struct {
	settings     Settings
	caller       *link.Client
	host         *replica.Host
	archiveStore *archive.Store
	server       *link.Server
	storeClient  *storeclient.Client
	// feedClient is nil until the node is connected to the feed. Replicas and the feed client's
	// callbacks may load it earlier.
	feedClient atomic.Pointer[feedclient.Client]

	view       atomic.Pointer[feed.View]
	viewPacker wire.PackedViewCache
	// viewChanged receives a token when an accepted view differs in more than observations.
	viewChanged chan struct{}

	stateMachines sync.Map // *groupStateMachine by group ID
	clockAnchors  sync.Map // clockAnchor by group ID
	archiveGuards sync.Map // *archiveGuard by group ID
	// laggingReplicas is the set of replicas (replicaKey) that may lack archived ranges, of the
	// groups that this node leads.
	laggingReplicas sync.Map
	prefixDetector  sharedprefix.Detector
	rateLimits      rateLimits

	tailMutex   sync.Mutex
	tailWaiters map[string]*tailWaiter

	// context is canceled by Close, which then waits for tasks.
	context context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// Start opens the data directory and the archive directory, and runs a store node until Close.
// It fails if a directory is damaged (apierror.Damaged), belongs to a node of another role or
// was written by a newer version, and if the address is in use (apierror.BadSettings).
//
//	node, err := store.Start(settings, dir, archiveDir, link.TCP{})
//	defer node.Close()
func Start(settings Settings, dir, archiveDir vfs.Directory, network link.Network) (*Node, error) {
	node, err := open(settings, dir, archiveDir, network)
	if err != nil {
		return nil, err
	}
	if err := node.join(network); err != nil {
		node.host.Close()
		return nil, err
	}
	node.startTasks()
	log.WithFields(log.Fields{"node": node.Name(), "address": settings.Address}).Info("store node started")
	return node, nil
}

// open restores the node's groups from its data directory. Their replicas participate in Raft
// from then on.
func open(settings Settings, dir, archiveDir vfs.Directory, network link.Network) (*Node, error) {
	durable, records, err := durablelog.Open(dir, feed.RoleStore)
	if err != nil {
		return nil, err
	}
	archiveStore, err := archive.Open(archiveDir)
	if err != nil {
		return nil, err
	}
	if settings.WallClock == nil {
		settings.WallClock = time.Now
	}
	node := &Node{
		settings: settings, caller: link.NewClient(network), archiveStore: archiveStore,
		viewChanged: make(chan struct{}, 1), tailWaiters: map[string]*tailWaiter{},
		rateLimits: rateLimits{groups: map[uint32]*groupRateLimits{}},
	}
	node.context, node.stop = context.WithCancel(context.Background())
	node.view.Store(&feed.View{})
	node.storeClient = storeclient.New(node.caller, node.view.Load)
	transport := replica.NewTransport(node.caller, node.addressOf, func() string { return node.view.Load().BoundFleet() })
	if node.host, err = replica.Open(settings.Replica, durable, records, node.newStateMachine, transport); err != nil {
		return nil, err
	}
	return node, nil
}

// join applies the stored view, connects the node to the feed and starts serving queries.
func (node *Node) join(network link.Network) error {
	view, err := node.storedView()
	if err != nil {
		return err
	}
	node.view.Store(view)
	listener, err := network.Listen(node.settings.Address)
	if err != nil {
		return apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+node.settings.Address+": "+err.Error(), "use a free address of this machine")
	}
	self := feed.Member{
		Name: node.Name(), Role: feed.RoleStore, Address: node.settings.Address,
		Domain: node.settings.Domain, Machine: node.settings.Machine,
	}
	node.feedClient.Store(feedclient.Start(node.caller, self, node.settings.Seeds, view, node.acceptView))
	node.server = link.Serve(listener, node.Handle)
	node.bootstrapGroups(view)
	return nil
}

// startTasks starts the node's background tasks, each in a goroutine of its own that ends with
// node.context.
func (node *Node) startTasks() {
	node.tasks.Go(func() { node.runEvery(archiveInterval, node.archiveAll) })
	node.tasks.Go(func() { node.runEvery(settleInterval, node.quotaSettler()) })
	node.tasks.Go(node.runPlacement)
	node.tasks.Go(func() { node.runEvery(repairInterval, node.repairAll) })
	node.tasks.Go(func() { node.runEvery(laggingRepairInterval, node.laggingRepairer()) })
	node.tasks.Go(func() { node.runEvery(leadershipPollInterval, node.recordLeadership) })
}

// runEvery runs a task at an interval until the node stops. Ticks during a run that takes longer
// are dropped.
func (node *Node) runEvery(interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-node.context.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}

// Name returns the node's name in the fleet, which is the identity of its disk.
//
//	name := node.Name()
func (node *Node) Name() string { return node.host.Name() }

// SetSeeds replaces the seed addresses of the running node.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) { node.feedClient.Load().SetSeeds(seeds) }

// ForeignFleet returns a channel that receives an error if the node must stop because its data
// directory belongs to another fleet than its seeds.
//
//	err := <-node.ForeignFleet()
func (node *Node) ForeignFleet() <-chan error { return node.feedClient.Load().ForeignFleet() }

// Ready reports whether the node has replicas and each of them knows a leader.
//
//	if node.Ready() { ... }
func (node *Node) Ready() bool {
	statuses := node.host.Statuses()
	for _, status := range statuses {
		if status.Leader == "" {
			return false
		}
	}
	return len(statuses) > 0
}

// Host returns the host of the node's replicas, for measurements and tests.
//
//	statuses := node.Host().Statuses()
func (node *Node) Host() *replica.Host { return node.host }

// Drain transfers the leadership of all groups to other stores, before the node is stopped.
//
//	node.Drain()
func (node *Node) Drain() { node.host.TransferAllLeaderships() }

// Close stops the node and waits for its tasks. Unsynced data may be lost, as in a crash.
//
//	node.Close()
func (node *Node) Close() {
	node.stop()
	node.feedClient.Load().Stop()
	node.server.Close()
	node.caller.Close()
	node.tasks.Wait()
	node.host.Close()
}

// callPeer sends a query to another store of this fleet.
func (node *Node) callPeer(ctx context.Context, peer string, query *wire.Query) (*wire.Reply, error) {
	query.Fleet = node.view.Load().BoundFleet()
	return node.caller.Call(ctx, node.addressOf(peer), query)
}
