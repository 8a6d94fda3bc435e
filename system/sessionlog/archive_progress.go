package sessionlog

import (
	"iter"
	"slices"
)

// Unarchived iterates over the lines that have events to be archived.
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

// ackArchived advances archive progress, evicts what the cold store holds, and
// forgets lines and producers whose keeping time is over by the leader's clock.
func (view *View) ackArchived(command *Command) Outcome {
	for _, ack := range command.Acks {
		existing, found := view.sessions.Get(ack.Session)
		if !found || ack.ArchivedSeq <= existing.ArchivedSeq || ack.ArchivedSeq > existing.Head {
			continue
		}
		session := *existing
		session.ArchivedSeq = ack.ArchivedSeq
		session.Unarchived = slices.Clone(session.Unarchived[ack.ArchivedSeq-existing.ArchivedSeq:])
		view.sessions = view.sessions.Set(session.Name, &session)
		view.archiveDigests.Toggle(session.Name, existing.ArchivedSeq)
		view.archiveDigests.Toggle(session.Name, session.ArchivedSeq)
		if len(session.Unarchived) == 0 {
			view.unarchived = view.unarchived.Delete(session.Name)
		}
	}
	view.removeExpired()
	view.freeIdlePrefixes()
	return Outcome{}
}
