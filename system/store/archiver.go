package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/placement"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

// A program's turns follow each other soon, and each goes on from all before it. So its
// line stays in memory while it is under way, as long as there is room.
const (
	activeWindow        = 15 * time.Second
	maxUnarchivedEvents = 512
	maxUnarchivedBytes  = 1 << 20
)

// archiveAll flushes the groups led here and forgets what is past its keeping.
func (node *Node) archiveAll() {
	for group, status := range node.host.Statuses() {
		if status.Leading {
			node.archiveGroup(group, status.Membership.Voters)
		}
	}
	if err := node.archiveStore.Expire(node.clock, node.retained); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("cold_expiry_failed")
	}
}

func (node *Node) retained(name string) bool {
	group := placement.GroupOf(name, node.view.Load().Groups)
	machine := node.stateMachine(group)
	if machine == nil {
		return false
	}
	session, kept := machine.View().Session(name)
	return kept && session.ExpiresAt().UnixNano() >= node.clock(group)
}

// archiveGroup flushes one group's pending events to the cold stores of a majority of
// its replicas, and only then commits how far they may be evicted.
func (node *Node) archiveGroup(group uint32, voters []string) {
	view := node.stateMachine(group).View()
	chunks, acks := []wire.ArchiveChunk{}, []sessionlog.Ack{}
	budget, now := archiveBatch, node.clock(group)
	expired, full := view.HasExpired(now) || view.HasIdlePrefix(now), unarchivedBytes(view) > maxUnarchivedBytes
	for session := range view.Unarchived() {
		if budget <= 0 {
			break
		}
		if session.ExpiresAt().UnixNano() < now || (!full && isActive(session, now)) {
			continue
		}
		events := session.Unarchived[:min(len(session.Unarchived), budget)]
		budget -= len(events)
		first, last := events[0].Seq, events[len(events)-1].Seq
		chunks = append(chunks, wire.ArchiveChunk{Group: group, Session: session.Name, First: first, Last: last, ExpiresAt: session.ExpiresAt().UnixNano(), Events: events})
		acks = append(acks, sessionlog.Ack{Session: session.Name, ArchivedSeq: last})
	}
	if len(chunks) == 0 && !expired {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, commandTimeout)
	defer cancel()
	holders := []string{}
	if len(chunks) > 0 {
		holders = node.replicateChunks(ctx, group, voters, chunks)
	}
	node.acknowledgeArchived(ctx, group, holders, acks)
}

func isActive(session *sessionlog.Session, now int64) bool {
	return len(session.Turns) > 0 && len(session.Unarchived) < maxUnarchivedEvents && now-session.UpdatedAt < int64(activeWindow)
}

func unarchivedBytes(view *sessionlog.View) int {
	size := 0
	for session := range view.Unarchived() {
		for _, event := range session.Unarchived {
			size += len(event.Data)
		}
	}
	return size
}
