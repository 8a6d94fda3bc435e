package sessionlog

import (
	"encoding/binary"
	"time"
)

// ExpiresAt returns the time, by the group's clock, at which the session's retention ends.
//
//	if session.ExpiresAt().Before(now) { ... }
func (session *Session) ExpiresAt() time.Time {
	return time.Unix(0, max(session.UpdatedAt+int64(session.Retention), session.RetainUntil))
}

// HasExpired reports whether any session may have expired at the given time of the group's clock,
// in nanoseconds. It has no false negatives, but may return true for a session that was updated
// since it was indexed; removeExpired keeps such a session.
//
//	if view.HasExpired(clock) { ... }
func (view *View) HasExpired(clock int64) bool {
	first, found := view.firstExpiry()
	return found && first.dueAt < clock
}

// expiryEntry is an entry of the expiry index. dueAt is a lower bound of the session's expiry, by
// the group's clock.
type expiryEntry struct {
	key     string
	dueAt   int64
	session string
}

// firstExpiry returns the earliest entry of the expiry index.
func (view *View) firstExpiry() (first expiryEntry, found bool) {
	iterator := view.expiries.Iterator()
	key, session, found := iterator.Next()
	if !found {
		return expiryEntry{}, false
	}
	return expiryEntry{key: key, dueAt: int64(binary.BigEndian.Uint64([]byte(key))), session: session}, true
}

// removeExpired removes the expired sessions. Updates of a session do not move its index entry,
// so an entry that is due may be stale; it is then moved to the current expiry.
func (view *View) removeExpired() {
	for {
		first, found := view.firstExpiry()
		if !found || first.dueAt >= view.clock {
			return
		}
		view.expiries = view.expiries.Delete(first.key)
		session, known := view.sessions.Get(first.session)
		switch {
		case !known:
		case session.ExpiresAt().UnixNano() >= view.clock:
			view.expiries = view.expiries.Set(expiryKey(session), session.Name)
		default:
			view.removeSession(session)
		}
	}
}

// removeSession removes a session from the view and from all indexes except expiries.
func (view *View) removeSession(session *Session) {
	view.sessions = view.sessions.Delete(session.Name)
	view.unarchived = view.unarchived.Delete(session.Name)
	view.archiveDigests.Toggle(session.Name, session.ArchivedSeq)
	view.removeTurns(session)
	view.releasePrefixes(session)
}

// expiryKey returns an index key that sorts by expiry: its nanoseconds as eight big-endian bytes,
// then the session's name.
func expiryKey(session *Session) string {
	return string(binary.BigEndian.AppendUint64(nil, uint64(session.ExpiresAt().UnixNano()))) + session.Name
}
