package sessionlog

import (
	"encoding/binary"
	"time"
)

// ExpiresAt tells when the line's keeping time ends.
//
//	if session.ExpiresAt().Before(now) { ... }
func (session *Session) ExpiresAt() time.Time {
	return time.Unix(0, max(session.UpdatedAt+int64(session.Retention), session.RetainUntil))
}

// HasExpired tells whether some line's keeping time may be over at a time.
//
//	if view.HasExpired(clock) { ... }
func (view *View) HasExpired(clock int64) bool {
	iterator := view.expiries.Iterator()
	key, _, found := iterator.Next()
	return found && int64(binary.BigEndian.Uint64([]byte(key))) < clock
}

// removeExpired forgets the lines whose keeping time is over.
func (view *View) removeExpired() {
	for {
		iterator := view.expiries.Iterator()
		key, name, found := iterator.Next()
		if !found || int64(binary.BigEndian.Uint64([]byte(key))) >= view.clock {
			return
		}
		view.expiries = view.expiries.Delete(key)
		session, known := view.sessions.Get(name)
		switch {
		case !known:
		case session.ExpiresAt().UnixNano() >= view.clock:
			view.expiries = view.expiries.Set(expiryKey(session), name)
		default:
			view.sessions = view.sessions.Delete(name)
			view.unarchived = view.unarchived.Delete(name)
			view.archiveDigests.Toggle(name, session.ArchivedSeq)
			view.removeTurns(session)
			view.releasePrefixes(session)
		}
	}
}

func expiryKey(session *Session) string {
	return string(binary.BigEndian.AppendUint64(nil, uint64(session.ExpiresAt().UnixNano()))) + session.Name
}
