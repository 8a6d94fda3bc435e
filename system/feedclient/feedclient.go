// Package feedclient keeps a process's view of the feed up to date, and knows until when the
// view may be acted on.
//
// A Client polls one control node, its preferred one if it can, with long polling: each poll
// is also the process's heartbeat, brings the changes after the client's view, and confirms
// that nothing newer exists. When control nodes are late or unreachable, the client asks the
// stores that replicate views; a majority of them includes one that has every acknowledged
// change.
//
// Guarantees:
//   - View only moves forward in number, and never to another fleet's view.
//   - A view is shown only after the owner's onView accepted it, in order of numbers.
//   - Fresh gives a view only within freshnessWindow of a confirmation, counted from when the
//     query for it was sent. So nobody acts on a view any more when freshnessWindow has
//     passed since a change of it was acknowledged.
//
// A Client owns the view in memory; its owner stores it on disk, in onView.
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

// Client follows the feed for one process. Its methods may be called concurrently.
type Client struct {
	rpc       *link.Client
	self      feed.Member
	onView    func(*feed.View) error
	startedAt time.Time // the durations below count from it, on the monotonic clock

	seeds            atomic.Pointer[[]string]
	view             atomic.Pointer[feed.View]
	members          atomic.Pointer[memberList]
	needsFullView    atomic.Bool               // changes did not follow on the view
	lastControlReply atomic.Int64              // duration; when a control quorum confirmed last; 0: never
	runnerListReadAt atomic.Pointer[time.Time] // nil: not known

	freshUntil        atomic.Int64                  // duration; 0: never fresh yet
	freshnessExtended atomic.Pointer[chan struct{}] // closed when freshUntil grows

	adoptToken   chan struct{} // a mutex that Adopt can give up waiting for; full: unlocked
	foreignFleet chan error    // has room for the one error that is reported

	// For the polling goroutine only.
	control          string    // address of the control node that confirmed last; "" after a poll without one
	preferredCheckAt time.Time // when to compare control with the preferred one
	candidates       []string  // addresses of control nodes to try next
	candidateRounds  int       // how often candidates was refilled
	failures         int       // polls in a row without a confirmation by a control node
	connectedAt      time.Time // of the start, or of the first confirmation after the last such poll

	ctx  context.Context // ends with Stop
	stop context.CancelFunc
	done chan struct{} // closed when the polling goroutine has returned
}

// memberList is the live members of the fleet, and the digest that a control node gave them.
type memberList struct {
	members []feed.Member
	digest  uint64
}

// Start begins to follow the feed for self until Stop is called. Seeds are addresses at which
// control nodes may be found. The stored view, if any, is what the process has on disk.
// onView is called with every newer view, one call at a time and in order of numbers, before
// the view is shown; a view for which it gives an error is not shown, and is offered again.
//
//	client := feedclient.Start(rpc, member, seeds, stored, func(view *feed.View) error { ... })
func Start(rpc *link.Client, self feed.Member, seeds []string, stored *feed.View, onView func(*feed.View) error) *Client {
	client := &Client{rpc: rpc, self: self, onView: onView, startedAt: time.Now(), connectedAt: time.Now(), foreignFleet: make(chan error, 1), adoptToken: make(chan struct{}, 1), done: make(chan struct{})}
	if stored == nil {
		stored = &feed.View{}
	}
	client.view.Store(stored)
	client.freshnessExtended.Store(new(make(chan struct{})))
	client.members.Store(&memberList{})
	client.SetSeeds(seeds)
	client.ctx, client.stop = context.WithCancel(context.Background())
	client.adoptToken <- struct{}{}
	go client.run()
	return client
}

// Stop ends polling and returns once the polling goroutine has. A request that was in flight
// then is cancelled, but its goroutine is not waited for.
//
//	defer client.Stop()
func (client *Client) Stop() {
	client.stop()
	<-client.done
}

// SetSeeds replaces the seed addresses; the daemons do so on SIGHUP.
//
//	client.SetSeeds([]string{"10.0.0.1:7000"})
func (client *Client) SetSeeds(seeds []string) {
	seeds = slices.Clone(seeds)
	client.seeds.Store(&seeds)
}

// View returns the newest view, fresh or not; an empty one before the first. It must not be
// changed.
//
//	view := client.View()
func (client *Client) View() *feed.View { return client.view.Load() }

// Members returns the nodes that are alive by their heartbeats to the control nodes, as of the
// last reply.
//
//	for _, member := range client.Members() { ... }
func (client *Client) Members() []feed.Member { return client.members.Load().members }

// Adopt offers a view, from whichever source, and tells whether the client now has it or a
// newer one. A view of another fleet is not adopted, nor one that onView does not accept.
//
//	if !client.Adopt(view) { ... }
func (client *Client) Adopt(view *feed.View) bool {
	select {
	case <-client.adoptToken:
		defer func() { client.adoptToken <- struct{}{} }()
	case <-client.ctx.Done():
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
		log.WithFields(log.Fields{"node": client.self.Name, "number": view.Number, "error": err.Error()}).Error("a newer view was not adopted")
		return false
	}
	client.view.Store(view)
	return true
}

// ForeignFleet receives an error if the control nodes at the seeds belong to another fleet
// than the process's data directory, and no control node of its own fleet has replied since
// the start. Such a process cannot go on.
//
//	err := <-client.ForeignFleet()
func (client *Client) ForeignFleet() <-chan error { return client.foreignFleet }
