package sessionlog

import (
	"iter"
	"slices"
)

// Unarchived iterates over the sessions with unarchived events, in unspecified order.
//
//	for session := range view.Unarchived() { ... }
func (view *View) Unarchived() iter.Seq[*Session] {
	return func(yield func(*Session) bool) {
		iterator := view.unarchived.Iterator()
		for !iterator.Done() {
			name, _, _ := iterator.Next()
			if session, found := view.sessions.Get(name); found && !yield(session) {
				return
			}
		}
	}
}

// ackArchived advances the archive progress of sessions and evicts their archived events. Acks
// that are stale or beyond a session's head are ignored. It also removes expired sessions and
// idle prefixes: this must be part of a command so that all replicas do it at the same index.
func (view *View) ackArchived(command *Command) Result {
	for _, ack := range command.Acks {
		view.evictArchived(ack)
	}
	view.removeExpired()
	view.freeIdlePrefixes()
	return Result{}
}

// evictArchived evicts a session's events up to the acknowledged sequence number.
func (view *View) evictArchived(ack Ack) {
	existing, found := view.sessions.Get(ack.Session)
	if !found || ack.ArchivedSeq <= existing.ArchivedSeq || ack.ArchivedSeq > existing.Head {
		return
	}
	session := *existing
	session.ArchivedSeq = ack.ArchivedSeq
	// The remaining events are cloned: a subslice would keep the evicted ones in memory.
	session.Unarchived = slices.Clone(session.Unarchived[ack.ArchivedSeq-existing.ArchivedSeq:])
	view.sessions = view.sessions.Set(session.Name, &session)
	view.archiveDigests.Toggle(session.Name, existing.ArchivedSeq)
	view.archiveDigests.Toggle(session.Name, session.ArchivedSeq)
	if len(session.Unarchived) == 0 {
		view.unarchived = view.unarchived.Delete(session.Name)
	}
}
