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
	// Address is where other nodes reach this one, host and port; the node listens there.
	Address string
	// Administration is where the admin API listens, host and port.
	Administration string
	// Domain is the failure domain that the node runs in.
	Domain string
	// Seeds are the addresses, host and port, at which control nodes are looked for. SetSeeds
	// replaces them. A fleet is founded by the nodes at its seeds.
	Seeds []string
	// FoundingStores is how many stores must be live before the first store list is made.
	FoundingStores int
	// Groups is the number of session log groups of a fleet that this node founds.
	Groups uint32
	// ReplicationFactor is how many replicas a group has in a fleet that this node founds;
	// 0 is placement.DefaultReplicas.
	ReplicationFactor uint32
	// MaxControls is how many members, voters and learners, the control group may have. Lost
	// voters do not count. More live control nodes stay outside as spares.
	MaxControls int
	// Replica configures the Raft host.
	Replica replica.Settings
	// Machine is the operators' name of the machine that the node runs on; it may be empty.
	Machine string
	// JoinExisting says that the fleet has been founded before: with an empty disk the node
	// joins it and never founds another.
	JoinExisting bool
	// AutoEnrol makes the control leader add live stores to the store list and take lost ones
	// out of it without an admin request.
	AutoEnrol bool
	// RunnerSource gives the list of runners. The default, nil, reads the list that the
	// config's platform.runner_list names.
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

	// context ends when the node is closed; tasks are the periodic tasks.
	context context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	// mutex guards the fields up to the next blank line.
	mutex    sync.Mutex
	liveness map[string]nodeLiveness // by name
	// syncedNumbers are the highest numbers of the feed that the stores are known to have
	// synced, by the stores' names. syncedChanged is closed and replaced when one rises.
	syncedNumbers map[string]uint64
	syncedChanged chan struct{}
	contact       quorumContact

	// Of the gossip task alone: the control nodes as they are stored on disk, and the number
	// of gossips sent.
	savedControls []feed.Member
	gossipCount   int
	// Of the role lease task alone.
	discovery     runnerDiscovery
	configRunners configRunnerSource // used if the settings name no source

	// runnersReading is the last list whose content this node put in force; nil if none.
	runnersReading atomic.Pointer[runnersReading]
	decodedConfig  atomic.Pointer[decodedConfig]
	lastMemberList atomic.Pointer[memberList]
	// views and viewsWithoutRequests share the packed newest view between all who ask. Fronts
	// get it without the request histories, which they don't need.
	views                wire.PackedViewCache
	viewsWithoutRequests wire.PackedViewCache
	confirmations        confirmationBatch
	// gossiping has the addresses to which a gossip is in flight.
	gossiping sync.Map
}

// Start opens the data directory and runs a control node until Close. It fails with a
// Damaged error if the directory cannot be read, BadSettings if the address cannot be
// listened on. On an error it leaves nothing running.
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

// newNode makes a node that runs nothing yet.
func newNode(settings Settings, network link.Network) *Node {
	node := &Node{
		settings: settings, network: network, client: link.NewClient(network), stateMachine: newFeedStateMachine(), startedAt: time.Now(),
		liveness: map[string]nodeLiveness{}, syncedNumbers: map[string]uint64{}, syncedChanged: make(chan struct{}), configRunners: newConfigRunnerSource(network),
	}
	node.SetSeeds(settings.Seeds)
	node.context, node.stop = context.WithCancel(context.Background())
	return node
}

// openHost starts the Raft host from what the durable log has, and loads the stored addresses
// of the control nodes. The host owns the log from then on.
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
			return apierror.Wrap(err, apierror.Damaged, "the noted control nodes cannot be read: "+err.Error(), "run the version of the program that wrote them")
		}
		node.savedControls = stored.Controls
	}
	node.host = host
	return nil
}

// startTasks starts the periodic tasks, which run until the node is closed.
func (node *Node) startTasks() {
	every := func(interval time.Duration, task func()) func() time.Duration {
		return func() time.Duration { task(); return interval }
	}
	for _, task := range []func() time.Duration{
		every(foundingInterval, node.bootstrapFleet),
		every(gossipInterval, node.gossip),
		every(gossipInterval, node.recordQuorumContact),
		every(reconcileInterval, node.finishDecommissions),
		node.reconcileFleet,
		node.runRoleLeases,
	} {
		node.tasks.Go(func() { node.runPeriodically(task) })
	}
}

// runPeriodically runs a task until the node is closed. The task returns how long to wait
// before it is run again.
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

// View returns the newest view that this replica has applied. It may be behind the view in
// force; see confirmedView.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.stateMachine.state().view }

// IsLeader reports whether this node believes that it leads the control group. A deposed
// leader may still believe so; only a commit or a read index proves it.
//
//	if node.IsLeader() { ... }
func (node *Node) IsLeader() bool { return node.host.Statuses()[controlGroup].Leading }

// Ready reports whether this node knows a leader of the control group.
//
//	if node.Ready() { ... }
func (node *Node) Ready() bool { return node.host.Statuses()[controlGroup].Leader != "" }

// Close stops the node as a crash would: what was not synced may be lost. It returns once
// its periodic tasks have ended.
//
//	node.Close()
func (node *Node) Close() {
	node.stop()
	node.server.Close()
	node.client.Close()
	node.tasks.Wait()
	node.host.Close()
}

// Drain transfers the leadership of the control group to another node, before a Close.
//
//	node.Drain()
func (node *Node) Drain() { node.host.TransferAllLeaderships() }

// self describes this node as a member of the fleet.
func (node *Node) self() feed.Member {
	return feed.Member{Name: node.Name(), Role: feed.RoleControl, Address: node.settings.Address, Domain: node.settings.Domain, Administration: node.settings.Administration, Machine: node.settings.Machine}
}

// addressOf returns the address of a node: where it was last heard, else as the feed lists
// it, else empty.
func (node *Node) addressOf(name string) string {
	node.mutex.Lock()
	entry, found := node.liveness[name]
	node.mutex.Unlock()
	if found && entry.member.Address != "" {
		return entry.member.Address
	}
	return node.View().AddressOf(name)
}
