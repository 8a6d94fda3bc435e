package sessionlog

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/benbjohnson/immutable"

	"yardrock.example/system/apierror"
)

// snapshotVersion is the newest snapshot format that this program reads and writes.
const snapshotVersion = 3

// snapshotVersionWithoutPrefixes is written while a group has no shared prefixes, so that versions
// of the program without shared prefixes can read it.
const snapshotVersionWithoutPrefixes = 2

// Snapshot is the whole content of a group, as stored in Raft snapshots. Package wire encodes it;
// the schema uses other field names.
type Snapshot struct {
	Version     uint32
	Clock       int64
	Sessions    []Session
	QuotaUsages []QuotaUsage
	// Turns has the turns of each session in the order in which they began, so that every turn
	// comes after the one that it follows.
	Turns    []TurnRecord
	Prefixes []SharedPrefixRecord
}

// TurnRecord is a Turn in a snapshot. Follows is the name of the followed turn, or "".
type TurnRecord struct {
	Session  string
	Name     string
	Seq      uint64
	EndSeq   uint64
	Follows  string
	Outcome  string
	Dispatch string
	Deadline int64
	Tokens   uint64
}

// SharedPrefixRecord is a SharedPrefix in a snapshot or in a message between replicas.
type SharedPrefixRecord struct {
	Name  string `capnp:"name"`
	Scope string `capnp:"scope"`
	Data  []byte `capnp:"data"`
	// KeepUntil is SharedPrefix.KeepUntil.
	KeepUntil int64 `capnp:"until"`
}

// Snapshot returns the view's content. It shares slices with the view and must not be modified.
//
//	snapshot := machine.View().Snapshot()
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
		snapshot.Version = snapshotVersion
	}
	return snapshot
}

// Restore replaces the whole content with that of a snapshot. For a snapshot of a newer format it
// returns an apierror of kind FormatTooNew and changes nothing.
//
//	err := machine.Restore(snapshot)
func (machine *StateMachine) Restore(snapshot Snapshot) error {
	if snapshot.Version > snapshotVersion {
		message := fmt.Sprintf("snapshot format %d is newer than the newest supported format %d", snapshot.Version, snapshotVersion)
		return apierror.New(apierror.FormatTooNew, message, "run the newer version of the program")
	}
	snapshot.Turns = newestTurnRecords(snapshot.Turns)
	view := &View{clock: snapshot.Clock}
	view.restoreSessions(snapshot)
	view.restoreQuotaUsages(snapshot)
	view.turns = indexTurnRecords(snapshot.Turns)
	view.restorePrefixes(snapshot)
	machine.published.Store(view)
	return nil
}

// restoreSessions restores the sessions and the indexes that are derived from them. It copies the
// data of events, which would otherwise keep the whole decoded snapshot in memory as long as any
// event is retained.
func (view *View) restoreSessions(snapshot Snapshot) {
	turnNames := map[string][]string{}
	for _, turn := range snapshot.Turns {
		turnNames[turn.Session] = append(turnNames[turn.Session], turn.Name)
	}
	sessions := immutable.NewMapBuilder[string, *Session](nil)
	unarchived := immutable.NewMapBuilder[string, struct{}](nil)
	expiries := immutable.NewSortedMapBuilder[string, string](nil)
	for _, session := range snapshot.Sessions {
		session.Turns = turnNames[session.Name]
		session.Unarchived = slices.Clone(session.Unarchived)
		for position := range session.Unarchived {
			session.Unarchived[position].Data = bytes.Clone(session.Unarchived[position].Data)
		}
		sessions.Set(session.Name, &session)
		expiries.Set(expiryKey(&session), session.Name)
		view.archiveDigests.Toggle(session.Name, session.ArchivedSeq)
		if len(session.Unarchived) > 0 {
			unarchived.Set(session.Name, struct{}{})
		}
	}
	view.sessions, view.unarchived, view.expiries = sessions.Map(), unarchived.Map(), expiries.Map()
}

func (view *View) restoreQuotaUsages(snapshot Snapshot) {
	usages := immutable.NewMapBuilder[string, *QuotaUsage](nil)
	for _, usage := range snapshot.QuotaUsages {
		usages.Set(usage.Name, &usage)
	}
	view.quotaUsages = usages.Map()
}

// appendTurnRecords appends the records of a session's turns to records.
func (view *View) appendTurnRecords(records []TurnRecord, session *Session) []TurnRecord {
	for _, name := range session.Turns {
		turn, found := view.Turn(session.Name, name)
		if !found {
			continue
		}
		record := TurnRecord{
			Session: turn.Session, Name: turn.Name, Seq: turn.Seq, EndSeq: turn.EndSeq,
			Outcome: turn.Outcome, Dispatch: turn.Dispatch, Deadline: turn.Deadline, Tokens: turn.Tokens,
		}
		if turn.Follows != nil {
			record.Follows = turn.Follows.Name
		}
		records = append(records, record)
	}
	return records
}

// newestTurnRecords drops the records that a later one of the same session and name supersedes.
// Earlier versions wrote such records when a session adopted a turn that it had as incomplete; only
// the last one comes after the record of the turn that it follows.
func newestTurnRecords(records []TurnRecord) []TurnRecord {
	type key struct{ session, name string }
	last := make(map[key]int, len(records))
	for position, record := range records {
		last[key{record.Session, record.Name}] = position
	}
	if len(last) == len(records) {
		return records
	}
	newest := make([]TurnRecord, 0, len(last))
	for position, record := range records {
		if last[key{record.Session, record.Name}] == position {
			newest = append(newest, record)
		}
	}
	return newest
}

// indexTurnRecords builds the index of turns. The record of a turn must come after that of the
// turn that it follows.
func indexTurnRecords(records []TurnRecord) *immutable.Map[string, []*Turn] {
	type key struct{ session, name string }
	byKey, byName := map[key]*Turn{}, map[string][]*Turn{}
	for _, record := range records {
		turn := &Turn{
			Session: record.Session, Name: record.Name, Seq: record.Seq, EndSeq: record.EndSeq, Follows: byKey[key{record.Session, record.Follows}],
			Outcome: record.Outcome, Dispatch: record.Dispatch, Deadline: record.Deadline, Tokens: record.Tokens,
		}
		byKey[key{record.Session, record.Name}] = turn
		byName[record.Name] = append(byName[record.Name], turn)
	}
	builder := immutable.NewMapBuilder[string, []*Turn](nil)
	for name, turns := range byName {
		builder.Set(name, turns)
	}
	return builder.Map()
}

// prefixRecords returns the records of all shared prefixes. That of a corrupt prefix has no data.
func (view *View) prefixRecords() []SharedPrefixRecord {
	var records []SharedPrefixRecord
	for prefix := range view.SharedPrefixes() {
		records = append(records, *prefix.Record())
	}
	return records
}

// Record returns the record of the prefix for a snapshot. That of a corrupt prefix has no data.
//
//	reply.SharedPrefix = prefix.Record()
func (prefix *SharedPrefix) Record() *SharedPrefixRecord {
	return &SharedPrefixRecord{Name: prefix.Name, Scope: prefix.Scope, Data: []byte(prefix.Text()), KeepUntil: prefix.KeepUntil}
}

// restorePrefixes restores the shared prefixes and counts the sessions that refer to each. A prefix
// whose content does not match the digest in its name is marked as corrupt; the sessions are kept,
// and repair fetches the content from a peer.
func (view *View) restorePrefixes(snapshot Snapshot) {
	references := map[string]uint64{}
	for _, session := range snapshot.Sessions {
		for _, name := range session.Prefixes {
			references[name]++
		}
	}
	view.prefixes, view.prefixesByScope = immutable.NewMap[string, *SharedPrefix](nil), immutable.NewMap[string, []*SharedPrefix](nil)
	for _, record := range snapshot.Prefixes {
		prefix := &SharedPrefix{
			Name: record.Name, Scope: record.Scope, KeepUntil: record.KeepUntil, References: references[record.Name],
			Corrupt: SharedPrefixName(record.Scope, record.Data) != record.Name,
		}
		_, size, _ := strings.Cut(record.Name, "-")
		prefix.Size, _ = strconv.ParseUint(size, 10, 64) // a name without a size is corrupt
		if !prefix.Corrupt {
			prefix.content = internContent(record.Scope, record.Data)
		}
		view.setPrefix(prefix)
	}
}
