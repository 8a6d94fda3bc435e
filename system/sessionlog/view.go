package sessionlog

import (
	"iter"

	"github.com/benbjohnson/immutable"
)

// View is a group's content at one applied index. It never changes.
type View struct {
	sessions    *immutable.Map[string, *Session]
	quotaUsages *immutable.Map[string, *QuotaUsage]
	clock       int64

	// What follows is derived, so that no command and no round of the archiver walks
	// all lines. Hot are the lines with events that are not archived. Expiries holds
	// each line under a time that is no later than its expiry; when that time comes,
	// the line goes or is put under its present expiry. Sums are digests, by bucket, of
	// how far each line is archived.
	unarchived     *immutable.Map[string, struct{}]
	expiries       *immutable.SortedMap[string, string]
	archiveDigests BucketDigests
	// turns finds the turns of programs by name. Only adopted turns are in more lines
	// than one.
	turns *immutable.Map[string, []*Turn]
	// prefixes are found by name, and by the scope that may share them, longest first.
	prefixes        *immutable.Map[string, *SharedPrefix]
	prefixesByScope *immutable.Map[string, []*SharedPrefix]
}

func newView() *View {
	return &View{sessions: immutable.NewMap[string, *Session](nil), quotaUsages: immutable.NewMap[string, *QuotaUsage](nil),
		unarchived: immutable.NewMap[string, struct{}](nil), expiries: immutable.NewSortedMap[string, string](nil), turns: immutable.NewMap[string, []*Turn](nil),
		prefixes: immutable.NewMap[string, *SharedPrefix](nil), prefixesByScope: immutable.NewMap[string, []*SharedPrefix](nil)}
}

// Session finds a line.
//
//	session, found := machine.View().Session("team/c-1")
func (view *View) Session(name string) (*Session, bool) { return view.sessions.Get(name) }

// Sessions iterates over all lines.
//
//	for session := range view.Sessions() { ... }
func (view *View) Sessions() iter.Seq[*Session] { return values(view.sessions) }

// Clock is the group's time. It moves with its leaders' commands, by the time that
// went by at them.
//
//	overdue := event.Deadline < view.Clock()
func (view *View) Clock() int64 { return view.clock }

// sessionToChange copies a line to be changed, or makes it, as of the group's clock.
func (view *View) sessionToChange(command *Command) Session {
	session := Session{Name: command.Session, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind, CreatedAt: view.clock}
	if existing, found := view.sessions.Get(command.Session); found {
		session = *existing
	}
	session.Retention = max(session.Retention, command.Retention)
	session.UpdatedAt = view.clock
	return session
}

// setSession puts a changed line into the view.
func (view *View) setSession(session *Session) {
	if _, found := view.sessions.Get(session.Name); !found {
		view.expiries = view.expiries.Set(expiryKey(session), session.Name)
	}
	view.sessions = view.sessions.Set(session.Name, session)
	if _, unarchived := view.unarchived.Get(session.Name); !unarchived {
		view.unarchived = view.unarchived.Set(session.Name, struct{}{})
	}
}

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
