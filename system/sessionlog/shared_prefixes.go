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
	// MinPrefixBytes is how many bytes an opening holds at least; shorter ones save nothing.
	MinPrefixBytes = 256
	// MaxPrefixBytes is how many bytes one may hold.
	MaxPrefixBytes = 64 << 10
	// MaxPrefixesPerScope is how many a scope may have in one group.
	MaxPrefixesPerScope = 32
	// idlePrefixLifetime is how long, by the group's clock, an opening is held to which no line
	// refers.
	idlePrefixLifetime = time.Minute
)

// Opening is what the inputs of many conversations' first turns have in common at their
// beginning. A group holds it once for all its lines; a process holds it once for all its
// groups. It is never changed once published.
type SharedPrefix struct {
	Name  string
	Scope string
	// Size is in bytes.
	Size uint64
	// References is how many lines refer to it, Until how long it is held without any.
	References uint64
	KeepUntil  int64
	// Corrupt tells that the content is not what the name says; then there is none.
	Corrupt bool

	content unique.Handle[prefixContent]
}

// prefixContent is compared byte for byte, and never across scopes.
type prefixContent struct{ scope, data string }

// SharedPrefixName names an opening by its scope, its length and a digest.
//
//	name := line.SharedPrefixName("identity", data)
func SharedPrefixName(scope string, data []byte) string {
	digest := sha256.New()
	digest.Write([]byte(scope + "\x00"))
	digest.Write(data)
	return hex.EncodeToString(digest.Sum(nil)[:16]) + "-" + strconv.Itoa(len(data))
}

// Text is the content; "" of a damaged one.
//
//	if strings.HasPrefix(input, opening.Text()) { ... }
func (prefix *SharedPrefix) Text() string {
	if prefix.Corrupt {
		return ""
	}
	return prefix.content.Value().data
}

// SavedBytes is how many bytes each replica of the group need not hold.
//
//	saved += opening.SavedBytes()
func (prefix *SharedPrefix) SavedBytes() uint64 {
	if prefix.References == 0 {
		return 0
	}
	return (prefix.References - 1) * prefix.Size
}

// Opening finds an opening by name.
//
//	opening, found := machine.View().Opening(event.Opening)
func (view *View) SharedPrefix(name string) (*SharedPrefix, bool) { return view.prefixes.Get(name) }

// Openings iterates over all openings of the group.
//
//	for opening := range view.Openings() { ... }
func (view *View) SharedPrefixes() iter.Seq[*SharedPrefix] { return values(view.prefixes) }

// LongestSharedPrefix finds the longest opening of a scope that begins an input, byte for byte.
//
//	opening, found := machine.View().LongestSharedPrefix("identity", input)
func (view *View) LongestSharedPrefix(scope string, input []byte) (*SharedPrefix, bool) {
	known, _ := view.prefixesByScope.Get(scope)
	for _, prefix := range known {
		if !prefix.Corrupt && prefix.Size <= uint64(len(input)) && string(input[:prefix.Size]) == prefix.Text() {
			return prefix, true
		}
	}
	return nil, false
}

// FullData gives all of an event's data. False: it refers to an opening of which there is no
// sound copy here.
//
//	data, sound := view.FullData(&event)
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

// HasIdlePrefix tells whether some opening may be freed at a time.
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

func (prefix *SharedPrefix) idle(clock int64) bool {
	return prefix.References == 0 && prefix.KeepUntil < clock
}

// sharePrefix holds an opening from now on, or mends a damaged copy of it, and refers
// those lines to it that are named and still have it whole before them.
func (view *View) sharePrefix(command *Command) Outcome {
	size := len(command.Data)
	if command.Scope == "" || size < MinPrefixBytes || size > MaxPrefixBytes {
		return Outcome{Status: BadCommand}
	}
	name := SharedPrefixName(command.Scope, command.Data)
	prefix, found := view.prefixes.Get(name)
	known, _ := view.prefixesByScope.Get(command.Scope)
	switch {
	case found && !prefix.Corrupt && prefix.Text() != string(command.Data):
		return Outcome{Status: BadCommand}
	case !found && len(known) >= MaxPrefixesPerScope:
		return Outcome{Status: TooManyPrefixes}
	case !found:
		view.setPrefix(&SharedPrefix{Name: name, Scope: command.Scope, Size: uint64(size), KeepUntil: view.clock + int64(idlePrefixLifetime), content: internContent(command.Scope, command.Data)})
	case prefix.Corrupt:
		repaired := *prefix
		repaired.Corrupt, repaired.content = false, internContent(command.Scope, command.Data)
		view.setPrefix(&repaired)
	}
	for _, one := range command.Acks {
		view.factorOutPrefix(one.Session, name, command.Data)
	}
	return Outcome{Deduped: found}
}

// factorOutPrefix refers the first turns of a line to an opening that they hold whole, byte for
// byte, as far as they are not archived. Views that were published keep what they had.
func (view *View) factorOutPrefix(sessionName, name string, data []byte) {
	existing, found := view.sessions.Get(sessionName)
	if !found {
		return
	}
	fits := func(event *Event) bool {
		return event.Kind == TurnBegun && event.Follows == 0 && event.Prefix == "" && bytes.HasPrefix(event.Data, data)
	}
	if !slices.ContainsFunc(existing.Unarchived, func(event Event) bool { return fits(&event) }) {
		return
	}
	session := *existing
	session.Unarchived = slices.Clone(existing.Unarchived)
	for position := range session.Unarchived {
		if event := &session.Unarchived[position]; fits(event) {
			event.Prefix, event.Data = name, slices.Clone(event.Data[len(data):])
		}
	}
	view.addPrefixReference(&session, name)
	view.sessions = view.sessions.Set(sessionName, &session)
}

// beginTurnWithPrefix is beginTurn with an input that begins with an opening of the same
// scope. One that is not held (any more) begins nothing.
func (view *View) beginTurnWithPrefix(command *Command) Outcome {
	if _, repeat := view.Turn(command.Session, command.Producer); !repeat {
		prefix, found := view.prefixes.Get(command.Prefix)
		if !found || prefix.Scope != command.Scope || command.Follows != "" || !command.KeepData {
			session := view.sessionToChange(command)
			return session.outcome(UnknownPrefix, 0, false)
		}
	}
	return view.beginTurn(command)
}

// addPrefixReference counts a line that is not published yet among those that refer to an opening.
func (view *View) addPrefixReference(session *Session, name string) {
	if slices.Contains(session.Prefixes, name) {
		return
	}
	session.Prefixes = append(slices.Clip(session.Prefixes), name)
	known, _ := view.prefixes.Get(name)
	prefix := *known
	prefix.References++
	view.setPrefix(&prefix)
}

// releasePrefixes takes a line that is forgotten off the openings that it referred to.
func (view *View) releasePrefixes(session *Session) {
	for _, name := range session.Prefixes {
		known, found := view.prefixes.Get(name)
		if !found {
			continue
		}
		prefix := *known
		prefix.References--
		prefix.KeepUntil = view.clock + int64(idlePrefixLifetime)
		view.setPrefix(&prefix)
	}
}

// freeIdlePrefixes frees the openings that no line has referred to for a while. Whoever reads by
// an earlier view still has them; a turn that would refer to one is refused by name.
func (view *View) freeIdlePrefixes() {
	for prefix := range view.SharedPrefixes() {
		if prefix.idle(view.clock) {
			view.removePrefix(prefix)
		}
	}
}

// setPrefix puts an opening into the view, in place of one of its name.
func (view *View) setPrefix(prefix *SharedPrefix) {
	view.removePrefix(prefix)
	view.prefixes = view.prefixes.Set(prefix.Name, prefix)
	known, _ := view.prefixesByScope.Get(prefix.Scope)
	known = append(slices.Clip(known), prefix)
	slices.SortFunc(known, func(left, right *SharedPrefix) int {
		if left.Size != right.Size {
			return int(right.Size) - int(left.Size)
		}
		return strings.Compare(left.Name, right.Name)
	})
	view.prefixesByScope = view.prefixesByScope.Set(prefix.Scope, known)
}

func (view *View) removePrefix(prefix *SharedPrefix) {
	view.prefixes = view.prefixes.Delete(prefix.Name)
	known, _ := view.prefixesByScope.Get(prefix.Scope)
	others := slices.DeleteFunc(slices.Clone(known), func(one *SharedPrefix) bool { return one.Name == prefix.Name })
	if len(others) == 0 {
		view.prefixesByScope = view.prefixesByScope.Delete(prefix.Scope)
		return
	}
	view.prefixesByScope = view.prefixesByScope.Set(prefix.Scope, others)
}

func internContent(scope string, data []byte) unique.Handle[prefixContent] {
	return unique.Make(prefixContent{scope, string(data)})
}
