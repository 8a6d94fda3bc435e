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

// bootstrapAlone bootstraps group 1 with this host alone, and waits until it leads.
func bootstrapAlone(t *testing.T, host *Host) {
	t.Helper()
	host.Bootstrap(1, []string{host.Name()}, nil)
	await(t, "the host leads", func() bool {
		status, _ := host.Status(1)
		return status.CommittedInTerm
	})
}

func await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for until := time.Now().Add(testTimeout); !reached(); <-ticker.C {
		if time.Now().After(until) {
			t.Fatalf("not within %s: %s", testTimeout, what)
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

// fastSettings returns settings for elections within milliseconds, and without snapshots by the
// count of entries.
func fastSettings() Settings {
	settings := DefaultSettings(1)
	settings.Tick, settings.SnapshotEntries = 2*time.Millisecond, 1<<40
	return settings
}

// textPrefix begins the content of the snapshots that textStateMachine can read.
const textPrefix = "text:"

// textStateMachine appends all commands to its content.
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

// lastCommandStateMachine has only the last command as its content.
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

// openHost starts a host in a folder, with extra records after the stored ones. It has no peers.
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
				closeHost(t, host)
			}
		})
	}
	return host, err
}

// closeHost closes a host and waits until nothing is written to its folder any more, so that it
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

// directoryBytes returns the size of all files below a folder.
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
