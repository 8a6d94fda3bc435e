package sessionlog

import (
	"iter"

	"github.com/benbjohnson/immutable"
)

// View is a group's content at one applied index. It is immutable: the state machine makes a
// new one for each command, and the two share all that the command did not change.
type View struct {
	sessions    *immutable.Map[string, *Session]
	quotaUsages *immutable.Map[string, *QuotaUsage]
	clock       int64

	// The fields below are indexes, so that no command and no round of the archiver walks
	// all sessions. All but the turns and prefixes are derived from the fields above.

	// unarchived has the names of the sessions with events that are not archived.
	unarchived *immutable.Map[string, struct{}]
	// expiries has each session's name under a time that is not after its expiry (see
	// expiryKey). Updates of a session don't move its entry; removeExpired does when the
	// entry is due.
	expiries *immutable.SortedMap[string, string]
	// archiveDigests are digests of the sessions' ArchivedSeq.
	archiveDigests BucketDigests
	// turns finds turns by name. Only adopted turns are in more than one session.
	turns *immutable.Map[string, []*Turn]
	// prefixes finds shared prefixes by name, prefixesByScope by the scope that may share
	// them, longest first.
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

// Session finds a session by name. Its content must not be changed.
//
//	session, found := machine.View().Session("team/c-1")
func (view *View) Session(name string) (*Session, bool) { return view.sessions.Get(name) }

// Sessions iterates over all sessions, in no certain order.
//
//	for session := range view.Sessions() { ... }
func (view *View) Sessions() iter.Seq[*Session] { return values(view.sessions) }

// Clock returns the group's clock in nanoseconds since 1970: the latest time that a leader put
// into a command. It never goes back, and may be behind the real time (see Command.Now).
//
//	overdue := event.Deadline < view.Clock()
func (view *View) Clock() int64 { return view.clock }

// sessionForUpdate returns a copy of the session that a command names, or a new session, with
// its retention and update time brought up to date. setSession puts it into the view.
func (view *View) sessionForUpdate(command *Command) Session {
	session := Session{Name: command.Session, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind, CreatedAt: view.clock}
	if existing, found := view.sessions.Get(command.Session); found {
		session = *existing
	}
	session.Retention = max(session.Retention, command.Retention)
	session.UpdatedAt = view.clock
	return session
}

// setSession puts a session to which events were added into the view and its indexes.
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
