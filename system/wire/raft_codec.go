package wire

import (
	"slices"

	"yardrock.example/system/raft"
	"yardrock.example/system/wire/schema"
)

func encodeMembership(target schema.Replicas, value *raft.Membership) error {
	if err := encodeTexts(target.NewVoters, value.Voters); err != nil {
		return err
	}
	return encodeTexts(target.NewLearners, value.Learners)
}

func decodeMembership(source schema.Replicas, value *raft.Membership) (err error) {
	if value.Voters, err = decodeTexts(source.Voters); err != nil {
		return err
	}
	value.Learners, err = decodeTexts(source.Learners)
	return err
}

// encodeEntry encodes an entry with its data or, for a membership entry, the membership.
func encodeEntry(target schema.Entry, value *raft.Entry) error {
	target.SetIndex(value.Index)
	target.SetTerm(value.Term)
	target.SetKind(uint16(value.Kind))
	if value.Kind != raft.EntryMembership {
		return target.SetData(value.Data)
	}
	return encodeNested(target.NewReplicas, &value.Membership, encodeMembership)
}

func decodeEntry(source schema.Entry, value *raft.Entry) error {
	value.Index, value.Term, value.Kind = source.Index(), source.Term(), raft.EntryKind(source.Kind())
	if value.Kind != raft.EntryMembership {
		// Entries outlive the message, which also has entries of other groups. A copy of the
		// data does not keep the whole message in memory.
		data, err := source.Data()
		value.Data = slices.Clone(data)
		return err
	}
	return decodeNested(source.Replicas, &value.Membership, decodeMembership)
}

func encodeSnapshot(target schema.Checkpoint, value *raft.Snapshot) error {
	target.SetIndex(value.Index)
	target.SetTerm(value.Term)
	if err := target.SetData(value.Data); err != nil {
		return err
	}
	return encodeNested(target.NewReplicas, &value.Membership, encodeMembership)
}

func decodeSnapshot(source schema.Checkpoint, value *raft.Snapshot) (err error) {
	value.Index, value.Term = source.Index(), source.Term()
	if value.Data, err = source.Data(); err != nil {
		return err
	}
	return decodeNested(source.Replicas, &value.Membership, decodeMembership)
}

func encodeSnapshotChunk(target schema.SnapshotChunk, value *raft.SnapshotChunk) error {
	target.SetOffset(value.Offset)
	target.SetTotal(value.Total)
	target.SetContentSum(value.ContentChecksum)
	target.SetChecksum(value.Checksum)
	target.SetReason(uint16(value.Reason))
	return nil
}

func decodeSnapshotChunk(source schema.SnapshotChunk, value *raft.SnapshotChunk) error {
	*value = raft.SnapshotChunk{Offset: source.Offset(), Total: source.Total(), ContentChecksum: source.ContentSum(),
		Checksum: source.Checksum(), Reason: raft.SnapshotRejection(source.Reason())}
	return nil
}

// hasSnapshot reports whether messages of a kind carry a snapshot or a chunk of its data. Such
// messages carry no entries.
func hasSnapshot(kind raft.MessageKind) bool {
	return kind == raft.MessageSnapshot || kind == raft.MessageSnapshotChunk
}

// hasChunk reports whether messages of a kind describe a chunk of a snapshot.
func hasChunk(kind raft.MessageKind) bool {
	return kind == raft.MessageSnapshotChunk || kind == raft.MessageSnapshotReply
}

// encodeMessage encodes a message without its sender and receiver, which are fields of the
// batch.
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
	if hasChunk(value.Kind) {
		if err := encodeNested(target.NewChunk, &value.Chunk, encodeSnapshotChunk); err != nil {
			return err
		}
	}
	if hasSnapshot(value.Kind) {
		return encodeNested(target.NewCheckpoint, &value.Snapshot, encodeSnapshot)
	}
	return encodeList(target.NewEntries, value.Entries, encodeEntry)
}

func decodeMessage(source schema.AgreementMessage, value *raft.Message) (err error) {
	*value = raft.Message{Group: source.Group(), Kind: raft.MessageKind(source.Kind()),
		Term: source.Term(), Index: source.Index(), LogTerm: source.LogTerm(), Commit: source.Commit(), Round: source.Round(),
		Rejected: source.Refused(), Hint: source.Hint(), Forced: source.Forced()}
	if hasChunk(value.Kind) {
		if err := decodeNested(source.Chunk, &value.Chunk, decodeSnapshotChunk); err != nil {
			return err
		}
	}
	if hasSnapshot(value.Kind) {
		return decodeNested(source.Checkpoint, &value.Snapshot, decodeSnapshot)
	}
	value.Entries, err = decodeList(source.Entries, decodeEntry)
	return err
}

func encodeHardState(target schema.State, value *raft.HardState) error {
	target.SetTerm(value.Term)
	return target.SetVoted(value.VotedFor)
}

func decodeHardState(source schema.State, value *raft.HardState) (err error) {
	value.Term = source.Term()
	value.VotedFor, err = source.Voted()
	return err
}

func encodeStoredWrite(target schema.StoredWrite, value *StoredWrite) error {
	if err := encodeNested(target.NewState, &value.HardState, encodeHardState); err != nil {
		return err
	}
	if err := encodeList(target.NewEntries, value.Entries, encodeEntry); err != nil {
		return err
	}
	target.SetPointed(value.HasSnapshot)
	target.SetContentApart(value.SnapshotDataSeparate)
	if !value.HasSnapshot {
		return nil
	}
	return encodeNested(target.NewCheckpoint, &value.Snapshot, encodeSnapshot)
}

func decodeStoredWrite(source schema.StoredWrite, value *StoredWrite) (err error) {
	if err := decodeNested(source.State, &value.HardState, decodeHardState); err != nil {
		return err
	}
	if value.Entries, err = decodeList(source.Entries, decodeEntry); err != nil {
		return err
	}
	value.SnapshotDataSeparate = source.ContentApart()
	if value.HasSnapshot = source.Pointed(); !value.HasSnapshot {
		return nil
	}
	return decodeNested(source.Checkpoint, &value.Snapshot, decodeSnapshot)
}
