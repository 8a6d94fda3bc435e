package replica

import (
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

func TestUnreadablePersistentStateIsRejected(t *testing.T) {
	voters := raft.Membership{Voters: []string{"a", "b", "c"}}
	snapshot := raft.Snapshot{Index: 5, Term: 2, Membership: voters, Data: []byte(textPrefix)}
	state := raft.HardState{Term: 3, VotedFor: "a"}
	complete := testRecord(t, wire.StoredWrite{HardState: state, HasSnapshot: true, Snapshot: snapshot})
	cut := complete
	cut.Data = cut.Data[:len(cut.Data)/2]
	unreadable := snapshot
	unreadable.Data = []byte("no such form")
	entry := func(index, term uint64) []raft.Entry { return []raft.Entry{{Index: index, Term: term}} }
	for name, records := range map[string][]durablelog.Record{
		"record is truncated":      {cut},
		"snapshot is unreadable":   {testRecord(t, wire.StoredWrite{HardState: state, HasSnapshot: true, Snapshot: unreadable})},
		"gap in the log":           {complete, testRecord(t, wire.StoredWrite{HardState: state, Entries: entry(8, 3)})},
		"term decreases":           {complete, testRecord(t, wire.StoredWrite{HardState: state, Entries: entry(6, 1)})},
		"entry is of a later term": {complete, testRecord(t, wire.StoredWrite{HardState: state, Entries: entry(6, 9)})},
		"unknown record kind":      {{Group: 1, Kind: 77}},
	} {
		_, err := openHost(t, t.TempDir(), DefaultSettings(1), &textStateMachine{}, records...)
		if !apierror.Is(err, apierror.Damaged) && !apierror.Is(err, apierror.FormatTooNew) || apierror.Of(err).Remedy == "" {
			t.Errorf("%s: got error %v, want Damaged or FormatTooNew with a remedy", name, err)
		}
	}
	host, err := openHost(t, t.TempDir(), DefaultSettings(1), &textStateMachine{}, complete)
	if err != nil {
		t.Fatal(err)
	}
	if status, found := host.Status(1); !found || status.CommitIndex != 5 || status.Term != 3 {
		t.Fatalf("unexpected status after restoring a complete record: %+v", status)
	}
}
