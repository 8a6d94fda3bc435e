package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/placement"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

const (
	// archiveInterval is how often the archiver looks for events to archive, archiveBatch how
	// many events of a group it archives in one round (the Starcite paper's "Archiver").
	archiveInterval = 5 * time.Second
	archiveBatch    = 5000
)

// The turns of a program follow each other soon, and each continues from all before it. So the
// events of a program stay in memory while it is active, as long as there is room.
const (
	// activeWindow is how long a program counts as active after its last change.
	activeWindow = 15 * time.Second
	// maxUnarchivedEvents of a program stay in memory, however active it is.
	maxUnarchivedEvents = 512
	// maxUnarchivedBytes of a group may stay in memory; beyond that all is archived.
	maxUnarchivedBytes = 1 << 20
)

// archiveAll archives events of the groups led here, and removes from the archive of this node
// what is past its retention.
func (node *Node) archiveAll() {
	for group, status := range node.host.Statuses() {
		if status.Leading {
			node.archiveGroup(group, status.Membership.Voters)
		}
	}
	if err := node.archiveStore.Expire(node.clock, node.isRetained); err != nil {
		log.WithFields(log.Fields{"node": node.Name(), "error": err.Error()}).Warn("cannot remove expired sessions from the archive")
	}
}

// isRetained tells whether a session is in the replicated state and has not expired.
func (node *Node) isRetained(sessionName string) bool {
	group := placement.GroupOf(sessionName, node.view.Load().Groups)
	machine := node.stateMachine(group)
	if machine == nil {
		return false
	}
	session, found := machine.View().Session(sessionName)
	return found && session.ExpiresAt().UnixNano() >= node.clock(group)
}

// archiveGroup writes events of one group to the archives of a majority of its replicas, and
// only then commits that they may be evicted. With nothing to archive it commits the same
// command if sessions or prefixes are to be removed.
func (node *Node) archiveGroup(group uint32, voters []string) {
	view, now := node.stateMachine(group).View(), node.clock(group)
	chunks, acks := chunksToArchive(group, view, now)
	if len(chunks) == 0 && !view.HasExpired(now) && !view.HasIdlePrefix(now) {
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

// chunksToArchive picks the events of a group to archive in one round, at most archiveBatch,
// with the acknowledgements that evict them afterwards.
func chunksToArchive(group uint32, view *sessionlog.View, now int64) (chunks []wire.ArchiveChunk, acks []sessionlog.Ack) {
	budget, full := archiveBatch, unarchivedBytes(view) > maxUnarchivedBytes
	for session := range view.Unarchived() {
		if budget <= 0 {
			break
		}
		expires := session.ExpiresAt().UnixNano()
		if expires < now || (!full && isActive(session, now)) {
			continue
		}
		events := session.Unarchived[:min(len(session.Unarchived), budget)]
		budget -= len(events)
		first, last := events[0].Seq, events[len(events)-1].Seq
		chunks = append(chunks, wire.ArchiveChunk{
			Group: group, Session: session.Name, First: first, Last: last, ExpiresAt: expires, Events: events,
		})
		acks = append(acks, sessionlog.Ack{Session: session.Name, ArchivedSeq: last})
	}
	return chunks, acks
}

// isActive tells whether a session is a program's whose events should stay in memory.
func isActive(session *sessionlog.Session, now int64) bool {
	return len(session.Turns) > 0 && len(session.Unarchived) < maxUnarchivedEvents && now-session.UpdatedAt < int64(activeWindow)
}

// unarchivedBytes sums the data of a group's unarchived events.
func unarchivedBytes(view *sessionlog.View) int {
	size := 0
	for session := range view.Unarchived() {
		size += dataBytes(session.Unarchived)
	}
	return size
}
