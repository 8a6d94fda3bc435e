package sessionlog

import (
	"encoding/binary"
	"time"
)

// ExpiresAt returns when the session's retention ends, by the group's clock.
//
//	if session.ExpiresAt().Before(now) { ... }
func (session *Session) ExpiresAt() time.Time {
	return time.Unix(0, max(session.UpdatedAt+int64(session.Retention), session.RetainUntil))
}

// HasExpired tells whether the retention of some session may be over at a time. It may report
// true for a session that was updated since; removeExpired then keeps it. It never misses one.
//
//	if view.HasExpired(clock) { ... }
func (view *View) HasExpired(clock int64) bool {
	first, found := view.firstExpiry()
	return found && first.dueAt < clock
}

// expiryEntry is an entry of the index of expiries: a session and a time, by the group's clock,
// that is not after its expiry.
type expiryEntry struct {
	key     string
	dueAt      int64
	session string
}

// firstExpiry returns the earliest entry of the index of expiries.
func (view *View) firstExpiry() (first expiryEntry, found bool) {
	iterator := view.expiries.Iterator()
	key, session, found := iterator.Next()
	if !found {
		return expiryEntry{}, false
	}
	return expiryEntry{key: key, dueAt: int64(binary.BigEndian.Uint64([]byte(key))), session: session}, true
}

// removeExpired removes the sessions whose retention is over. An entry of the index that is
// due may be out of date, as updates don't move it; then it is moved now.
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

// removeSession takes a session out of the view and all its indexes but expiries.
func (view *View) removeSession(session *Session) {
	view.sessions = view.sessions.Delete(session.Name)
	view.unarchived = view.unarchived.Delete(session.Name)
	view.archiveDigests.Toggle(session.Name, session.ArchivedSeq)
	view.removeTurns(session)
	view.releasePrefixes(session)
}

// expiryKey sorts by the time of expiry: eight bytes of it, then the session's name.
func expiryKey(session *Session) string {
	return string(binary.BigEndian.AppendUint64(nil, uint64(session.ExpiresAt().UnixNano()))) + session.Name
}
