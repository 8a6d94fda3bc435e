package storeclient

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// findTurn searches for a turn in the sessions of all groups and returns the chain of turns
// up to it. It fails with NotFound only if the leader of every group, confirmed by a quorum,
// has no such turn.
func (client *Client) findTurn(ctx context.Context, turn wire.FindTurnQuery) ([]sessionlog.AdoptedTurn, error) {
	searched := map[uint32]bool{}
	for timeout := hedgeDelay; ; timeout = min(2*timeout, callTimeout) {
		chain, err := client.findTurnOnce(ctx, turn, timeout, searched)
		if chain != nil || err != nil {
			return chain, err
		}
		select {
		case <-time.After(maxBackoff):
		case <-ctx.Done():
			return nil, apierror.WrapRetryable(ctx.Err(), apierror.NotRun, "not all session groups could be searched for the turn in time", "retry", retryAfter)
		}
	}
}

// findTurnOnce queries every store for the turn in the groups that it leads, and adds these
// groups to searched. It returns as soon as the turn is found or all groups are searched, and
// returns nil, nil if some groups were not.
func (client *Client) findTurnOnce(ctx context.Context, turn wire.FindTurnQuery, timeout time.Duration, searched map[uint32]bool) ([]sessionlog.AdoptedTurn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	view := client.view()
	replies := make(chan *wire.FindTurnReply, len(view.Stores))
	for _, member := range view.Stores {
		go func() { // ends with the call; replies is buffered for all stores
			reply, err := client.caller.Call(ctx, member.Address, &wire.Query{Fleet: view.Fleet, Which: schema.Query_Which_find, FindTurn: &turn})
			if err != nil || reply.FoundTurn == nil {
				reply = &wire.Reply{FoundTurn: &wire.FindTurnReply{}}
			}
			replies <- reply.FoundTurn
		}()
	}
	for range view.Stores {
		reply := <-replies
		switch {
		case reply.Found:
			return reply.Chain, nil
		case reply.Open:
			return nil, beginErrors[sessionlog.TurnOpen]()
		}
		for _, group := range reply.SearchedGroups {
			searched[group] = true
		}
		if view.Groups > 0 && len(searched) >= int(view.Groups) {
			return nil, unknownTurnError()
		}
	}
	return nil, nil
}
