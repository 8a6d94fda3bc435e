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
	// MinPrefixBytes is the least length of a shared prefix; sharing a shorter one saves
	// nothing.
	MinPrefixBytes = 256
	// MaxPrefixBytes is the greatest length of a shared prefix.
	MaxPrefixBytes = 64 << 10
	// maxPrefixesPerScope bounds the shared prefixes of one scope in one group.
	maxPrefixesPerScope = 32
	// idlePrefixLifetime is how long, by the group's clock, a prefix stays to which no session
	// refers.
	idlePrefixLifetime = time.Minute
)

// SharedPrefix is a beginning that the inputs of first turns of several sessions have in
// common. A group stores it once for all its sessions, and a process keeps it in memory once
// for all its groups. It is never changed once published.
type SharedPrefix struct {
	// Name is a digest of the scope and the content (SharedPrefixName).
	Name string
	// Scope is whose sessions may share the prefix, as the route's configuration says.
	Scope string
	// Size is the length of the content in bytes.
	Size uint64
	// References is the number of sessions that refer to the prefix. While it is 0, the
	// prefix stays until KeepUntil, in nanoseconds of the group's clock.
	References uint64
	KeepUntil  int64
	// Corrupt tells that the content did not match the name; then there is none.
	Corrupt bool

	content unique.Handle[prefixContent]
}

// prefixContent is what a process keeps once for all its groups. The whole text is compared,
// not a digest of it, and texts of two scopes are never the same one.
type prefixContent struct{ scope, data string }

// SharedPrefixName returns the name of a shared prefix: a digest of its scope and content, and
// its length. It is stored.
//
//	name := sessionlog.SharedPrefixName("identity", data)
func SharedPrefixName(scope string, data []byte) string {
	digest := sha256.New()
	digest.Write([]byte(scope + "\x00"))
	digest.Write(data)
	return hex.EncodeToString(digest.Sum(nil)[:16]) + "-" + strconv.Itoa(len(data))
}

// Text returns the content; "" of a corrupt prefix.
//
//	if strings.HasPrefix(input, prefix.Text()) { ... }
func (prefix *SharedPrefix) Text() string {
	if prefix.Corrupt {
		return ""
	}
	return prefix.content.Value().data
}

// SavedBytes returns how many bytes each replica of the group saves by the prefix.
//
//	saved += prefix.SavedBytes()
func (prefix *SharedPrefix) SavedBytes() uint64 {
	if prefix.References == 0 {
		return 0
	}
	return (prefix.References - 1) * prefix.Size
}

// SharedPrefix finds a shared prefix by name.
//
//	prefix, found := machine.View().SharedPrefix(event.Prefix)
func (view *View) SharedPrefix(name string) (*SharedPrefix, bool) { return view.prefixes.Get(name) }

// SharedPrefixes iterates over all shared prefixes of the group, in no certain order.
//
//	for prefix := range view.SharedPrefixes() { ... }
func (view *View) SharedPrefixes() iter.Seq[*SharedPrefix] { return values(view.prefixes) }

// LongestSharedPrefix finds the longest prefix of a scope with which an input begins, byte for
// byte.
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

// FullData returns an event's data with the shared prefix to which it refers. It reports false
// if this replica has no intact copy of that prefix.
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

// HasIdlePrefix tells whether some shared prefix may be freed at a time.
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

// idle tells whether the prefix may be freed: no session has referred to it for a while.
func (prefix *SharedPrefix) idle(clock int64) bool {
	return prefix.References == 0 && prefix.KeepUntil < clock
}

// sharePrefix stores a prefix, or repairs a corrupt copy of it, and makes the sessions that
// are named refer to it as far as their first turns begin with it. At an intact replica a
// repair changes nothing, so replicas stay the same.
func (view *View) sharePrefix(command *Command) Outcome {
	size := len(command.Data)
	if command.Scope == "" || size < MinPrefixBytes || size > MaxPrefixBytes {
		return Outcome{Status: BadCommand}
	}
	name := SharedPrefixName(command.Scope, command.Data)
	prefix, found := view.prefixes.Get(name)
	scopePrefixes, _ := view.prefixesByScope.Get(command.Scope)
	switch {
	case found && !prefix.Corrupt && prefix.Text() != string(command.Data):
		return Outcome{Status: BadCommand}
	case !found && len(scopePrefixes) >= maxPrefixesPerScope:
		return Outcome{Status: TooManyPrefixes}
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
	return Outcome{Deduped: found}
}

// factorOutPrefix replaces a prefix by a reference in the first turns of a session that begin
// with it, byte for byte, and are not archived. Views that were published keep their data.
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

// beginTurnWithPrefix is beginTurn with an input that begins with a shared prefix of the same
// scope. It is rejected if the group does not have that prefix (any more). A repeat is not
// checked again, as it begins nothing.
func (view *View) beginTurnWithPrefix(command *Command) Outcome {
	if _, repeated := view.Turn(command.Session, command.Producer); !repeated {
		prefix, found := view.prefixes.Get(command.Prefix)
		if !found || prefix.Scope != command.Scope || command.Follows != "" || !command.KeepData {
			session := view.sessionForUpdate(command)
			return session.result(UnknownPrefix, 0, false)
		}
	}
	return view.beginTurn(command)
}

// addPrefixReference makes a session that is not published yet refer to a prefix, which the
// caller knows to exist.
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

// releasePrefixes drops the references of a session that is removed.
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

// freeIdlePrefixes frees the prefixes to which no session has referred for a while. A reader of
// an earlier view still has them; a turn that would refer to one gets UnknownPrefix.
func (view *View) freeIdlePrefixes() {
	for prefix := range view.SharedPrefixes() {
		if prefix.idle(view.clock) {
			view.removePrefix(prefix)
		}
	}
}

// setPrefix puts a prefix into the view, in place of the one of its name.
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

// removePrefix takes a prefix out of the view.
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

// internContent returns the one copy of a content that this process keeps.
func internContent(scope string, data []byte) unique.Handle[prefixContent] {
	return unique.Make(prefixContent{scope, string(data)})
}
