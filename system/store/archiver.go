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
	// archiveInterval is how often the archiver looks for events to archive, archiveBatch the
	// maximum number of events of a group that it archives in one round (the Starcite paper's
	// "Archiver").
	archiveInterval = 5 * time.Second
	archiveBatch    = 5000
)

// The turns of a program follow each other closely, and each reads the history of those before
// it. So the events of an active program stay in memory, within these bounds.
const (
	// activeWindow is how long a session counts as active after its last change.
	activeWindow = 15 * time.Second
	// maxUnarchivedEvents bounds the events that an active session may have in memory.
	maxUnarchivedEvents = 512
	// maxUnarchivedBytes bounds the unarchived data of a group; above it, the events of active
	// sessions are archived too.
	maxUnarchivedBytes = 1 << 20
)

// archiveAll archives events of the groups that this node leads, and removes expired sessions
// from this node's archive.
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

// isRetained reports whether a session is in the replicated state and has not expired.
func (node *Node) isRetained(sessionName string) bool {
	group := placement.GroupOf(sessionName, node.view.Load().Groups)
	machine := node.stateMachine(group)
	if machine == nil {
		return false
	}
	session, found := machine.View().Session(sessionName)
	return found && session.ExpiresAt().UnixNano() >= node.clock(group)
}

// archiveGroup writes events of one group to the archives of a majority of its voters, and only
// then commits the acknowledgement that evicts them. Without events to archive, it commits the
// same command if it would remove expired sessions or idle prefixes.
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

// chunksToArchive selects the events of a group to archive in one round, at most archiveBatch,
// and returns them with the acknowledgements that will evict them.
func chunksToArchive(group uint32, view *sessionlog.View, now int64) (chunks []wire.ArchiveChunk, acks []sessionlog.Ack) {
	budget, overLimit := archiveBatch, unarchivedBytes(view) > maxUnarchivedBytes
	for session := range view.Unarchived() {
		if budget <= 0 {
			break
		}
		expiresAt := session.ExpiresAt().UnixNano()
		if expiresAt < now || (!overLimit && isActive(session, now)) {
			continue
		}
		events := session.Unarchived[:min(len(session.Unarchived), budget)]
		budget -= len(events)
		first, last := events[0].Seq, events[len(events)-1].Seq
		chunks = append(chunks, wire.ArchiveChunk{
			Group: group, Session: session.Name, First: first, Last: last, ExpiresAt: expiresAt, Events: events,
		})
		acks = append(acks, sessionlog.Ack{Session: session.Name, ArchivedSeq: last})
	}
	return chunks, acks
}

// isActive reports whether a session belongs to an active program, so that its events should
// stay in memory.
func isActive(session *sessionlog.Session, now int64) bool {
	return len(session.Turns) > 0 && len(session.Unarchived) < maxUnarchivedEvents && now-session.UpdatedAt < int64(activeWindow)
}

// unarchivedBytes returns the total size of the data of a group's unarchived events.
func unarchivedBytes(view *sessionlog.View) int {
	size := 0
	for session := range view.Unarchived() {
		size += dataBytes(session.Unarchived)
	}
	return size
}
