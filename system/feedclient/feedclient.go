// Package feedclient keeps a process's view of the feed up to date and tracks until when the
// view is fresh, that is, may be acted on.
//
// A Client long-polls one control node, the preferred one if possible. Each poll is also the
// process's heartbeat; its reply has the changes after the client's view and confirms that
// nothing newer exists. When control nodes are slow or unreachable, the client polls the stores
// that replicate views; a majority of them includes one that has every acknowledged change.
//
// Guarantees:
//   - The number of the view only increases, and the view never becomes another fleet's.
//   - A view is published only after the owner's onView accepted it, in order of numbers.
//   - Fresh returns a view only within freshnessWindow of a confirmation, counted from when the
//     query for it was sent. So once freshnessWindow has passed since a change was acknowledged,
//     no process acts on a view without that change.
//
// A Client holds the view in memory; its owner stores it on disk in onView.
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
	startedAt time.Time // start of the durations below, which are by the monotonic clock

	seeds                   atomic.Pointer[[]string]
	view                    atomic.Pointer[feed.View]
	members                 atomic.Pointer[memberList]
	needsFullView           atomic.Bool               // the last changes could not be folded onto the view
	lastControlConfirmation atomic.Int64              // duration; last confirmation by a control quorum; 0: none
	runnerListReadAt        atomic.Pointer[time.Time] // nil: unknown

	freshUntil        atomic.Int64                  // duration; 0: never confirmed
	freshnessExtended atomic.Pointer[chan struct{}] // closed when freshUntil is extended

	adoptToken   chan struct{} // a mutex whose acquisition can be cancelled; full: unlocked
	foreignFleet chan error    // buffers the one error that is reported

	// Used by the polling goroutine only.
	control          string    // address of the control node that confirmed the last poll; "" if none did
	preferredCheckAt time.Time // time of the next check of the preferred control node
	candidates       []string  // addresses of control nodes to try next
	candidateRounds  int       // number of times candidates was refilled
	failures         int       // consecutive polls without a confirmation by a control node
	connectedAt      time.Time // time of the start, or of the first confirmation after failures

	ctx  context.Context // cancelled by Stop
	stop context.CancelFunc
	done chan struct{} // closed when the polling goroutine has returned
}

// memberList is the live members of the fleet and the digest that a control node sent with them.
type memberList struct {
	members []feed.Member
	digest  uint64
}

// Start follows the feed for self until Stop is called. Seeds are addresses of processes that
// may know the control nodes. Stored is the view that the process has on disk, or nil. onView is
// called with each newer view before it is published, one call at a time and in order of
// numbers; a view for which it returns an error is not published, and is retried.
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

// Stop ends polling and waits for the polling goroutine. Requests in flight are cancelled, but
// their goroutines are not waited for.
//
//	defer client.Stop()
func (client *Client) Stop() {
	client.stop()
	<-client.done
}

// SetSeeds replaces the seed addresses; the daemons call it on SIGHUP.
//
//	client.SetSeeds([]string{"10.0.0.1:7000"})
func (client *Client) SetSeeds(seeds []string) {
	seeds = slices.Clone(seeds)
	client.seeds.Store(&seeds)
}

// View returns the newest view, fresh or not; it is empty before the first one is adopted. The
// caller must not modify it.
//
//	view := client.View()
func (client *Client) View() *feed.View { return client.view.Load() }

// Members returns the live nodes, determined by their heartbeats to the control nodes, as of the
// last reply.
//
//	for _, member := range client.Members() { ... }
func (client *Client) Members() []feed.Member { return client.members.Load().members }

// Adopt publishes a view, from any source, if it is newer. It reports whether the client now has
// that view or a newer one. A view of another fleet or one that onView rejects is not adopted.
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
		log.WithFields(log.Fields{"node": client.self.Name, "number": view.Number, "error": err.Error()}).Error("cannot adopt a newer view")
		return false
	}
	client.view.Store(view)
	return true
}

// ForeignFleet returns a channel that receives an error if the control nodes at the seeds belong
// to another fleet than the process's data directory and no control node of its own fleet has
// replied since the start. Such a process must exit.
//
//	err := <-client.ForeignFleet()
func (client *Client) ForeignFleet() <-chan error { return client.foreignFleet }
