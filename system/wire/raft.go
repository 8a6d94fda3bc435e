package wire

import (
	"errors"
	"math"

	"capnproto.org/go/capnp/v3"

	"yardrock.example/system/agreement"
	"yardrock.example/system/wire/schema"
)

func encodeMembership(target schema.Replicas, value *agreement.Membership) error {
	voters, err := target.NewVoters(int32(len(value.Voters)))
	if err := encodeTexts(voters, err, value.Voters); err != nil {
		return err
	}
	learners, err := target.NewLearners(int32(len(value.Learners)))
	return encodeTexts(learners, err, value.Learners)
}

func decodeMembership(source schema.Replicas, value *agreement.Membership) (err error) {
	if value.Voters, err = decodeTexts(source.Voters()); err != nil {
		return err
	}
	value.Learners, err = decodeTexts(source.Learners())
	return err
}

func encodeEntry(target schema.Entry, value *agreement.Entry) error {
	target.SetIndex(value.Index)
	target.SetTerm(value.Term)
	target.SetKind(uint16(value.Kind))
	if value.Kind != agreement.EntryMembership {
		return target.SetData(value.Data)
	}
	replicas, err := target.NewReplicas()
	if err != nil {
		return err
	}
	return encodeMembership(replicas, &value.Membership)
}

func decodeEntry(source schema.Entry, value *agreement.Entry) (err error) {
	value.Index, value.Term, value.Kind = source.Index(), source.Term(), agreement.EntryKind(source.Kind())
	if value.Kind != agreement.EntryMembership {
		value.Data, err = source.Data()
		return err
	}
	replicas, err := source.Replicas()
	if err != nil {
		return err
	}
	return decodeMembership(replicas, &value.Membership)
}

func encodeSnapshot(target schema.Checkpoint, value *agreement.Snapshot) error {
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

func decodeSnapshot(source schema.Checkpoint, value *agreement.Snapshot) (err error) {
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

func carriesSnapshot(kind agreement.MessageKind) bool {
	return kind == agreement.MessageSnapshot || kind == agreement.MessageSnapshotChunk
}

func encodeSnapshotChunk(target schema.SnapshotChunk, value *agreement.SnapshotChunk) {
	target.SetOffset(value.Offset)
	target.SetTotal(value.Total)
	target.SetContentSum(value.ContentChecksum)
	target.SetChecksum(value.Checksum)
	target.SetReason(uint16(value.Reason))
}

func decodeSnapshotChunk(source schema.SnapshotChunk) agreement.SnapshotChunk {
	return agreement.SnapshotChunk{Offset: source.Offset(), Total: source.Total(), ContentChecksum: source.ContentSum(),
		Checksum: source.Checksum(), Reason: agreement.SnapshotRejection(source.Reason())}
}

func encodeMessage(target schema.AgreementMessage, value *agreement.Message) error {
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
	if value.Kind == agreement.MessageSnapshotChunk || value.Kind == agreement.MessageSnapshotReply {
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

func decodeMessage(source schema.AgreementMessage, value *agreement.Message) error {
	*value = agreement.Message{Group: source.Group(), Kind: agreement.MessageKind(source.Kind()),
		Term: source.Term(), Index: source.Index(), LogTerm: source.LogTerm(), Commit: source.Commit(), Round: source.Round(), Rejected: source.Refused(), Hint: source.Hint(), Forced: source.Forced()}
	if value.Kind == agreement.MessageSnapshotChunk || value.Kind == agreement.MessageSnapshotReply {
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

func heartbeatIndex(value *agreement.Message) (index uint64, isHeartbeat bool) {
	quiet := value.Kind == agreement.MessageAppend && len(value.Entries) == 0 && value.LogTerm == value.Term && value.Index == value.Commit && value.Hint == 0
	return value.Index, quiet && !value.Rejected && !value.Forced && value.Term <= math.MaxUint32
}

func heartbeatReplyIndex(value *agreement.Message) (index uint64, isReply bool) {
	quiet := value.Kind == agreement.MessageAppendReply && len(value.Entries) == 0 && value.LogTerm == 0 && value.Commit == 0 && value.Hint == 0
	return value.Index, quiet && !value.Rejected && !value.Forced && value.Term <= math.MaxUint32
}

func encodeHeartbeats(made capnp.StructList[schema.Beat], err error, messages []agreement.Message, short func(*agreement.Message) (uint64, bool)) error {
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
	heartbeats, replies, long := 0, 0, []*agreement.Message{}
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
	return encodeList(messages, err, long, func(made schema.AgreementMessage, message **agreement.Message) error {
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
	value.Messages = make([]agreement.Message, 0, messages.Len()+heartbeats.Len()+replies.Len())
	for position := range messages.Len() {
		message := agreement.Message{}
		if err := decodeMessage(messages.At(position), &message); err != nil {
			return err
		}
		value.Messages = append(value.Messages, message)
	}
	for position := range heartbeats.Len() {
		heartbeat := heartbeats.At(position)
		value.Messages = append(value.Messages, agreement.Message{Kind: agreement.MessageAppend, Group: heartbeat.Group(), Term: uint64(heartbeat.Term()), LogTerm: uint64(heartbeat.Term()), Index: heartbeat.Index(), Commit: heartbeat.Index(), Round: heartbeat.Round()})
	}
	for position := range replies.Len() {
		heartbeat := replies.At(position)
		value.Messages = append(value.Messages, agreement.Message{Kind: agreement.MessageAppendReply, Group: heartbeat.Group(), Term: uint64(heartbeat.Term()), Index: heartbeat.Index(), Round: heartbeat.Round()})
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
