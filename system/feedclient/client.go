// Package follower keeps a node's view of the feed: it renews the node's session
// with a control node, takes changes from its place on, and knows until when the
// view may be acted on.
package feedclient

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// FreshnessWindow is how long one confirmation that nothing newer exists holds,
	// counted from when it was asked for.
	FreshnessWindow = 1500 * time.Millisecond
	requestTimeout  = 600 * time.Millisecond
	hedgeDelay      = 400 * time.Millisecond
	seedTimeout     = 500 * time.Millisecond
	// minPause is between the end of a round and the next; after rounds without a
	// control node it grows to maxPause.
	minPause = 50 * time.Millisecond
	maxPause = 200 * time.Millisecond
	// preferredCheckInterval is how often a node looks whether a nearer control node is there.
	preferredCheckInterval = 15 * time.Second
	firstPreferredCheck    = 2 * time.Second
	// maxParallelControls is how many control nodes are asked while none is known to answer.
	maxParallelControls = 3
)

// longPollByRole tells for how long a control node may hold its answer while nothing changes.
// Stores are few, and are missed soon.
var longPollByRole = map[string]time.Duration{feed.RoleStore: 300 * time.Millisecond}

const defaultLongPoll = 700 * time.Millisecond

// A front that knows only an old reading of the runner list lets its control node hold the
// answer for less long, so that it hears of the next reading before that one is too old
// to act on: for runnerListLongPoll less the reading's age, and for minLongPoll at least.
const (
	runnerListLongPoll = 1100 * time.Millisecond
	minLongPoll        = 300 * time.Millisecond
	// startupPeriod is how long a front that has just started, and knows no reading yet, asks
	// without letting answers be held.
	startupPeriod = 3 * time.Second
)

// Client follows the feed for one node.
type Client struct {
	rpc               *link.Client
	self              feed.Member
	onView            func(*feed.View) error
	startedAt         time.Time
	seeds             atomic.Pointer[[]string]
	view              atomic.Pointer[feed.View]
	members           atomic.Pointer[memberList]
	needsFullView     atomic.Bool                   // changes did not fit the view held
	freshUntil        atomic.Int64                  // since began, on the monotonic clock
	freshnessExtended atomic.Pointer[chan struct{}] // closed when freshUntil next grows
	lastControlReply  atomic.Int64                  // when a control quorum answered last, since began
	runnerListReadAt  atomic.Pointer[time.Time]     // when the runner list in the view was read; nil before any
	adoptToken        chan struct{}                 // holds one token while no view is being taken
	control           string
	candidates        []string
	candidateRounds   int
	failures          int        // rounds in a row without an answer of a control node
	chosenAt          time.Time  // when the control node was chosen
	foreignFleet      chan error // holds what makes this node's data folder useless here
	context           context.Context
	stop              context.CancelFunc
	done              chan struct{}
}

// roll is a list of live members, and the digest that its control node gave it.
type memberList struct {
	members []feed.Member
	digest  uint64
}

// Start begins to follow. The view given, if any, is what the node's disk held;
// onView is called with every newer one, in order, before it is shown; what it refuses
// is not shown, and is offered again.
//
//	following := follower.Start(caller, member, seeds, held, func(view *feed.View) error { ... })
func Start(rpc *link.Client, self feed.Member, seeds []string, stored *feed.View, onView func(*feed.View) error) *Client {
	client := &Client{rpc: rpc, self: self, onView: onView, startedAt: time.Now(), foreignFleet: make(chan error, 1), adoptToken: make(chan struct{}, 1), done: make(chan struct{})}
	if stored == nil {
		stored = &feed.View{}
	}
	client.view.Store(stored)
	client.freshnessExtended.Store(new(make(chan struct{})))
	client.members.Store(&memberList{})
	client.SetSeeds(seeds)
	client.context, client.stop = context.WithCancel(context.Background())
	client.adoptToken <- struct{}{}
	go client.run()
	return client
}

// SetSeeds replaces the seed addresses, as SIGHUP does.
//
//	following.SetSeeds([]string{"10.0.0.1:7000"})
func (client *Client) SetSeeds(seeds []string) {
	seeds = slices.Clone(seeds)
	client.seeds.Store(&seeds)
}

// View gives the newest view held, fresh or not.
//
//	view := following.View()
func (client *Client) View() *feed.View { return client.view.Load() }

// Members gives the live nodes, by the control nodes' sessions.
//
//	for _, member := range following.Members() { ... }
func (client *Client) Members() []feed.Member { return client.members.Load().members }

// Fresh gives the view if it may be acted on: within the window, a control
// quorum or a store majority said that nothing newer exists.
//
//	view, err := following.Fresh()
func (client *Client) Fresh() (*feed.View, error) {
	view := client.view.Load()
	if view.Number == 0 || int64(time.Since(client.startedAt)) >= client.freshUntil.Load() {
		return nil, apierror.NewRetryable(apierror.NotRun, "this node cannot tell whether its configuration is still in force", "ask again or at another node", time.Second)
	}
	return view, nil
}

// AwaitFresh is Fresh for those who can wait: a node that has just started, or whose view
// was fresh until lately, mostly soon hears that nothing newer exists. Timeout counts from
// when the view was fresh last, or from the start; once it is over, nobody waits.
//
//	view, err := following.AwaitFresh(ctx, 1500*time.Millisecond)
func (client *Client) AwaitFresh(ctx context.Context, timeout time.Duration) (*feed.View, error) {
	for {
		renewed := *client.freshnessExtended.Load()
		view, err := client.Fresh()
		left := time.Duration(client.freshUntil.Load()) + timeout - time.Since(client.startedAt)
		if err == nil || left <= 0 {
			return view, err
		}
		tick := time.NewTimer(left)
		select {
		case <-renewed:
			tick.Stop()
		case <-tick.C:
		case <-ctx.Done():
			tick.Stop()
			return nil, err
		}
	}
}

// HeardControlWithin tells whether a control quorum answered that lately.
//
//	if following.HeardControlWithin(5 * time.Second) { ... }
func (client *Client) HeardControlWithin(age time.Duration) bool {
	last := time.Duration(client.lastControlReply.Load())
	return last > 0 && time.Since(client.startedAt)-last < age
}

// RosterRead tells when the runner list whose content is in the view was read last, by
// this node's clock; zero if that is not known. What the list showed then is in the view
// that View gives afterwards.
//
//	if time.Since(following.RosterRead()) > time.Second { ... }
func (client *Client) RunnerListReadAt() time.Time {
	if read := client.runnerListReadAt.Load(); read != nil {
		return *read
	}
	return time.Time{}
}

// recordRunnerListAge keeps when the runner list was read, by the answer to a query asked then.
func (client *Client) recordRunnerListAge(reply *wire.FollowReply, sentAt time.Time) {
	readAt := sentAt.Add(-reply.RunnerListAge)
	if reply.HasRunnerListAge && readAt.After(client.RunnerListReadAt()) {
		client.runnerListReadAt.Store(&readAt)
	}
}

// Adopt takes a view if it is newer, whoever brought it, and tells whether this node now
// holds it or a newer one.
//
//	if !following.Adopt(view) { ... }
func (client *Client) Adopt(view *feed.View) bool {
	select {
	case <-client.adoptToken:
		defer func() { client.adoptToken <- struct{}{} }()
	case <-client.context.Done():
		return false
	}
	current := client.view.Load()
	if current.BoundFleet() != "" && current.BoundFleet() != view.Fleet {
		return false
	}
	if view.Number <= current.Number {
		return true
	}
	if err := client.onView(view); err != nil {
		log.WithFields(log.Fields{"node": client.self.Name, "number": view.Number, "error": err.Error()}).Error("view_not_taken")
		return false
	}
	client.view.Store(view)
	return true
}

func (client *Client) extendFreshness(sentAt time.Time) {
	until := int64(sentAt.Sub(client.startedAt) + FreshnessWindow)
	if until > client.freshUntil.Load() {
		client.freshUntil.Store(until)
		close(*client.freshnessExtended.Swap(new(make(chan struct{}))))
	}
}

// Stop ends following.
//
//	defer following.Stop()
func (client *Client) Stop() {
	client.stop()
	<-client.done
}

func (client *Client) run() {
	defer close(client.done)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-client.context.Done():
			return
		case <-tick.C:
		}
		if client.poll() {
			client.failures = 0
		} else {
			client.failures++
		}
		tick.Reset(min(maxPause, minPause*time.Duration(max(1, client.failures))))
	}
}

// poll asks a control node, which may hold its answer for a while if it answered last
// time, and the stores too if the answer is late. While no control node answers, a few are
// asked at once: some may be gone and say nothing. It tells whether one confirmed.
func (client *Client) poll() bool {
	wait, addresses := time.Duration(0), client.pickControls()
	if client.control != "" {
		wait = client.longPoll()
	}
	ctx, cancel := context.WithTimeout(client.context, wait+requestTimeout)
	defer cancel()
	confirmed := make(chan string, len(addresses)) // the address that did, or ""
	for _, address := range addresses {
		go func() {
			if client.pollControl(ctx, address, wait) {
				confirmed <- address
			} else {
				confirmed <- ""
			}
		}()
	}
	hedge := time.NewTimer(wait + hedgeDelay)
	defer hedge.Stop()
	hedged := false
	for pending := len(addresses); pending > 0; {
		select {
		case address := <-confirmed:
			if pending--; address != "" {
				if client.control != address { // the quickest of a few; home soon
					client.control, client.chosenAt = address, time.Now().Add(firstPreferredCheck-preferredCheckInterval)
				}
				return true
			}
		case <-hedge.C:
			hedged = true
			client.pollStores()
		}
	}
	client.control = ""
	if !hedged {
		client.pollStores()
	}
	return false
}

// longPoll is for how long a control node may hold its answer while nothing changes.
func (client *Client) longPoll() time.Duration {
	if wait, fixed := longPollByRole[client.self.Role]; fixed {
		return wait
	}
	read := client.RunnerListReadAt()
	if read.IsZero() && time.Since(client.startedAt) < startupPeriod {
		return 0
	}
	if read.IsZero() {
		return defaultLongPoll
	}
	return max(minLongPoll, min(defaultLongPoll, runnerListLongPoll-time.Since(read)))
}

func (client *Client) pollControl(ctx context.Context, address string, wait time.Duration) bool {
	sentAt, view := time.Now(), client.view.Load()
	query := &wire.FollowQuery{Member: client.self, After: view.Number, Wait: wait, MembersDigest: client.members.Load().digest, Packed: true}
	if client.needsFullView.Load() {
		query.After = 0
	}
	reply, err := client.rpc.Call(ctx, address, &wire.Query{Fleet: view.BoundFleet(), Which: schema.Query_Which_follow, Follow: query})
	if err != nil || reply.Follow == nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			client.rpc.Drop(address)
		}
		if ctx.Err() != context.Canceled && err != nil {
			log.WithFields(log.Fields{"node": client.self.Name, "control": address, "error": err.Error()}).Warn("follow_failed")
		}
		client.reportForeignFleet(err)
		return false
	}
	next, err := viewAfter(view, reply.Follow)
	if err != nil {
		log.WithFields(log.Fields{"node": client.self.Name, "control": address, "number": view.Number, "error": err.Error()}).Warn("whole_view_needed")
		client.needsFullView.Store(true)
		return false
	}
	if next.Number < reply.Follow.Newest {
		return false
	}
	confirmed := sentAt.Add(reply.Follow.ConfirmationDelay)
	client.lastControlReply.Store(int64(confirmed.Sub(client.startedAt)))
	if !client.Adopt(next) {
		return false
	}
	if query.After == 0 {
		client.needsFullView.Store(false)
	}
	if reply.Follow.MembersDigest != 0 {
		client.members.Store(&memberList{reply.Follow.Members, reply.Follow.MembersDigest})
	}
	client.recordRunnerListAge(reply.Follow, sentAt)
	client.extendFreshness(confirmed)
	return true
}

// viewAfter gives the view that a control node's answer leads to from the one held.
func viewAfter(current *feed.View, reply *wire.FollowReply) (*feed.View, error) {
	if reply.Reset {
		return reply.FullView()
	}
	next, err := feed.FoldAll(*current, reply.Changes)
	return &next, err
}

// reportForeignFleet tells, once, that the control plane belongs to another fleet, if this
// node has not been with one of its own fleet since it started.
func (client *Client) reportForeignFleet(err error) {
	if !apierror.Is(err, apierror.ForeignFleet) || client.lastControlReply.Load() > 0 {
		return
	}
	select {
	case client.foreignFleet <- err:
	default:
	}
}

// ForeignFleet gives the reason why a node that has just started can't go on: its data
// folder belongs to another fleet than its seeds.
//
//	err := <-following.ForeignFleet()
func (client *Client) ForeignFleet() <-chan error { return client.foreignFleet }

// pickControls keeps to the control node that answered last, but comes home to the one that
// is best for this node; else it takes the next few of those the view or the seeds name.
func (client *Client) pickControls() []string {
	view := client.view.Load()
	if client.control != "" && time.Since(client.chosenAt) > preferredCheckInterval {
		client.chosenAt = time.Now()
		if ranked := client.rankedControls(view); len(ranked) > 0 && client.isLive(ranked[0]) {
			client.control, client.candidates = ranked[0], ranked[1:]
		}
	}
	if client.control != "" {
		return []string{client.control}
	}
	if len(client.candidates) == 0 {
		client.candidates = client.rankedControls(view)
		client.candidateRounds++
		if len(client.candidates) == 0 || client.candidateRounds%2 == 0 {
			for _, address := range client.discoverControls() {
				if !slices.Contains(client.candidates, address) {
					client.candidates = append(client.candidates, address)
				}
			}
		}
	}
	picked := client.candidates[:min(maxParallelControls, len(client.candidates))]
	client.candidates = client.candidates[len(picked):]
	return picked
}

// rankedControls lists the control nodes of a view, those of this node's domain first, and spread
// evenly over the nodes that ask.
func (client *Client) rankedControls(view *feed.View) []string {
	candidates, near, far := []placement.Candidate{}, []string{}, []string{}
	for _, member := range view.Controls {
		candidates = append(candidates, placement.Candidate{Name: member.Address, Domain: member.Domain})
	}
	for _, candidate := range placement.Rank(client.self.Name, candidates) {
		if candidate.Domain == client.self.Domain {
			near = append(near, candidate.Name)
		} else {
			far = append(far, candidate.Name)
		}
	}
	return append(near, far...)
}

func (client *Client) isLive(address string) bool {
	return slices.ContainsFunc(client.Members(), func(member feed.Member) bool { return member.Address == address })
}

// discoverControls asks all seeds at once, and gives what the first of use tells of control nodes.
func (client *Client) discoverControls() []string {
	seeds := *client.seeds.Load()
	ctx, cancel := context.WithTimeout(client.context, seedTimeout)
	defer cancel()
	answers := make(chan []string, len(seeds))
	for _, seed := range seeds {
		go func() {
			found := []string{}
			reply, err := client.rpc.Call(ctx, seed, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
			if err == nil && reply.Status != nil {
				if reply.Status.Role == feed.RoleControl && !reply.Status.Uninitialized {
					found = append(found, seed)
				}
				for _, member := range reply.Status.Controls {
					found = append(found, member.Address)
				}
			}
			answers <- found
		}()
	}
	for range seeds {
		if found := <-answers; len(found) > 0 {
			return found
		}
	}
	return nil
}

// pollStores takes the newest view of a store majority; that majority meets every
// one that a change was acknowledged by.
func (client *Client) pollStores() {
	sentAt, view := time.Now(), client.view.Load()
	stores := feed.ViewReplicas(view.Stores)
	if len(stores) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(client.context, requestTimeout)
	defer cancel()
	answers := make(chan *wire.NewestViewReply, len(stores))
	for _, store := range stores {
		go func() {
			reply, err := client.rpc.Call(ctx, store.Address, &wire.Query{Fleet: view.BoundFleet(), To: store.Name, Which: schema.Query_Which_newest, NewestView: &wire.NewestViewQuery{After: view.Number, Packed: true}})
			if err != nil {
				answers <- nil
				return
			}
			answers <- reply.NewestView
		}()
	}
	answered, newest := 0, view
	for range stores {
		answer := <-answers
		if answer == nil {
			continue
		}
		if answer.Number > newest.Number {
			full, err := answer.FullView()
			if err != nil {
				continue // as if it had not answered
			}
			newest = full
		}
		answered++
		if answered >= len(stores)/2+1 {
			break
		}
	}
	if answered < len(stores)/2+1 {
		return
	}
	client.Adopt(newest)
	if newest == view {
		client.extendFreshness(sentAt)
	}
}
