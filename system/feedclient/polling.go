package feedclient

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

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
