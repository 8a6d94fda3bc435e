package wire

import (
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
