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

	"yardrock.example/system/agreement"
	"yardrock.example/system/apierror"
	"yardrock.example/system/coldstore"
	"yardrock.example/system/durablelog"
	"yardrock.example/system/feed"
	"yardrock.example/system/files"
	"yardrock.example/system/follower"
	"yardrock.example/system/line"
	"yardrock.example/system/link"
	"yardrock.example/system/openings"
	"yardrock.example/system/placement"
	"yardrock.example/system/replica"
	"yardrock.example/system/storeorigin"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	feedPin         = 1 << 31
	archiveInterval = 5 * time.Second
	archiveBatch    = 5000
	// CatchUp is how long a tail reader waits at most before it reads again.
	CatchUp        = 5 * time.Second
	callTimeout    = 2 * time.Second
	commandTimeout = 3 * time.Second
	pinTimeout     = 5 * time.Second
	mostEvents     = 4096
	controlledFor  = 5 * time.Second
)

// Settings place a store node.
type Settings struct {
	Address string
	Domain  string
	Seeds   []string
	Replica replica.Settings
	// Wall is the machine's clock, which may be wrong; nil is the real one.
	Wall func() time.Time
	// StateMachine is what the operator calls this machine; it may be empty.
	Machine string
}

// Node is a running store node.
type Node struct {
	settings Settings
	caller   *link.Caller
	host     *replica.Host
	cold     *coldstore.Store
	server   *link.Server
	follow   *follower.Follower
	// following is follow, for those who ask while the node still starts.
	following atomic.Pointer[follower.Follower]
	machines  sync.Map // group number to *lineMachine
	clocks    sync.Map // group number to clockAnchor
	lines     *storeorigin.Origin
	noticer   openings.Noticer
	// archiveGuards holds an *archiveGuard by group number, behind a replicaKey for each
	// replica of a group led here that may lack archived ranges.
	archiveGuards sync.Map
	behind        sync.Map
	held          atomic.Pointer[feed.View]
	views         wire.ViewPacker
	viewed        chan struct{} // holds one token after a view with other orders was taken

	mutex   sync.Mutex
	waiters map[string]chan struct{}

	context context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// lineMachine puts a line.Machine under the host.
type lineMachine struct {
	*line.Machine
	applied func(name string)
}

// Apply carries out a committed command.
func (machine *lineMachine) Apply(entry agreement.Entry) any {
	var command line.Command
	if err := wire.Decode(schema.Command_TypeID, entry.Data, &command); err != nil {
		return applied{line.Outcome{Status: line.BadCommand}, machine.View()}
	}
	outcome := machine.Machine.Apply(&command)
	machine.applied(command.Line)
	return applied{outcome, machine.View()}
}

// applied is what a command answered, and the view right after it.
type applied struct {
	outcome line.Outcome
	view    *line.View
}

// Snapshot gives the checkpoint of what the view holds now.
func (machine *lineMachine) Snapshot() func() []byte {
	view := machine.View()
	return func() []byte {
		image := view.Image()
		return wire.MustEncode(schema.LineImage_TypeID, &image)
	}
}

// Restore takes a checkpoint.
func (machine *lineMachine) Restore(data []byte) error {
	var image line.Image
	if err := wire.Decode(schema.LineImage_TypeID, data, &image); err != nil {
		return err
	}
	return machine.Machine.Restore(image)
}

// Start opens the data folder and runs a store node until Close.
//
//	node, err := store.Start(settings, folder, coldFolder, link.TCP{})
//	defer node.Close()
func Start(settings Settings, folder, coldFolder files.Directory, network link.Network) (*Node, error) {
	durable, records, err := durablelog.Open(folder, feed.RoleStore)
	if err != nil {
		return nil, err
	}
	cold, err := coldstore.Open(coldFolder)
	if err != nil {
		return nil, err
	}
	if settings.Wall == nil {
		settings.Wall = time.Now
	}
	node := &Node{settings: settings, caller: link.NewCaller(network), cold: cold, viewed: make(chan struct{}, 1), waiters: map[string]chan struct{}{}}
	node.context, node.stop = context.WithCancel(context.Background())
	node.held.Store(&feed.View{})
	node.lines = storeorigin.New(node.caller, node.held.Load)
	courier := replica.NewTransport(node.caller, node.addressOf, func() string { return node.held.Load().BoundFleet() })
	node.host, err = replica.Open(settings.Replica, durable, records, node.newMachine, courier)
	if err != nil {
		return nil, err
	}
	held := &feed.View{}
	if data := node.host.StoredValue(feedPin); data != nil {
		if held, err = wire.UnpackView(data); err != nil {
			node.host.Close()
			return nil, apierror.New(apierror.Damaged, "the held view cannot be read: "+err.Error(), "run the version of the program that wrote it")
		}
	}
	node.held.Store(held)
	listener, err := network.Listen(settings.Address)
	if err != nil {
		node.host.Close()
		return nil, apierror.New(apierror.BadSettings, "cannot listen on "+settings.Address+": "+err.Error(), "use an address of this machine that is free")
	}
	member := feed.Member{Name: node.Name(), Role: feed.RoleStore, Address: settings.Address, Domain: settings.Domain, Machine: settings.Machine}
	node.follow = follower.Start(node.caller, member, settings.Seeds, held, node.take)
	node.following.Store(node.follow)
	node.server = link.Serve(listener, node.Answer)
	node.foundGroups(held)
	node.tasks.Go(func() { node.repeat(archiveInterval, node.archiveAll) })
	node.tasks.Go(func() { node.repeat(archiveInterval, node.settler()) })
	node.tasks.Go(node.runMoves)
	node.tasks.Go(func() { node.repeat(repairInterval, node.repairAll) })
	node.tasks.Go(func() { node.repeat(behindInterval, node.behindMender()) })
	log.WithFields(log.Fields{"node": node.Name(), "address": settings.Address}).Info("store_started")
	return node, nil
}

func (node *Node) newMachine(group uint32) replica.StateMachine {
	machine := &lineMachine{Machine: line.NewMachine(), applied: node.wake}
	node.machines.Store(group, machine)
	return machine
}

func (node *Node) machine(group uint32) *lineMachine {
	machine, found := node.machines.Load(group)
	if !found {
		return nil
	}
	return machine.(*lineMachine)
}

// Name is the identity of the node's disk.
//
//	name := node.Name()
func (node *Node) Name() string { return node.host.Name() }

// SetSeeds replaces the seed addresses, as SIGHUP does.
//
//	node.SetSeeds(settings.Seeds)
func (node *Node) SetSeeds(seeds []string) { node.follow.SetSeeds(seeds) }

// Foreign gives the reason why a node that has just started can't go on: its data
// folder belongs to another fleet than its seeds.
//
//	err := <-node.Foreign()
func (node *Node) Foreign() <-chan error { return node.follow.Foreign() }

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
	node.follow.Stop()
	node.server.Close()
	node.caller.Close()
	node.tasks.Wait()
	node.host.Close()
}

// addressOf finds a peer: by the store list, or, as groups move off a store that has
// left the list, by the sessions.
func (node *Node) addressOf(name string) string {
	if address := node.held.Load().AddressOf(name); address != "" {
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
	if following := node.following.Load(); following != nil {
		return following.Members()
	}
	return nil
}

// View gives the newest view held here.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.held.Load() }

// take syncs a newer view before anyone may count on it, then founds the groups
// that belong here. What was only observed is not worth a sync.
func (node *Node) take(view *feed.View) error {
	if view.EqualExceptObservations(node.held.Load()) {
		node.held.Store(view)
		return nil
	}
	ctx, cancel := context.WithTimeout(node.context, pinTimeout)
	defer cancel()
	if err := node.host.StoreValue(ctx, feedPin, node.views.Pack(view)); err != nil {
		return err
	}
	node.held.Store(view)
	node.foundGroups(view)
	select {
	case node.viewed <- struct{}{}:
	default:
	}
	return nil
}

func (node *Node) foundGroups(view *feed.View) {
	founders := feed.PlacementCandidates(view.FoundingStores)
	for group := uint32(0); len(founders) > 0 && group < view.Groups; group++ {
		voters := placement.ReplicasOf(group, founders, view.ReplicationFactor())
		if slices.Contains(voters, node.Name()) {
			node.host.Bootstrap(group, voters, nil)
		}
	}
}

var answers = map[schema.Query_Which]func(*Node, context.Context, *wire.Query) (*wire.Reply, error){
	schema.Query_Which_status:    (*Node).answerStatus,
	schema.Query_Which_agreement: (*Node).answerAgreement,
	schema.Query_Which_command:   (*Node).answerCommand,
	schema.Query_Which_read:      (*Node).answerRead,
	schema.Query_Which_hold:      (*Node).answerHold,
	schema.Query_Which_newest:    (*Node).answerNewest,
	schema.Query_Which_putCold:   (*Node).answerPutCold,
	schema.Query_Which_getCold:   (*Node).answerGetCold,
	schema.Query_Which_digests:   (*Node).answerDigests,
	schema.Query_Which_find:      (*Node).answerFind,
	schema.Query_Which_opening:   (*Node).answerOpening,
}

// Answer answers one query of another process.
//
//	reply := node.Answer(ctx, query)
func (node *Node) Answer(ctx context.Context, query *wire.Query) *wire.Reply {
	answer, known := answers[query.Which]
	if !known {
		return wire.Failed(apierror.New(apierror.Invalid, "a store node does not answer this query", "ask a control node"))
	}
	exempt := query.Which == schema.Query_Which_newest || query.Which == schema.Query_Which_status
	if fleet := node.held.Load().BoundFleet(); !exempt && query.Fleet != "" && fleet != "" && query.Fleet != fleet {
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

func (node *Node) answerAgreement(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	node.host.Receive(link.Connection(ctx), query.Agreement.Messages)
	return &wire.Reply{}, nil
}

// answerHold returns only once the view, or a newer one, is synced here.
func (node *Node) answerHold(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	held := node.held.Load()
	view, err := query.Hold.From(held)
	if len(query.Hold.Changes) > 0 && query.Fleet != held.Fleet {
		err = feed.ErrBaseMismatch
	}
	if err != nil {
		return nil, apierror.New(apierror.Conflict, "the view to hold cannot be made: "+err.Error(), "send a whole view")
	}
	if !node.follow.Adopt(view) {
		return nil, apierror.Later(apierror.DiskUnavailable, "the view was not synced here", "ask again", time.Second)
	}
	return &wire.Reply{}, nil
}

func (node *Node) answerNewest(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	view := node.held.Load()
	answer := &wire.NewestReply{Number: view.Number, Controlled: node.follow.ControlledWithin(controlledFor)}
	if view.Number > query.Newest.After {
		if query.Newest.Packed {
			answer.PackedView = node.views.Pack(view)
		} else {
			answer.View = *view
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_newest, Newest: answer}, nil
}

// answerCommand stamps the leader's time on commands and commits them in order.
func (node *Node) answerCommand(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	commands := make([][]byte, len(query.Command.Commands))
	for position, command := range query.Command.Commands {
		command.Now = node.clock(query.Command.Group)
		node.expect(query.Command.Group, &command)
		node.share(query.Command.Group, &command)
		commands[position] = wire.MustEncode(schema.Command_TypeID, &command)
	}
	outcomes, err := node.host.Propose(ctx, query.Command.Group, commands)
	if err != nil {
		return nil, err
	}
	list := &wire.OutcomeList{}
	for position, outcome := range outcomes {
		told := outcome.(applied)
		if told.outcome.Status == line.UnknownOpening {
			if told, err = node.beginWhole(ctx, query.Command.Group, query.Command.Commands[position]); err != nil {
				return nil, err
			}
		}
		list.Outcomes = append(list.Outcomes, told.outcome)
		if command := &query.Command.Commands[position]; command.Kind == line.BeginTurn && command.Keeps && told.outcome.Status == line.Done {
			if list.History, err = node.history(ctx, query.Command.Group, told.view, command.Line, command.Producer); err != nil {
				return nil, err
			}
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_outcomes, Outcomes: list}, nil
}

// wake is the cursor update: it lets the tail readers of a line look again.
func (node *Node) wake(name string) {
	node.mutex.Lock()
	if waiting, found := node.waiters[name]; found {
		close(waiting)
		delete(node.waiters, name)
	}
	node.mutex.Unlock()
}

func (node *Node) waiter(name string) chan struct{} {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if _, found := node.waiters[name]; !found {
		node.waiters[name] = make(chan struct{})
	}
	return node.waiters[name]
}

// answerRead serves a quorum read. With Wait, it holds the answer until there is
// news or the catch-up time is over, and then confirms again.
func (node *Node) answerRead(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	read := query.Read
	group := placement.GroupOf(read.Line, node.held.Load().Groups)
	var woken chan struct{}
	if read.Wait > 0 {
		woken = node.waiter(read.Line)
	}
	view, err := node.confirmed(ctx, group)
	if err != nil {
		return nil, err
	}
	if read.Tally {
		tally := view.Tally(read.Line)
		return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Spent: tally.Spent, Reserved: tally.Reserved()}}, nil
	}
	session, found := view.Session(read.Line)
	if read.Wait > 0 && found && session.Head <= read.After {
		tick := time.NewTimer(min(read.Wait, CatchUp))
		defer tick.Stop()
		select {
		case <-woken:
		case <-tick.C:
			node.wake(read.Line)
		case <-ctx.Done():
		case <-node.context.Done():
		}
		if view, err = node.confirmed(ctx, group); err != nil {
			return nil, err
		}
		session, found = view.Session(read.Line)
	}
	if !found {
		return nil, apierror.New(apierror.NotFound, "no line is named "+read.Line, "check the name; a line is forgotten when its keeping time is over")
	}
	events, err := node.merged(ctx, group, session, read.After, read.Limit)
	if err == nil {
		err = node.allWhole(ctx, group, view, events)
	}
	if err != nil {
		return nil, err
	}
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Session: *session, Events: events, Clock: node.clock(group)}}, nil
}

func (node *Node) confirmed(ctx context.Context, group uint32) (*line.View, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := node.host.Read(ctx, group); err != nil {
		return nil, err
	}
	return node.machine(group).View(), nil
}

// merged joins hot events with cold ones, asks peers for cold events that are
// missing here, and refuses a range that still has a gap.
func (node *Node) merged(ctx context.Context, group uint32, session *line.Session, after, limit uint64) ([]line.Event, error) {
	if limit == 0 || limit > mostEvents {
		limit = mostEvents
	}
	if after >= session.Head {
		return nil, nil
	}
	through := min(session.Head, after+limit)
	events := []line.Event{}
	if after < session.ArchivedSeq {
		last := min(session.ArchivedSeq, through)
		found, err := node.cold.Read(session.Line, after, last)
		if err != nil {
			return nil, err
		}
		if uint64(len(found)) != last-after {
			found = node.coldFromPeers(ctx, group, session.Line, after, last, found)
		}
		events = found
	}
	for _, event := range session.Hot {
		if event.Seq > after && event.Seq <= through {
			events = append(events, event)
		}
	}
	for position, event := range events {
		if event.Seq != after+uint64(position)+1 {
			return nil, gapError(session.Line)
		}
	}
	if uint64(len(events)) != through-after {
		return nil, gapError(session.Line)
	}
	return events, nil
}

func gapError(name string) error {
	return apierror.Later(apierror.Gap, "a part of "+name+" cannot be read now", "ask again; the store nodes mend their copies from each other", time.Second)
}

func (node *Node) coldFromPeers(ctx context.Context, group uint32, name string, after, through uint64, found []line.Event) []line.Event {
	bySeq := map[uint64]line.Event{}
	for _, event := range found {
		bySeq[event.Seq] = event
	}
	for _, peer := range node.host.Statuses()[group].Membership.Voters {
		if peer == node.Name() || uint64(len(bySeq)) == through-after {
			continue
		}
		asked, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := node.caller.Call(asked, node.addressOf(peer), &wire.Query{Fleet: node.held.Load().BoundFleet(), Which: schema.Query_Which_getCold, GetCold: &wire.GetColdQuery{Line: name, After: after, Through: through}})
		cancel()
		if err != nil || reply.Read == nil {
			continue
		}
		for _, event := range reply.Read.Events {
			bySeq[event.Seq] = event
		}
	}
	events := []line.Event{}
	for seq := after + 1; seq <= through; seq++ {
		if event, known := bySeq[seq]; known {
			events = append(events, event)
		}
	}
	return events
}

func (node *Node) answerPutCold(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	whole, lacking := node.filled(query.PutCold.Chunks)
	if err := node.cold.Put(whole); err != nil {
		return nil, err
	}
	if len(lacking) == 0 {
		return &wire.Reply{}, nil
	}
	return &wire.Reply{Which: schema.Reply_Which_chunks, Chunks: &wire.ColdChunkBatch{Chunks: lacking}}, nil
}

func (node *Node) answerGetCold(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	events, err := node.cold.Read(query.GetCold.Line, query.GetCold.After, query.GetCold.Through)
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Events: events}}, err
}

func (node *Node) answerDigests(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	sums := node.cold.Sums(query.Digests.Group)
	return &wire.Reply{Which: schema.Reply_Which_digests, Digests: &wire.DigestReply{Sums: sums[:], Ranges: node.cold.Digests(query.Digests.Group, query.Digests.Buckets)}}, nil
}
