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

const (
	// requestTimeout is how long a reply may take beyond its long poll.
	requestTimeout = 600 * time.Millisecond
	// failureGrace is how long a poll goes on after a control node failed and no other one is
	// left to ask: those that answer nothing must not hold up the next poll.
	failureGrace = 250 * time.Millisecond
	// hedgeDelay is how late a reply of a control node is, beyond its long poll, when the
	// stores are asked as well.
	hedgeDelay = 400 * time.Millisecond
	// minPause is between the end of a poll and the next; each further poll in a row without
	// a confirmation by a control node adds as much, up to maxPause.
	minPause = 50 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// Long polls: how long a control node may delay its reply while nothing changes.
const (
	defaultLongPoll = 700 * time.Millisecond
	// A front that knows only an old reading of the runner list shortens its long poll, so
	// that it learns of the next reading before the one it has is too old to act on: to
	// runnerListLongPoll less the reading's age, but not below minLongPoll.
	runnerListLongPoll = 1100 * time.Millisecond
	minLongPoll        = 300 * time.Millisecond
	// reconnectPeriod is how long after its start, or after it lost contact with the control
	// nodes, a client whose reading is too old polls without delay. The next reading comes soon
	// then, and changes nothing that would end a long poll.
	reconnectPeriod = 3 * time.Second
)

// longPollByRole has the roles whose long poll is fixed. Stores are few, and their heartbeats
// are missed sooner.
var longPollByRole = map[string]time.Duration{feed.RoleStore: 300 * time.Millisecond}

// run polls until Stop is called. It is the only goroutine that uses the fields for polling.
func (client *Client) run() {
	defer close(client.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-client.ctx.Done():
			return
		case <-timer.C:
		}
		if client.poll() {
			if client.failures > 0 {
				client.connectedAt = time.Now()
			}
			client.failures = 0
		} else {
			client.failures++
		}
		timer.Reset(min(maxPause, minPause*time.Duration(max(1, client.failures))))
	}
}

// poll asks the control node that replied last, with a long poll, or a few at once if none
// did, as some may be unreachable. It hedges with the stores if the reply is late, and reports
// whether a control node confirmed a view. The requests are cancelled when it returns; their
// goroutines are not waited for.
func (client *Client) poll() bool {
	wait, addresses := time.Duration(0), client.pickControls()
	if client.control != "" {
		wait = client.longPoll()
	}
	ctx, cancel := context.WithTimeout(client.ctx, wait+requestTimeout)
	defer cancel()
	confirmed, hedged := client.awaitConfirmation(ctx, addresses, wait)
	if confirmed != "" {
		client.keepControl(confirmed)
		return true
	}
	client.control = ""
	if !hedged {
		client.pollStores()
	}
	return false
}

// awaitConfirmation polls control nodes until one of them confirms, and returns its address,
// or "" if none does. In the place of one that fails the next candidate is asked at once. It
// also reports whether the stores were asked meanwhile.
func (client *Client) awaitConfirmation(ctx context.Context, addresses []string, wait time.Duration) (confirmed string, hedged bool) {
	// The address that confirmed, or "". There is room for all, as nobody may wait any more.
	confirmations := make(chan string, len(addresses)+len(client.candidates))
	start := func(address string, wait time.Duration) {
		go func() {
			if client.pollControl(ctx, address, wait) {
				confirmations <- address
			} else {
				confirmations <- ""
			}
		}()
	}
	for _, address := range addresses {
		start(address, wait)
	}
	hedge, abandon := time.NewTimer(wait+hedgeDelay), make(<-chan time.Time)
	defer hedge.Stop()
	for pending := len(addresses); pending > 0; {
		select {
		case address := <-confirmations:
			if address != "" {
				return address, hedged
			}
			if next := client.nextCandidate(); next != "" && ctx.Err() == nil {
				start(next, 0)
				continue
			}
			pending--
			abandon = time.After(failureGrace)
		case <-abandon:
			return "", hedged
		case <-hedge.C:
			hedged = true
			client.pollStores()
		}
	}
	return "", hedged
}

// longPoll is how long the control node may delay its reply.
func (client *Client) longPoll() time.Duration {
	if wait, fixed := longPollByRole[client.self.Role]; fixed {
		return wait
	}
	readAt := client.RunnerListReadAt()
	if time.Since(readAt) > runnerListLongPoll && time.Since(client.connectedAt) < reconnectPeriod {
		return 0
	}
	if readAt.IsZero() {
		return defaultLongPoll
	}
	return max(minLongPoll, min(defaultLongPoll, runnerListLongPoll-time.Since(readAt)))
}

// pollControl sends one poll to a control node and applies its reply. It reports whether the
// reply confirmed the client's view.
func (client *Client) pollControl(ctx context.Context, address string, wait time.Duration) bool {
	sentAt, view := time.Now(), client.view.Load()
	query := &wire.FollowQuery{Member: client.self, After: view.Number, Wait: wait, MembersDigest: client.members.Load().digest, Packed: true}
	if client.needsFullView.Load() {
		query.After = 0
	}
	reply, err := client.rpc.Call(ctx, address, &wire.Query{Fleet: view.BoundFleet(), Which: schema.Query_Which_follow, Follow: query})
	if err != nil || reply.Follow == nil {
		client.onPollFailed(ctx, address, err)
		return false
	}
	next, err := viewAfter(view, reply.Follow)
	if err != nil {
		log.WithFields(log.Fields{"node": client.self.Name, "address": address, "number": view.Number, "error": err.Error()}).Warn("changes do not follow on this node's view; asking for a full view")
		client.needsFullView.Store(true)
		return false
	}
	return client.onReply(reply.Follow, next, sentAt, query.After == 0)
}

// onPollFailed closes the connection after a timeout, as the control node may be frozen or
// gone, and logs the error unless the poll was cancelled.
func (client *Client) onPollFailed(ctx context.Context, address string, err error) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		client.rpc.Drop(address)
	}
	if !errors.Is(ctx.Err(), context.Canceled) && err != nil {
		log.WithFields(log.Fields{"node": client.self.Name, "address": address, "error": err.Error()}).Warn("a control node did not answer a poll of the feed")
	}
	client.reportForeignFleet(err)
}

// onReply adopts the view that a reply leads to and, with it, what the reply confirms about
// it. isFull says that a full view was asked for. It reports whether the client's view is
// confirmed now.
func (client *Client) onReply(reply *wire.FollowReply, next *feed.View, sentAt time.Time, isFull bool) bool {
	if next.Number < reply.Newest {
		return false
	}
	// The quorum confirmed at the earliest when the node began to ask it, and that was at least
	// ConfirmationDelay after the query was sent.
	confirmedAt := sentAt.Add(reply.ConfirmationDelay)
	client.lastControlReply.Store(int64(confirmedAt.Sub(client.startedAt)))
	if !client.Adopt(next) {
		return false
	}
	if isFull {
		client.needsFullView.Store(false)
	}
	if reply.MembersDigest != 0 {
		client.members.Store(&memberList{reply.Members, reply.MembersDigest})
	}
	// After Adopt: whoever sees the new reading must find its content in the view.
	client.recordRunnerListAge(reply, sentAt)
	client.extendFreshness(confirmedAt)
	return true
}

// viewAfter returns the view that a reply leads to from the current one; an error if its
// changes do not follow on that.
func viewAfter(current *feed.View, reply *wire.FollowReply) (*feed.View, error) {
	if reply.Reset {
		return reply.FullView()
	}
	next, err := feed.FoldAll(*current, reply.Changes)
	return &next, err
}

// reportForeignFleet reports, once, a control node's rejection because of its fleet, unless a
// control node of this fleet has replied since the start: then the seeds are merely wrong by
// now.
func (client *Client) reportForeignFleet(err error) {
	if !apierror.Is(err, apierror.ForeignFleet) || client.lastControlReply.Load() > 0 {
		return
	}
	select {
	case client.foreignFleet <- err:
	default: // reported already
	}
}
