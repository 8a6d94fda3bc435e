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

// maxReadEvents bounds the number of events in one read.
const maxReadEvents = 4096

// handleRead serves a linearizable read of a session's events after a cursor, or of a quota's
// usage. It fails with NotFound if the session does not exist, and with Gap rather than omit an
// event.
func (node *Node) handleRead(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	read := query.Read
	group := placement.GroupOf(read.Session, node.view.Load().Groups)
	view, err := node.viewForRead(ctx, group, read)
	if err != nil {
		return nil, err
	}
	if read.QuotaUsage {
		usage := view.QuotaUsage(read.Session)
		return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Spent: usage.Spent, Reserved: usage.Reserved()}}, nil
	}
	session, found := view.Session(read.Session)
	if !found {
		return nil, apierror.New(apierror.NotFound, "there is no session named "+read.Session, "check the name; a session is removed when its retention ends")
	}
	events, err := node.readEvents(ctx, group, session, read.After, read.Limit)
	if err != nil {
		return nil, err
	}
	if err := node.expandPrefixes(ctx, group, view, events); err != nil {
		return nil, err
	}
	return &wire.Reply{Which: schema.Reply_Which_read, Read: &wire.ReadReply{Session: *session, Events: events, Clock: node.clock(group)}}, nil
}

// linearizableView returns a view of a group that includes all commands acknowledged before the
// call (Raft's ReadIndex).
func (node *Node) linearizableView(ctx context.Context, group uint32) (*sessionlog.View, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := node.host.AwaitReadIndex(ctx, group); err != nil {
		return nil, err
	}
	return node.stateMachine(group).View(), nil
}

// readEvents returns at most limit events of a session after a sequence number, from the archive
// and from memory. Their references to shared prefixes are not expanded. It fails with Gap if an
// event is missing.
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
		events = node.readArchive(ctx, group, session.Name, after, min(session.ArchivedSeq, through))
	}
	for _, event := range session.Unarchived {
		if event.Seq > after && event.Seq <= through {
			events = append(events, event)
		}
	}
	if !isComplete(events, after, through) {
		return nil, gapError(session.Name)
	}
	return events, nil
}

// isComplete reports whether events are exactly those with sequence numbers after+1 to through,
// in order.
func isComplete(events []sessionlog.Event, after, through uint64) bool {
	for position, event := range events {
		if event.Seq != after+uint64(position)+1 {
			return false
		}
	}
	return uint64(len(events)) == through-after
}

func gapError(sessionName string) error {
	return apierror.NewRetryable(apierror.Gap, "some events of "+sessionName+" cannot be read now",
		"retry; the store nodes repair their archives from each other", time.Second)
}

// readArchive reads a range of archived events from this node's archive, and those missing there
// from peers. The result is in order and may have gaps.
func (node *Node) readArchive(ctx context.Context, group uint32, sessionName string, after, through uint64) []sessionlog.Event {
	events := node.archiveStore.Read(sessionName, after, through)
	if uint64(len(events)) == through-after {
		return events
	}
	return node.completeFromPeers(ctx, group, sessionName, after, through, events)
}

// completeFromPeers fills the gaps in a range from the archives of the peers that can be
// reached.
func (node *Node) completeFromPeers(ctx context.Context, group uint32, sessionName string, after, through uint64, found []sessionlog.Event) []sessionlog.Event {
	bySeq := map[uint64]sessionlog.Event{}
	for _, event := range found {
		bySeq[event.Seq] = event
	}
	for _, peer := range node.host.Statuses()[group].Membership.Voters {
		if peer == node.Name() || uint64(len(bySeq)) == through-after {
			continue
		}
		for _, event := range node.readPeerArchive(ctx, peer, sessionName, after, through) {
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

// readPeerArchive reads a range from a peer's archive; it returns nil if the peer does not reply.
func (node *Node) readPeerArchive(ctx context.Context, peer, sessionName string, after, through uint64) []sessionlog.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := node.callPeer(ctx, peer, &wire.Query{
		To: peer, Which: schema.Query_Which_getCold, ReadArchive: &wire.ReadArchiveQuery{Session: sessionName, After: after, Through: through},
	})
	if err != nil || reply.Read == nil {
		return nil
	}
	return reply.Read.Events
}
