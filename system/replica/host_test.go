package replica

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/durablelog"
	"yardrock.example/system/link"
	"yardrock.example/system/raft"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// textPrefix is what the content of a snapshot begins with that textStateMachine reads.
const textPrefix = "text:"

// textStateMachine keeps all commands, one after the other.
type textStateMachine struct{ content []byte }

func (machine *textStateMachine) Apply(entry raft.Entry) any {
	machine.content = append(machine.content, entry.Data...)
	return len(machine.content)
}

func (machine *textStateMachine) Snapshot() func() []byte {
	content := bytes.Clone(machine.content)
	return func() []byte { return append([]byte(textPrefix), content...) }
}

func (machine *textStateMachine) Restore(data []byte) error {
	content, known := bytes.CutPrefix(data, []byte(textPrefix))
	if !known {
		return errors.New("no text")
	}
	machine.content = bytes.Clone(content)
	return nil
}

func testRecord(t *testing.T, write wire.StoredWrite) durablelog.Record {
	t.Helper()
	data, err := wire.Encode(schema.StoredWrite_TypeID, &write)
	if err != nil {
		t.Fatal(err)
	}
	return durablelog.Record{Group: 1, Kind: recordWrite, Data: data}
}

// openHost starts a host, which nobody answers, in a folder on what records hold.
func openHost(t *testing.T, path string, settings Settings, machine StateMachine, extra ...durablelog.Record) (*Host, error) {
	t.Helper()
	return openHostTo(t, path, settings, machine, "", extra...)
}

// openHostTo is openHost with all peers at one address.
func openHostTo(t *testing.T, path string, settings Settings, machine StateMachine, peers string, extra ...durablelog.Record) (*Host, error) {
	t.Helper()
	folder, err := vfs.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	log, records, err := durablelog.Open(folder, "test")
	if err != nil {
		t.Fatal(err)
	}
	transport := NewTransport(link.NewClient(link.TCP{}), func(string) string { return peers }, func() string { return "" })
	host, err := Open(settings, log, append(records, extra...), func(uint32) StateMachine { return machine }, transport)
	if err == nil {
		t.Cleanup(func() {
			select {
			case <-host.stopped: // the test closed it
			default:
				host.Close()
			}
		})
	}
	return host, err
}

func TestUnreadablePersistentStateIsRejected(t *testing.T) {
	voters := raft.Membership{Voters: []string{"a", "b", "c"}}
	snapshot := raft.Snapshot{Index: 5, Term: 2, Membership: voters, Data: []byte(textPrefix)}
	state := raft.HardState{Term: 3, VotedFor: "a"}
	whole := testRecord(t, wire.StoredWrite{HardState: state, HasSnapshot: true, Snapshot: snapshot})
	cut := whole
	cut.Data = cut.Data[:len(cut.Data)/2]
	unreadable := snapshot
	unreadable.Data = []byte("no such form")
	entry := func(index, term uint64) []raft.Entry { return []raft.Entry{{Index: index, Term: term}} }
	for name, records := range map[string][]durablelog.Record{
		"record is cut":             {cut},
		"snapshot is unreadable":    {testRecord(t, wire.StoredWrite{HardState: state, HasSnapshot: true, Snapshot: unreadable})},
		"log does not follow":       {whole, testRecord(t, wire.StoredWrite{HardState: state, Entries: entry(8, 3)})},
		"term falls":                {whole, testRecord(t, wire.StoredWrite{HardState: state, Entries: entry(6, 1)})},
		"log is of a term to come":  {whole, testRecord(t, wire.StoredWrite{HardState: state, Entries: entry(6, 9)})},
		"record is of another kind": {{Group: 1, Kind: 77}},
	} {
		_, err := openHost(t, t.TempDir(), DefaultSettings(1), &textStateMachine{}, records...)
		if !apierror.Is(err, apierror.Damaged) && !apierror.Is(err, apierror.FormatTooNew) || apierror.Of(err).Remedy == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
	host, err := openHost(t, t.TempDir(), DefaultSettings(1), &textStateMachine{}, whole)
	if err != nil {
		t.Fatal(err)
	}
	if status, here := host.Status(1); !here || status.CommitIndex != 5 || status.Term != 3 {
		t.Fatalf("the whole record gives %+v", status)
	}
}

func TestUnreadableSnapshotFromPeerChangesNothing(t *testing.T) {
	machine := &textStateMachine{}
	host, err := openHost(t, t.TempDir(), DefaultSettings(1), machine)
	if err != nil {
		t.Fatal(err)
	}
	send := func(data string) raft.Status {
		snapshot := raft.Snapshot{Index: 9, Term: 2, Membership: raft.Membership{Voters: []string{"a", host.Name()}}, Data: []byte(data)}
		host.Receive(context.Background(), []raft.Message{{Group: 1, Kind: raft.MessageSnapshot, From: "a", To: host.Name(), Term: 2, Snapshot: snapshot}})
		status, _ := host.Status(1)
		return status
	}
	if status := send("no such form"); status.CommitIndex != 0 || status.LastIndex != 0 || len(status.Membership.Voters) != 0 || len(machine.content) != 0 {
		t.Fatalf("after an unreadable snapshot: %+v, %q", status, machine.content)
	}
	if status := send(textPrefix + "hello"); status.CommitIndex != 9 || string(machine.content) != "hello" {
		t.Fatalf("after a readable snapshot: %+v, %q", status, machine.content)
	}
	if status := send("no such form"); status.CommitIndex != 9 || string(machine.content) != "hello" {
		t.Fatalf("after the second unreadable snapshot: %+v, %q", status, machine.content)
	}
}
