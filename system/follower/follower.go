// Package follower keeps a node's view of the feed: it renews the node's session
// with a control node, takes changes from its place on, and knows until when the
// view may be acted on.
package follower

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
	// Window is how long one confirmation that nothing newer exists holds,
	// counted from when it was asked for.
	Window      = 1500 * time.Millisecond
	askTimeout  = 600 * time.Millisecond
	hedgeAfter  = 400 * time.Millisecond
	seedTimeout = 500 * time.Millisecond
	// shortestPause is between the end of a round and the next; after rounds without a
	// control node it grows to longestPause.
	shortestPause = 50 * time.Millisecond
	longestPause  = 200 * time.Millisecond
	// homeInterval is how often a node looks whether a nearer control node is there.
	homeInterval = 15 * time.Second
	settleHome   = 2 * time.Second
	// askedAtOnce is how many control nodes are asked while none is known to answer.
	askedAtOnce = 3
)

// waits tells for how long a control node may hold its answer while nothing changes.
// Stores are few, and are missed soon.
var waits = map[string]time.Duration{feed.RoleStore: 300 * time.Millisecond}

const usualWait = 700 * time.Millisecond

// A front that knows only an old reading of the runner list lets its control node hold the
// answer for less long, so that it hears of the next reading before that one is too old
// to act on: for rosterWait less the reading's age, and for shortestWait at least.
const (
	rosterWait   = 1100 * time.Millisecond
	shortestWait = 300 * time.Millisecond
	// startSpan is how long a front that has just started, and knows no reading yet, asks
	// without letting answers be held.
	startSpan = 3 * time.Second
)

// Follower follows the feed for one node.
type Follower struct {
	caller     *link.Caller
	member     feed.Member
	onView     func(*feed.View) error
	began      time.Time
	seeds      atomic.Pointer[[]string]
	view       atomic.Pointer[feed.View]
	roll       atomic.Pointer[roll]
	needsWhole atomic.Bool                   // changes did not fit the view held
	freshUntil atomic.Int64                  // since began, on the monotonic clock
	renewed    atomic.Pointer[chan struct{}] // closed when freshUntil next grows
	controlled atomic.Int64                  // when a control quorum answered last, since began
	rosterRead atomic.Pointer[time.Time]     // when the runner list in the view was read; nil before any
	adopting   chan struct{}                 // holds one token while no view is being taken
	control    string
	known      []string
	turns      int
	failures   int        // rounds in a row without an answer of a control node
	chosen     time.Time  // when the control node was chosen
	foreign    chan error // holds what makes this node's data folder useless here
	context    context.Context
	stop       context.CancelFunc
	done       chan struct{}
}

// roll is a list of live members, and the digest that its control node gave it.
type roll struct {
	members []feed.Member
	digest  uint64
}

// Start begins to follow. The view given, if any, is what the node's disk held;
// onView is called with every newer one, in order, before it is shown; what it refuses
// is not shown, and is offered again.
//
//	following := follower.Start(caller, member, seeds, held, func(view *feed.View) error { ... })
func Start(caller *link.Caller, member feed.Member, seeds []string, held *feed.View, onView func(*feed.View) error) *Follower {
	follower := &Follower{caller: caller, member: member, onView: onView, began: time.Now(), foreign: make(chan error, 1), adopting: make(chan struct{}, 1), done: make(chan struct{})}
	if held == nil {
		held = &feed.View{}
	}
	follower.view.Store(held)
	follower.renewed.Store(new(make(chan struct{})))
	follower.roll.Store(&roll{})
	follower.SetSeeds(seeds)
	follower.context, follower.stop = context.WithCancel(context.Background())
	follower.adopting <- struct{}{}
	go follower.run()
	return follower
}

// SetSeeds replaces the seed addresses, as SIGHUP does.
//
//	following.SetSeeds([]string{"10.0.0.1:7000"})
func (follower *Follower) SetSeeds(seeds []string) {
	seeds = slices.Clone(seeds)
	follower.seeds.Store(&seeds)
}

// View gives the newest view held, fresh or not.
//
//	view := following.View()
func (follower *Follower) View() *feed.View { return follower.view.Load() }

// Members gives the live nodes, by the control nodes' sessions.
//
//	for _, member := range following.Members() { ... }
func (follower *Follower) Members() []feed.Member { return follower.roll.Load().members }

// Fresh gives the view if it may be acted on: within the window, a control
// quorum or a store majority said that nothing newer exists.
//
//	view, err := following.Fresh()
func (follower *Follower) Fresh() (*feed.View, error) {
	view := follower.view.Load()
	if view.Number == 0 || int64(time.Since(follower.began)) >= follower.freshUntil.Load() {
		return nil, apierror.Later(apierror.NotRun, "this node cannot tell whether its configuration is still in force", "ask again or at another node", time.Second)
	}
	return view, nil
}

// AwaitFresh is Fresh for those who can wait: a node that has just started, or whose view
// was fresh until lately, mostly soon hears that nothing newer exists. Timeout counts from
// when the view was fresh last, or from the start; once it is over, nobody waits.
//
//	view, err := following.AwaitFresh(ctx, 1500*time.Millisecond)
func (follower *Follower) AwaitFresh(ctx context.Context, timeout time.Duration) (*feed.View, error) {
	for {
		renewed := *follower.renewed.Load()
		view, err := follower.Fresh()
		left := time.Duration(follower.freshUntil.Load()) + timeout - time.Since(follower.began)
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

// ControlledWithin tells whether a control quorum answered that lately.
//
//	if following.ControlledWithin(5 * time.Second) { ... }
func (follower *Follower) ControlledWithin(age time.Duration) bool {
	last := time.Duration(follower.controlled.Load())
	return last > 0 && time.Since(follower.began)-last < age
}

// RosterRead tells when the runner list whose content is in the view was read last, by
// this node's clock; zero if that is not known. What the list showed then is in the view
// that View gives afterwards.
//
//	if time.Since(following.RosterRead()) > time.Second { ... }
func (follower *Follower) RosterRead() time.Time {
	if read := follower.rosterRead.Load(); read != nil {
		return *read
	}
	return time.Time{}
}

// noteRoster keeps when the runner list was read, by the answer to a query asked then.
func (follower *Follower) noteRoster(reply *wire.FollowReply, asked time.Time) {
	read := asked.Add(-reply.RosterAge)
	if reply.RosterRead && read.After(follower.RosterRead()) {
		follower.rosterRead.Store(&read)
	}
}

// Adopt takes a view if it is newer, whoever brought it, and tells whether this node now
// holds it or a newer one.
//
//	if !following.Adopt(view) { ... }
func (follower *Follower) Adopt(view *feed.View) bool {
	select {
	case <-follower.adopting:
		defer func() { follower.adopting <- struct{}{} }()
	case <-follower.context.Done():
		return false
	}
	held := follower.view.Load()
	if held.BoundFleet() != "" && held.BoundFleet() != view.Fleet {
		return false
	}
	if view.Number <= held.Number {
		return true
	}
	if err := follower.onView(view); err != nil {
		log.WithFields(log.Fields{"node": follower.member.Name, "number": view.Number, "error": err.Error()}).Error("view_not_taken")
		return false
	}
	follower.view.Store(view)
	return true
}

func (follower *Follower) confirm(asked time.Time) {
	until := int64(asked.Sub(follower.began) + Window)
	if until > follower.freshUntil.Load() {
		follower.freshUntil.Store(until)
		close(*follower.renewed.Swap(new(make(chan struct{}))))
	}
}

// Stop ends following.
//
//	defer following.Stop()
func (follower *Follower) Stop() {
	follower.stop()
	<-follower.done
}

func (follower *Follower) run() {
	defer close(follower.done)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-follower.context.Done():
			return
		case <-tick.C:
		}
		if follower.round() {
			follower.failures = 0
		} else {
			follower.failures++
		}
		tick.Reset(min(longestPause, shortestPause*time.Duration(max(1, follower.failures))))
	}
}

// round asks a control node, which may hold its answer for a while if it answered last
// time, and the stores too if the answer is late. While no control node answers, a few are
// asked at once: some may be gone and say nothing. It tells whether one confirmed.
func (follower *Follower) round() bool {
	wait, asked := time.Duration(0), follower.pickControls()
	if follower.control != "" {
		wait = follower.wait()
	}
	ctx, cancel := context.WithTimeout(follower.context, wait+askTimeout)
	defer cancel()
	confirmed := make(chan string, len(asked)) // the address that did, or ""
	for _, address := range asked {
		go func() {
			if follower.askControl(ctx, address, wait) {
				confirmed <- address
			} else {
				confirmed <- ""
			}
		}()
	}
	hedge := time.NewTimer(wait + hedgeAfter)
	defer hedge.Stop()
	hedged := false
	for left := len(asked); left > 0; {
		select {
		case address := <-confirmed:
			if left--; address != "" {
				if follower.control != address { // the quickest of a few; home soon
					follower.control, follower.chosen = address, time.Now().Add(settleHome-homeInterval)
				}
				return true
			}
		case <-hedge.C:
			hedged = true
			follower.askStores()
		}
	}
	follower.control = ""
	if !hedged {
		follower.askStores()
	}
	return false
}

// wait is for how long a control node may hold its answer while nothing changes.
func (follower *Follower) wait() time.Duration {
	if wait, fixed := waits[follower.member.Role]; fixed {
		return wait
	}
	read := follower.RosterRead()
	if read.IsZero() && time.Since(follower.began) < startSpan {
		return 0
	}
	if read.IsZero() {
		return usualWait
	}
	return max(shortestWait, min(usualWait, rosterWait-time.Since(read)))
}

func (follower *Follower) askControl(ctx context.Context, address string, wait time.Duration) bool {
	asked, view := time.Now(), follower.view.Load()
	query := &wire.FollowQuery{Member: follower.member, After: view.Number, Wait: wait, Known: follower.roll.Load().digest, Packed: true}
	if follower.needsWhole.Load() {
		query.After = 0
	}
	reply, err := follower.caller.Call(ctx, address, &wire.Query{Fleet: view.BoundFleet(), Which: schema.Query_Which_follow, Follow: query})
	if err != nil || reply.Follow == nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			follower.caller.Drop(address)
		}
		if ctx.Err() != context.Canceled && err != nil {
			log.WithFields(log.Fields{"node": follower.member.Name, "control": address, "error": err.Error()}).Warn("follow_failed")
		}
		follower.noteForeign(err)
		return false
	}
	next, err := newer(view, reply.Follow)
	if err != nil {
		log.WithFields(log.Fields{"node": follower.member.Name, "control": address, "number": view.Number, "error": err.Error()}).Warn("whole_view_needed")
		follower.needsWhole.Store(true)
		return false
	}
	if next.Number < reply.Follow.Newest {
		return false
	}
	confirmed := asked.Add(reply.Follow.Held)
	follower.controlled.Store(int64(confirmed.Sub(follower.began)))
	if !follower.Adopt(next) {
		return false
	}
	if query.After == 0 {
		follower.needsWhole.Store(false)
	}
	if reply.Follow.Known != 0 {
		follower.roll.Store(&roll{reply.Follow.Members, reply.Follow.Known})
	}
	follower.noteRoster(reply.Follow, asked)
	follower.confirm(confirmed)
	return true
}

// newer gives the view that a control node's answer leads to from the one held.
func newer(held *feed.View, answer *wire.FollowReply) (*feed.View, error) {
	if answer.Reset {
		return answer.Whole()
	}
	next, err := feed.FoldAll(*held, answer.Changes)
	return &next, err
}

// noteForeign tells, once, that the control plane belongs to another fleet, if this
// node has not been with one of its own fleet since it started.
func (follower *Follower) noteForeign(err error) {
	if !apierror.Is(err, apierror.ForeignFleet) || follower.controlled.Load() > 0 {
		return
	}
	select {
	case follower.foreign <- err:
	default:
	}
}

// Foreign gives the reason why a node that has just started can't go on: its data
// folder belongs to another fleet than its seeds.
//
//	err := <-following.Foreign()
func (follower *Follower) Foreign() <-chan error { return follower.foreign }

// pickControls keeps to the control node that answered last, but comes home to the one that
// is best for this node; else it takes the next few of those the view or the seeds name.
func (follower *Follower) pickControls() []string {
	view := follower.view.Load()
	if follower.control != "" && time.Since(follower.chosen) > homeInterval {
		follower.chosen = time.Now()
		if ranked := follower.ranked(view); len(ranked) > 0 && follower.livesAt(ranked[0]) {
			follower.control, follower.known = ranked[0], ranked[1:]
		}
	}
	if follower.control != "" {
		return []string{follower.control}
	}
	if len(follower.known) == 0 {
		follower.known = follower.ranked(view)
		follower.turns++
		if len(follower.known) == 0 || follower.turns%2 == 0 {
			for _, address := range follower.askSeeds() {
				if !slices.Contains(follower.known, address) {
					follower.known = append(follower.known, address)
				}
			}
		}
	}
	picked := follower.known[:min(askedAtOnce, len(follower.known))]
	follower.known = follower.known[len(picked):]
	return picked
}

// ranked lists the control nodes of a view, those of this node's domain first, and spread
// evenly over the nodes that ask.
func (follower *Follower) ranked(view *feed.View) []string {
	places, near, far := []placement.Place{}, []string{}, []string{}
	for _, member := range view.Controls {
		places = append(places, placement.Place{Name: member.Address, Domain: member.Domain})
	}
	for _, place := range placement.Ranked(follower.member.Name, places) {
		if place.Domain == follower.member.Domain {
			near = append(near, place.Name)
		} else {
			far = append(far, place.Name)
		}
	}
	return append(near, far...)
}

func (follower *Follower) livesAt(address string) bool {
	return slices.ContainsFunc(follower.Members(), func(member feed.Member) bool { return member.Address == address })
}

// askSeeds asks all seeds at once, and gives what the first of use tells of control nodes.
func (follower *Follower) askSeeds() []string {
	seeds := *follower.seeds.Load()
	ctx, cancel := context.WithTimeout(follower.context, seedTimeout)
	defer cancel()
	answers := make(chan []string, len(seeds))
	for _, seed := range seeds {
		go func() {
			found := []string{}
			reply, err := follower.caller.Call(ctx, seed, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
			if err == nil && reply.Status != nil {
				if reply.Status.Role == feed.RoleControl && !reply.Status.Empty {
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

// askStores takes the newest view of a store majority; that majority meets every
// one that a change was acknowledged by.
func (follower *Follower) askStores() {
	asked, view := time.Now(), follower.view.Load()
	stores := feed.ViewReplicas(view.Stores)
	if len(stores) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(follower.context, askTimeout)
	defer cancel()
	answers := make(chan *wire.NewestReply, len(stores))
	for _, store := range stores {
		go func() {
			reply, err := follower.caller.Call(ctx, store.Address, &wire.Query{Fleet: view.BoundFleet(), To: store.Name, Which: schema.Query_Which_newest, Newest: &wire.NewestQuery{After: view.Number, Packed: true}})
			if err != nil {
				answers <- nil
				return
			}
			answers <- reply.Newest
		}()
	}
	heard, newest := 0, view
	for range stores {
		answer := <-answers
		if answer == nil {
			continue
		}
		if answer.Number > newest.Number {
			whole, err := answer.Whole()
			if err != nil {
				continue // as if it had not answered
			}
			newest = whole
		}
		heard++
		if heard >= len(stores)/2+1 {
			break
		}
	}
	if heard < len(stores)/2+1 {
		return
	}
	follower.Adopt(newest)
	if newest == view {
		follower.confirm(asked)
	}
}
