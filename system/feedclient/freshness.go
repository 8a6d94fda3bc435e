package feedclient

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

// freshnessWindow is how long a view may be acted on, counted from when the query was sent whose
// reply confirmed that nothing newer exists.
const freshnessWindow = 1500 * time.Millisecond

// Fresh returns the view if it may be acted on: if a control quorum or a majority of the stores
// that replicate views confirmed within freshnessWindow that nothing newer exists. Otherwise the
// error is an apierror.NotRun that may be retried after a second.
//
//	view, err := client.Fresh()
func (client *Client) Fresh() (*feed.View, error) {
	view := client.view.Load()
	if view.Number == 0 || int64(time.Since(client.startedAt)) >= client.freshUntil.Load() {
		return nil, apierror.NewRetryable(apierror.NotRun, "this node cannot confirm that its configuration is current", "retry, or use another node", time.Second)
	}
	return view, nil
}

// AwaitFresh is like Fresh but waits for a confirmation until timeout has passed since the view
// was last fresh, or since the start. So the callers of a process that was disconnected for
// longer do not wait. The error is that of Fresh, also when the context ends.
//
//	view, err := client.AwaitFresh(ctx, 1500*time.Millisecond)
func (client *Client) AwaitFresh(ctx context.Context, timeout time.Duration) (*feed.View, error) {
	for {
		// Load the channel before the check, so that an extension in between is not missed.
		extended := *client.freshnessExtended.Load()
		view, err := client.Fresh()
		remaining := time.Duration(client.freshUntil.Load()) + timeout - time.Since(client.startedAt)
		if err == nil || remaining <= 0 {
			return view, err
		}
		timer := time.NewTimer(remaining)
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

// extendFreshness extends freshUntil to freshnessWindow after sentAt. The window starts when the
// query was sent, as a change may have been acknowledged at any time after that. If two replies
// race, the earlier bound may be kept, which only makes the view stale sooner.
func (client *Client) extendFreshness(sentAt time.Time) {
	until := int64(sentAt.Sub(client.startedAt) + freshnessWindow)
	if until > client.freshUntil.Load() {
		client.freshUntil.Store(until)
		close(*client.freshnessExtended.Swap(new(make(chan struct{}))))
	}
}

// ControlConfirmedWithin reports whether a control quorum confirmed a view less than age ago.
//
//	if client.ControlConfirmedWithin(5 * time.Second) { ... }
func (client *Client) ControlConfirmedWithin(age time.Duration) bool {
	last := time.Duration(client.lastControlConfirmation.Load())
	return last > 0 && time.Since(client.startedAt)-last < age
}

// RunnerListReadAt returns a lower bound, by this process's clock, of when the control plane read
// the runner list in the view; zero if unknown. A view loaded after the call has the list as of
// that read or a later one.
//
//	if time.Since(client.RunnerListReadAt()) > time.Second { ... }
func (client *Client) RunnerListReadAt() time.Time {
	if readAt := client.runnerListReadAt.Load(); readAt != nil {
		return *readAt
	}
	return time.Time{}
}

// recordRunnerListAge sets the read time of the runner list to the age in a reply before sentAt.
func (client *Client) recordRunnerListAge(reply *wire.FollowReply, sentAt time.Time) {
	readAt := sentAt.Add(-reply.RunnerListAge)
	if reply.HasRunnerListAge && readAt.After(client.RunnerListReadAt()) {
		client.runnerListReadAt.Store(&readAt)
	}
}
