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
	"yardrock.example/system/files"
	"yardrock.example/system/link"
	"yardrock.example/system/replica"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	sessionTimeout = 3 * time.Second
	// lostTimeout is how long a node may be silent before it is no longer waited for;
	// silenceTimeout, if another is ready to take its place. One that is given up and
	// comes back is taken in again, so the shorter time risks copying for nothing only.
	lostTimeout    = 10 * time.Second
	silenceTimeout = 2 * time.Second
	// doubtTimeout is how long a voter may be silent while another becomes one.
	doubtTimeout   = 1200 * time.Millisecond
	fewestControls = 3
	gossipInterval = 500 * time.Millisecond
	gossipLook     = 4 // one gossip of so many wants an answer
	steerInterval  = 300 * time.Millisecond
	busyInterval   = 50 * time.Millisecond // while the fleet is being steered
	// foundingSettle is how long no other store may have come before the list is made.
	foundingSettle   = 700 * time.Millisecond
	foundingInterval = 500 * time.Millisecond
	callTimeout      = 2 * time.Second
	// controlsPin is the number under which the disk keeps where the control nodes are.
	controlsPin = 1 << 31
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
	Copies       uint32
	MostControls int
	Replica      replica.Settings
	// StateMachine is what the operator calls this machine; it may be empty.
	Machine string
	// Joins tells that the fleet has started before: with an empty disk, this node
	// joins it and never founds another.
	Joins bool
	// AutoEnrol lets live stores into the store list, and lost ones out of it, without
	// an operator's command.
	AutoEnrol bool
	// Roster gives the list of runners; nil reads the list that the config names.
	Roster RosterSource
}

type session struct {
	member feed.Member
	since  time.Time // when it was first heard of
	heard  time.Time
	direct bool
}

// Node is a running control node.
type Node struct {
	settings Settings
	network  link.Network
	caller   *link.Caller
	host     *replica.Host
	machine  *feedMachine
	server   *link.Server
	seeds    atomic.Pointer[[]string]
	began    time.Time

	mutex    sync.Mutex
	sessions map[string]session
	acked    map[string]uint64
	contact  contact
	// controls is where the control nodes were when this one last noted it on its disk.
	controls []feed.Member
	changed  chan struct{} // closed and replaced whenever acked grows

	context context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	roster  rosterState
	// rosterReading is the last list whose content this node put in force; nil before any.
	rosterReading atomic.Pointer[rosterReading]
	decoded       atomic.Pointer[decodedConfig]
	// views and bareViews pack the newest view for all who ask, bareViews without the
	// orders, which fronts don't need.
	views     wire.ViewPacker
	bareViews wire.ViewPacker
	// configRoster is the source that is used if none is given.
	configRoster  configRoster
	confirmations confirmations
	telling       sync.Map // addresses of control nodes that are being told sessions
	gossips       int
	listed        atomic.Pointer[liveList]
}

// Start opens the data folder and runs a control node until Close.
//
//	node, err := controlplane.Start(settings, folder, link.TCP{})
//	defer node.Close()
func Start(settings Settings, folder files.Directory, network link.Network) (*Node, error) {
	durable, records, err := durablelog.Open(folder, feed.RoleControl)
	if err != nil {
		return nil, err
	}
	node := &Node{
		settings: settings, network: network, caller: link.NewCaller(network), machine: newFeedMachine(), began: time.Now(),
		sessions: map[string]session{}, acked: map[string]uint64{}, changed: make(chan struct{}), configRoster: newConfigRoster(network),
	}
	node.SetSeeds(settings.Seeds)
	node.context, node.stop = context.WithCancel(context.Background())
	courier := replica.NewTransport(node.caller, node.addressOf, func() string { return node.View().Fleet })
	node.host, err = replica.Open(settings.Replica, durable, records, func(uint32) replica.StateMachine { return node.machine }, courier)
	if err != nil {
		return nil, err
	}
	if data := node.host.StoredValue(controlsPin); data != nil {
		var noted feed.View
		if err := wire.Decode(schema.View_TypeID, data, &noted); err != nil {
			node.host.Close()
			return nil, apierror.New(apierror.Damaged, "the noted control nodes cannot be read: "+err.Error(), "run the version of the program that wrote them")
		}
		node.controls = noted.Controls
	}
	listener, err := network.Listen(settings.Address)
	if err != nil {
		node.host.Close()
		return nil, apierror.New(apierror.BadSettings, "cannot listen on "+settings.Address+": "+err.Error(), "use an address of this machine that is free")
	}
	node.server = link.Serve(listener, node.Answer)
	every := func(interval time.Duration, task func()) func() time.Duration {
		return func() time.Duration { task(); return interval }
	}
	for _, task := range []func() time.Duration{every(foundingInterval, node.found), every(gossipInterval, node.gossip), node.steer, node.runAssignments, every(gossipInterval, node.noteContact), every(steerInterval, node.finishRetiring)} {
		node.tasks.Go(func() { node.repeat(task) })
	}
	log.WithFields(log.Fields{"node": node.Name(), "address": settings.Address}).Info("control_started")
	return node, nil
}

// repeat does a task until the node stops; the task tells when it is due again.
func (node *Node) repeat(task func() time.Duration) {
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
func (node *Node) View() *feed.View { return node.machine.state().view }

// Leading tells whether this node leads the control group.
//
//	if node.Leading() { ... }
func (node *Node) Leading() bool { return node.host.Statuses()[controlGroup].Leading }

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
	known, found := node.sessions[name]
	node.mutex.Unlock()
	if found && known.member.Address != "" {
		return known.member.Address
	}
	return node.View().AddressOf(name)
}

var answers = map[schema.Query_Which]func(*Node, context.Context, *wire.Query) (*wire.Reply, error){
	schema.Query_Which_status:    (*Node).answerStatus,
	schema.Query_Which_agreement: (*Node).answerAgreement,
	schema.Query_Which_follow:    (*Node).answerFollow,
	schema.Query_Which_sessions:  (*Node).answerSessions,
	schema.Query_Which_change:    (*Node).answerChange,
}

// fleetless queries are taken whatever fleet the asker names: replicas know each
// other by their disks, and a fleet that recovers changes its name back.
var fleetless = map[schema.Query_Which]bool{schema.Query_Which_status: true, schema.Query_Which_agreement: true, schema.Query_Which_sessions: true}

// Answer answers one query of another process.
//
//	reply := node.Answer(ctx, query)
func (node *Node) Answer(ctx context.Context, query *wire.Query) *wire.Reply {
	answer, known := answers[query.Which]
	if !known {
		return wire.Failed(apierror.New(apierror.Invalid, "a control node does not answer this query", "ask a store node"))
	}
	if fleet := node.View().Fleet; !fleetless[query.Which] && query.Fleet != "" && fleet != "" && query.Fleet != fleet {
		node.noteLost(query)
		if node.View().Bound() == "" {
			// This control plane may have lost its disks, and yet find that it is the one
			// of the asking process's fleet.
			return wire.Failed(noQuorum())
		}
		return wire.Failed(apierror.New(apierror.ForeignFleet, "the asking process belongs to fleet "+query.Fleet+", this one to "+fleet, "correct its seeds, or empty its data folder so that it joins this fleet"))
	}
	if refusal := query.Misaddressed(node.Name()); refusal != nil {
		return refusal
	}
	reply, err := answer(node, ctx, query)
	if err != nil {
		return wire.Failed(err)
	}
	return reply
}

// noteLost keeps the session of a store that names another fleet, while this one
// has no store list: it may hold what this control plane has lost.
func (node *Node) noteLost(query *wire.Query) {
	if query.Follow != nil && !query.Follow.SessionOnly && len(node.View().Stores) == 0 && query.Follow.Member.Role == feed.RoleStore {
		node.renew(query.Follow.Member, 0, true)
	}
}

func (node *Node) empty() bool { return node.host.Statuses()[controlGroup].LastIndex == 0 }

func (node *Node) answerStatus(_ context.Context, _ *wire.Query) (*wire.Reply, error) {
	view := node.View()
	return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{
		Name: node.Name(), Role: feed.RoleControl, Address: node.settings.Address, Domain: node.settings.Domain, Empty: node.empty(),
		Fleet: view.Fleet, Number: view.Number, Leader: node.host.Statuses()[controlGroup].Leader, Controls: view.Controls, Founding: view.Founding,
	}}, nil
}

func (node *Node) answerAgreement(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	node.host.Receive(link.Connection(ctx), query.Agreement.Messages)
	return &wire.Reply{}, nil
}

// found founds the fleet when all seeds answer and all are empty, unless it has started
// before, or takes its part when another seed has founded it with this disk's name in it.
func (node *Node) found() {
	if !node.empty() || !slices.Contains(*node.seeds.Load(), node.settings.Address) {
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
		if !reply.Status.Empty && slices.Contains(reply.Status.Founding, node.Name()) {
			node.foundWith(foundingView(reply.Status.Founding, reply.Status.Controls, node.settings))
			return
		}
		if reply.Status.Role == feed.RoleControl && reply.Status.Empty {
			statuses = append(statuses, reply.Status)
		}
	}
	if node.settings.Joins || len(statuses) != len(*node.seeds.Load()) {
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
	node.foundWith(foundingView(names, members, node.settings))
}

// foundingView is the same on every founder.
func foundingView(names []string, members []feed.Member, settings Settings) feed.View {
	names = slices.Sorted(slices.Values(names))
	members = slices.Clone(members)
	slices.SortFunc(members, func(left, right feed.Member) int { return strings.Compare(left.Name, right.Name) })
	sum := sha256.Sum256([]byte(strings.Join(names, " ")))
	return feed.View{Fleet: hex.EncodeToString(sum[:8]), Number: 1, Controls: members, Groups: settings.Groups, Copies: settings.Copies, Founding: names}
}

func (node *Node) foundWith(view feed.View) {
	node.host.Bootstrap(controlGroup, view.Founding, controlImage(&view, feed.History{}))
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

// viaLeader asks the leader to answer what only it can. A query that was passed on
// already goes no further: its sender is told who leads, as far as it is known here, and
// asks there.
func (node *Node) viaLeader(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	if query.Forwarded {
		return nil, node.notLeader()
	}
	forwarded := *query
	forwarded.Fleet, forwarded.Forwarded = node.View().Fleet, true
	asked := map[string]bool{}
	for address := node.leaderAddress(); address != "" && !asked[address]; {
		asked[address] = true
		reply, err := node.caller.Call(ctx, address, &forwarded)
		if !apierror.Is(err, apierror.NotLeader) {
			return reply, err
		}
		address = node.addressOf(apierror.Of(err).Leader)
	}
	return nil, noQuorum()
}

// notLeader points to the leader that this node knows of, if any.
func (node *Node) notLeader() error {
	leader := node.host.Statuses()[controlGroup].Leader
	if leader == node.Name() {
		leader = ""
	}
	return &apierror.Error{Kind: apierror.NotLeader, Message: "this control node does not lead", Remedy: "ask the leader that is named, or another control node", Leader: leader, RetryAfter: attemptPause}
}

func noQuorum() error {
	return apierror.Later(apierror.NoQuorum, "the control plane has no leader with a quorum now", "ask again in a second; if it stays, start the missing control nodes", time.Second)
}

func (node *Node) renew(member feed.Member, age time.Duration, direct bool) {
	if member.Name == "" {
		return
	}
	heard := time.Now().Add(-age)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	known, found := node.sessions[member.Name]
	if !found {
		known.since = heard
	}
	if !found || heard.After(known.heard) {
		node.sessions[member.Name] = session{member: member, since: known.since, heard: heard, direct: direct}
	}
}

// Live gives the members whose sessions stand, by name; of those that were heard at one
// address one after another, the last.
//
//	for _, member := range node.Live() { ... }
func (node *Node) Live() []feed.Member {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	live := []feed.Member{node.self()}
	for name, known := range node.sessions {
		switch age := time.Since(known.heard); {
		case age > 10*sessionTimeout:
			delete(node.sessions, name)
		case age < sessionTimeout && name != node.Name():
			live = append(live, known.member)
		}
	}
	span := func(member feed.Member) session {
		if member.Name == node.Name() {
			return session{since: node.began, heard: time.Now()}
		}
		return node.sessions[member.Name]
	}
	slices.SortFunc(live, func(left, right feed.Member) int {
		return cmp.Or(strings.Compare(left.Address, right.Address), strings.Compare(left.Role, right.Role), span(left).since.Compare(span(right).since))
	})
	next := 0
	live = slices.DeleteFunc(live, func(member feed.Member) bool {
		next++
		return next < len(live) && live[next].Address == member.Address && live[next].Role == member.Role && span(live[next]).since.After(span(member).heard)
	})
	slices.SortFunc(live, func(left, right feed.Member) int { return strings.Compare(left.Name, right.Name) })
	return live
}

func (node *Node) answerSessions(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	for _, note := range query.Sessions.Sessions {
		node.renew(note.Member, note.Age, false)
	}
	return &wire.Reply{}, nil
}

// gossip tells the other control nodes the sessions that this one holds, its own
// among them. A control node that is no member yet tells the members.
func (node *Node) gossip() {
	notes := []wire.SessionNote{{Member: node.self()}}
	node.mutex.Lock()
	for _, known := range node.sessions {
		if age := time.Since(known.heard); known.direct && age < sessionTimeout {
			notes = append(notes, wire.SessionNote{Member: known.member, Age: age})
		}
	}
	node.mutex.Unlock()
	batch := &wire.SessionBatch{From: node.Name(), Sessions: notes}
	targets := map[string]bool{}
	for _, member := range node.View().Controls {
		targets[member.Address] = true
	}
	for _, member := range node.Live() {
		if member.Role == feed.RoleControl {
			targets[member.Address] = true
		}
	}
	// Until it has heard from a leader, what this node has applied may be as old as its
	// last checkpoint, with machines in it that are long gone.
	if len(node.View().Controls) == 0 || !node.Ready() {
		for _, address := range node.knownControls() {
			targets[address] = true
		}
	}
	delete(targets, node.settings.Address)
	node.gossips++
	look := node.gossips%gossipLook == 0
	query := &wire.Query{Fleet: node.View().Fleet, Which: schema.Query_Which_sessions, Sessions: batch}
	for address := range targets {
		if _, telling := node.telling.LoadOrStore(address, true); telling {
			continue // it is not there, or slow
		}
		go func() {
			defer node.telling.Delete(address)
			node.tell(address, *query, look)
		}()
	}
	node.noteControls()
}

// tell sends sessions to a control node; now and then it looks whether that node answers.
func (node *Node) tell(address string, query wire.Query, look bool) {
	ctx, cancel := context.WithTimeout(node.context, gossipInterval)
	defer cancel()
	if !look {
		node.caller.Tell(ctx, address, &query)
	} else if _, err := node.caller.Call(ctx, address, &query); err != nil && ctx.Err() != nil {
		node.caller.Drop(address)
	}
}

// noteControls keeps on disk where the control nodes are, so that they find each other
// when all start again, whatever their seeds say.
func (node *Node) noteControls() {
	view := node.View()
	if !node.Ready() || len(view.Controls) == 0 || slices.Equal(view.Controls, node.controls) {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, callTimeout)
	defer cancel()
	if err := node.host.StoreValue(ctx, controlsPin, wire.MustEncode(schema.View_TypeID, &feed.View{Controls: view.Controls})); err == nil {
		node.controls = view.Controls
	}
}

// knownControls lists where control nodes may be: as noted on disk, and as the seeds
// tell.
func (node *Node) knownControls() []string {
	found := []string{}
	for _, member := range node.controls {
		found = append(found, member.Address)
	}
	for _, seed := range *node.seeds.Load() {
		ctx, cancel := context.WithTimeout(node.context, gossipInterval)
		reply, err := node.caller.Call(ctx, seed, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
		cancel()
		if err != nil || reply.Status == nil {
			continue
		}
		if reply.Status.Role == feed.RoleControl {
			found = append(found, reply.Status.Address)
		}
		for _, member := range reply.Status.Controls {
			found = append(found, member.Address)
		}
	}
	return found
}
