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
	bootstrapSingleVoter(t, host)
	const proposalBytes = 100 << 10
	for proposal := range 100 { // 10 MB in all
		propose(t, host, bytes.Repeat([]byte{byte(proposal)}, proposalBytes))
		_, logged := host.logSinceSnapshot()
		// Entries applied while a snapshot is encoded may exceed the limit slightly.
		if limit := max(minSnapshotLogBytes, len(machine.content)) + 10*proposalBytes; logged > limit {
			t.Fatalf("the log has %d bytes after %d proposals, want at most %d", logged, proposal+1, limit)
		}
	}
	await(t, "a snapshot triggered by size", func() bool { entries, _ := host.logSinceSnapshot(); return entries < 80 })
	want := bytes.Clone(machine.content)
	closeHost(t, host)
	restored := &textStateMachine{}
	reopened, err := openHost(t, path, fastSettings(), restored)
	if err != nil {
		t.Fatal(err)
	}
	await(t, "the log is replayed", func() bool {
		status, _ := reopened.Status(1)
		return status.CommittedInTerm
	})
	reopened.runOnLoop(func() {
		if !bytes.Equal(restored.content, want) {
			t.Errorf("%d bytes were restored, want %d", len(restored.content), len(want))
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
	bootstrapSingleVoter(t, host)
	for range 100 {
		propose(t, host, []byte("few bytes"))
	}
	await(t, "a snapshot triggered by the number of entries", func() bool { entries, _ := host.logSinceSnapshot(); return entries < 60 })
}

// The memory of a host is bounded by the size of its state, not by its history.
func TestLargeProposalsAreNotRetainedInMemory(t *testing.T) {
	const size, count, maxFactor = 4 << 20, 20, 10
	path, before := t.TempDir(), heapInUse()
	host, err := openHost(t, path, fastSettings(), &lastCommandStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	bootstrapSingleVoter(t, host)
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
		t.Errorf("%d bytes are retained after a restart for a state of %d", retained, size)
	}
	runtime.KeepAlive(reopened)
}

// slowSnapshotStateMachine has no state and encodes snapshots slowly. It counts the snapshots and
// the highest number encoded concurrently.
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

// When many groups become due at the same time, their snapshots are encoded one at a time, and
// every group gets one.
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
	await(t, "the host becomes leader of all groups", func() bool {
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

func TestLargeSnapshotDataIsStoredSeparatelyAndRequired(t *testing.T) {
	snapshot := raft.Snapshot{Index: 5, Term: 2, Membership: raft.Membership{Voters: []string{"a", "b"}}, Data: append([]byte(textPrefix), make([]byte, separateSnapshotDataBytes)...)}
	records := encodeWrite(1, wire.StoredWrite{HardState: raft.HardState{Term: 3}, HasSnapshot: true, Snapshot: snapshot})
	if len(records) != 2 || records[0].Kind != recordSnapshotData || len(records[1].Data) > 1000 {
		t.Fatalf("unexpected encoding of a large snapshot: %d records", len(records))
	}
	machine := &textStateMachine{}
	host, err := openHost(t, t.TempDir(), DefaultSettings(1), machine, records...)
	if err != nil {
		t.Fatal(err)
	}
	if status, _ := host.Status(1); status.CommitIndex != 5 || len(machine.content) != separateSnapshotDataBytes {
		t.Fatalf("unexpected status %+v, state of %d bytes", status, len(machine.content))
	}
	for name, bad := range map[string][]durablelog.Record{
		"the data is missing":                {records[1]},
		"the data was already consumed":      {records[0], records[1], records[1]},
		"the replica was deleted in between": {records[0], {Group: 1, Kind: recordReplicaDeleted}, records[1]},
	} {
		if _, err := openHost(t, t.TempDir(), DefaultSettings(1), &textStateMachine{}, bad...); err == nil {
			t.Errorf("%s: the host started", name)
		}
	}
}

// A raft core, as leader, sends its snapshot to a host, which replies over a connection.
func TestHostInstallsAChunkedSnapshot(t *testing.T) {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replies := make(chan raft.Message, 1000)
	server := link.Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		for _, message := range query.Raft.Messages {
			replies <- message
		}
		return &wire.Reply{}
	})
	defer server.Close()
	machine := &textStateMachine{}
	host, err := openHostWithPeers(t, t.TempDir(), DefaultSettings(1), machine, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	content := append([]byte(textPrefix), bytes.Repeat([]byte("0123456789abcdef"), 1<<20/16)...)
	snapshot := raft.Snapshot{Index: 5, Term: 1, Membership: raft.Membership{Voters: []string{"a"}, Learners: []string{host.Name()}}, Data: content}
	leader := raft.New(raft.Settings{Group: 1, Name: "a", ElectionTicks: 10, HeartbeatTicks: 2}, raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: snapshot})
	stepLeader := func(input raft.Input) {
		for output := leader.Step(input); ; output = leader.Step(raft.Input{Kind: raft.InputSynced, Number: output.Write.Number}) {
			host.Receive(t.Context(), output.Messages)
			if output.Write == nil {
				return
			}
		}
	}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(testTimeout); leader.Status().MatchIndex[host.Name()] < leader.Status().LastIndex || !leader.Status().Leading; {
		select {
		case reply := <-replies:
			stepLeader(raft.Input{Kind: raft.InputMessage, Message: reply})
		case <-ticker.C:
			stepLeader(raft.Input{Kind: raft.InputTick})
		}
		if time.Now().After(deadline) {
			t.Fatalf("timed out with match indexes %v, last index %d", leader.Status().MatchIndex, leader.Status().LastIndex)
		}
	}
	host.runOnLoop(func() {
		if want := content[len(textPrefix):]; !bytes.Equal(machine.content, want) {
			t.Errorf("%d bytes were installed, want %d", len(machine.content), len(want))
		}
	})
}
