package replica

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/link"
	"yardrock.example/system/raft"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const testTimeout = 20 * time.Second

// bootstrapSingleVoter bootstraps group 1 with the host as its only voter, and waits until it is
// the leader.
func bootstrapSingleVoter(t *testing.T, host *Host) {
	t.Helper()
	host.Bootstrap(1, []string{host.Name()}, nil)
	await(t, "the host becomes leader", func() bool {
		status, _ := host.Status(1)
		return status.CommittedInTerm
	})
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(testTimeout); !condition(); <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", testTimeout, what)
		}
	}
}

func (host *Host) logSinceSnapshot() (entries uint64, logged int) {
	host.runOnLoop(func() {
		entries, logged = host.groups[1].core.EntriesSinceSnapshot(), host.groups[1].bytesSinceSnapshot
	})
	return entries, logged
}

func propose(t *testing.T, host *Host, data []byte) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := host.Propose(ctx, 1, [][]byte{data}); err != nil {
		t.Fatal(err)
	}
}

// fastSettings returns settings with elections within milliseconds and no snapshots by the number
// of entries.
func fastSettings() Settings {
	settings := DefaultSettings(1)
	settings.Tick, settings.SnapshotEntries = 2*time.Millisecond, 1<<40
	return settings
}

// textPrefix is the prefix of the snapshots of textStateMachine.
const textPrefix = "text:"

// textStateMachine is a state machine whose state is the concatenation of all commands.
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
		return errors.New("snapshot does not start with the text prefix")
	}
	machine.content = bytes.Clone(content)
	return nil
}

// lastCommandStateMachine is a state machine whose state is the last command.
type lastCommandStateMachine struct{ textStateMachine }

func (machine *lastCommandStateMachine) Apply(entry raft.Entry) any {
	machine.content = entry.Data
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

// openHost starts a host without peers on a data directory. It replays extra after the stored
// records.
func openHost(t *testing.T, path string, settings Settings, machine StateMachine, extra ...durablelog.Record) (*Host, error) {
	t.Helper()
	return openHostWithPeers(t, path, settings, machine, "", extra...)
}

// openHostWithPeers is like openHost, with all peers at peerAddress.
func openHostWithPeers(t *testing.T, path string, settings Settings, machine StateMachine, peerAddress string, extra ...durablelog.Record) (*Host, error) {
	t.Helper()
	directory, err := vfs.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	log, records, err := durablelog.Open(directory, "test")
	if err != nil {
		t.Fatal(err)
	}
	transport := NewTransport(link.NewClient(link.TCP{}), func(string) string { return peerAddress }, func() string { return "" })
	host, err := Open(settings, log, append(records, extra...), func(uint32) StateMachine { return machine }, transport)
	if err == nil {
		t.Cleanup(func() {
			select {
			case <-host.stopped: // the test closed it
			default:
				closeHost(t, host)
			}
		})
	}
	return host, err
}

// closeHost closes a host and waits for the disk goroutine to end, after which the data directory
// may be removed or opened again.
func closeHost(t *testing.T, host *Host) {
	t.Helper()
	host.Close()
	select {
	case <-host.diskStopped:
	case <-time.After(testTimeout):
		t.Errorf("the disk goroutine has not ended within %s of Close", testTimeout)
	}
}

// directoryBytes returns the total size of the files in a directory tree.
func directoryBytes(t *testing.T, path string) (total int64) {
	t.Helper()
	err := filepath.Walk(path, func(_ string, file os.FileInfo, err error) error {
		if err == nil && !file.IsDir() {
			total += file.Size()
		}
		return err
	})
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return total
}

func heapInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapInuse)
}
