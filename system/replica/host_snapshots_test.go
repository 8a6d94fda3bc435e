package replica

import (
	"bytes"
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/link"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

func TestLogIsBoundedByBytes(t *testing.T) {
	path, machine := t.TempDir(), &textStateMachine{}
	host, err := openHost(t, path, fastSettings(), machine)
	if err != nil {
		t.Fatal(err)
	}
	bootstrapAlone(t, host)
	const each = 100 << 10
	for proposal := range 100 { // 10 MB in all
		propose(t, host, bytes.Repeat([]byte{byte(proposal)}, each))
		_, logged := host.logSinceSnapshot()
		// What is applied while a snapshot is encoded exceeds the limit, but not by much.
		if limit := max(minSnapshotLogBytes, len(machine.content)) + 10*each; logged > limit {
			t.Fatalf("the log has %d bytes after %d proposals, the limit is %d", logged, proposal+1, limit)
		}
	}
	await(t, "a snapshot by bytes", func() bool { entries, _ := host.logSinceSnapshot(); return entries < 80 })
	want := bytes.Clone(machine.content)
	closeHost(t, host)
	again := &textStateMachine{}
	reopened, err := openHost(t, path, fastSettings(), again)
	if err != nil {
		t.Fatal(err)
	}
	await(t, "the log is applied anew", func() bool {
		status, _ := reopened.Status(1)
		return status.CommittedInTerm
	})
	reopened.runOnLoop(func() {
		if !bytes.Equal(again.content, want) {
			t.Errorf("%d bytes came back of %d", len(again.content), len(want))
		}
	})
}

func TestLogIsBoundedByEntryCount(t *testing.T) {
	settings := fastSettings()
	settings.SnapshotEntries = 20
	host, err := openHost(t, t.TempDir(), settings, &textStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	bootstrapAlone(t, host)
	for range 100 {
		propose(t, host, []byte("few bytes"))
	}
	await(t, "a snapshot by count", func() bool { entries, _ := host.logSinceSnapshot(); return entries < 60 })
}

// What a host has in memory is bounded by the size of its state, not by its history.
func TestLargeProposalsAreNotRetainedInMemory(t *testing.T) {
	const size, count, maxFactor = 4 << 20, 20, 10
	path, before := t.TempDir(), heapInUse()
	host, err := openHost(t, path, fastSettings(), &lastCommandStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	bootstrapAlone(t, host)
	for proposal := range count {
		propose(t, host, bytes.Repeat([]byte{byte(proposal)}, size))
	}
	if retained := heapInUse() - before; retained > maxFactor*size {
		t.Errorf("%d bytes are retained for a state of %d", retained, size)
	}
	closeHost(t, host)
	before = heapInUse()
	reopened, err := openHost(t, path, fastSettings(), &lastCommandStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	if retained := heapInUse() - before; retained > maxFactor*size {
		t.Errorf("%d bytes are retained after a start for a state of %d", retained, size)
	}
	runtime.KeepAlive(reopened)
}

// slowSnapshotStateMachine has no content, and its snapshots take a while to encode. It counts
// those that are encoded at the same time, and all.
type slowSnapshotStateMachine struct {
	current, highest, total atomic.Int32
}

func (*slowSnapshotStateMachine) Apply(raft.Entry) any { return nil }

func (machine *slowSnapshotStateMachine) Snapshot() func() []byte {
	return func() []byte {
		if current := machine.current.Add(1); current > machine.highest.Load() {
			machine.highest.Store(current)
		}
		time.Sleep(5 * time.Millisecond)
		machine.current.Add(-1)
		machine.total.Add(1)
		return []byte(textPrefix)
	}
}

func (*slowSnapshotStateMachine) Restore([]byte) error { return nil }

// TestOneSnapshotIsEncodedAtATime has many groups come due at the same time, and demands that
// each of them gets its snapshot all the same.
func TestOneSnapshotIsEncodedAtATime(t *testing.T) {
	const groups = 12
	settings := fastSettings()
	settings.SnapshotEntries = 5
	machine := &slowSnapshotStateMachine{}
	host, err := openHost(t, t.TempDir(), settings, machine)
	if err != nil {
		t.Fatal(err)
	}
	for group := range uint32(groups) {
		host.Bootstrap(group+1, []string{host.Name()}, nil)
	}
	await(t, "the host leads all groups", func() bool {
		leading := 0
		for _, status := range host.Statuses() {
			if status.CommittedInTerm {
				leading++
			}
		}
		return leading == groups
	})
	var proposing sync.WaitGroup
	for group := range uint32(groups) {
		proposing.Go(func() {
			for range 2 * settings.SnapshotEntries {
				if _, err := host.Propose(t.Context(), group+1, [][]byte{[]byte("command")}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	proposing.Wait()
	await(t, "a snapshot of each group", func() bool {
		taken := 0
		host.runOnLoop(func() {
			for _, group := range host.groups {
				if group.core.EntriesSinceSnapshot() <= settings.SnapshotEntries {
					taken++
				}
			}
		})
		return taken == groups
	})
	if highest, total := machine.highest.Load(), machine.total.Load(); highest != 1 || total < groups {
		t.Errorf("%d of %d snapshots were encoded at the same time", highest, total)
	}
}

func TestLargeSnapshotContentIsStoredSeparatelyAndRequired(t *testing.T) {
	snapshot := raft.Snapshot{Index: 5, Term: 2, Membership: raft.Membership{Voters: []string{"a", "b"}}, Data: append([]byte(textPrefix), make([]byte, separateContentBytes)...)}
	records := encodeWrite(1, wire.StoredWrite{HardState: raft.HardState{Term: 3}, HasSnapshot: true, Snapshot: snapshot})
	if len(records) != 2 || records[0].Kind != recordSnapshotContent || len(records[1].Data) > 1000 {
		t.Fatalf("%d records", len(records))
	}
	machine := &textStateMachine{}
	host, err := openHost(t, t.TempDir(), DefaultSettings(1), machine, records...)
	if err != nil {
		t.Fatal(err)
	}
	if status, _ := host.Status(1); status.CommitIndex != 5 || len(machine.content) != separateContentBytes {
		t.Fatalf("%+v with %d bytes", status, len(machine.content))
	}
	for name, bad := range map[string][]durablelog.Record{
		"the content is missing":  {records[1]},
		"the content is used up":  {records[0], records[1], records[1]},
		"it is of a former group": {records[0], {Group: 1, Kind: recordGroupRemoved}, records[1]},
	} {
		if _, err := openHost(t, t.TempDir(), DefaultSettings(1), &textStateMachine{}, bad...); err == nil {
			t.Errorf("%s: the host starts", name)
		}
	}
}

// A core leads and sends its snapshot to a host, which replies over a connection.
func TestHostInstallsAChunkedSnapshot(t *testing.T) {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answers := make(chan raft.Message, 1000)
	server := link.Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		for _, message := range query.Raft.Messages {
			answers <- message
		}
		return &wire.Reply{}
	})
	defer server.Close()
	machine := &textStateMachine{}
	host, err := openHostTo(t, t.TempDir(), DefaultSettings(1), machine, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	content := append([]byte(textPrefix), bytes.Repeat([]byte("0123456789abcdef"), 1<<20/16)...)
	snapshot := raft.Snapshot{Index: 5, Term: 1, Membership: raft.Membership{Voters: []string{"a"}, Learners: []string{host.Name()}}, Data: content}
	leader := raft.New(raft.Settings{Group: 1, Name: "a", ElectionTicks: 10, HeartbeatTicks: 2}, raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: snapshot})
	feed := func(input raft.Input) {
		for output := leader.Step(input); ; output = leader.Step(raft.Input{Kind: raft.InputSynced, Number: output.Write.Number}) {
			host.Receive(t.Context(), output.Messages)
			if output.Write == nil {
				return
			}
		}
	}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for until := time.Now().Add(testTimeout); leader.Status().MatchIndex[host.Name()] < leader.Status().LastIndex || !leader.Status().Leading; {
		select {
		case answer := <-answers:
			feed(raft.Input{Kind: raft.InputMessage, Message: answer})
		case <-ticker.C:
			feed(raft.Input{Kind: raft.InputTick})
		}
		if time.Now().After(until) {
			t.Fatalf("the host has %v of %d", leader.Status().MatchIndex, leader.Status().LastIndex)
		}
	}
	host.runOnLoop(func() {
		if want := content[len(textPrefix):]; !bytes.Equal(machine.content, want) {
			t.Errorf("%d bytes were restored of %d", len(machine.content), len(want))
		}
	})
}
