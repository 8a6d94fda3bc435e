package wire

import (
	"errors"
	"math"

	"capnproto.org/go/capnp/v3"

	"yardrock.example/system/agreement"
	"yardrock.example/system/wire/schema"
)

func putReplicas(target schema.Replicas, value *agreement.Membership) error {
	voters, err := target.NewVoters(int32(len(value.Voters)))
	if err := putTexts(voters, err, value.Voters); err != nil {
		return err
	}
	learners, err := target.NewLearners(int32(len(value.Learners)))
	return putTexts(learners, err, value.Learners)
}

func takeReplicas(source schema.Replicas, value *agreement.Membership) (err error) {
	if value.Voters, err = takeTexts(source.Voters()); err != nil {
		return err
	}
	value.Learners, err = takeTexts(source.Learners())
	return err
}

func putEntry(target schema.Entry, value *agreement.Entry) error {
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
	return putReplicas(replicas, &value.Membership)
}

func takeEntry(source schema.Entry, value *agreement.Entry) (err error) {
	value.Index, value.Term, value.Kind = source.Index(), source.Term(), agreement.EntryKind(source.Kind())
	if value.Kind != agreement.EntryMembership {
		value.Data, err = source.Data()
		return err
	}
	replicas, err := source.Replicas()
	if err != nil {
		return err
	}
	return takeReplicas(replicas, &value.Membership)
}

func putCheckpoint(target schema.Checkpoint, value *agreement.Snapshot) error {
	target.SetIndex(value.Index)
	target.SetTerm(value.Term)
	if err := target.SetData(value.Data); err != nil {
		return err
	}
	replicas, err := target.NewReplicas()
	if err != nil {
		return err
	}
	return putReplicas(replicas, &value.Membership)
}

func takeCheckpoint(source schema.Checkpoint, value *agreement.Snapshot) (err error) {
	value.Index, value.Term = source.Index(), source.Term()
	if value.Data, err = source.Data(); err != nil {
		return err
	}
	replicas, err := source.Replicas()
	if err != nil {
		return err
	}
	return takeReplicas(replicas, &value.Membership)
}

func carriesSnapshot(kind agreement.MessageKind) bool {
	return kind == agreement.MessageSnapshot || kind == agreement.MessageSnapshotChunk
}

func putSnapshotChunk(target schema.SnapshotChunk, value *agreement.SnapshotChunk) {
	target.SetOffset(value.Offset)
	target.SetTotal(value.Total)
	target.SetContentSum(value.ContentChecksum)
	target.SetChecksum(value.Checksum)
	target.SetReason(uint16(value.Reason))
}

func takeSnapshotChunk(source schema.SnapshotChunk) agreement.SnapshotChunk {
	return agreement.SnapshotChunk{Offset: source.Offset(), Total: source.Total(), ContentChecksum: source.ContentSum(),
		Checksum: source.Checksum(), Reason: agreement.SnapshotRejection(source.Reason())}
}

func putMessage(target schema.AgreementMessage, value *agreement.Message) error {
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
		putSnapshotChunk(chunk, &value.Chunk)
	}
	if carriesSnapshot(value.Kind) {
		point, err := target.NewCheckpoint()
		if err != nil {
			return err
		}
		return putCheckpoint(point, &value.Snapshot)
	}
	entries, err := target.NewEntries(int32(len(value.Entries)))
	return putList(entries, err, value.Entries, putEntry)
}

func takeMessage(source schema.AgreementMessage, value *agreement.Message) error {
	*value = agreement.Message{Group: source.Group(), Kind: agreement.MessageKind(source.Kind()),
		Term: source.Term(), Index: source.Index(), LogTerm: source.LogTerm(), Commit: source.Commit(), Round: source.Round(), Rejected: source.Refused(), Hint: source.Hint(), Forced: source.Forced()}
	if value.Kind == agreement.MessageSnapshotChunk || value.Kind == agreement.MessageSnapshotReply {
		chunk, err := source.Chunk()
		if err != nil {
			return err
		}
		value.Chunk = takeSnapshotChunk(chunk)
	}
	if carriesSnapshot(value.Kind) {
		point, err := source.Checkpoint()
		if err != nil {
			return err
		}
		return takeCheckpoint(point, &value.Snapshot)
	}
	list, err := source.Entries()
	value.Entries, err = takeList(list, err, takeEntry)
	return err
}

// The heartbeats of groups in which all is quiet, and their answers, are most of what an
// idle fleet sends. They travel together, in a short form.

func beatOf(value *agreement.Message) (index uint64, isBeat bool) {
	quiet := value.Kind == agreement.MessageAppend && len(value.Entries) == 0 && value.LogTerm == value.Term && value.Index == value.Commit && value.Hint == 0
	return value.Index, quiet && !value.Rejected && !value.Forced && value.Term <= math.MaxUint32
}

func answerOf(value *agreement.Message) (index uint64, isAnswer bool) {
	quiet := value.Kind == agreement.MessageAppendReply && len(value.Entries) == 0 && value.LogTerm == 0 && value.Commit == 0 && value.Hint == 0
	return value.Index, quiet && !value.Rejected && !value.Forced && value.Term <= math.MaxUint32
}

func putBeats(made capnp.StructList[schema.Beat], err error, messages []agreement.Message, short func(*agreement.Message) (uint64, bool)) error {
	at := 0
	for position := 0; err == nil && position < len(messages); position++ {
		message := &messages[position]
		index, isShort := short(message)
		if !isShort {
			continue
		}
		beat := made.At(at)
		at++
		beat.SetGroup(message.Group)
		beat.SetTerm(uint32(message.Term))
		beat.SetIndex(index)
		beat.SetRound(message.Round)
	}
	return err
}

// putBatch puts messages of one node to one other.
func putBatch(target schema.AgreementBatch, value *AgreementBatch) error {
	beats, answers, long := 0, 0, []*agreement.Message{}
	for position := range value.Messages {
		message := &value.Messages[position]
		if _, isBeat := beatOf(message); isBeat {
			beats++
		} else if _, isAnswer := answerOf(message); isAnswer {
			answers++
		} else {
			long = append(long, message)
		}
	}
	if len(value.Messages) > 0 {
		if err := errors.Join(target.SetFrom(value.Messages[0].From), target.SetTo(value.Messages[0].To)); err != nil {
			return err
		}
	}
	if beats > 0 {
		made, err := target.NewBeats(int32(beats))
		if err := putBeats(made, err, value.Messages, beatOf); err != nil {
			return err
		}
	}
	if answers > 0 {
		made, err := target.NewAnswers(int32(answers))
		if err := putBeats(made, err, value.Messages, answerOf); err != nil {
			return err
		}
	}
	if len(long) == 0 {
		return nil
	}
	messages, err := target.NewMessages(int32(len(long)))
	return putList(messages, err, long, func(made schema.AgreementMessage, message **agreement.Message) error {
		return putMessage(made, *message)
	})
}

// takeBatch gives a batch's messages, the short ones last; agreement bears any order.
func takeBatch(source schema.AgreementBatch, value *AgreementBatch) error {
	reading := &taking{}
	from, to := field(reading, source.From), field(reading, source.To)
	messages, beats, answers := field(reading, source.Messages), field(reading, source.Beats), field(reading, source.Answers)
	if reading.failed != nil {
		return reading.failed
	}
	value.Messages = make([]agreement.Message, 0, messages.Len()+beats.Len()+answers.Len())
	for position := range messages.Len() {
		message := agreement.Message{}
		if err := takeMessage(messages.At(position), &message); err != nil {
			return err
		}
		value.Messages = append(value.Messages, message)
	}
	for position := range beats.Len() {
		beat := beats.At(position)
		value.Messages = append(value.Messages, agreement.Message{Kind: agreement.MessageAppend, Group: beat.Group(), Term: uint64(beat.Term()), LogTerm: uint64(beat.Term()), Index: beat.Index(), Commit: beat.Index(), Round: beat.Round()})
	}
	for position := range answers.Len() {
		beat := answers.At(position)
		value.Messages = append(value.Messages, agreement.Message{Kind: agreement.MessageAppendReply, Group: beat.Group(), Term: uint64(beat.Term()), Index: beat.Index(), Round: beat.Round()})
	}
	for position := range value.Messages {
		value.Messages[position].From, value.Messages[position].To = from, to
	}
	return nil
}

func putStoredWrite(target schema.StoredWrite, value *StoredWrite) error {
	state, err := target.NewState()
	if err != nil {
		return err
	}
	state.SetTerm(value.State.Term)
	if err := state.SetVoted(value.State.VotedFor); err != nil {
		return err
	}
	entries, err := target.NewEntries(int32(len(value.Entries)))
	if err := putList(entries, err, value.Entries, putEntry); err != nil {
		return err
	}
	target.SetPointed(value.Pointed)
	target.SetContentApart(value.ContentApart)
	if !value.Pointed {
		return nil
	}
	point, err := target.NewCheckpoint()
	if err != nil {
		return err
	}
	return putCheckpoint(point, &value.Checkpoint)
}

func takeStoredWrite(source schema.StoredWrite, value *StoredWrite) error {
	state, err := source.State()
	if err != nil {
		return err
	}
	value.State.Term = state.Term()
	if value.State.VotedFor, err = state.Voted(); err != nil {
		return err
	}
	list, err := source.Entries()
	if value.Entries, err = takeList(list, err, takeEntry); err != nil {
		return err
	}
	value.ContentApart = source.ContentApart()
	if value.Pointed = source.Pointed(); !value.Pointed {
		return nil
	}
	point, err := source.Checkpoint()
	if err != nil {
		return err
	}
	return takeCheckpoint(point, &value.Checkpoint)
}
