package store

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/placement"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// handleRead serves a quorum read. With Wait, it holds the answer until there is
// news or the catch-up time is over, and then confirms again.
func (node *Node) handleRead(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	read := query.Read
	group := placement.GroupOf(read.Session, node.view.Load().Groups)
	var woken chan struct{}
	if read.Wait > 0 {
		woken = node.tailWaiter(read.Session)
	}
	view, err := node.linearizableView(ctx, group)
	if err != nil {
		return nil, err
	}
	if read.QuotaUsage {
		usage := view.QuotaUsage(read.Session)
		return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Spent: usage.Spent, Reserved: usage.Reserved()}}, nil
	}
	session, found := view.Session(read.Session)
	if read.Wait > 0 && found && session.Head <= read.After {
		tick := time.NewTimer(min(read.Wait, CatchUpInterval))
		defer tick.Stop()
		select {
		case <-woken:
		case <-tick.C:
			node.wakeTailReaders(read.Session)
		case <-ctx.Done():
		case <-node.context.Done():
		}
		if view, err = node.linearizableView(ctx, group); err != nil {
			return nil, err
		}
		session, found = view.Session(read.Session)
	}
	if !found {
		return nil, apierror.New(apierror.NotFound, "no line is named "+read.Session, "check the name; a line is forgotten when its keeping time is over")
	}
	events, err := node.readEvents(ctx, group, session, read.After, read.Limit)
	if err == nil {
		err = node.expandPrefixes(ctx, group, view, events)
	}
	if err != nil {
		return nil, err
	}
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Session: *session, Events: events, Clock: node.clock(group)}}, nil
}

func (node *Node) linearizableView(ctx context.Context, group uint32) (*sessionlog.View, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := node.host.Read(ctx, group); err != nil {
		return nil, err
	}
	return node.stateMachine(group).View(), nil
}

// readEvents joins hot events with cold ones, asks peers for cold events that are
// missing here, and refuses a range that still has a gap.
func (node *Node) readEvents(ctx context.Context, group uint32, session *sessionlog.Session, after, limit uint64) ([]sessionlog.Event, error) {
	if limit == 0 || limit > maxReadEvents {
		limit = maxReadEvents
	}
	if after >= session.Head {
		return nil, nil
	}
	through := min(session.Head, after+limit)
	events := []sessionlog.Event{}
	if after < session.ArchivedSeq {
		last := min(session.ArchivedSeq, through)
		found, err := node.archiveStore.Read(session.Name, after, last)
		if err != nil {
			return nil, err
		}
		if uint64(len(found)) != last-after {
			found = node.archivedFromPeers(ctx, group, session.Name, after, last, found)
		}
		events = found
	}
	for _, event := range session.Unarchived {
		if event.Seq > after && event.Seq <= through {
			events = append(events, event)
		}
	}
	for position, event := range events {
		if event.Seq != after+uint64(position)+1 {
			return nil, gapError(session.Name)
		}
	}
	if uint64(len(events)) != through-after {
		return nil, gapError(session.Name)
	}
	return events, nil
}

func gapError(name string) error {
	return apierror.NewRetryable(apierror.Gap, "a part of "+name+" cannot be read now", "ask again; the store nodes mend their copies from each other", time.Second)
}

func (node *Node) archivedFromPeers(ctx context.Context, group uint32, name string, after, through uint64, found []sessionlog.Event) []sessionlog.Event {
	bySeq := map[uint64]sessionlog.Event{}
	for _, event := range found {
		bySeq[event.Seq] = event
	}
	for _, peer := range node.host.Statuses()[group].Membership.Voters {
		if peer == node.Name() || uint64(len(bySeq)) == through-after {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := node.caller.Call(callContext, node.addressOf(peer), &wire.Query{Fleet: node.view.Load().BoundFleet(), Which: schema.Query_Which_getCold, ReadArchive: &wire.ReadArchiveQuery{Session: name, After: after, Through: through}})
		cancel()
		if err != nil || reply.Read == nil {
			continue
		}
		for _, event := range reply.Read.Events {
			bySeq[event.Seq] = event
		}
	}
	events := []sessionlog.Event{}
	for seq := after + 1; seq <= through; seq++ {
		if event, known := bySeq[seq]; known {
			events = append(events, event)
		}
	}
	return events
}
