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
	ticks := group.catchUp(120, nil)
	if limit := 2 * (size/defaultChunkBytes + 1); group.sentChunks > limit {
		t.Errorf("%d chunks were sent for a snapshot of %d chunks", group.sentChunks, size/defaultChunkBytes)
	}
	for position := 1; position < len(group.heartbeatTicks); position++ {
		if gap := group.heartbeatTicks[position] - group.heartbeatTicks[position-1]; gap > group.settings.HeartbeatTicks+group.maxDelay+1 {
			t.Errorf("no heartbeat to c for %d ticks", gap)
		}
	}
	if len(group.heartbeatTicks) < ticks/group.settings.HeartbeatTicks {
		t.Errorf("c received only %d heartbeats in %d ticks", len(group.heartbeatTicks), ticks)
	}
	if group.cores["c"].Status().Term != group.cores["a"].Status().Term {
		t.Error("c started an election during the transfer")
	}
}

func TestLaggingReplicaCatchesUpOverALossyNetwork(t *testing.T) {
	maxTicks := 0
	for seed := range uint64(20) {
		group := newDelayedGroup(t, seed, 1<<20) // 8 chunks
		group.lossPerMille, group.duplicatePerMille, group.maxDelay, group.reorder = 200, 200, 3, true
		maxTicks = max(maxTicks, group.catchUp(400, nil))
		if group.sentChunks > 100 {
			t.Errorf("seed %d: %d chunks were sent", seed, group.sentChunks)
		}
	}
	t.Logf("caught up after at most %d ticks", maxTicks)
}

func TestReceiverRestartedMidTransferStartsOverAtOnce(t *testing.T) {
	const size = 4 << 20 // 32 chunks
	undisturbed := newDelayedGroup(t, 1, size)
	undisturbed.maxDelay = 1
	baseline := undisturbed.catchUp(200, nil)
	group := newDelayedGroup(t, 1, size)
	group.maxDelay = 1
	restartTick := baseline * 2 / 3
	ticks := group.catchUp(400, func(tick int) {
		if tick == restartTick {
			group.start("c")
		}
	})
	// Allow two heartbeat intervals until a chunk is retransmitted, and one for the receiver to
	// request the first chunk.
	if limit := restartTick + baseline + 3*group.settings.HeartbeatTicks; ticks > limit {
		t.Errorf("caught up after %d ticks, %d without a restart, want at most %d", ticks, baseline, limit)
	}
}

func TestReceiverPartitionedMidTransferResumesAtItsOffset(t *testing.T) {
	const size = 4 << 20
	group := newDelayedGroup(t, 1, size)
	group.maxDelay = 1
	partitionStart, partitionTicks, chunksBefore := 30, 60, 0
	group.catchUp(400, func(tick int) {
		switch tick {
		case partitionStart:
			group.lossPerMille = 1000
			chunksBefore = group.sentChunks
		case partitionStart + partitionTicks:
			if sent := group.sentChunks - chunksBefore; sent > 3 {
				t.Errorf("%d chunks were sent while the receiver was partitioned, want at most 3", sent)
			}
			group.lossPerMille = 0
		}
	})
	if limit := size/defaultChunkBytes + 8; group.sentChunks > limit {
		t.Errorf("%d chunks were sent, want at most %d", group.sentChunks, limit)
	}
}

func TestNewSnapshotReplacesTheTransferInProgress(t *testing.T) {
	group := newDelayedGroup(t, 1, 4<<20)
	group.maxDelay = 1
	group.catchUp(400, func(tick int) {
		if tick == 20 {
			if !group.cores["a"].SendingSnapshot() {
				t.Error("SendingSnapshot is false during the transfer")
			}
			group.step("a", Input{Kind: InputPropose, Data: []byte("later")})
		}
		if tick == 24 {
			group.compact(2 << 20)
		}
	})
	for range 2 * group.settings.HeartbeatTicks { // until the leader has received the reply to the last chunk
		group.tick("a", "b", "c")
	}
	if group.cores["a"].SendingSnapshot() {
		t.Error("SendingSnapshot is true although c has caught up")
	}
}

func TestSnapshotOfOneLeaderIsNotContinuedWithAnotherLeadersChunks(t *testing.T) {
	core, chunks := newReceiverWithChunks(t, "the content that one leader made")
	core.Step(Input{Kind: InputMessage, Message: chunks[0]})
	_, otherChunks := newReceiverWithChunks(t, "the content that another made..")
	output := core.Step(Input{Kind: InputMessage, Message: otherChunks[1]})
	if output.SnapshotRejected == nil || output.SnapshotRejected.Reason != SnapshotOutOfOrder || output.Messages[0].Chunk.Offset != 0 {
		t.Fatalf("unexpected reply: %+v", output.Messages)
	}
}

const testChunkBytes = 4

// newReceiverWithChunks returns a replica that waits for a snapshot, and the chunks of a snapshot
// with the given content. The replica cannot read contents that are empty or start with "!".
func newReceiverWithChunks(t *testing.T, content string) (*Core, []Message) {
	t.Helper()
	settings := Settings{Group: 4, Name: "b", ElectionTicks: 10, HeartbeatTicks: 2, ChunkBytes: testChunkBytes, InstallSnapshot: func(snapshot Snapshot) error {
		if len(snapshot.Data) == 0 || snapshot.Data[0] == '!' {
			return errUnreadable
		}
		return nil
	}}
	snapshot := Snapshot{Index: 7, Term: 2, Membership: Membership{Voters: []string{"a", "b"}}, Data: []byte(content)}
	leader := New(Settings{Group: 4, Name: "a", ElectionTicks: 10, HeartbeatTicks: 2, ChunkBytes: testChunkBytes}, PersistentState{HardState: HardState{Term: 3}, Snapshot: snapshot})
	outgoing := &outgoingSnapshot{index: 7, contentChecksum: leader.contentChecksum()}
	for outgoing.sentOffset < uint64(len(content)) {
		leader.sendChunk("b", outgoing)
	}
	return New(settings, PersistentState{HardState: HardState{Term: 3}}), leader.outbox
}

func TestInvalidChunkIsRejectedAndChangesNothing(t *testing.T) {
	withValidChecksum := func(change func(*Message)) func(*Message) {
		return func(message *Message) {
			change(message)
			message.Chunk.Checksum = chunkChecksum(*message)
		}
	}
	for name, test := range map[string]struct {
		alter  func(*Message)
		reason SnapshotRejection
	}{
		"bit flip":                           {func(message *Message) { message.Snapshot.Data[1] ^= 1 }, SnapshotDamaged},
		"truncated data":                     {func(message *Message) { message.Snapshot.Data = message.Snapshot.Data[:2] }, SnapshotDamaged},
		"damaged offset":                     {func(message *Message) { message.Chunk.Offset += testChunkBytes }, SnapshotDamaged},
		"damaged voters":                     {func(message *Message) { message.Snapshot.Membership.Voters = []string{"a", "x"} }, SnapshotDamaged},
		"damaged term":                       {func(message *Message) { message.Term += 9 }, SnapshotDamaged},
		"earlier term":                       {withValidChecksum(func(message *Message) { message.Term-- }), SnapshotStaleTerm},
		"wrong group":                        {withValidChecksum(func(message *Message) { message.Group++ }), SnapshotWrongGroup},
		"out of order":                       {withValidChecksum(func(message *Message) { message.Chunk.Offset += testChunkBytes }), SnapshotOutOfOrder},
		"exceeds total size":                 {withValidChecksum(func(message *Message) { message.Chunk.Offset = message.Chunk.Total - 1 }), SnapshotDamaged},
		"later snapshot, not from its start": {withValidChecksum(func(message *Message) { message.Snapshot.Index++ }), SnapshotOutOfOrder},
		"earlier snapshot":                   {withValidChecksum(func(message *Message) { message.Snapshot.Index--; message.Chunk.Offset = 0 }), SnapshotSuperseded},
		"different content checksum":         {withValidChecksum(func(message *Message) { message.Chunk.ContentChecksum++ }), SnapshotOutOfOrder},
		"too large":                          {withValidChecksum(func(message *Message) { message.Chunk.Total = maxSnapshotBytes + 1 }), SnapshotTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			const content = "twelve bytes"
			core, chunks := newReceiverWithChunks(t, content)
			core.Step(Input{Kind: InputMessage, Message: chunks[0]})
			invalid := chunks[1]
			invalid.Snapshot.Data = bytes.Clone(invalid.Snapshot.Data)
			test.alter(&invalid)
			before := core.Status()
			output := core.Step(Input{Kind: InputMessage, Message: invalid})
			after := core.Status()
			if output.SnapshotRejected == nil || output.SnapshotRejected.Reason != test.reason {
				t.Fatalf("unexpected rejection: %v", output.SnapshotRejected)
			}
			if len(output.Messages) != 1 || !output.Messages[0].Rejected || output.Messages[0].Kind != MessageSnapshotReply {
				t.Fatalf("unexpected reply: %+v", output.Messages)
			}
			if before.Term != after.Term || before.CommitIndex != after.CommitIndex || output.Write != nil || output.Snapshot != nil {
				t.Fatalf("the rejected chunk changed the status from %+v to %+v", before, after)
			}
			for _, chunk := range chunks[1:] {
				output = core.Step(Input{Kind: InputMessage, Message: chunk})
			}
			if output.Snapshot == nil || string(output.Snapshot.Data) != content {
				t.Fatalf("the valid chunks were not installed after the rejected one: %+v", output)
			}
		})
	}
}

func TestUnreadableTransferredSnapshotIsNotInstalled(t *testing.T) {
	core, chunks := newReceiverWithChunks(t, "!nreadable")
	var output Output
	for _, chunk := range chunks {
		output = core.Step(Input{Kind: InputMessage, Message: chunk})
	}
	if output.Snapshot != nil || output.Write != nil || core.AppliedIndex() != 0 || core.incoming != nil {
		t.Fatalf("an unreadable snapshot changed the replica: %+v", core.Status())
	}
	if output.SnapshotRejected == nil || output.SnapshotRejected.Reason != SnapshotUnreadable || !errors.Is(output.SnapshotRejected, errUnreadable) {
		t.Fatalf("unexpected rejection: %v", output.SnapshotRejected)
	}
	if reply := output.Messages[0]; !reply.Rejected || reply.Chunk.Offset != 0 {
		t.Fatalf("unexpected reply: %+v", reply)
	}
}

// The network damages one chunk in ten, and the receiver's state machine fails to read the first
// two complete snapshots.
func TestSenderContinuesAfterRejections(t *testing.T) {
	group := newDelayedGroup(t, 3, 2<<20)
	group.maxDelay = 1
	group.intercept = func(message *Message) {
		if message.Kind == MessageSnapshotChunk && group.random.IntN(10) == 0 {
			message.Snapshot.Data = bytes.Clone(message.Snapshot.Data)
			message.Snapshot.Data[0] ^= 1
		}
	}
	remainingFailures := 2
	group.settings.InstallSnapshot = func(Snapshot) error {
		if remainingFailures--; remainingFailures >= 0 {
			return errUnreadable
		}
		return nil
	}
	group.catchUp(400, nil)
	if !slices.Contains(group.rejections, SnapshotDamaged) || !slices.Contains(group.rejections, SnapshotUnreadable) {
		t.Fatalf("rejections: %v, want both SnapshotDamaged and SnapshotUnreadable", group.rejections)
	}
}
