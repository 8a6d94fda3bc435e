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

// HasExpired tells whether the retention of some session may be over at a time. It may be
// wrong for a session that was updated since it was last looked at.
//
//	if view.HasExpired(clock) { ... }
func (view *View) HasExpired(clock int64) bool {
	expiry, _, _, found := view.firstExpiry()
	return found && expiry < clock
}

// firstExpiry returns the earliest entry of the index of expiries: its time, its key and the
// name of its session.
func (view *View) firstExpiry() (expiry int64, key, name string, found bool) {
	iterator := view.expiries.Iterator()
	key, name, found = iterator.Next()
	if !found {
		return 0, "", "", false
	}
	return int64(binary.BigEndian.Uint64([]byte(key))), key, name, true
}

// removeExpired removes the sessions whose retention is over. An entry of the index that is
// due may be out of date, as updates don't move it; then it is moved now.
func (view *View) removeExpired() {
	for {
		expiry, key, name, found := view.firstExpiry()
		if !found || expiry >= view.clock {
			return
		}
		view.expiries = view.expiries.Delete(key)
		session, known := view.sessions.Get(name)
		switch {
		case !known:
		case session.ExpiresAt().UnixNano() >= view.clock:
			view.expiries = view.expiries.Set(expiryKey(session), name)
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
