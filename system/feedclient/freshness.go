package feedclient

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

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

func (client *Client) extendFreshness(sentAt time.Time) {
	until := int64(sentAt.Sub(client.startedAt) + FreshnessWindow)
	if until > client.freshUntil.Load() {
		client.freshUntil.Store(until)
		close(*client.freshnessExtended.Swap(new(make(chan struct{}))))
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
