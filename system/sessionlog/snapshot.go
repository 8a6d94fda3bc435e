package sessionlog

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/benbjohnson/immutable"

	"yardrock.example/system/apierror"
)

// SnapshotVersion is the newest checkpoint format that this program reads.
const SnapshotVersion = 3

// snapshotVersionWithoutPrefixes is written as long as a group holds none, so that programs that know
// no openings read it.
const snapshotVersionWithoutPrefixes = 2

// Snapshot is a group's whole content, as checkpoints carry it.
type Snapshot struct {
	Version     uint32
	Clock       int64
	Sessions    []Session
	QuotaUsages []QuotaUsage
	Turns       []TurnRecord
	Prefixes    []SharedPrefixRecord
}

// TurnRecord is a turn as checkpoints carry it.
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

// SharedPrefixRecord is an opening as checkpoints carry it.
type SharedPrefixRecord struct {
	Name  string `capnp:"name"`
	Scope string `capnp:"scope"`
	Data  []byte `capnp:"data"`
	Until int64  `capnp:"until"`
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

func (view *View) appendTurnRecords(records []TurnRecord, session *Session) []TurnRecord {
	for _, name := range session.Turns {
		turn, found := view.Turn(session.Name, name)
		if !found {
			continue
		}
		record := TurnRecord{Session: turn.Session, Name: turn.Name, Seq: turn.Seq, EndSeq: turn.EndSeq, Outcome: turn.Outcome, Dispatch: turn.Dispatch, Deadline: turn.Deadline, Tokens: turn.Tokens}
		if turn.Follows != nil {
			record.Follows = turn.Follows.Name
		}
		records = append(records, record)
	}
	return records
}

// indexTurnRecords makes the index of turns anew; each turn comes after the one that it
// follows.
func indexTurnRecords(records []TurnRecord) *immutable.Map[string, []*Turn] {
	type key struct{ session, name string }
	made, turns := map[key]*Turn{}, map[string][]*Turn{}
	for _, record := range records {
		turn := &Turn{Session: record.Session, Name: record.Name, Seq: record.Seq, EndSeq: record.EndSeq, Outcome: record.Outcome, Dispatch: record.Dispatch, Deadline: record.Deadline, Tokens: record.Tokens,
			Follows: made[key{record.Session, record.Follows}]}
		made[key{record.Session, record.Name}] = turn
		turns[record.Name] = append(turns[record.Name], turn)
	}
	builder := immutable.NewMapBuilder[string, []*Turn](nil)
	for name, known := range turns {
		builder.Set(name, known)
	}
	return builder.Map()
}

func (view *View) prefixRecords() []SharedPrefixRecord {
	var records []SharedPrefixRecord
	for prefix := range view.SharedPrefixes() {
		records = append(records, SharedPrefixRecord{Name: prefix.Name, Scope: prefix.Scope, Data: []byte(prefix.Text()), Until: prefix.KeepUntil})
	}
	return records
}

// restorePrefixes makes the openings anew, with those whose content is not what their name says
// marked as damaged, and counts the lines that refer to each.
func (view *View) restorePrefixes(snapshot Snapshot) {
	references := map[string]uint64{}
	for _, session := range snapshot.Sessions {
		for _, name := range session.Prefixes {
			references[name]++
		}
	}
	view.prefixes, view.prefixesByScope = immutable.NewMap[string, *SharedPrefix](nil), immutable.NewMap[string, []*SharedPrefix](nil)
	for _, record := range snapshot.Prefixes {
		prefix := &SharedPrefix{Name: record.Name, Scope: record.Scope, KeepUntil: record.Until, References: references[record.Name], Corrupt: SharedPrefixName(record.Scope, record.Data) != record.Name}
		_, size, _ := strings.Cut(record.Name, "-")
		prefix.Size, _ = strconv.ParseUint(size, 10, 64) // a name that tells none is damaged
		if !prefix.Corrupt {
			prefix.content = internContent(record.Scope, record.Data)
		}
		view.setPrefix(prefix)
	}
}
