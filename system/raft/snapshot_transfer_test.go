package raft

import (
	"bytes"
	"errors"
	"slices"
	"testing"
)

func TestLaggingReplicaCatchesUpWhileHeartbeatsContinue(t *testing.T) {
	const size = 5 << 20 // 40 chunks
	group := newDelayedGroup(t, 1, size)
	group.maxDelay = 1
	ticks := group.caughtUp(120, nil)
	if limit := 2 * (size/defaultChunkBytes + 1); group.chunks > limit {
		t.Errorf("%d chunks were sent for a snapshot of %d", group.chunks, size/defaultChunkBytes)
	}
	for position := 1; position < len(group.heartbeats); position++ {
		if gap := group.heartbeats[position] - group.heartbeats[position-1]; gap > group.settings.HeartbeatTicks+group.maxDelay+1 {
			t.Errorf("no heartbeat for %d ticks", gap)
		}
	}
	if len(group.heartbeats) < ticks/group.settings.HeartbeatTicks {
		t.Errorf("%d heartbeats in %d ticks", len(group.heartbeats), ticks)
	}
	if group.cores["c"].Status().Term != group.cores["a"].Status().Term {
		t.Error("c stood for election meanwhile")
	}
}

func TestLaggingReplicaCatchesUpOverALossyNetwork(t *testing.T) {
	worst := 0
	for seed := range uint64(20) {
		group := newDelayedGroup(t, seed, 1<<20) // 8 chunks
		group.lost, group.repeated, group.maxDelay, group.reordered = 200, 200, 3, true
		worst = max(worst, group.caughtUp(400, nil))
		if group.chunks > 100 {
			t.Errorf("seed %d: %d chunks were sent", seed, group.chunks)
		}
	}
	t.Logf("caught up after %d ticks at worst", worst)
}

func TestReceiverRestartedMidTransferStartsOverAtOnce(t *testing.T) {
	const size = 4 << 20 // 32 chunks
	undisturbed := newDelayedGroup(t, 1, size)
	undisturbed.maxDelay = 1
	baseline := undisturbed.caughtUp(200, nil)
	group := newDelayedGroup(t, 1, size)
	group.maxDelay = 1
	restarted := baseline * 2 / 3
	ticks := group.caughtUp(400, func(tick int) {
		if tick == restarted {
			group.start("c")
		}
	})
	// Two heartbeats until the chunk counts as lost, and one tick to ask for the first.
	if limit := restarted + baseline + 3*group.settings.HeartbeatTicks; ticks > limit {
		t.Errorf("caught up after %d ticks, %d without a restart, the limit is %d", ticks, baseline, limit)
	}
}

func TestReceiverPartitionedMidTransferResumesAtItsOffset(t *testing.T) {
	const size = 4 << 20
	group := newDelayedGroup(t, 1, size)
	group.maxDelay = 1
	cutAt, cutFor, before := 30, 60, 0
	group.caughtUp(400, func(tick int) {
		switch tick {
		case cutAt:
			group.lost = 1000
			before = group.chunks
		case cutAt + cutFor:
			if sent := group.chunks - before; sent > 3 {
				t.Errorf("%d chunks were sent while the peer was silent", sent)
			}
			group.lost = 0
		}
	})
	if limit := size/defaultChunkBytes + 8; group.chunks > limit {
		t.Errorf("%d chunks were sent, the limit is %d", group.chunks, limit)
	}
}

func TestNewSnapshotReplacesTheTransferInProgress(t *testing.T) {
	group := newDelayedGroup(t, 1, 4<<20)
	group.maxDelay = 1
	group.caughtUp(400, func(tick int) {
		if tick == 20 {
			if !group.cores["a"].SendingSnapshot() {
				t.Error("the leader does not report that it sends its snapshot")
			}
			group.step("a", Input{Kind: InputPropose, Data: []byte("later")})
		}
		if tick == 24 {
			group.compact(2 << 20)
		}
	})
	for range 2 * group.settings.HeartbeatTicks { // until the leader has heard that it caught up
		group.tick("a", "b", "c")
	}
	if group.cores["a"].SendingSnapshot() {
		t.Error("the leader still sends its snapshot to one that has caught up")
	}
}

func TestSnapshotOfOneLeaderIsNotContinuedWithAnotherLeadersChunks(t *testing.T) {
	core, chunks := chunksOf(t, "the content that one leader made")
	core.Step(Input{Kind: InputMessage, Message: chunks[0]})
	_, others := chunksOf(t, "the content that another made..")
	output := core.Step(Input{Kind: InputMessage, Message: others[1]})
	if output.SnapshotRejected == nil || output.SnapshotRejected.Reason != SnapshotOutOfOrder || output.Messages[0].Chunk.Offset != 0 {
		t.Fatalf("answered %+v", output.Messages)
	}
}

const testChunk = 4

// chunksOf returns a replica that waits for a snapshot, and the chunks of one.
func chunksOf(t *testing.T, content string) (*Core, []Message) {
	t.Helper()
	settings := Settings{Group: 4, Name: "b", ElectionTicks: 10, HeartbeatTicks: 2, ChunkBytes: testChunk, InstallSnapshot: func(snapshot Snapshot) error {
		if len(snapshot.Data) == 0 || snapshot.Data[0] == '!' {
			return errUnreadable
		}
		return nil
	}}
	snapshot := Snapshot{Index: 7, Term: 2, Membership: Membership{Voters: []string{"a", "b"}}, Data: []byte(content)}
	leader := New(Settings{Group: 4, Name: "a", ElectionTicks: 10, HeartbeatTicks: 2, ChunkBytes: testChunk}, PersistentState{HardState: HardState{Term: 3}, Snapshot: snapshot})
	sending := &outgoingSnapshot{index: 7, contentChecksum: leader.contentChecksum()}
	for sending.sentOffset < uint64(len(content)) {
		leader.sendChunk("b", sending)
	}
	return New(settings, PersistentState{HardState: HardState{Term: 3}}), leader.outbox
}

func TestInvalidChunkIsRejectedAndChangesNothing(t *testing.T) {
	resealed := func(change func(*Message)) func(*Message) {
		return func(message *Message) {
			change(message)
			message.Chunk.Checksum = chunkChecksum(*message)
		}
	}
	for name, one := range map[string]struct {
		harm     func(*Message)
		rejected SnapshotRejection
	}{
		"a bit is flipped":        {func(message *Message) { message.Snapshot.Data[1] ^= 1 }, SnapshotDamaged},
		"it is cut":               {func(message *Message) { message.Snapshot.Data = message.Snapshot.Data[:2] }, SnapshotDamaged},
		"its offset is damaged":   {func(message *Message) { message.Chunk.Offset += testChunk }, SnapshotDamaged},
		"its voters are damaged":  {func(message *Message) { message.Snapshot.Membership.Voters = []string{"a", "x"} }, SnapshotDamaged},
		"its term is damaged":     {func(message *Message) { message.Term += 9 }, SnapshotDamaged},
		"it is of an older term":  {resealed(func(message *Message) { message.Term-- }), SnapshotStaleTerm},
		"it is of another group":  {resealed(func(message *Message) { message.Group++ }), SnapshotWrongGroup},
		"it is out of order":      {resealed(func(message *Message) { message.Chunk.Offset += testChunk }), SnapshotOutOfOrder},
		"it runs over its end":    {resealed(func(message *Message) { message.Chunk.Offset = message.Chunk.Total - 1 }), SnapshotDamaged},
		"it is of a later one":    {resealed(func(message *Message) { message.Snapshot.Index++ }), SnapshotOutOfOrder},
		"it is of an earlier one": {resealed(func(message *Message) { message.Snapshot.Index--; message.Chunk.Offset = 0 }), SnapshotSuperseded},
		"it is of other content":  {resealed(func(message *Message) { message.Chunk.ContentChecksum++ }), SnapshotOutOfOrder},
		"it is endless":           {resealed(func(message *Message) { message.Chunk.Total = maxSnapshotBytes + 1 }), SnapshotTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			const content = "twelve bytes"
			core, chunks := chunksOf(t, content)
			core.Step(Input{Kind: InputMessage, Message: chunks[0]})
			bad := chunks[1]
			bad.Snapshot.Data = bytes.Clone(bad.Snapshot.Data)
			one.harm(&bad)
			before := core.Status()
			output := core.Step(Input{Kind: InputMessage, Message: bad})
			after := core.Status()
			if output.SnapshotRejected == nil || output.SnapshotRejected.Reason != one.rejected {
				t.Fatalf("rejected as %v", output.SnapshotRejected)
			}
			if len(output.Messages) != 1 || !output.Messages[0].Rejected || output.Messages[0].Kind != MessageSnapshotReply {
				t.Fatalf("answered %+v", output.Messages)
			}
			if before.Term != after.Term || before.CommitIndex != after.CommitIndex || output.Write != nil || output.Snapshot != nil {
				t.Fatalf("changed from %+v to %+v", before, after)
			}
			for _, chunk := range chunks[1:] {
				output = core.Step(Input{Kind: InputMessage, Message: chunk})
			}
			if output.Snapshot == nil || string(output.Snapshot.Data) != content {
				t.Fatalf("the valid chunks were not installed after it: %+v", output)
			}
		})
	}
}

func TestUnreadableTransferredSnapshotIsNotInstalled(t *testing.T) {
	core, chunks := chunksOf(t, "!nreadable")
	var output Output
	for _, chunk := range chunks {
		output = core.Step(Input{Kind: InputMessage, Message: chunk})
	}
	if output.Snapshot != nil || output.Write != nil || core.Applied() != 0 || core.incoming != nil {
		t.Fatalf("an unreadable snapshot left %+v", core.Status())
	}
	if output.SnapshotRejected == nil || output.SnapshotRejected.Reason != SnapshotUnreadable || !errors.Is(output.SnapshotRejected, errUnreadable) {
		t.Fatalf("rejected as %v", output.SnapshotRejected)
	}
	if reply := output.Messages[0]; !reply.Rejected || reply.Chunk.Offset != 0 {
		t.Fatalf("answered %+v", reply)
	}
}

// One chunk in ten is damaged, and then a complete snapshot that is rejected at first.
func TestSenderContinuesAfterRejections(t *testing.T) {
	group := newDelayedGroup(t, 3, 2<<20)
	group.maxDelay = 1
	group.intercept = func(message *Message) {
		if message.Kind == MessageSnapshotChunk && group.random.IntN(10) == 0 {
			message.Snapshot.Data = bytes.Clone(message.Snapshot.Data)
			message.Snapshot.Data[0] ^= 1
		}
	}
	failures := 2
	group.settings.InstallSnapshot = func(Snapshot) error {
		if failures--; failures >= 0 {
			return errUnreadable
		}
		return nil
	}
	group.caughtUp(400, nil)
	if !slices.Contains(group.rejections, SnapshotDamaged) || !slices.Contains(group.rejections, SnapshotUnreadable) {
		t.Fatalf("nothing was rejected: %v", group.rejections)
	}
}
