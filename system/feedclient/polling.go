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
	// requestTimeout is how long a reply may take in addition to its long poll.
	requestTimeout = 600 * time.Millisecond
	// failureGrace is how long a poll continues after a control node failed and no candidate is
	// left, so that unresponsive control nodes do not delay the next poll.
	failureGrace = 250 * time.Millisecond
	// hedgeDelay is how long after the end of the long poll a reply must be overdue before the
	// stores are polled as well.
	hedgeDelay = 400 * time.Millisecond
	// minPause is the pause between two polls. Each further consecutive poll without a
	// confirmation by a control node adds as much, up to maxPause.
	minPause = 50 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// Durations of long polls, for which a control node may delay its reply while nothing changes.
const (
	defaultLongPoll = 700 * time.Millisecond
	// A front whose runner list is getting old shortens its long poll to runnerListLongPoll
	// minus the list's age, but not below minLongPoll, so that it learns of the next read of the
	// list before its own is too old to act on.
	runnerListLongPoll = 1100 * time.Millisecond
	minLongPoll        = 300 * time.Millisecond
	// reconnectPeriod is how long after its start, or after it reconnected to the control nodes,
	// a client whose runner list is too old polls without waiting. The control plane reads the
	// list again soon, and an unchanged list would not end a long poll.
	reconnectPeriod = 3 * time.Second
)

// longPollByRole has the roles with a fixed long poll. That of stores is short, as there are few
// of them and a store that stops sending heartbeats must be detected sooner.
var longPollByRole = map[string]time.Duration{feed.RoleStore: 300 * time.Millisecond}

// run polls until Stop is called. Only its goroutine uses the polling fields of the client.
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

// poll long-polls the control node that confirmed last or, if none did, polls several at once, as
// some may be unreachable. It polls the stores as a hedge if the reply is late, and reports
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

// awaitConfirmation polls control nodes until one of them confirms, and returns its address, or
// "" if none does. When one fails, the next candidate is polled immediately in its place. It also
// reports whether the stores were polled meanwhile.
func (client *Client) awaitConfirmation(ctx context.Context, addresses []string, wait time.Duration) (confirmed string, hedged bool) {
	// The address that confirmed, or "" for a failure. The buffer holds all results, so that
	// goroutines that finish after the return do not block.
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
	hedge, graceExpired := time.NewTimer(wait+hedgeDelay), make(<-chan time.Time)
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
			graceExpired = time.After(failureGrace)
		case <-graceExpired:
			return "", hedged
		case <-hedge.C:
			hedged = true
			client.pollStores()
		}
	}
	return "", hedged
}

// longPoll returns how long the control node may delay its reply.
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

// pollControl sends one poll to a control node and processes its reply. It reports whether the
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
		log.WithFields(log.Fields{"node": client.self.Name, "address": address, "number": view.Number, "error": err.Error()}).Warn("cannot apply a feed reply to the current view; requesting a full view")
		client.needsFullView.Store(true)
		return false
	}
	return client.onReply(reply.Follow, next, sentAt, query.After == 0)
}

// onPollFailed closes the connection after a timeout, as the control node may be hung or
// unreachable, and logs the error unless the poll was cancelled.
func (client *Client) onPollFailed(ctx context.Context, address string, err error) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		client.rpc.Drop(address)
	}
	if !errors.Is(ctx.Err(), context.Canceled) && err != nil {
		log.WithFields(log.Fields{"node": client.self.Name, "address": address, "error": err.Error()}).Warn("feed poll of a control node failed")
	}
	client.reportForeignFleet(err)
}

// onReply adopts the view that results from a reply and records what the reply confirms.
// fullRequested is whether a full view was requested. It reports whether the client's view is now
// confirmed.
func (client *Client) onReply(reply *wire.FollowReply, next *feed.View, sentAt time.Time, fullRequested bool) bool {
	if next.Number < reply.Newest {
		return false
	}
	// The quorum confirmed no earlier than the control node started to ask it, which was at least
	// ConfirmationDelay after the query was sent.
	confirmedAt := sentAt.Add(reply.ConfirmationDelay)
	client.lastControlConfirmation.Store(int64(confirmedAt.Sub(client.startedAt)))
	if !client.Adopt(next) {
		return false
	}
	if fullRequested {
		client.needsFullView.Store(false)
	}
	if reply.MembersDigest != 0 {
		client.members.Store(&memberList{reply.Members, reply.MembersDigest})
	}
	// Must follow Adopt: a reader that sees the new read time must find the list in the view.
	client.recordRunnerListAge(reply, sentAt)
	client.extendFreshness(confirmedAt)
	return true
}

// viewAfter returns the view that results from a reply to the current one. It fails if the reply's
// changes cannot be folded onto the current view or its full view cannot be decoded.
func viewAfter(current *feed.View, reply *wire.FollowReply) (*feed.View, error) {
	if reply.Reset {
		return reply.FullView()
	}
	next, err := feed.FoldAll(*current, reply.Changes)
	return &next, err
}

// reportForeignFleet reports, once, that a control node rejected the client as belonging to
// another fleet. It does not if a control node of this fleet has replied since the start, as the
// seeds are then only outdated.
func (client *Client) reportForeignFleet(err error) {
	if !apierror.Is(err, apierror.ForeignFleet) || client.lastControlConfirmation.Load() > 0 {
		return
	}
	select {
	case client.foreignFleet <- err:
	default: // already reported
	}
}
