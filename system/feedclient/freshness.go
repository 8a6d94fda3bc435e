package feedclient

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

// freshnessWindow is how long a view may be acted on after the query was sent whose reply
// confirmed that nothing newer exists.
const freshnessWindow = 1500 * time.Millisecond

// Fresh returns the view if it may be acted on: within freshnessWindow, a control quorum or a
// majority of the stores that replicate views confirmed that nothing newer exists. Else the
// error is an apierror.NotRun to be retried after a second.
//
//	view, err := client.Fresh()
func (client *Client) Fresh() (*feed.View, error) {
	view := client.view.Load()
	if view.Number == 0 || int64(time.Since(client.startedAt)) >= client.freshUntil.Load() {
		return nil, apierror.NewRetryable(apierror.NotRun, "this node cannot tell whether its configuration is still in force", "ask again or at another node", time.Second)
	}
	return view, nil
}

// AwaitFresh is Fresh, but waits for a confirmation while one is likely to come soon: until
// timeout has passed since the view was fresh last, or since the start. So the callers of a
// process that was cut off for longer than that do not wait. The error is that of Fresh, also
// when the context ends.
//
//	view, err := client.AwaitFresh(ctx, 1500*time.Millisecond)
func (client *Client) AwaitFresh(ctx context.Context, timeout time.Duration) (*feed.View, error) {
	for {
		// Loaded before the check, so that an extension in between is not missed.
		extended := *client.freshnessExtended.Load()
		view, err := client.Fresh()
		left := time.Duration(client.freshUntil.Load()) + timeout - time.Since(client.startedAt)
		if err == nil || left <= 0 {
			return view, err
		}
		timer := time.NewTimer(left)
		select {
		case <-extended:
			timer.Stop()
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
	}
}

// extendFreshness counts a confirmation from when its query was sent, as a change may have
// been acknowledged at any time after that. When two replies race, the earlier one may win,
// which only makes the view stale a little sooner.
func (client *Client) extendFreshness(sentAt time.Time) {
	until := int64(sentAt.Sub(client.startedAt) + freshnessWindow)
	if until > client.freshUntil.Load() {
		client.freshUntil.Store(until)
		close(*client.freshnessExtended.Swap(new(make(chan struct{}))))
	}
}

// HeardControlWithin reports whether a control quorum confirmed a view at most that long ago.
//
//	if client.HeardControlWithin(5 * time.Second) { ... }
func (client *Client) HeardControlWithin(age time.Duration) bool {
	last := time.Duration(client.lastControlReply.Load())
	return last > 0 && time.Since(client.startedAt)-last < age
}

// RunnerListReadAt returns when the control plane last read the runner list whose content is in
// the view, by this process's clock and not later than it really was; zero if that is not
// known. A view loaded afterwards has what the list had then.
//
//	if time.Since(client.RunnerListReadAt()) > time.Second { ... }
func (client *Client) RunnerListReadAt() time.Time {
	if readAt := client.runnerListReadAt.Load(); readAt != nil {
		return *readAt
	}
	return time.Time{}
}

// recordRunnerListAge counts the age in a reply back from when its query was sent.
func (client *Client) recordRunnerListAge(reply *wire.FollowReply, sentAt time.Time) {
	readAt := sentAt.Add(-reply.RunnerListAge)
	if reply.HasRunnerListAge && readAt.After(client.RunnerListReadAt()) {
		client.runnerListReadAt.Store(&readAt)
	}
}
