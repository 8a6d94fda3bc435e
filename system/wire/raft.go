package wire

import (
	"errors"
	"math"

	"capnproto.org/go/capnp/v3"

	"yardrock.example/system/raft"
	"yardrock.example/system/wire/schema"
)

func encodeMembership(target schema.Replicas, value *raft.Membership) error {
	voters, err := target.NewVoters(int32(len(value.Voters)))
	if err := encodeTexts(voters, err, value.Voters); err != nil {
		return err
	}
	learners, err := target.NewLearners(int32(len(value.Learners)))
	return encodeTexts(learners, err, value.Learners)
}

func decodeMembership(source schema.Replicas, value *raft.Membership) (err error) {
	if value.Voters, err = decodeTexts(source.Voters()); err != nil {
		return err
	}
	value.Learners, err = decodeTexts(source.Learners())
	return err
}

func encodeEntry(target schema.Entry, value *raft.Entry) error {
	target.SetIndex(value.Index)
	target.SetTerm(value.Term)
	target.SetKind(uint16(value.Kind))
	if value.Kind != raft.EntryMembership {
		return target.SetData(value.Data)
	}
	replicas, err := target.NewReplicas()
	if err != nil {
		return err
	}
	return encodeMembership(replicas, &value.Membership)
}

func decodeEntry(source schema.Entry, value *raft.Entry) (err error) {
	value.Index, value.Term, value.Kind = source.Index(), source.Term(), raft.EntryKind(source.Kind())
	if value.Kind != raft.EntryMembership {
		value.Data, err = source.Data()
		return err
	}
	replicas, err := source.Replicas()
	if err != nil {
		return err
	}
	return decodeMembership(replicas, &value.Membership)
}

func encodeSnapshot(target schema.Checkpoint, value *raft.Snapshot) error {
	target.SetIndex(value.Index)
	target.SetTerm(value.Term)
	if err := target.SetData(value.Data); err != nil {
		return err
	}
	replicas, err := target.NewReplicas()
	if err != nil {
		return err
	}
	return encodeMembership(replicas, &value.Membership)
}

func decodeSnapshot(source schema.Checkpoint, value *raft.Snapshot) (err error) {
	value.Index, value.Term = source.Index(), source.Term()
	if value.Data, err = source.Data(); err != nil {
		return err
	}
	replicas, err := source.Replicas()
	if err != nil {
		return err
	}
	return decodeMembership(replicas, &value.Membership)
}

func carriesSnapshot(kind raft.MessageKind) bool {
	return kind == raft.MessageSnapshot || kind == raft.MessageSnapshotChunk
}

func encodeSnapshotChunk(target schema.SnapshotChunk, value *raft.SnapshotChunk) {
	target.SetOffset(value.Offset)
	target.SetTotal(value.Total)
	target.SetContentSum(value.ContentChecksum)
	target.SetChecksum(value.Checksum)
	target.SetReason(uint16(value.Reason))
}

func decodeSnapshotChunk(source schema.SnapshotChunk) raft.SnapshotChunk {
	return raft.SnapshotChunk{Offset: source.Offset(), Total: source.Total(), ContentChecksum: source.ContentSum(),
		Checksum: source.Checksum(), Reason: raft.SnapshotRejection(source.Reason())}
}

func encodeMessage(target schema.AgreementMessage, value *raft.Message) error {
	target.SetGroup(value.Group)
	target.SetKind(uint16(value.Kind))
	target.SetTerm(value.Term)
	target.SetIndex(value.Index)
	target.SetLogTerm(value.LogTerm)
	target.SetCommit(value.Commit)
	target.SetRound(value.Round)
	target.SetRefused(value.Rejected)
	target.SetHint(value.Hint)
	target.SetForced(value.Forced)
	if value.Kind == raft.MessageSnapshotChunk || value.Kind == raft.MessageSnapshotReply {
		chunk, err := target.NewChunk()
		if err != nil {
			return err
		}
		encodeSnapshotChunk(chunk, &value.Chunk)
	}
	if carriesSnapshot(value.Kind) {
		snapshot, err := target.NewCheckpoint()
		if err != nil {
			return err
		}
		return encodeSnapshot(snapshot, &value.Snapshot)
	}
	entries, err := target.NewEntries(int32(len(value.Entries)))
	return encodeList(entries, err, value.Entries, encodeEntry)
}

func decodeMessage(source schema.AgreementMessage, value *raft.Message) error {
	*value = raft.Message{Group: source.Group(), Kind: raft.MessageKind(source.Kind()),
		Term: source.Term(), Index: source.Index(), LogTerm: source.LogTerm(), Commit: source.Commit(), Round: source.Round(), Rejected: source.Refused(), Hint: source.Hint(), Forced: source.Forced()}
	if value.Kind == raft.MessageSnapshotChunk || value.Kind == raft.MessageSnapshotReply {
		chunk, err := source.Chunk()
		if err != nil {
			return err
		}
		value.Chunk = decodeSnapshotChunk(chunk)
	}
	if carriesSnapshot(value.Kind) {
		snapshot, err := source.Checkpoint()
		if err != nil {
			return err
		}
		return decodeSnapshot(snapshot, &value.Snapshot)
	}
	list, err := source.Entries()
	value.Entries, err = decodeList(list, err, decodeEntry)
	return err
}

// The heartbeats of groups in which all is quiet, and their answers, are most of what an
// idle fleet sends. They travel together, in a short form.

func heartbeatIndex(value *raft.Message) (index uint64, isHeartbeat bool) {
	quiet := value.Kind == raft.MessageAppend && len(value.Entries) == 0 && value.LogTerm == value.Term && value.Index == value.Commit && value.Hint == 0
	return value.Index, quiet && !value.Rejected && !value.Forced && value.Term <= math.MaxUint32
}

func heartbeatReplyIndex(value *raft.Message) (index uint64, isReply bool) {
	quiet := value.Kind == raft.MessageAppendReply && len(value.Entries) == 0 && value.LogTerm == 0 && value.Commit == 0 && value.Hint == 0
	return value.Index, quiet && !value.Rejected && !value.Forced && value.Term <= math.MaxUint32
}

func encodeHeartbeats(made capnp.StructList[schema.Beat], err error, messages []raft.Message, short func(*raft.Message) (uint64, bool)) error {
	at := 0
	for position := 0; err == nil && position < len(messages); position++ {
		message := &messages[position]
		index, isShort := short(message)
		if !isShort {
			continue
		}
		heartbeat := made.At(at)
		at++
		heartbeat.SetGroup(message.Group)
		heartbeat.SetTerm(uint32(message.Term))
		heartbeat.SetIndex(index)
		heartbeat.SetRound(message.Round)
	}
	return err
}

// encodeRaftBatch puts messages of one node to one other.
func encodeRaftBatch(target schema.AgreementBatch, value *RaftBatch) error {
	heartbeats, replies, long := 0, 0, []*raft.Message{}
	for position := range value.Messages {
		message := &value.Messages[position]
		if _, isHeartbeat := heartbeatIndex(message); isHeartbeat {
			heartbeats++
		} else if _, isAnswer := heartbeatReplyIndex(message); isAnswer {
			replies++
		} else {
			long = append(long, message)
		}
	}
	if len(value.Messages) > 0 {
		if err := errors.Join(target.SetFrom(value.Messages[0].From), target.SetTo(value.Messages[0].To)); err != nil {
			return err
		}
	}
	if heartbeats > 0 {
		made, err := target.NewBeats(int32(heartbeats))
		if err := encodeHeartbeats(made, err, value.Messages, heartbeatIndex); err != nil {
			return err
		}
	}
	if replies > 0 {
		made, err := target.NewAnswers(int32(replies))
		if err := encodeHeartbeats(made, err, value.Messages, heartbeatReplyIndex); err != nil {
			return err
		}
	}
	if len(long) == 0 {
		return nil
	}
	messages, err := target.NewMessages(int32(len(long)))
	return encodeList(messages, err, long, func(made schema.AgreementMessage, message **raft.Message) error {
		return encodeMessage(made, *message)
	})
}

// decodeRaftBatch gives a batch's messages, the short ones last; agreement bears any order.
func decodeRaftBatch(source schema.AgreementBatch, value *RaftBatch) error {
	reading := &fieldReader{}
	from, to := field(reading, source.From), field(reading, source.To)
	messages, heartbeats, replies := field(reading, source.Messages), field(reading, source.Beats), field(reading, source.Answers)
	if reading.err != nil {
		return reading.err
	}
	value.Messages = make([]raft.Message, 0, messages.Len()+heartbeats.Len()+replies.Len())
	for position := range messages.Len() {
		message := raft.Message{}
		if err := decodeMessage(messages.At(position), &message); err != nil {
			return err
		}
		value.Messages = append(value.Messages, message)
	}
	for position := range heartbeats.Len() {
		heartbeat := heartbeats.At(position)
		value.Messages = append(value.Messages, raft.Message{Kind: raft.MessageAppend, Group: heartbeat.Group(), Term: uint64(heartbeat.Term()), LogTerm: uint64(heartbeat.Term()), Index: heartbeat.Index(), Commit: heartbeat.Index(), Round: heartbeat.Round()})
	}
	for position := range replies.Len() {
		heartbeat := replies.At(position)
		value.Messages = append(value.Messages, raft.Message{Kind: raft.MessageAppendReply, Group: heartbeat.Group(), Term: uint64(heartbeat.Term()), Index: heartbeat.Index(), Round: heartbeat.Round()})
	}
	for position := range value.Messages {
		value.Messages[position].From, value.Messages[position].To = from, to
	}
	return nil
}

func encodeStoredWrite(target schema.StoredWrite, value *StoredWrite) error {
	state, err := target.NewState()
	if err != nil {
		return err
	}
	state.SetTerm(value.HardState.Term)
	if err := state.SetVoted(value.HardState.VotedFor); err != nil {
		return err
	}
	entries, err := target.NewEntries(int32(len(value.Entries)))
	if err := encodeList(entries, err, value.Entries, encodeEntry); err != nil {
		return err
	}
	target.SetPointed(value.HasSnapshot)
	target.SetContentApart(value.SnapshotDataSeparate)
	if !value.HasSnapshot {
		return nil
	}
	snapshot, err := target.NewCheckpoint()
	if err != nil {
		return err
	}
	return encodeSnapshot(snapshot, &value.Snapshot)
}

func decodeStoredWrite(source schema.StoredWrite, value *StoredWrite) error {
	state, err := source.State()
	if err != nil {
		return err
	}
	value.HardState.Term = state.Term()
	if value.HardState.VotedFor, err = state.Voted(); err != nil {
		return err
	}
	list, err := source.Entries()
	if value.Entries, err = decodeList(list, err, decodeEntry); err != nil {
		return err
	}
	value.SnapshotDataSeparate = source.ContentApart()
	if value.HasSnapshot = source.Pointed(); !value.HasSnapshot {
		return nil
	}
	snapshot, err := source.Checkpoint()
	if err != nil {
		return err
	}
	return decodeSnapshot(snapshot, &value.Snapshot)
}
