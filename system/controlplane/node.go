package controlplane

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
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

type nodeLiveness struct {
	member     feed.Member
	firstHeard time.Time // when it was first heard of
	lastHeard  time.Time
	direct     bool
}

// Node is a running control node.
type Node struct {
	settings     Settings
	network      link.Network
	caller       *link.Client
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
		settings: settings, network: network, caller: link.NewClient(network), stateMachine: newFeedStateMachine(), startedAt: time.Now(),
		liveness: map[string]nodeLiveness{}, syncedNumbers: map[string]uint64{}, syncedChanged: make(chan struct{}), configRunners: newConfigRunnerSource(network),
	}
	node.SetSeeds(settings.Seeds)
	node.context, node.stop = context.WithCancel(context.Background())
	courier := replica.NewTransport(node.caller, node.addressOf, func() string { return node.View().Fleet })
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
	node.caller.Close()
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

var queryHandlers = map[schema.Query_Which]func(*Node, context.Context, *wire.Query) (*wire.Reply, error){
	schema.Query_Which_status:    (*Node).handleStatus,
	schema.Query_Which_agreement: (*Node).handleRaft,
	schema.Query_Which_follow:    (*Node).handleFollow,
	schema.Query_Which_sessions:  (*Node).handleGossip,
	schema.Query_Which_change:    (*Node).handleChange,
}

// anyFleetQueries queries are taken whatever fleet the asker names: replicas know each
// other by their disks, and a fleet that recovers changes its name back.
var anyFleetQueries = map[schema.Query_Which]bool{schema.Query_Which_status: true, schema.Query_Which_agreement: true, schema.Query_Which_sessions: true}

// Handle answers one query of another process.
//
//	reply := node.Handle(ctx, query)
func (node *Node) Handle(ctx context.Context, query *wire.Query) *wire.Reply {
	handler, known := queryHandlers[query.Which]
	if !known {
		return wire.ErrorReply(apierror.New(apierror.Invalid, "a control node does not answer this query", "ask a store node"))
	}
	if fleet := node.View().Fleet; !anyFleetQueries[query.Which] && query.Fleet != "" && fleet != "" && query.Fleet != fleet {
		node.noteForeignStore(query)
		if node.View().BoundFleet() == "" {
			// This control plane may have lost its disks, and yet find that it is the one
			// of the asking process's fleet.
			return wire.ErrorReply(noQuorumError())
		}
		return wire.ErrorReply(apierror.New(apierror.ForeignFleet, "the asking process belongs to fleet "+query.Fleet+", this one to "+fleet, "correct its seeds, or empty its data folder so that it joins this fleet"))
	}
	if rejection := query.MisdirectedReply(node.Name()); rejection != nil {
		return rejection
	}
	reply, err := handler(node, ctx, query)
	if err != nil {
		return wire.ErrorReply(err)
	}
	return reply
}

// noteForeignStore keeps the session of a store that names another fleet, while this one
// has no store list: it may hold what this control plane has lost.
func (node *Node) noteForeignStore(query *wire.Query) {
	if query.Follow != nil && !query.Follow.SessionOnly && len(node.View().Stores) == 0 && query.Follow.Member.Role == feed.RoleStore {
		node.recordHeard(query.Follow.Member, 0, true)
	}
}

func (node *Node) isEmpty() bool { return node.host.Statuses()[controlGroup].LastIndex == 0 }

func (node *Node) handleStatus(_ context.Context, _ *wire.Query) (*wire.Reply, error) {
	view := node.View()
	return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{
		Name: node.Name(), Role: feed.RoleControl, Address: node.settings.Address, Domain: node.settings.Domain, Uninitialized: node.isEmpty(),
		Fleet: view.Fleet, ViewNumber: view.Number, Leader: node.host.Statuses()[controlGroup].Leader, Controls: view.Controls, Founding: view.Founding,
	}}, nil
}

func (node *Node) handleRaft(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	node.host.Receive(link.ConnectionContext(ctx), query.Raft.Messages)
	return &wire.Reply{}, nil
}

// found founds the fleet when all seeds answer and all are empty, unless it has started
// before, or takes its part when another seed has founded it with this disk's name in it.
func (node *Node) bootstrapFleet() {
	if !node.isEmpty() || !slices.Contains(*node.seeds.Load(), node.settings.Address) {
		return
	}
	statuses := []*wire.StatusReply{}
	for _, seed := range *node.seeds.Load() {
		ctx, cancel := context.WithTimeout(node.context, callTimeout)
		reply, err := node.caller.Call(ctx, seed, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
		cancel()
		if err != nil || reply.Status == nil {
			continue
		}
		if !reply.Status.Uninitialized && slices.Contains(reply.Status.Founding, node.Name()) {
			node.bootstrapFleetWith(bootstrapView(reply.Status.Founding, reply.Status.Controls, node.settings))
			return
		}
		if reply.Status.Role == feed.RoleControl && reply.Status.Uninitialized {
			statuses = append(statuses, reply.Status)
		}
	}
	if node.settings.JoinExisting || len(statuses) != len(*node.seeds.Load()) {
		return
	}
	members, names := []feed.Member{}, []string{}
	for _, status := range statuses {
		if slices.Contains(names, status.Name) {
			return
		}
		names = append(names, status.Name)
		members = append(members, feed.Member{Name: status.Name, Role: feed.RoleControl, Address: status.Address, Domain: status.Domain})
	}
	node.bootstrapFleetWith(bootstrapView(names, members, node.settings))
}

// bootstrapView is the same on every founder.
func bootstrapView(names []string, members []feed.Member, settings Settings) feed.View {
	names = slices.Sorted(slices.Values(names))
	members = slices.Clone(members)
	slices.SortFunc(members, func(left, right feed.Member) int { return strings.Compare(left.Name, right.Name) })
	sum := sha256.Sum256([]byte(strings.Join(names, " ")))
	return feed.View{Fleet: hex.EncodeToString(sum[:8]), Number: 1, Controls: members, Groups: settings.Groups, Replicas: settings.ReplicationFactor, Founding: names}
}

func (node *Node) bootstrapFleetWith(view feed.View) {
	node.host.Bootstrap(controlGroup, view.Founding, encodeControlSnapshot(&view, feed.History{}))
	log.WithFields(log.Fields{"node": node.Name(), "fleet": view.Fleet}).Info("fleet_founded")
}

// leaderAddress tells where the control leader is; "" if it is here or unknown.
func (node *Node) leaderAddress() string {
	leader := node.host.Statuses()[controlGroup].Leader
	if leader == "" || leader == node.Name() {
		return ""
	}
	return node.addressOf(leader)
}

// forwardToLeader asks the leader to answer what only it can. A query that was passed on
// already goes no further: its sender is told who leads, as far as it is known here, and
// asks there.
func (node *Node) forwardToLeader(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	if query.Forwarded {
		return nil, node.notLeaderError()
	}
	forwarded := *query
	forwarded.Fleet, forwarded.Forwarded = node.View().Fleet, true
	tried := map[string]bool{}
	for address := node.leaderAddress(); address != "" && !tried[address]; {
		tried[address] = true
		reply, err := node.caller.Call(ctx, address, &forwarded)
		if !apierror.Is(err, apierror.NotLeader) {
			return reply, err
		}
		address = node.addressOf(apierror.Of(err).Leader)
	}
	return nil, noQuorumError()
}

// notLeaderError points to the leader that this node knows of, if any.
func (node *Node) notLeaderError() error {
	leader := node.host.Statuses()[controlGroup].Leader
	if leader == node.Name() {
		leader = ""
	}
	return &apierror.Error{Kind: apierror.NotLeader, Message: "this control node does not lead", Remedy: "ask the leader that is named, or another control node", Leader: leader, RetryAfter: attemptPause}
}

func noQuorumError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "the control plane has no leader with a quorum now", "ask again in a second; if it stays, start the missing control nodes", time.Second)
}

func (node *Node) recordHeard(member feed.Member, age time.Duration, direct bool) {
	if member.Name == "" {
		return
	}
	heardAt := time.Now().Add(-age)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	entry, found := node.liveness[member.Name]
	if !found {
		entry.firstHeard = heardAt
	}
	if !found || heardAt.After(entry.lastHeard) {
		node.liveness[member.Name] = nodeLiveness{member: member, firstHeard: entry.firstHeard, lastHeard: heardAt, direct: direct}
	}
}

// LiveMembers gives the members whose sessions stand, by name; of those that were heard at one
// address one after another, the last.
//
//	for _, member := range node.LiveMembers() { ... }
func (node *Node) LiveMembers() []feed.Member {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	live := []feed.Member{node.self()}
	for name, entry := range node.liveness {
		switch age := time.Since(entry.lastHeard); {
		case age > 10*livenessTimeout:
			delete(node.liveness, name)
		case age < livenessTimeout && name != node.Name():
			live = append(live, entry.member)
		}
	}
	livenessOf := func(member feed.Member) nodeLiveness {
		if member.Name == node.Name() {
			return nodeLiveness{firstHeard: node.startedAt, lastHeard: time.Now()}
		}
		return node.liveness[member.Name]
	}
	slices.SortFunc(live, func(left, right feed.Member) int {
		return cmp.Or(strings.Compare(left.Address, right.Address), strings.Compare(left.Role, right.Role), livenessOf(left).firstHeard.Compare(livenessOf(right).firstHeard))
	})
	next := 0
	live = slices.DeleteFunc(live, func(member feed.Member) bool {
		next++
		return next < len(live) && live[next].Address == member.Address && live[next].Role == member.Role && livenessOf(live[next]).firstHeard.After(livenessOf(member).lastHeard)
	})
	slices.SortFunc(live, func(left, right feed.Member) int { return strings.Compare(left.Name, right.Name) })
	return live
}

func (node *Node) handleGossip(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	for _, note := range query.MemberSessions.Sessions {
		node.recordHeard(note.Member, note.Age, false)
	}
	return &wire.Reply{}, nil
}

// gossip tells the other control nodes the sessions that this one holds, its own
// among them. A control node that is no member yet tells the members.
func (node *Node) gossip() {
	notes := []wire.MemberSession{{Member: node.self()}}
	node.mutex.Lock()
	for _, entry := range node.liveness {
		if age := time.Since(entry.lastHeard); entry.direct && age < livenessTimeout {
			notes = append(notes, wire.MemberSession{Member: entry.member, Age: age})
		}
	}
	node.mutex.Unlock()
	batch := &wire.MemberSessionBatch{From: node.Name(), Sessions: notes}
	targets := map[string]bool{}
	for _, member := range node.View().Controls {
		targets[member.Address] = true
	}
	for _, member := range node.LiveMembers() {
		if member.Role == feed.RoleControl {
			targets[member.Address] = true
		}
	}
	// Until it has heard from a leader, what this node has applied may be as old as its
	// last checkpoint, with machines in it that are long gone.
	if len(node.View().Controls) == 0 || !node.Ready() {
		for _, address := range node.discoverControls() {
			targets[address] = true
		}
	}
	delete(targets, node.settings.Address)
	node.gossipCount++
	wantReply := node.gossipCount%gossipsPerCall == 0
	query := &wire.Query{Fleet: node.View().Fleet, Which: schema.Query_Which_sessions, MemberSessions: batch}
	for address := range targets {
		if _, sending := node.gossiping.LoadOrStore(address, true); sending {
			continue // it is not there, or slow
		}
		go func() {
			defer node.gossiping.Delete(address)
			node.sendGossip(address, *query, wantReply)
		}()
	}
	node.saveControlAddresses()
}

// sendGossip sends sessions to a control node; now and then it looks whether that node answers.
func (node *Node) sendGossip(address string, query wire.Query, wantReply bool) {
	ctx, cancel := context.WithTimeout(node.context, gossipInterval)
	defer cancel()
	if !wantReply {
		node.caller.Notify(ctx, address, &query)
	} else if _, err := node.caller.Call(ctx, address, &query); err != nil && ctx.Err() != nil {
		node.caller.Drop(address)
	}
}

// saveControlAddresses keeps on disk where the control nodes are, so that they find each other
// when all start again, whatever their seeds say.
func (node *Node) saveControlAddresses() {
	view := node.View()
	if !node.Ready() || len(view.Controls) == 0 || slices.Equal(view.Controls, node.savedControls) {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	if err := node.host.StoreValue(ctx, controlAddressesKey, wire.MustEncode(schema.View_TypeID, &feed.View{Controls: view.Controls})); err == nil {
		node.savedControls = view.Controls
	}
}

// discoverControls lists where control nodes may be: as noted on disk, and as the seeds
// tell.
func (node *Node) discoverControls() []string {
	addresses := []string{}
	for _, member := range node.savedControls {
		addresses = append(addresses, member.Address)
	}
	for _, seed := range *node.seeds.Load() {
		ctx, cancel := context.WithTimeout(node.context, gossipInterval)
		reply, err := node.caller.Call(ctx, seed, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
		cancel()
		if err != nil || reply.Status == nil {
			continue
		}
		if reply.Status.Role == feed.RoleControl {
			addresses = append(addresses, reply.Status.Address)
		}
		for _, member := range reply.Status.Controls {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
