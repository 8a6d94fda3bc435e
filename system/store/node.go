// Package store is a store node: it holds replicas of the groups that keep session logs and
// quota usage, the archive beside them, and the newest view of the feed.
//
// What each part of the package does:
//
//   - requests.go, commands.go, reads.go, turns.go and status.go answer the requests of other
//     processes; tail.go wakes readers that wait for the next event.
//   - node_groups.go puts package sessionlog under package replica; group_clock.go keeps each
//     group's clock.
//   - node_view.go takes part in the feed: it syncs views before anyone may count on them.
//   - group_placement.go and group_move.go move groups to where the store list wants them, one
//     membership change at a time.
//   - archiver.go, archive_replication.go and archive_guard.go move events out of the replicated
//     state into the archives of a majority; archive_repair.go and lagging_replicas.go repair
//     archives that lack some (anti-entropy).
//   - shared_prefix.go stores prefixes once that sessions share; quota.go settles reservations
//     that fronts left behind.
//
// Invariants:
//
//   - A read or a turn's history is complete or fails with apierror.Gap; it never leaves out an
//     event.
//   - Events are evicted from the replicated state only once a majority of the group's voters
//     has them in its archive, and a membership change keeps that true (archiveGuard).
//   - What a background task commits goes through the group's leader, so a deposed one changes
//     nothing: the Raft term is the fencing token.
//   - A group's clock never runs ahead of the time that went by, so no session or deadline ends
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
	// callTimeout bounds one call of another store.
	callTimeout = 2 * time.Second
	// commandTimeout bounds the commit of a command, and a read of a group.
	commandTimeout = 3 * time.Second
)

// Settings configure a store node.
type Settings struct {
	// Address is where other processes reach the node, and what it listens on (host:port).
	Address string
	// Domain is the failure domain of the machine, as a zone.
	Domain string
	// Seeds are addresses of nodes from which the node learns the fleet.
	Seeds   []string
	Replica replica.Settings
	// WallClock is the machine's clock, which may be wrong; nil is time.Now.
	WallClock func() time.Time
	// Machine is what the operator calls this machine; it may be empty.
	Machine string
}

// Node is a running store node. It owns its data folder, its archive and all its goroutines,
// which Close ends and waits for. All methods may be called from any goroutine.
type Node struct {
	settings     Settings
	caller       *link.Client
	host         *replica.Host
	archiveStore *archive.Store
	server       *link.Server
	storeClient  *storeclient.Client
	// feedClient is nil until the node is connected to the feed: the replicas and the feed
	// client's own callbacks may look for it before.
	feedClient atomic.Pointer[feedclient.Client]

	view       atomic.Pointer[feed.View]
	viewPacker wire.PackedViewCache
	// viewChanged has a token after a view was accepted that differs in more than
	// observations.
	viewChanged chan struct{}

	stateMachines sync.Map // of *groupStateMachine by group number
	clockAnchors  sync.Map // of clockAnchor by group number
	archiveGuards sync.Map // of *archiveGuard by group number
	// laggingReplicas has a replicaKey for each replica of a group led here that may lack
	// archived ranges.
	laggingReplicas sync.Map
	prefixDetector  sharedprefix.Detector

	tailMutex   sync.Mutex
	tailWaiters map[string]*tailWaiter

	// context ends with the node, tasks are its goroutines.
	context context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// Start opens the data folder and the archive's, and runs a store node until Close. It fails
// if a folder is damaged (apierror.Damaged), belongs to a node of another role, or was written
// by a newer program, and if the address is not free (apierror.BadSettings).
//
//	node, err := store.Start(settings, folder, archiveFolder, link.TCP{})
//	defer node.Close()
func Start(settings Settings, folder, archiveFolder vfs.Directory, network link.Network) (*Node, error) {
	node, err := open(settings, folder, archiveFolder, network)
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

// open restores the node's groups from its data folder. They take part in Raft from now on.
func open(settings Settings, folder, archiveFolder vfs.Directory, network link.Network) (*Node, error) {
	durable, records, err := durablelog.Open(folder, feed.RoleStore)
	if err != nil {
		return nil, err
	}
	archiveStore, err := archive.Open(archiveFolder)
	if err != nil {
		return nil, err
	}
	if settings.WallClock == nil {
		settings.WallClock = time.Now
	}
	node := &Node{
		settings: settings, caller: link.NewClient(network), archiveStore: archiveStore,
		viewChanged: make(chan struct{}, 1), tailWaiters: map[string]*tailWaiter{},
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

// join takes the stored view into force, then connects the node to the feed and serves the
// requests of other processes.
func (node *Node) join(network link.Network) error {
	view, err := node.storedView()
	if err != nil {
		return err
	}
	node.view.Store(view)
	listener, err := network.Listen(node.settings.Address)
	if err != nil {
		return apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+node.settings.Address+": "+err.Error(), "use an address of this machine that is free")
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

// startTasks starts the node's background tasks. Each runs alone and ends with node.context.
func (node *Node) startTasks() {
	node.tasks.Go(func() { node.runEvery(archiveInterval, node.archiveAll) })
	node.tasks.Go(func() { node.runEvery(settleInterval, node.quotaSettler()) })
	node.tasks.Go(node.runPlacement)
	node.tasks.Go(func() { node.runEvery(repairInterval, node.repairAll) })
	node.tasks.Go(func() { node.runEvery(laggingRepairInterval, node.laggingRepairer()) })
}

// runEvery runs a task at an interval until the node stops. It skips ticks while a task takes
// longer than that.
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

// Name returns the identity of the node's disk, by which the fleet knows the node.
//
//	name := node.Name()
func (node *Node) Name() string { return node.host.Name() }

// SetSeeds replaces the seed addresses while the node runs.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) { node.feedClient.Load().SetSeeds(seeds) }

// ForeignFleet delivers the reason why a node that has just started can't go on, if there is
// one: its data folder belongs to another fleet than its seeds.
//
//	err := <-node.ForeignFleet()
func (node *Node) ForeignFleet() <-chan error { return node.feedClient.Load().ForeignFleet() }

// Ready tells whether the node has replicas and each knows a leader.
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

// Host returns the node's replicas, for measurements and tests.
//
//	syncs := node.Host().Syncs()
func (node *Node) Host() *replica.Host { return node.host }

// Drain transfers the leadership of all groups before a stop.
//
//	node.Drain()
func (node *Node) Drain() { node.host.TransferAllLeaderships() }

// Close stops the node and waits for its tasks. What is not synced may be lost, as in a crash.
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
