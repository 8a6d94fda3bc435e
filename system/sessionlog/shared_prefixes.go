package sessionlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"
	"unique"
)

const (
	// MinPrefixBytes is the minimum length of a shared prefix; sharing a shorter one saves
	// nothing.
	MinPrefixBytes = 256
	// MaxPrefixBytes is the maximum length of a shared prefix.
	MaxPrefixBytes = 64 << 10
	// maxPrefixesPerScope is the maximum number of shared prefixes of one scope in a group.
	maxPrefixesPerScope = 32
	// idlePrefixLifetime is how long an unreferenced prefix is kept, by the group's clock.
	idlePrefixLifetime = time.Minute
)

// SharedPrefix is a common prefix of the inputs of first turns of several sessions. A group stores
// it once for all its sessions, and a process keeps its content in memory once for all groups.
// It is immutable once published.
type SharedPrefix struct {
	// Name is a digest of the scope and the content (SharedPrefixName).
	Name string
	// Scope identifies the set of sessions that may share the prefix. It comes from the
	// route's configuration.
	Scope string
	// Size is the length of the content in bytes.
	Size uint64
	// References is the number of sessions that refer to the prefix. While it is 0, the
	// prefix is kept until KeepUntil, in nanoseconds of the group's clock.
	References uint64
	KeepUntil  int64
	// Corrupt is set if the content did not match the name; content is then unset.
	Corrupt bool

	content unique.Handle[prefixContent]
}

// prefixContent is interned once per process. Contents are compared in full, not by digest, and
// contents of different scopes are never shared.
type prefixContent struct{ scope, data string }

// SharedPrefixName returns the name of a shared prefix: a digest of its scope and content, and its
// length. The name is stored.
//
//	name := sessionlog.SharedPrefixName("identity", data)
func SharedPrefixName(scope string, data []byte) string {
	digest := sha256.New()
	digest.Write([]byte(scope + "\x00"))
	digest.Write(data)
	return hex.EncodeToString(digest.Sum(nil)[:16]) + "-" + strconv.Itoa(len(data))
}

// Text returns the content, or "" if the prefix is corrupt.
//
//	if strings.HasPrefix(input, prefix.Text()) { ... }
func (prefix *SharedPrefix) Text() string {
	if prefix.Corrupt {
		return ""
	}
	return prefix.content.Value().data
}

// SavedBytes returns the number of bytes that each replica of the group saves by sharing the
// prefix.
//
//	saved += prefix.SavedBytes()
func (prefix *SharedPrefix) SavedBytes() uint64 {
	if prefix.References == 0 {
		return 0
	}
	return (prefix.References - 1) * prefix.Size
}

// SharedPrefix returns a shared prefix by name.
//
//	prefix, found := machine.View().SharedPrefix(event.Prefix)
func (view *View) SharedPrefix(name string) (*SharedPrefix, bool) { return view.prefixes.Get(name) }

// SharedPrefixes iterates over all shared prefixes of the group, in unspecified order.
//
//	for prefix := range view.SharedPrefixes() { ... }
func (view *View) SharedPrefixes() iter.Seq[*SharedPrefix] { return values(view.prefixes) }

// LongestSharedPrefix returns the longest shared prefix of a scope with which an input begins,
// compared byte for byte.
//
//	prefix, found := machine.View().LongestSharedPrefix("identity", input)
func (view *View) LongestSharedPrefix(scope string, input []byte) (*SharedPrefix, bool) {
	prefixes, _ := view.prefixesByScope.Get(scope)
	for _, prefix := range prefixes {
		if !prefix.Corrupt && prefix.Size <= uint64(len(input)) && string(input[:prefix.Size]) == prefix.Text() {
			return prefix, true
		}
	}
	return nil, false
}

// FullData returns an event's data, preceded by the shared prefix to which the event refers. It
// returns false if this replica has no intact copy of that prefix.
//
//	data, intact := view.FullData(&event)
func (view *View) FullData(event *Event) ([]byte, bool) {
	if event.Prefix == "" {
		return event.Data, true
	}
	prefix, found := view.prefixes.Get(event.Prefix)
	if !found || prefix.Corrupt {
		return nil, false
	}
	return slices.Concat([]byte(prefix.Text()), event.Data), true
}

// HasIdlePrefix reports whether any shared prefix may be freed at the given time of the group's
// clock, in nanoseconds.
//
//	if view.HasIdlePrefix(clock) { ... }
func (view *View) HasIdlePrefix(clock int64) bool {
	for prefix := range view.SharedPrefixes() {
		if prefix.idle(clock) {
			return true
		}
	}
	return false
}

// idle reports whether the prefix may be freed: it is unreferenced and KeepUntil has passed.
func (prefix *SharedPrefix) idle(clock int64) bool {
	return prefix.References == 0 && prefix.KeepUntil < clock
}

// sharePrefix stores a prefix, or repairs a corrupt copy of it, and replaces it with a reference in
// those first turns of the named sessions that begin with it. A repair has no effect on replicas
// whose copy is intact, so all replicas end with the same content.
func (view *View) sharePrefix(command *Command) Result {
	size := len(command.Data)
	if command.Scope == "" || size < MinPrefixBytes || size > MaxPrefixBytes {
		return Result{Status: BadCommand}
	}
	name := SharedPrefixName(command.Scope, command.Data)
	prefix, found := view.prefixes.Get(name)
	scopePrefixes, _ := view.prefixesByScope.Get(command.Scope)
	switch {
	case found && !prefix.Corrupt && prefix.Text() != string(command.Data):
		return Result{Status: BadCommand}
	case !found && len(scopePrefixes) >= maxPrefixesPerScope:
		return Result{Status: TooManyPrefixes}
	case !found:
		view.setPrefix(&SharedPrefix{
			Name: name, Scope: command.Scope, Size: uint64(size), KeepUntil: view.clock + int64(idlePrefixLifetime),
			content: internContent(command.Scope, command.Data),
		})
	case prefix.Corrupt:
		repaired := *prefix
		repaired.Corrupt, repaired.content = false, internContent(command.Scope, command.Data)
		view.setPrefix(&repaired)
	}
	for _, ack := range command.Acks {
		view.factorOutPrefix(ack.Session, name, command.Data)
	}
	return Result{Deduped: found}
}

// factorOutPrefix replaces a prefix with a reference in those unarchived first turns of a session
// that begin with it, byte for byte. Published views are not affected.
func (view *View) factorOutPrefix(sessionName, name string, data []byte) {
	existing, found := view.sessions.Get(sessionName)
	if !found {
		return
	}
	matches := func(event *Event) bool {
		return event.Kind == TurnBegun && event.Follows == 0 && event.Prefix == "" && bytes.HasPrefix(event.Data, data)
	}
	if !slices.ContainsFunc(existing.Unarchived, func(event Event) bool { return matches(&event) }) {
		return
	}
	session := *existing
	session.Unarchived = slices.Clone(existing.Unarchived)
	for position := range session.Unarchived {
		if event := &session.Unarchived[position]; matches(event) {
			event.Prefix, event.Data = name, slices.Clone(event.Data[len(data):])
		}
	}
	view.addPrefixReference(&session, name)
	view.sessions = view.sessions.Set(sessionName, &session)
}

// beginTurnWithPrefix is beginTurn for an input that begins with a shared prefix of the same
// scope. It is rejected if the group does not have that prefix. A repeat is not checked again, as
// it does not begin a turn.
func (view *View) beginTurnWithPrefix(command *Command) Result {
	if _, repeated := view.Turn(command.Session, command.Producer); !repeated {
		prefix, found := view.prefixes.Get(command.Prefix)
		if !found || prefix.Scope != command.Scope || command.Follows != "" || !command.KeepData {
			session := view.sessionForUpdate(command)
			return session.result(UnknownPrefix, 0, false)
		}
	}
	return view.beginTurn(command)
}

// addPrefixReference adds a reference to an existing prefix to an unpublished session.
func (view *View) addPrefixReference(session *Session, name string) {
	if slices.Contains(session.Prefixes, name) {
		return
	}
	session.Prefixes = append(slices.Clip(session.Prefixes), name)
	existing, _ := view.prefixes.Get(name)
	prefix := *existing
	prefix.References++
	view.setPrefix(&prefix)
}

// releasePrefixes drops the prefix references of a session that is being removed.
func (view *View) releasePrefixes(session *Session) {
	for _, name := range session.Prefixes {
		existing, found := view.prefixes.Get(name)
		if !found {
			continue
		}
		prefix := *existing
		prefix.References--
		prefix.KeepUntil = view.clock + int64(idlePrefixLifetime)
		view.setPrefix(&prefix)
	}
}

// freeIdlePrefixes removes the idle prefixes. Readers of earlier views can still read them; a new
// turn that refers to one is rejected with UnknownPrefix.
func (view *View) freeIdlePrefixes() {
	for prefix := range view.SharedPrefixes() {
		if prefix.idle(view.clock) {
			view.removePrefix(prefix)
		}
	}
}

// setPrefix adds a prefix to the view and replaces any of the same name.
func (view *View) setPrefix(prefix *SharedPrefix) {
	view.removePrefix(prefix)
	view.prefixes = view.prefixes.Set(prefix.Name, prefix)
	scopePrefixes, _ := view.prefixesByScope.Get(prefix.Scope)
	scopePrefixes = append(slices.Clip(scopePrefixes), prefix)
	slices.SortFunc(scopePrefixes, func(left, right *SharedPrefix) int {
		if left.Size != right.Size {
			return int(right.Size) - int(left.Size)
		}
		return strings.Compare(left.Name, right.Name)
	})
	view.prefixesByScope = view.prefixesByScope.Set(prefix.Scope, scopePrefixes)
}

// removePrefix removes a prefix from the view.
func (view *View) removePrefix(prefix *SharedPrefix) {
	view.prefixes = view.prefixes.Delete(prefix.Name)
	scopePrefixes, _ := view.prefixesByScope.Get(prefix.Scope)
	remaining := slices.DeleteFunc(slices.Clone(scopePrefixes), func(other *SharedPrefix) bool { return other.Name == prefix.Name })
	if len(remaining) == 0 {
		view.prefixesByScope = view.prefixesByScope.Delete(prefix.Scope)
		return
	}
	view.prefixesByScope = view.prefixesByScope.Set(prefix.Scope, remaining)
}

// internContent returns a handle to the process-wide copy of a content.
func internContent(scope string, data []byte) unique.Handle[prefixContent] {
	return unique.Make(prefixContent{scope, string(data)})
}
