package controlplane

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/durablelog"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/replica"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	livenessTimeout = 3 * time.Second
	// lostTimeout is how long a node may be silent before it is no longer waited for;
	// replaceableTimeout, if another is ready to take its place. One that is given up and
	// comes back is taken in again, so the shorter time risks copying for nothing only.
	lostTimeout        = 10 * time.Second
	replaceableTimeout = 2 * time.Second
	// suspectTimeout is how long a voter may be silent while another becomes one.
	suspectTimeout    = 1200 * time.Millisecond
	minVoters         = 3
	gossipInterval    = 500 * time.Millisecond
	gossipsPerCall    = 4 // one gossip of so many wants an answer
	reconcileInterval = 300 * time.Millisecond
	busyInterval      = 50 * time.Millisecond // while the fleet is being steered
	// foundingQuietPeriod is how long no other store may have come before the list is made.
	foundingQuietPeriod = 700 * time.Millisecond
	foundingInterval    = 500 * time.Millisecond
	callTimeout         = 2 * time.Second
	// controlAddressesKey is the number under which the disk keeps where the control nodes are.
	controlAddressesKey = 1 << 31
)

// Settings place a control node.
type Settings struct {
	Address        string
	Administration string
	Domain         string
	Seeds          []string
	FoundingStores int
	Groups         uint32
	// Copies is how many replicas a group of lines has; 0 is placement.Factor.
	ReplicationFactor uint32
	MaxControls       int
	Replica           replica.Settings
	// StateMachine is what the operator calls this machine; it may be empty.
	Machine string
	// JoinExisting tells that the fleet has started before: with an empty disk, this node
	// joins it and never founds another.
	JoinExisting bool
	// AutoEnrol lets live stores into the store list, and lost ones out of it, without
	// an operator's command.
	AutoEnrol bool
	// RunnerSource gives the list of runners; nil reads the list that the config names.
	RunnerSource RunnerSource
}

// Node is a running control node.
type Node struct {
	settings     Settings
	network      link.Network
	client       *link.Client
	host         *replica.Host
	stateMachine *feedStateMachine
	server       *link.Server
	seeds        atomic.Pointer[[]string]
	startedAt    time.Time

	mutex         sync.Mutex
	liveness      map[string]nodeLiveness
	syncedNumbers map[string]uint64
	contact       quorumContact
	// savedControls is where the control nodes were when this one last noted it on its disk.
	savedControls []feed.Member
	syncedChanged chan struct{} // closed and replaced whenever acked grows

	context   context.Context
	stop      context.CancelFunc
	tasks     sync.WaitGroup
	discovery runnerDiscovery
	// runnersReading is the last list whose content this node put in force; nil before any.
	runnersReading atomic.Pointer[runnersReading]
	decodedConfig  atomic.Pointer[decodedConfig]
	// views and viewsWithoutRequests pack the newest view for all who ask, viewsWithoutRequests without the
	// orders, which fronts don't need.
	views                wire.PackedViewCache
	viewsWithoutRequests wire.PackedViewCache
	// configRoster is the source that is used if none is given.
	configRunners   configRunnerSource
	confirmations   confirmationBatch
	gossiping       sync.Map // addresses of control nodes that are being told sessions
	gossipCount     int
	lastLiveMembers atomic.Pointer[liveMembers]
}

// Start opens the data folder and runs a control node until Close.
//
//	node, err := controlplane.Start(settings, folder, link.TCP{})
//	defer node.Close()
func Start(settings Settings, folder vfs.Directory, network link.Network) (*Node, error) {
	durable, records, err := durablelog.Open(folder, feed.RoleControl)
	if err != nil {
		return nil, err
	}
	node := &Node{
		settings: settings, network: network, client: link.NewClient(network), stateMachine: newFeedStateMachine(), startedAt: time.Now(),
		liveness: map[string]nodeLiveness{}, syncedNumbers: map[string]uint64{}, syncedChanged: make(chan struct{}), configRunners: newConfigRunnerSource(network),
	}
	node.SetSeeds(settings.Seeds)
	node.context, node.stop = context.WithCancel(context.Background())
	courier := replica.NewTransport(node.client, node.addressOf, func() string { return node.View().Fleet })
	node.host, err = replica.Open(settings.Replica, durable, records, func(uint32) replica.StateMachine { return node.stateMachine }, courier)
	if err != nil {
		return nil, err
	}
	if data := node.host.StoredValue(controlAddressesKey); data != nil {
		var noted feed.View
		if err := wire.Decode(schema.View_TypeID, data, &noted); err != nil {
			node.host.Close()
			return nil, apierror.New(apierror.Damaged, "the noted control nodes cannot be read: "+err.Error(), "run the version of the program that wrote them")
		}
		node.savedControls = noted.Controls
	}
	listener, err := network.Listen(settings.Address)
	if err != nil {
		node.host.Close()
		return nil, apierror.New(apierror.BadSettings, "cannot listen on "+settings.Address+": "+err.Error(), "use an address of this machine that is free")
	}
	node.server = link.Serve(listener, node.Handle)
	every := func(interval time.Duration, task func()) func() time.Duration {
		return func() time.Duration { task(); return interval }
	}
	for _, task := range []func() time.Duration{every(foundingInterval, node.bootstrapFleet), every(gossipInterval, node.gossip), node.reconcileFleet, node.runRoleLeases, every(gossipInterval, node.recordQuorumContact), every(reconcileInterval, node.finishDecommissions)} {
		node.tasks.Go(func() { node.runPeriodically(task) })
	}
	log.WithFields(log.Fields{"node": node.Name(), "address": settings.Address}).Info("control_started")
	return node, nil
}

// runPeriodically does a task until the node stops; the task tells when it is due again.
func (node *Node) runPeriodically(task func() time.Duration) {
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-node.context.Done():
			return
		case <-tick.C:
			tick.Reset(task())
		}
	}
}

// SetSeeds replaces the seed addresses, as SIGHUP does.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) {
	seeds = slices.Clone(seeds)
	node.seeds.Store(&seeds)
}

// Name is the identity of the node's disk.
//
//	name := node.Name()
func (node *Node) Name() string { return node.host.Name() }

// View gives the newest view this replica has applied.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.stateMachine.state().view }

// IsLeader tells whether this node leads the control group.
//
//	if node.IsLeader() { ... }
func (node *Node) IsLeader() bool { return node.host.Statuses()[controlGroup].Leading }

// Ready tells whether the control group has a leader that this node knows.
//
//	if node.Ready() { ... }
func (node *Node) Ready() bool { return node.host.Statuses()[controlGroup].Leader != "" }

// Close stops the node at once; what is not synced may be lost.
//
//	node.Close()
func (node *Node) Close() {
	node.stop()
	node.server.Close()
	node.client.Close()
	node.tasks.Wait()
	node.host.Close()
}

// Drain gives up leadership before a stop.
//
//	node.Drain()
func (node *Node) Drain() { node.host.TransferAllLeaderships() }

func (node *Node) self() feed.Member {
	return feed.Member{Name: node.Name(), Role: feed.RoleControl, Address: node.settings.Address, Domain: node.settings.Domain, Administration: node.settings.Administration, Machine: node.settings.Machine}
}

func (node *Node) addressOf(name string) string {
	node.mutex.Lock()
	entry, found := node.liveness[name]
	node.mutex.Unlock()
	if found && entry.member.Address != "" {
		return entry.member.Address
	}
	return node.View().AddressOf(name)
}
