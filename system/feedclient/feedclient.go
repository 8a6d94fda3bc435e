// Package follower keeps a node's view of the feed: it renews the node's session
// with a control node, takes changes from its place on, and knows until when the
// view may be acted on.
package feedclient

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/feed"
	"yardrock.example/system/link"
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

// Stop ends following.
//
//	defer following.Stop()
func (client *Client) Stop() {
	client.stop()
	<-client.done
}

// ForeignFleet gives the reason why a node that has just started can't go on: its data
// folder belongs to another fleet than its seeds.
//
//	err := <-following.ForeignFleet()
func (client *Client) ForeignFleet() <-chan error { return client.foreignFleet }
