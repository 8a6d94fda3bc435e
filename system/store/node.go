// Package store is a store node: it holds replicas of the groups that keep lines
// and tallies, the cold store beside them, and the newest view of the feed.
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
	pinnedViewKey   = 1 << 31
	archiveInterval = 5 * time.Second
	archiveBatch    = 5000
	// CatchUpInterval is how long a tail reader waits at most before it reads again.
	CatchUpInterval      = 5 * time.Second
	callTimeout          = 2 * time.Second
	commandTimeout       = 3 * time.Second
	pinTimeout           = 5 * time.Second
	maxReadEvents        = 4096
	controlContactWindow = 5 * time.Second
)

// Settings place a store node.
type Settings struct {
	Address string
	Domain  string
	Seeds   []string
	Replica replica.Settings
	// WallClock is the machine's clock, which may be wrong; nil is the real one.
	WallClock func() time.Time
	// StateMachine is what the operator calls this machine; it may be empty.
	Machine string
}

// Node is a running store node.
type Node struct {
	settings     Settings
	caller       *link.Client
	host         *replica.Host
	archiveStore *archive.Store
	server       *link.Server
	feedClient   *feedclient.Client
	// startedFeedClient is follow, for those who ask while the node still starts.
	startedFeedClient atomic.Pointer[feedclient.Client]
	stateMachines     sync.Map // group number to *groupStateMachine
	clockAnchors      sync.Map // group number to clockAnchor
	storeClient       *storeclient.Client
	prefixDetector    sharedprefix.Detector
	// archiveGuards holds an *archiveGuard by group number, behind a replicaKey for each
	// replica of a group led here that may lack archived ranges.
	archiveGuards   sync.Map
	laggingReplicas sync.Map
	view            atomic.Pointer[feed.View]
	viewPacker      wire.PackedViewCache
	viewChanged     chan struct{} // holds one token after a view with other orders was taken

	tailMutex   sync.Mutex
	tailWaiters map[string]chan struct{}

	context context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// Start opens the data folder and runs a store node until Close.
//
//	node, err := store.Start(settings, folder, archiveFolder, link.TCP{})
//	defer node.Close()
func Start(settings Settings, folder, archiveFolder vfs.Directory, network link.Network) (*Node, error) {
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
	node := &Node{settings: settings, caller: link.NewClient(network), archiveStore: archiveStore, viewChanged: make(chan struct{}, 1), tailWaiters: map[string]chan struct{}{}}
	node.context, node.stop = context.WithCancel(context.Background())
	node.view.Store(&feed.View{})
	node.storeClient = storeclient.New(node.caller, node.view.Load)
	courier := replica.NewTransport(node.caller, node.addressOf, func() string { return node.view.Load().BoundFleet() })
	node.host, err = replica.Open(settings.Replica, durable, records, node.newStateMachine, courier)
	if err != nil {
		return nil, err
	}
	view := &feed.View{}
	if data := node.host.StoredValue(pinnedViewKey); data != nil {
		if view, err = wire.UnpackView(data); err != nil {
			node.host.Close()
			return nil, apierror.New(apierror.Damaged, "the held view cannot be read: "+err.Error(), "run the version of the program that wrote it")
		}
	}
	node.view.Store(view)
	listener, err := network.Listen(settings.Address)
	if err != nil {
		node.host.Close()
		return nil, apierror.New(apierror.BadSettings, "cannot listen on "+settings.Address+": "+err.Error(), "use an address of this machine that is free")
	}
	member := feed.Member{Name: node.Name(), Role: feed.RoleStore, Address: settings.Address, Domain: settings.Domain, Machine: settings.Machine}
	node.feedClient = feedclient.Start(node.caller, member, settings.Seeds, view, node.acceptView)
	node.startedFeedClient.Store(node.feedClient)
	node.server = link.Serve(listener, node.Answer)
	node.bootstrapGroups(view)
	node.tasks.Go(func() { node.runEvery(archiveInterval, node.archiveAll) })
	node.tasks.Go(func() { node.runEvery(archiveInterval, node.quotaSettler()) })
	node.tasks.Go(node.runPlacement)
	node.tasks.Go(func() { node.runEvery(repairInterval, node.repairAll) })
	node.tasks.Go(func() { node.runEvery(laggingRepairInterval, node.laggingRepairer()) })
	log.WithFields(log.Fields{"node": node.Name(), "address": settings.Address}).Info("store_started")
	return node, nil
}

// Name is the identity of the node's disk.
//
//	name := node.Name()
func (node *Node) Name() string { return node.host.Name() }

// SetSeeds replaces the seed addresses, as SIGHUP does.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) { node.feedClient.SetSeeds(seeds) }

// ForeignFleet gives the reason why a node that has just started can't go on: its data
// folder belongs to another fleet than its seeds.
//
//	err := <-node.ForeignFleet()
func (node *Node) Foreign() <-chan error { return node.feedClient.ForeignFleet() }

// Ready tells whether every group that has a replica here knows a leader.
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

// Host gives the node's replicas, for measuring.
//
//	syncs := node.Host().Syncs()
func (node *Node) Host() *replica.Host { return node.host }

// Drain gives up leadership before a stop.
//
//	node.Drain()
func (node *Node) Drain() { node.host.TransferAllLeaderships() }

// Close stops the node at once; what is not synced may be lost.
//
//	node.Close()
func (node *Node) Close() {
	node.stop()
	node.feedClient.Stop()
	node.server.Close()
	node.caller.Close()
	node.tasks.Wait()
	node.host.Close()
}

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
