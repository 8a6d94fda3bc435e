package sessionlog

import (
	"iter"

	"github.com/benbjohnson/immutable"
)

// View is the content of a group at one applied index. It is immutable: the state machine creates
// a new view for each command, which shares all unchanged data with its predecessor.
type View struct {
	sessions    *immutable.Map[string, *Session]
	quotaUsages *immutable.Map[string, *QuotaUsage]
	clock       int64

	// The fields below are indexes: no command and no round of the archiver scans all
	// sessions. All except the turns and prefixes are derived from the fields above.

	// unarchived has the names of the sessions with unarchived events.
	unarchived *immutable.Map[string, struct{}]
	// expiries maps keys that begin with a lower bound of a session's expiry (see expiryKey)
	// to the session's name. Updates of a session do not move its entry; removeExpired does
	// when the entry is due.
	expiries *immutable.SortedMap[string, string]
	// archiveDigests has the digests of the sessions' ArchivedSeq.
	archiveDigests BucketDigests
	// turns has the turns by name. Only adopted turns are in more than one session.
	turns *immutable.Map[string, []*Turn]
	// prefixes has the shared prefixes by name, prefixesByScope those of each scope, longest
	// first.
	prefixes        *immutable.Map[string, *SharedPrefix]
	prefixesByScope *immutable.Map[string, []*SharedPrefix]
}

func newView() *View {
	return &View{
		sessions:        immutable.NewMap[string, *Session](nil),
		quotaUsages:     immutable.NewMap[string, *QuotaUsage](nil),
		unarchived:      immutable.NewMap[string, struct{}](nil),
		expiries:        immutable.NewSortedMap[string, string](nil),
		turns:           immutable.NewMap[string, []*Turn](nil),
		prefixes:        immutable.NewMap[string, *SharedPrefix](nil),
		prefixesByScope: immutable.NewMap[string, []*SharedPrefix](nil),
	}
}

// Session returns a session by name. It must not be modified.
//
//	session, found := machine.View().Session("team/c-1")
func (view *View) Session(name string) (*Session, bool) { return view.sessions.Get(name) }

// Sessions iterates over all sessions, in unspecified order.
//
//	for session := range view.Sessions() { ... }
func (view *View) Sessions() iter.Seq[*Session] { return values(view.sessions) }

// Clock returns the group's clock in nanoseconds since the Unix epoch: the latest Command.Now that
// was applied. It is monotonic and may be behind real time.
//
//	overdue := event.Deadline < view.Clock()
func (view *View) Clock() int64 { return view.clock }

// sessionForUpdate returns a copy of the session that a command names, or a new session, with its
// retention and update time updated. setSession stores it in the view.
func (view *View) sessionForUpdate(command *Command) Session {
	session := Session{Name: command.Session, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind, CreatedAt: view.clock}
	if existing, found := view.sessions.Get(command.Session); found {
		session = *existing
	}
	session.Retention = max(session.Retention, command.Retention)
	session.UpdatedAt = view.clock
	return session
}

// setSession stores a session to which events were appended in the view and its indexes.
func (view *View) setSession(session *Session) {
	if _, found := view.sessions.Get(session.Name); !found {
		view.expiries = view.expiries.Set(expiryKey(session), session.Name)
	}
	view.sessions = view.sessions.Set(session.Name, session)
	if _, indexed := view.unarchived.Get(session.Name); !indexed {
		view.unarchived = view.unarchived.Set(session.Name, struct{}{})
	}
}

// values iterates over a map's values.
func values[Value any](source *immutable.Map[string, Value]) iter.Seq[Value] {
	return func(yield func(Value) bool) {
		iterator := source.Iterator()
		for !iterator.Done() {
			if _, value, _ := iterator.Next(); !yield(value) {
				return
			}
		}
	}
}
