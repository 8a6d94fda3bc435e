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
	testEventCount   = 200 // per session, more than one chunk
)

// archivedNode returns a node whose archive has all events of testSessionCount sessions, and a
// view of the group with these sessions.
func archivedNode(t *testing.T) (*Node, *sessionlog.View) {
	t.Helper()
	dir, err := vfs.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	archiveStore, err := archive.Open(dir)
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

// allMissing returns the ranges that an empty archive lacks.
func allMissing(view *sessionlog.View) (missing []wire.ReadArchiveQuery) {
	for session := range view.Sessions() {
		missing = append(missing, wire.ReadArchiveQuery{Session: session.Name, Through: testEventCount})
	}
	return missing
}

// TestRepairReadsOneBatchAtATime repairs an empty archive that lacks 16 MB. Repair must pass on
// every event once and in order, in batches of bounded size.
func TestRepairReadsOneBatchAtATime(t *testing.T) {
	node, view := archivedNode(t)
	through := map[string]uint64{}
	stored, complete, err := node.copyMissing(testRepairGroup, view, allMissing(view), func(_ context.Context, chunks []wire.ArchiveChunk) error {
		batchBytes := 0
		for _, chunk := range chunks {
			batchBytes += dataBytes(chunk.Events)
			if chunk.First != through[chunk.Session]+1 || chunk.Last != chunk.First+uint64(len(chunk.Events))-1 {
				t.Errorf("events %d to %d of %s follow event %d", chunk.First, chunk.Last, chunk.Session, through[chunk.Session])
			}
			through[chunk.Session] = chunk.Last
		}
		if batchBytes > repairBatchBytes+repairRangeEvents*testEventBytes {
			t.Errorf("a batch has %d bytes, more than the limit", batchBytes)
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

// TestRepairStopsAtFirstError guards against repair that keeps sending to a store that cannot
// write.
func TestRepairStopsAtFirstError(t *testing.T) {
	node, view := archivedNode(t)
	errFull, calls := errors.New("full"), 0
	_, complete, err := node.copyMissing(testRepairGroup, view, allMissing(view), func(context.Context, []wire.ArchiveChunk) error {
		calls++
		return errFull
	})
	if !errors.Is(err, errFull) || complete || calls != 1 {
		t.Errorf("%d calls, complete %t: %v", calls, complete, err)
	}
}
