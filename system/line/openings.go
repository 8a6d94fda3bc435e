package line

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

	"github.com/benbjohnson/immutable"
)

const (
	// LeastOpening is how many bytes an opening holds at least; shorter ones save nothing.
	LeastOpening = 256
	// MostOpening is how many bytes one may hold.
	MostOpening = 64 << 10
	// MostOpenings is how many a scope may have in one group.
	MostOpenings = 32
	// openingIdle is how long, by the group's clock, an opening is held to which no line
	// refers.
	openingIdle = time.Minute
)

// Opening is what the inputs of many conversations' first turns have in common at their
// beginning. A group holds it once for all its lines; a process holds it once for all its
// groups. It is never changed once published.
type Opening struct {
	Name  string
	Scope string
	// Size is in bytes.
	Size uint64
	// Lines is how many lines refer to it, Until how long it is held without any.
	Lines uint64
	Until int64
	// Damaged tells that the content is not what the name says; then there is none.
	Damaged bool

	content unique.Handle[openingContent]
}

// openingContent is compared byte for byte, and never across scopes.
type openingContent struct{ scope, data string }

// OpeningRecord is an opening as checkpoints carry it.
type OpeningRecord struct {
	Name  string `capnp:"name"`
	Scope string `capnp:"scope"`
	Data  []byte `capnp:"data"`
	Until int64  `capnp:"until"`
}

// OpeningName names an opening by its scope, its length and a digest.
//
//	name := line.OpeningName("identity", data)
func OpeningName(scope string, data []byte) string {
	digest := sha256.New()
	digest.Write([]byte(scope + "\x00"))
	digest.Write(data)
	return hex.EncodeToString(digest.Sum(nil)[:16]) + "-" + strconv.Itoa(len(data))
}

// Text is the content; "" of a damaged one.
//
//	if strings.HasPrefix(input, opening.Text()) { ... }
func (opening *Opening) Text() string {
	if opening.Damaged {
		return ""
	}
	return opening.content.Value().data
}

// Saved is how many bytes each replica of the group need not hold.
//
//	saved += opening.Saved()
func (opening *Opening) Saved() uint64 {
	if opening.Lines == 0 {
		return 0
	}
	return (opening.Lines - 1) * opening.Size
}

// Opening finds an opening by name.
//
//	opening, found := machine.View().Opening(event.Opening)
func (view *View) Opening(name string) (*Opening, bool) { return view.openings.Get(name) }

// Openings iterates over all openings of the group.
//
//	for opening := range view.Openings() { ... }
func (view *View) Openings() iter.Seq[*Opening] { return values(view.openings) }

// OpeningOf finds the longest opening of a scope that begins an input, byte for byte.
//
//	opening, found := machine.View().OpeningOf("identity", input)
func (view *View) OpeningOf(scope string, input []byte) (*Opening, bool) {
	known, _ := view.scopes.Get(scope)
	for _, opening := range known {
		if !opening.Damaged && opening.Size <= uint64(len(input)) && string(input[:opening.Size]) == opening.Text() {
			return opening, true
		}
	}
	return nil, false
}

// Whole gives all of an event's data. False: it refers to an opening of which there is no
// sound copy here.
//
//	data, sound := view.Whole(&event)
func (view *View) Whole(event *Event) ([]byte, bool) {
	if event.Opening == "" {
		return event.Data, true
	}
	opening, found := view.openings.Get(event.Opening)
	if !found || opening.Damaged {
		return nil, false
	}
	return slices.Concat([]byte(opening.Text()), event.Data), true
}

// AnyIdleOpening tells whether some opening may be freed at a time.
//
//	if view.AnyIdleOpening(clock) { ... }
func (view *View) AnyIdleOpening(clock int64) bool {
	for opening := range view.Openings() {
		if opening.idle(clock) {
			return true
		}
	}
	return false
}

func (opening *Opening) idle(clock int64) bool { return opening.Lines == 0 && opening.Until < clock }

// setOpening puts an opening into the view, in place of one of its name.
func (view *View) setOpening(opening *Opening) {
	view.dropOpening(opening)
	view.openings = view.openings.Set(opening.Name, opening)
	known, _ := view.scopes.Get(opening.Scope)
	known = append(slices.Clip(known), opening)
	slices.SortFunc(known, func(left, right *Opening) int {
		if left.Size != right.Size {
			return int(right.Size) - int(left.Size)
		}
		return strings.Compare(left.Name, right.Name)
	})
	view.scopes = view.scopes.Set(opening.Scope, known)
}

func (view *View) dropOpening(opening *Opening) {
	view.openings = view.openings.Delete(opening.Name)
	known, _ := view.scopes.Get(opening.Scope)
	others := slices.DeleteFunc(slices.Clone(known), func(one *Opening) bool { return one.Name == opening.Name })
	if len(others) == 0 {
		view.scopes = view.scopes.Delete(opening.Scope)
		return
	}
	view.scopes = view.scopes.Set(opening.Scope, others)
}

// shareOpening holds an opening from now on, or mends a damaged copy of it, and refers
// those lines to it that are named and still have it whole before them.
func (view *View) shareOpening(command *Command) Outcome {
	size := len(command.Data)
	if command.Scope == "" || size < LeastOpening || size > MostOpening {
		return Outcome{Status: BadCommand}
	}
	name := OpeningName(command.Scope, command.Data)
	opening, found := view.openings.Get(name)
	known, _ := view.scopes.Get(command.Scope)
	switch {
	case found && !opening.Damaged && opening.Text() != string(command.Data):
		return Outcome{Status: BadCommand}
	case !found && len(known) >= MostOpenings:
		return Outcome{Status: OpeningsFull}
	case !found:
		view.setOpening(&Opening{Name: name, Scope: command.Scope, Size: uint64(size), Until: view.clock + int64(openingIdle), content: contentOf(command.Scope, command.Data)})
	case opening.Damaged:
		mended := *opening
		mended.Damaged, mended.content = false, contentOf(command.Scope, command.Data)
		view.setOpening(&mended)
	}
	for _, one := range command.Acks {
		view.merge(one.Line, name, command.Data)
	}
	return Outcome{Deduped: found}
}

func contentOf(scope string, data []byte) unique.Handle[openingContent] {
	return unique.Make(openingContent{scope, string(data)})
}

// merge refers the first turns of a line to an opening that they hold whole, byte for
// byte, as far as they are not archived. Views that were published keep what they had.
func (view *View) merge(lineName, name string, data []byte) {
	existing, found := view.sessions.Get(lineName)
	if !found {
		return
	}
	fits := func(event *Event) bool {
		return event.Kind == TurnBegun && event.Follows == 0 && event.Opening == "" && bytes.HasPrefix(event.Data, data)
	}
	if !slices.ContainsFunc(existing.Hot, func(event Event) bool { return fits(&event) }) {
		return
	}
	session := *existing
	session.Hot = slices.Clone(existing.Hot)
	for position := range session.Hot {
		if event := &session.Hot[position]; fits(event) {
			event.Opening, event.Data = name, slices.Clone(event.Data[len(data):])
		}
	}
	view.refer(&session, name)
	view.sessions = view.sessions.Set(lineName, &session)
}

// refer counts a line that is not published yet among those that refer to an opening.
func (view *View) refer(session *Session, name string) {
	if slices.Contains(session.Openings, name) {
		return
	}
	session.Openings = append(slices.Clip(session.Openings), name)
	known, _ := view.openings.Get(name)
	opening := *known
	opening.Lines++
	view.setOpening(&opening)
}

// release takes a line that is forgotten off the openings that it referred to.
func (view *View) release(session *Session) {
	for _, name := range session.Openings {
		known, found := view.openings.Get(name)
		if !found {
			continue
		}
		opening := *known
		opening.Lines--
		opening.Until = view.clock + int64(openingIdle)
		view.setOpening(&opening)
	}
}

// freeIdle frees the openings that no line has referred to for a while. Whoever reads by
// an earlier view still has them; a turn that would refer to one is refused by name.
func (view *View) freeIdle() {
	for opening := range view.Openings() {
		if opening.idle(view.clock) {
			view.dropOpening(opening)
		}
	}
}

// beginSharedTurn is beginTurn with an input that begins with an opening of the same
// scope. One that is not held (any more) begins nothing.
func (view *View) beginSharedTurn(command *Command) Outcome {
	if _, repeat := view.Turn(command.Line, command.Producer); !repeat {
		opening, found := view.openings.Get(command.Opening)
		if !found || opening.Scope != command.Scope || command.Follows != "" || !command.Keeps {
			session := view.lineFor(command)
			return session.told(UnknownOpening, 0, false)
		}
	}
	return view.beginTurn(command)
}

func (view *View) openingRecords() []OpeningRecord {
	var records []OpeningRecord
	for opening := range view.Openings() {
		records = append(records, OpeningRecord{Name: opening.Name, Scope: opening.Scope, Data: []byte(opening.Text()), Until: opening.Until})
	}
	return records
}

// restoreOpenings makes the openings anew, with those whose content is not what their name says
// marked as damaged, and counts the lines that refer to each.
func (view *View) restoreOpenings(image Image) {
	lines := map[string]uint64{}
	for _, session := range image.Sessions {
		for _, name := range session.Openings {
			lines[name]++
		}
	}
	view.openings, view.scopes = immutable.NewMap[string, *Opening](nil), immutable.NewMap[string, []*Opening](nil)
	for _, record := range image.Openings {
		opening := &Opening{Name: record.Name, Scope: record.Scope, Until: record.Until, Lines: lines[record.Name], Damaged: OpeningName(record.Scope, record.Data) != record.Name}
		_, size, _ := strings.Cut(record.Name, "-")
		opening.Size, _ = strconv.ParseUint(size, 10, 64) // a name that tells none is damaged
		if !opening.Damaged {
			opening.content = contentOf(record.Scope, record.Data)
		}
		view.setOpening(opening)
	}
}
