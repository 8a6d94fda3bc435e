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

// callTimeout bounds a call to another node.
const callTimeout = 2 * time.Second

// Settings configure a control node.
type Settings struct {
	// Address is the host and port on which the node listens for other nodes.
	Address string
	// AdminAddress is the host and port on which the admin API listens.
	AdminAddress string
	// Domain is the failure domain of the node.
	Domain string
	// Seeds are the addresses, host and port, used to discover control nodes. SetSeeds replaces
	// them. The nodes at the seeds bootstrap a new fleet.
	Seeds []string
	// FoundingStores is how many stores must be live before the first store list is created.
	FoundingStores int
	// Groups is the number of session log groups of a fleet that this node bootstraps.
	Groups uint32
	// ReplicationFactor is the number of replicas of each group in a fleet that this node
	// bootstraps; 0 means placement.DefaultReplicas.
	ReplicationFactor uint32
	// MaxControls is the maximum number of members, voters and learners, of the control group.
	// Lost voters do not count. Further live control nodes remain spares.
	MaxControls int
	// Replica configures the Raft host.
	Replica replica.Settings
	// Machine is the operator's name for the machine that the node runs on; it may be empty.
	Machine string
	// JoinExisting states that the fleet already exists: a node with an empty disk joins it and
	// never bootstraps another.
	JoinExisting bool
	// AutoEnrol makes the control leader add live stores to the store list and remove lost ones
	// without an admin request.
	AutoEnrol bool
	// RunnerSource provides the runner list. If it is nil, the list is read from the address in
	// the config's platform.runner_list.
	RunnerSource RunnerSource
}

// Node is a running control node. Its exported methods may be called concurrently.
type Node struct {
	settings     Settings
	network      link.Network
	client       *link.Client
	host         *replica.Host
	stateMachine *feedStateMachine
	server       *link.Server
	seeds        atomic.Pointer[[]string]
	startedAt    time.Time

	// context is cancelled when the node is closed, which ends the periodic tasks.
	context context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	// mutex guards the fields up to the next blank line.
	mutex    sync.Mutex
	liveness map[string]nodeLiveness // by name
	// syncedNumbers is the highest feed number that each store is known to have synced, by
	// store name. syncedChanged is closed and replaced when one of them increases.
	syncedNumbers map[string]uint64
	syncedChanged chan struct{}
	contact       quorumContact

	// Used only by the gossip task: the control nodes as stored on disk, and the number of
	// gossip rounds.
	savedControls []feed.Member
	gossipCount   int
	// Used only by the role lease task.
	discovery     runnerDiscovery
	configRunners configRunnerSource // used if Settings.RunnerSource is nil

	// publishedRunnerList describes the last list that this node published; nil if none.
	publishedRunnerList atomic.Pointer[publishedRunnerList]
	decodedConfig       atomic.Pointer[decodedConfig]
	lastMemberList      atomic.Pointer[memberList]
	// views and viewsWithoutRequests cache the packed newest view for all followers. Fronts get
	// it without the request histories, which they do not need.
	views                wire.PackedViewCache
	viewsWithoutRequests wire.PackedViewCache
	confirmations        confirmationBatch
	// gossiping is the set of addresses to which a gossip message is in flight.
	gossiping sync.Map
}

// Start opens the data directory and runs a control node until Close. It fails with a Damaged
// error if the directory cannot be read and with BadSettings if the node cannot listen on its
// address. On an error it leaves nothing running.
//
//	node, err := controlplane.Start(settings, directory, link.TCP{})
//	defer node.Close()
func Start(settings Settings, directory vfs.Directory, network link.Network) (*Node, error) {
	durable, records, err := durablelog.Open(directory, feed.RoleControl)
	if err != nil {
		return nil, err
	}
	node := newNode(settings, network)
	if err := node.openHost(durable, records); err != nil {
		node.stop()
		node.client.Close()
		return nil, err
	}
	listener, err := network.Listen(settings.Address)
	if err != nil {
		node.stop()
		node.client.Close()
		node.host.Close()
		return nil, apierror.Wrap(err, apierror.BadSettings, "cannot listen on "+settings.Address+": "+err.Error(), "use an address of this machine that is free")
	}
	node.server = link.Serve(listener, node.handle)
	node.startTasks()
	log.WithFields(log.Fields{"node": node.Name(), "address": settings.Address}).Info("control node started")
	return node, nil
}

// newNode returns a node without a Raft host, listener or running tasks.
func newNode(settings Settings, network link.Network) *Node {
	node := &Node{
		settings: settings, network: network, client: link.NewClient(network), stateMachine: newFeedStateMachine(), startedAt: time.Now(),
		liveness: map[string]nodeLiveness{}, syncedNumbers: map[string]uint64{}, syncedChanged: make(chan struct{}), configRunners: newConfigRunnerSource(network),
	}
	node.SetSeeds(settings.Seeds)
	node.context, node.stop = context.WithCancel(context.Background())
	return node
}

// openHost starts the Raft host from the durable log, which the host then owns, and loads the
// stored addresses of the control nodes.
func (node *Node) openHost(durable *durablelog.Log, records []durablelog.Record) error {
	transport := replica.NewTransport(node.client, node.addressOf, func() string { return node.View().Fleet })
	host, err := replica.Open(node.settings.Replica, durable, records, func(uint32) replica.StateMachine { return node.stateMachine }, transport)
	if err != nil {
		return err
	}
	if data := host.StoredValue(controlAddressesKey); data != nil {
		var stored feed.View
		if err := wire.Decode(schema.View_TypeID, data, &stored); err != nil {
			host.Close()
			return apierror.Wrap(err, apierror.Damaged, "the stored control nodes cannot be read: "+err.Error(), "run the version of the program that wrote them")
		}
		node.savedControls = stored.Controls
	}
	node.host = host
	return nil
}

// startTasks starts the periodic tasks. They run until the node is closed.
func (node *Node) startTasks() {
	every := func(interval time.Duration, task func()) func() time.Duration {
		return func() time.Duration { task(); return interval }
	}
	for _, task := range []func() time.Duration{
		every(bootstrapInterval, node.bootstrapFleet),
		every(gossipInterval, node.gossip),
		every(gossipInterval, node.recordQuorumContact),
		every(reconcileInterval, node.finishDecommissions),
		node.reconcileFleet,
		node.runRoleLeases,
	} {
		node.tasks.Go(func() { node.runPeriodically(task) })
	}
}

// runPeriodically runs a task repeatedly until the node is closed. The task returns the delay
// before its next run.
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

// SetSeeds replaces the seed addresses while the node runs, as the daemons do on SIGHUP.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) {
	seeds = slices.Clone(seeds)
	node.seeds.Store(&seeds)
}

// Name returns the identity of the node's disk.
//
//	name := node.Name()
func (node *Node) Name() string { return node.host.Name() }

// View returns the newest view that this replica has applied. It may lag behind the newest
// committed one; see confirmedView.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.stateMachine.state().view }

// IsLeader reports whether this node considers itself leader of the control group. A deposed
// leader may still do so; only a commit or a read index proves leadership.
//
//	if node.IsLeader() { ... }
func (node *Node) IsLeader() bool { return node.host.Statuses()[controlGroup].Leading }

// Ready reports whether this node knows a leader of the control group.
//
//	if node.Ready() { ... }
func (node *Node) Ready() bool { return node.host.Statuses()[controlGroup].Leader != "" }

// Close stops the node as a crash would: writes that were not synced may be lost. It returns
// once the periodic tasks have ended.
//
//	node.Close()
func (node *Node) Close() {
	node.stop()
	node.server.Close()
	node.client.Close()
	node.tasks.Wait()
	node.host.Close()
}

// Drain transfers leadership of the control group to another node. Call it before Close.
//
//	node.Drain()
func (node *Node) Drain() { node.host.TransferAllLeaderships() }

// self describes this node as a member of the fleet.
func (node *Node) self() feed.Member {
	return feed.Member{Name: node.Name(), Role: feed.RoleControl, Address: node.settings.Address, Domain: node.settings.Domain, AdminAddress: node.settings.AdminAddress, Machine: node.settings.Machine}
}

// addressOf returns the address at which a node was last heard from, else its address in the
// feed, else an empty string.
func (node *Node) addressOf(name string) string {
	node.mutex.Lock()
	entry, found := node.liveness[name]
	node.mutex.Unlock()
	if found && entry.member.Address != "" {
		return entry.member.Address
	}
	return node.View().AddressOf(name)
}
