// Package store is a store node: it holds replicas of the groups that keep lines
// and tallies, the cold store beside them, and the newest view of the feed.
package store

import (
	"context"
	"slices"
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
	"yardrock.example/system/placement"
	"yardrock.example/system/raft"
	"yardrock.example/system/replica"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/sharedprefix"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
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

// groupStateMachine puts a sessionlog.Machine under the host.
type groupStateMachine struct {
	*sessionlog.StateMachine
	onApplied func(name string)
}

// Apply carries out a committed command.
func (machine *groupStateMachine) Apply(entry raft.Entry) any {
	var command sessionlog.Command
	if err := wire.Decode(schema.Command_TypeID, entry.Data, &command); err != nil {
		return applyResult{sessionlog.Outcome{Status: sessionlog.BadCommand}, machine.View()}
	}
	outcome := machine.StateMachine.Apply(&command)
	machine.onApplied(command.Session)
	return applyResult{outcome, machine.View()}
}

// applied is what a command answered, and the view right after it.
type applyResult struct {
	outcome sessionlog.Outcome
	view    *sessionlog.View
}

// Snapshot gives the checkpoint of what the view holds now.
func (machine *groupStateMachine) Snapshot() func() []byte {
	view := machine.View()
	return func() []byte {
		snapshot := view.Snapshot()
		return wire.MustEncode(schema.LineImage_TypeID, &snapshot)
	}
}

// Restore takes a checkpoint.
func (machine *groupStateMachine) Restore(data []byte) error {
	var snapshot sessionlog.Snapshot
	if err := wire.Decode(schema.LineImage_TypeID, data, &snapshot); err != nil {
		return err
	}
	return machine.StateMachine.Restore(snapshot)
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

func (node *Node) newStateMachine(group uint32) replica.StateMachine {
	machine := &groupStateMachine{StateMachine: sessionlog.NewStateMachine(), onApplied: node.wakeTailReaders}
	node.stateMachines.Store(group, machine)
	return machine
}

func (node *Node) stateMachine(group uint32) *groupStateMachine {
	machine, found := node.stateMachines.Load(group)
	if !found {
		return nil
	}
	return machine.(*groupStateMachine)
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

// addressOf finds a peer: by the store list, or, as groups move off a store that has
// left the list, by the sessions.
func (node *Node) addressOf(name string) string {
	if address := node.view.Load().AddressOf(name); address != "" {
		return address
	}
	for _, member := range node.members() {
		if member.Name == name {
			return member.Address
		}
	}
	return ""
}

// members gives the nodes that have sessions.
func (node *Node) members() []feed.Member {
	if following := node.startedFeedClient.Load(); following != nil {
		return following.Members()
	}
	return nil
}

// View gives the newest view held here.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.view.Load() }

// acceptView syncs a newer view before anyone may count on it, then founds the groups
// that belong here. What was only observed is not worth a sync.
func (node *Node) acceptView(view *feed.View) error {
	if view.EqualExceptObservations(node.view.Load()) {
		node.view.Store(view)
		return nil
	}
	ctx, cancel := context.WithTimeout(node.context, pinTimeout)
	defer cancel()
	if err := node.host.StoreValue(ctx, pinnedViewKey, node.viewPacker.Get(view)); err != nil {
		return err
	}
	node.view.Store(view)
	node.bootstrapGroups(view)
	select {
	case node.viewChanged <- struct{}{}:
	default:
	}
	return nil
}

func (node *Node) bootstrapGroups(view *feed.View) {
	founders := feed.PlacementCandidates(view.FoundingStores)
	for group := uint32(0); len(founders) > 0 && group < view.Groups; group++ {
		voters := placement.ReplicasOf(group, founders, view.ReplicationFactor())
		if slices.Contains(voters, node.Name()) {
			node.host.Bootstrap(group, voters, nil)
		}
	}
}

var handlers = map[schema.Query_Which]func(*Node, context.Context, *wire.Query) (*wire.Reply, error){
	schema.Query_Which_status:    (*Node).handleStatus,
	schema.Query_Which_agreement: (*Node).handleRaft,
	schema.Query_Which_command:   (*Node).handleCommand,
	schema.Query_Which_read:      (*Node).handleRead,
	schema.Query_Which_hold:      (*Node).handleHold,
	schema.Query_Which_newest:    (*Node).handleNewest,
	schema.Query_Which_putCold:   (*Node).handlePutArchived,
	schema.Query_Which_getCold:   (*Node).handleGetArchived,
	schema.Query_Which_digests:   (*Node).handleDigests,
	schema.Query_Which_find:      (*Node).handleFind,
	schema.Query_Which_opening:   (*Node).handleSharedPrefix,
}

// Answer answers one query of another process.
//
//	reply := node.Answer(ctx, query)
func (node *Node) Answer(ctx context.Context, query *wire.Query) *wire.Reply {
	handle, known := handlers[query.Which]
	if !known {
		return wire.ErrorReply(apierror.New(apierror.Invalid, "a store node does not answer this query", "ask a control node"))
	}
	exempt := query.Which == schema.Query_Which_newest || query.Which == schema.Query_Which_status
	if fleet := node.view.Load().BoundFleet(); !exempt && query.Fleet != "" && fleet != "" && query.Fleet != fleet {
		return wire.ErrorReply(apierror.New(apierror.ForeignFleet, "the asking process belongs to fleet "+query.Fleet+", this one to "+fleet, "correct its seeds, or empty its data folder so that it joins this fleet"))
	}
	if refusal := query.MisdirectedReply(node.Name()); refusal != nil {
		return refusal
	}
	reply, err := handle(node, ctx, query)
	if err != nil {
		return wire.ErrorReply(err)
	}
	return reply
}

func (node *Node) handleRaft(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	node.host.Receive(link.ConnectionContext(ctx), query.Raft.Messages)
	return &wire.Reply{}, nil
}

// handleHold returns only once the view, or a newer one, is synced here.
func (node *Node) handleHold(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	current := node.view.Load()
	view, err := query.ReplicateView.ViewFrom(current)
	if len(query.ReplicateView.Changes) > 0 && query.Fleet != current.Fleet {
		err = feed.ErrBaseMismatch
	}
	if err != nil {
		return nil, apierror.New(apierror.Conflict, "the view to hold cannot be made: "+err.Error(), "send a whole view")
	}
	if !node.feedClient.Adopt(view) {
		return nil, apierror.NewRetryable(apierror.DiskUnavailable, "the view was not synced here", "ask again", time.Second)
	}
	return &wire.Reply{}, nil
}

func (node *Node) handleNewest(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	view := node.view.Load()
	answer := &wire.NewestViewReply{Number: view.Number, HeardControlQuorum: node.feedClient.HeardControlWithin(controlContactWindow)}
	if view.Number > query.NewestView.After {
		if query.NewestView.Packed {
			answer.PackedView = node.viewPacker.Get(view)
		} else {
			answer.View = *view
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_newest, NewestView: answer}, nil
}

// handleCommand stamps the leader's time on commands and commits them in order.
func (node *Node) handleCommand(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	commands := make([][]byte, len(query.Command.Commands))
	for position, command := range query.Command.Commands {
		command.Now = node.clock(query.Command.Group)
		node.setExpectedSeq(query.Command.Group, &command)
		node.usePrefix(query.Command.Group, &command)
		commands[position] = wire.MustEncode(schema.Command_TypeID, &command)
	}
	outcomes, err := node.host.Propose(ctx, query.Command.Group, commands)
	if err != nil {
		return nil, err
	}
	list := &wire.CommandReply{}
	for position, outcome := range outcomes {
		result := outcome.(applyResult)
		if result.outcome.Status == sessionlog.UnknownPrefix {
			if result, err = node.beginWithFullInput(ctx, query.Command.Group, query.Command.Commands[position]); err != nil {
				return nil, err
			}
		}
		list.Outcomes = append(list.Outcomes, result.outcome)
		if command := &query.Command.Commands[position]; command.Kind == sessionlog.BeginTurn && command.KeepData && result.outcome.Status == sessionlog.Done {
			if list.History, err = node.history(ctx, query.Command.Group, result.view, command.Session, command.Producer); err != nil {
				return nil, err
			}
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_outcomes, Outcomes: list}, nil
}

// wakeTailReaders is the cursor update: it lets the tail readers of a line look again.
func (node *Node) wakeTailReaders(name string) {
	node.tailMutex.Lock()
	if waiting, found := node.tailWaiters[name]; found {
		close(waiting)
		delete(node.tailWaiters, name)
	}
	node.tailMutex.Unlock()
}

func (node *Node) tailWaiter(name string) chan struct{} {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	if _, found := node.tailWaiters[name]; !found {
		node.tailWaiters[name] = make(chan struct{})
	}
	return node.tailWaiters[name]
}

// handleRead serves a quorum read. With Wait, it holds the answer until there is
// news or the catch-up time is over, and then confirms again.
func (node *Node) handleRead(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	read := query.Read
	group := placement.GroupOf(read.Session, node.view.Load().Groups)
	var woken chan struct{}
	if read.Wait > 0 {
		woken = node.tailWaiter(read.Session)
	}
	view, err := node.linearizableView(ctx, group)
	if err != nil {
		return nil, err
	}
	if read.QuotaUsage {
		usage := view.QuotaUsage(read.Session)
		return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Spent: usage.Spent, Reserved: usage.Reserved()}}, nil
	}
	session, found := view.Session(read.Session)
	if read.Wait > 0 && found && session.Head <= read.After {
		tick := time.NewTimer(min(read.Wait, CatchUpInterval))
		defer tick.Stop()
		select {
		case <-woken:
		case <-tick.C:
			node.wakeTailReaders(read.Session)
		case <-ctx.Done():
		case <-node.context.Done():
		}
		if view, err = node.linearizableView(ctx, group); err != nil {
			return nil, err
		}
		session, found = view.Session(read.Session)
	}
	if !found {
		return nil, apierror.New(apierror.NotFound, "no line is named "+read.Session, "check the name; a line is forgotten when its keeping time is over")
	}
	events, err := node.readEvents(ctx, group, session, read.After, read.Limit)
	if err == nil {
		err = node.expandPrefixes(ctx, group, view, events)
	}
	if err != nil {
		return nil, err
	}
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Session: *session, Events: events, Clock: node.clock(group)}}, nil
}

func (node *Node) linearizableView(ctx context.Context, group uint32) (*sessionlog.View, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := node.host.Read(ctx, group); err != nil {
		return nil, err
	}
	return node.stateMachine(group).View(), nil
}

// readEvents joins hot events with cold ones, asks peers for cold events that are
// missing here, and refuses a range that still has a gap.
func (node *Node) readEvents(ctx context.Context, group uint32, session *sessionlog.Session, after, limit uint64) ([]sessionlog.Event, error) {
	if limit == 0 || limit > maxReadEvents {
		limit = maxReadEvents
	}
	if after >= session.Head {
		return nil, nil
	}
	through := min(session.Head, after+limit)
	events := []sessionlog.Event{}
	if after < session.ArchivedSeq {
		last := min(session.ArchivedSeq, through)
		found, err := node.archiveStore.Read(session.Name, after, last)
		if err != nil {
			return nil, err
		}
		if uint64(len(found)) != last-after {
			found = node.archivedFromPeers(ctx, group, session.Name, after, last, found)
		}
		events = found
	}
	for _, event := range session.Unarchived {
		if event.Seq > after && event.Seq <= through {
			events = append(events, event)
		}
	}
	for position, event := range events {
		if event.Seq != after+uint64(position)+1 {
			return nil, gapError(session.Name)
		}
	}
	if uint64(len(events)) != through-after {
		return nil, gapError(session.Name)
	}
	return events, nil
}

func gapError(name string) error {
	return apierror.NewRetryable(apierror.Gap, "a part of "+name+" cannot be read now", "ask again; the store nodes mend their copies from each other", time.Second)
}

func (node *Node) archivedFromPeers(ctx context.Context, group uint32, name string, after, through uint64, found []sessionlog.Event) []sessionlog.Event {
	bySeq := map[uint64]sessionlog.Event{}
	for _, event := range found {
		bySeq[event.Seq] = event
	}
	for _, peer := range node.host.Statuses()[group].Membership.Voters {
		if peer == node.Name() || uint64(len(bySeq)) == through-after {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := node.caller.Call(callContext, node.addressOf(peer), &wire.Query{Fleet: node.view.Load().BoundFleet(), Which: schema.Query_Which_getCold, ReadArchive: &wire.ReadArchiveQuery{Session: name, After: after, Through: through}})
		cancel()
		if err != nil || reply.Read == nil {
			continue
		}
		for _, event := range reply.Read.Events {
			bySeq[event.Seq] = event
		}
	}
	events := []sessionlog.Event{}
	for seq := after + 1; seq <= through; seq++ {
		if event, known := bySeq[seq]; known {
			events = append(events, event)
		}
	}
	return events
}

func (node *Node) handlePutArchived(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	complete, missing := node.fillChunks(query.PutArchive.Chunks)
	if err := node.archiveStore.Put(complete); err != nil {
		return nil, err
	}
	if len(missing) == 0 {
		return &wire.Reply{}, nil
	}
	return &wire.Reply{Which: schema.Reply_Which_chunks, Chunks: &wire.ArchiveChunkBatch{Chunks: missing}}, nil
}

func (node *Node) handleGetArchived(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	events, err := node.archiveStore.Read(query.ReadArchive.Session, query.ReadArchive.After, query.ReadArchive.Through)
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Events: events}}, err
}

func (node *Node) handleDigests(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	digests := node.archiveStore.BucketDigests(query.Digests.Group)
	return &wire.Reply{Which: schema.Reply_Which_digests, Digests: &wire.DigestReply{BucketDigests: digests[:], Ranges: node.archiveStore.RangeDigests(query.Digests.Group, query.Digests.Buckets)}}, nil
}
