package store

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/archive"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
)

const (
	testRepairGroup  = 3
	testEventBytes   = 2 << 10
	testSessionCount = 40
	testEventCount   = 200 // of a session; several chunks
)

// archivedNode returns a node whose archive has some sessions of a group, and a view in which
// they are archived completely.
func archivedNode(t *testing.T) (*Node, *sessionlog.View) {
	t.Helper()
	folder, err := vfs.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	archiveStore, err := archive.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	machine := sessionlog.NewStateMachine()
	for number := range testSessionCount {
		name := fmt.Sprintf("team/c-%d", number)
		chunk := wire.ArchiveChunk{Group: testRepairGroup, Session: name, First: 1, Last: testEventCount}
		for seq := range uint64(testEventCount) {
			chunk.Events = append(chunk.Events, sessionlog.Event{Seq: seq + 1, Kind: sessionlog.HelperStarted, Data: make([]byte, testEventBytes)})
		}
		machine.Apply(&sessionlog.Command{Kind: sessionlog.CreateSession, Session: name, Retention: time.Hour})
		if err := archiveStore.Put([]wire.ArchiveChunk{chunk}); err != nil {
			t.Fatal(err)
		}
	}
	return &Node{archiveStore: archiveStore, context: context.Background()}, machine.View()
}

// allMissing lists the ranges that an empty archive lacks.
func allMissing(view *sessionlog.View) (missing []wire.ReadArchiveQuery) {
	for session := range view.Sessions() {
		missing = append(missing, wire.ReadArchiveQuery{Session: session.Name, Through: testEventCount})
	}
	return missing
}

// TestRepairHasOneBatchInMemory repairs an archive that has lost everything, 16 MB: it is read
// and passed on in batches of a bounded size, each event once and in order.
func TestRepairHasOneBatchInMemory(t *testing.T) {
	node, view := archivedNode(t)
	through := map[string]uint64{}
	stored, complete, err := node.copyMissing(testRepairGroup, view, allMissing(view), func(_ context.Context, chunks []wire.ArchiveChunk) error {
		bytes := 0
		for _, chunk := range chunks {
			bytes += dataBytes(chunk.Events)
			if chunk.First != through[chunk.Session]+1 || chunk.Last != chunk.First+uint64(len(chunk.Events))-1 {
				t.Errorf("events %d to %d of %s come after %d", chunk.First, chunk.Last, chunk.Session, through[chunk.Session])
			}
			through[chunk.Session] = chunk.Last
		}
		if bytes > repairBatchBytes+repairRangeEvents*testEventBytes {
			t.Errorf("a batch has %d bytes", bytes)
		}
		return nil
	})
	if err != nil || !complete || stored < testSessionCount {
		t.Fatalf("%d chunks, complete %t: %v", stored, complete, err)
	}
	for session := range view.Sessions() {
		if through[session.Name] != testEventCount {
			t.Errorf("%s was repaired up to %d", session.Name, through[session.Name])
		}
	}
}

// TestRepairEndsAtTheFirstError: what a peer cannot store now is repaired in a later round.
func TestRepairEndsAtTheFirstError(t *testing.T) {
	node, view := archivedNode(t)
	full, calls := errors.New("full"), 0
	_, complete, err := node.copyMissing(testRepairGroup, view, allMissing(view), func(context.Context, []wire.ArchiveChunk) error {
		calls++
		return full
	})
	if !errors.Is(err, full) || complete || calls != 1 {
		t.Errorf("%d calls, complete %t: %v", calls, complete, err)
	}
}
