package sessionlog

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"iter"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/benbjohnson/immutable"

	"yardrock.example/system/apierror"
)

// SnapshotVersion is the newest checkpoint format that this program reads.
const SnapshotVersion = 3

// snapshotVersionWithoutPrefixes is written as long as a group holds none, so that programs that know
// no openings read it.
const snapshotVersionWithoutPrefixes = 2

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

// Sums are digests over a group's lines, one a bucket of them.
type BucketDigests [BucketCount]uint64

// BucketCount is how many digests a group's lines are cut into.
const BucketCount = 64

// BucketOf tells in which bucket a line is.
//
//	bucket := line.BucketOf("team/c-1")
func BucketOf(name string) int { return int(hashNumbered(name, 0) % BucketCount) }

// Toggle puts a line's archive progress into the sums, or takes it out again.
//
//	sums.Toggle("team/c-1", 40)
func (digests *BucketDigests) Toggle(name string, archived uint64) {
	if archived > 0 {
		digests[BucketOf(name)] ^= hashNumbered(name, archived)
	}
}

func hashNumbered(name string, number uint64) uint64 {
	digest := fnv.New64a()
	digest.Write([]byte(name))
	digest.Write(binary.BigEndian.AppendUint64(nil, number))
	return digest.Sum64()
}

func expiryKey(session *Session) string {
	return string(binary.BigEndian.AppendUint64(nil, uint64(session.ExpiresAt().UnixNano()))) + session.Name
}

// Sums gives the digests of how far the group's lines are archived.
//
//	if view.Sums() == told { ... }
func (view *View) ArchiveDigests() BucketDigests { return view.archiveDigests }

// Unarchived iterates over the lines that have events to be archived.
//
//	for session := range view.Unarchived() { ... }
func (view *View) Unarchived() iter.Seq[*Session] {
	return func(yield func(*Session) bool) {
		iterator := view.unarchived.Iterator()
		for !iterator.Done() {
			name, _, _ := iterator.Next()
			if session, found := view.sessions.Get(name); found && !yield(session) {
				return
			}
		}
	}
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

func newView() *View {
	return &View{sessions: immutable.NewMap[string, *Session](nil), quotaUsages: immutable.NewMap[string, *QuotaUsage](nil),
		unarchived: immutable.NewMap[string, struct{}](nil), expiries: immutable.NewSortedMap[string, string](nil), turns: immutable.NewMap[string, []*Turn](nil),
		prefixes: immutable.NewMap[string, *SharedPrefix](nil), prefixesByScope: immutable.NewMap[string, []*SharedPrefix](nil)}
}

// Session finds a line.
//
//	session, found := machine.View().Session("team/c-1")
func (view *View) Session(name string) (*Session, bool) { return view.sessions.Get(name) }

// QuotaUsage gives a tally; an unknown one is empty.
//
//	spent := machine.View().QuotaUsage("tally:team/helpdesk").Spent
func (view *View) QuotaUsage(name string) QuotaUsage {
	if usage, found := view.quotaUsages.Get(name); found {
		return *usage
	}
	return QuotaUsage{Name: name}
}

// Clock is the group's time. It moves with its leaders' commands, by the time that
// went by at them.
//
//	overdue := event.Deadline < view.Clock()
func (view *View) Clock() int64 { return view.clock }

// Sessions iterates over all lines.
//
//	for session := range view.Sessions() { ... }
func (view *View) Sessions() iter.Seq[*Session] { return values(view.sessions) }

// QuotaUsages iterates over all tallies.
//
//	for tally := range view.QuotaUsages() { ... }
func (view *View) QuotaUsages() iter.Seq[*QuotaUsage] { return values(view.quotaUsages) }

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

// StateMachine applies committed commands. One goroutine applies; any may read the
// published View.
type StateMachine struct {
	published atomic.Pointer[View]
}

// NewStateMachine makes an empty group.
//
//	machine := line.NewStateMachine()
func NewStateMachine() *StateMachine {
	machine := &StateMachine{}
	machine.published.Store(newView())
	return machine
}

// View gives the newest published content.
//
//	view := machine.View()
func (machine *StateMachine) View() *View { return machine.published.Load() }

var commandHandlers = map[CommandKind]func(*View, *Command) Outcome{
	CreateSession: (*View).createSession,
	AppendEvent:   (*View).appendEvents,
	AppendEvents:  (*View).appendEvents,
	AckArchived:   (*View).ackArchived,
	Reserve:       (*View).reserve,
	Settle:        (*View).settle,
	BeginTurn:     (*View).beginTurn,
	EndTurn:       (*View).endTurn,

	SharePrefix:         (*View).sharePrefix,
	BeginTurnWithPrefix: (*View).beginTurnWithPrefix,
}

// Apply carries out one committed command and publishes the result.
//
//	outcome := machine.Apply(&line.Command{Kind: line.CreateSession, Line: "team/c-1", Retention: time.Hour})
func (machine *StateMachine) Apply(command *Command) Outcome {
	next := *machine.published.Load()
	next.clock = max(next.clock, command.Now)
	handler, known := commandHandlers[command.Kind]
	if !known {
		return Outcome{Status: BadCommand}
	}
	outcome := handler(&next, command)
	machine.published.Store(&next)
	return outcome
}

func (view *View) createSession(command *Command) Outcome {
	if existing, found := view.sessions.Get(command.Session); found {
		return Outcome{Head: existing.Head, Deduped: true}
	}
	made := &Session{
		Name: command.Session, Team: command.Team, Program: command.Program, WorkKind: command.WorkKind,
		CreatedAt: view.clock, UpdatedAt: view.clock, Retention: command.Retention,
	}
	view.sessions = view.sessions.Set(command.Session, made)
	view.expiries = view.expiries.Set(expiryKey(made), made.Name)
	return Outcome{}
}

// A run is open from the event that opens it to the one that closes it; nothing
// joins it before or after. Closing it therefore fences whoever still runs it.
var (
	opensRun     = map[EventKind]bool{TurnBegun: true, ToolCalled: true}
	belongsToRun = map[EventKind]bool{OutputPart: true}
	closesRun    = map[EventKind]bool{TurnEnded: true, ToolAnswered: true}
)

var closingKinds = map[EventKind]EventKind{TurnBegun: TurnEnded, ToolCalled: ToolAnswered}

// ClosingKind tells which kind of event closes a run.
//
//	kind := line.ClosingKind(begun.Kind)
func ClosingKind(openingKind EventKind) EventKind { return closingKinds[openingKind] }

// CloseOverdue makes the command that closes a run whose node is gone. Whoever
// closes it uses the same producer pair, so it is closed once.
//
//	command := line.CloseOverdue(begun, line.OutcomeCut)
func CloseOverdue(begun Event, outcome string) Command {
	return Command{Kind: AppendEvent, Producer: "closer/" + strconv.FormatUint(begun.Seq, 10), ProducerSeq: 1, Events: []Event{{
		Kind: closingKinds[begun.Kind], Turn: begun.Seq, Outcome: outcome, Name: "overdue",
	}}}
}

func (view *View) appendEvents(command *Command) Outcome {
	existing, found := view.sessions.Get(command.Session)
	if !found {
		return Outcome{Status: UnknownSession}
	}
	if len(command.Events) == 0 || (command.Kind == AppendEvent && len(command.Events) != 1) {
		return Outcome{Status: BadCommand, Head: existing.Head}
	}
	session := *existing
	at := slices.IndexFunc(session.Producers, func(producer Producer) bool { return producer.Name == command.Producer })
	if at >= 0 {
		last := session.Producers[at]
		if command.ProducerSeq == last.ProducerSeq {
			return Outcome{Seq: last.Seq, Head: session.Head, Deduped: true}
		}
		if command.ProducerSeq < last.ProducerSeq {
			return Outcome{Status: StaleProducer, Seq: last.Seq, Head: session.Head, Deduped: true}
		}
	}
	if command.HasExpectedSeq && command.ExpectedSeq != session.Head {
		return Outcome{Status: UnexpectedSeq, Head: session.Head}
	}
	first := session.Head + 1
	open := slices.Clone(session.OpenTurns)
	appended := make([]Event, 0, len(command.Events))
	for _, event := range command.Events {
		session.Head++
		event.Seq = session.Head
		event.At = view.clock
		event.Producer, event.ProducerSeq = command.Producer, command.ProducerSeq
		if opensRun[event.Kind] {
			event.Turn = event.Seq
			event.Deadline += view.clock
			open = append(open, event.Seq)
		}
		if (belongsToRun[event.Kind] || closesRun[event.Kind]) && !slices.Contains(open, event.Turn) {
			return Outcome{Status: TurnClosed, Head: existing.Head}
		}
		if closesRun[event.Kind] {
			open = slices.DeleteFunc(open, func(turn uint64) bool { return turn == event.Turn })
		}
		appended = append(appended, event)
	}
	session.OpenTurns = open
	session.Unarchived = append(slices.Clip(session.Unarchived), appended...)
	session.UpdatedAt = view.clock
	session.Producers = slices.Clone(session.Producers)
	entry := Producer{Name: command.Producer, ProducerSeq: command.ProducerSeq, Seq: first, At: view.clock}
	if at >= 0 {
		session.Producers[at] = entry
	} else {
		session.Producers = append(session.Producers, entry)
	}
	view.sessions = view.sessions.Set(session.Name, &session)
	if len(existing.Unarchived) == 0 {
		view.unarchived = view.unarchived.Set(session.Name, struct{}{})
	}
	return Outcome{Seq: first, Head: session.Head}
}

// ackArchived advances archive progress, evicts what the cold store holds, and
// forgets lines and producers whose keeping time is over by the leader's clock.
func (view *View) ackArchived(command *Command) Outcome {
	for _, ack := range command.Acks {
		existing, found := view.sessions.Get(ack.Session)
		if !found || ack.ArchivedSeq <= existing.ArchivedSeq || ack.ArchivedSeq > existing.Head {
			continue
		}
		session := *existing
		session.ArchivedSeq = ack.ArchivedSeq
		session.Unarchived = slices.Clone(session.Unarchived[ack.ArchivedSeq-existing.ArchivedSeq:])
		view.sessions = view.sessions.Set(session.Name, &session)
		view.archiveDigests.Toggle(session.Name, existing.ArchivedSeq)
		view.archiveDigests.Toggle(session.Name, session.ArchivedSeq)
		if len(session.Unarchived) == 0 {
			view.unarchived = view.unarchived.Delete(session.Name)
		}
	}
	view.removeExpired()
	view.freeIdlePrefixes()
	return Outcome{}
}

// settledRetention is how long a settled reservation is remembered: longer than any
// Reserve for it can still be on its way.
const settledRetention = time.Minute

func indexOfReservation(reservations []Reservation, name string) int {
	return slices.IndexFunc(reservations, func(one Reservation) bool { return one.Name == name })
}

func (view *View) reserve(command *Command) Outcome {
	usage := view.QuotaUsage(command.Session)
	outcome := func(status Status, deduped bool) Outcome {
		return Outcome{Status: status, Deduped: deduped, Spent: usage.Spent, Reserved: usage.Reserved()}
	}
	if indexOfReservation(usage.Reservations, command.Reservation) >= 0 {
		return outcome(Done, true)
	}
	if indexOfReservation(usage.Settled, command.Reservation) >= 0 {
		return outcome(StaleProducer, true)
	}
	reserved := usage.Reserved()
	fits := usage.Spent+reserved+command.Words <= command.Quota
	lastTurn := reserved == 0 && usage.Spent < command.Quota
	if !fits && !lastTurn {
		return outcome(QuotaExceeded, false)
	}
	usage.Reservations = append(slices.Clip(usage.Reservations), Reservation{Name: command.Reservation, Words: command.Words, ExpiresAt: view.clock + int64(command.Lifetime)})
	view.quotaUsages = view.quotaUsages.Set(command.Session, &usage)
	return outcome(Done, false)
}

// settle books what a reservation used. One that is not there is remembered as
// settled all the same, as its Reserve may still be on its way.
func (view *View) settle(command *Command) Outcome {
	usage := view.QuotaUsage(command.Session)
	at := indexOfReservation(usage.Reservations, command.Reservation)
	deduped := at < 0
	if deduped && indexOfReservation(usage.Settled, command.Reservation) >= 0 {
		return Outcome{Deduped: true, Spent: usage.Spent, Reserved: usage.Reserved()}
	}
	if !deduped {
		usage.Spent += min(command.Words, usage.Reservations[at].Words)
		usage.Reservations = slices.Delete(slices.Clone(usage.Reservations), at, at+1)
	}
	remembered := []Reservation{{Name: command.Reservation, ExpiresAt: view.clock + int64(settledRetention)}}
	for _, one := range usage.Settled {
		if one.ExpiresAt > view.clock {
			remembered = append(remembered, one)
		}
	}
	usage.Settled = remembered
	view.quotaUsages = view.quotaUsages.Set(command.Session, &usage)
	return Outcome{Deduped: deduped, Spent: usage.Spent, Reserved: usage.Reserved()}
}

// Snapshot copies a view's content for a checkpoint.
//
//	image := machine.View().Snapshot()
func (view *View) Snapshot() Snapshot {
	snapshot := Snapshot{Version: snapshotVersionWithoutPrefixes, Clock: view.clock}
	for session := range view.Sessions() {
		snapshot.Sessions = append(snapshot.Sessions, *session)
		snapshot.Turns = view.appendTurnRecords(snapshot.Turns, session)
	}
	for usage := range view.QuotaUsages() {
		snapshot.QuotaUsages = append(snapshot.QuotaUsages, *usage)
	}
	if snapshot.Prefixes = view.prefixRecords(); len(snapshot.Prefixes) > 0 {
		snapshot.Version = SnapshotVersion
	}
	return snapshot
}

// Restore replaces the whole content by a checkpoint's.
//
//	err := machine.Restore(image)
func (machine *StateMachine) Restore(snapshot Snapshot) error {
	if snapshot.Version > SnapshotVersion {
		return apierror.New(apierror.FormatTooNew, fmt.Sprintf("checkpoint of format %d, this program knows up to %d", snapshot.Version, SnapshotVersion), "run the newer version of the program")
	}
	sessions, usages := immutable.NewMapBuilder[string, *Session](nil), immutable.NewMapBuilder[string, *QuotaUsage](nil)
	unarchived, expiries := immutable.NewMapBuilder[string, struct{}](nil), immutable.NewSortedMapBuilder[string, string](nil)
	view := &View{clock: snapshot.Clock}
	names := map[string][]string{}
	for _, turn := range snapshot.Turns {
		names[turn.Session] = append(names[turn.Session], turn.Name)
	}
	for _, session := range snapshot.Sessions {
		session.Turns = names[session.Name]
		sessions.Set(session.Name, &session)
		expiries.Set(expiryKey(&session), session.Name)
		view.archiveDigests.Toggle(session.Name, session.ArchivedSeq)
		if len(session.Unarchived) > 0 {
			unarchived.Set(session.Name, struct{}{})
		}
	}
	for _, usage := range snapshot.QuotaUsages {
		usages.Set(usage.Name, &usage)
	}
	view.sessions, view.quotaUsages, view.unarchived, view.expiries = sessions.Map(), usages.Map(), unarchived.Map(), expiries.Map()
	view.turns = indexTurnRecords(snapshot.Turns)
	view.restorePrefixes(snapshot)
	machine.published.Store(view)
	return nil
}
