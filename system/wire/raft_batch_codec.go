package wire

import (
	"errors"
	"math"

	"capnproto.org/go/capnp/v3"

	"yardrock.example/system/raft"
	"yardrock.example/system/wire/schema"
)

// Most messages of an idle fleet are heartbeats of idle groups and the replies to them. A
// batch encodes them in a compact form of four numbers, which is used only for messages that
// can be restored from it exactly.

// batchForm is the encoding of a message in a batch, which has one list per form.
type batchForm int

const (
	fullForm batchForm = iota
	heartbeatForm
	heartbeatReplyForm
	batchFormCount
)

// formOf returns the most compact form that can represent a message.
func formOf(message *raft.Message) batchForm {
	switch {
	case isHeartbeat(message):
		return heartbeatForm
	case isHeartbeatReply(message):
		return heartbeatReplyForm
	}
	return fullForm
}

// hasOnlyHeartbeatFields reports whether a message has nothing that the compact forms lack: no
// entries, hint or flags, and a term that fits into 32 bits.
func hasOnlyHeartbeatFields(message *raft.Message) bool {
	return len(message.Entries) == 0 && message.Hint == 0 && !message.Rejected && !message.Forced && message.Term <= math.MaxUint32
}

// isHeartbeat reports whether a message is an append without entries to a follower that has
// the leader's complete log, all of it committed and its last entry from the current term.
func isHeartbeat(message *raft.Message) bool {
	return message.Kind == raft.MessageAppend && hasOnlyHeartbeatFields(message) && message.LogTerm == message.Term && message.Index == message.Commit
}

// isHeartbeatReply reports whether a message accepts an append and has no other content.
func isHeartbeatReply(message *raft.Message) bool {
	return message.Kind == raft.MessageAppendReply && hasOnlyHeartbeatFields(message) && message.LogTerm == 0 && message.Commit == 0
}

// encodeHeartbeat encodes the compact form of a heartbeat or of a reply to one.
func encodeHeartbeat(target schema.Beat, message *raft.Message) error {
	target.SetGroup(message.Group)
	target.SetTerm(uint32(message.Term))
	target.SetIndex(message.Index)
	target.SetRound(message.Round)
	return nil
}

func decodeHeartbeat(source schema.Beat, message *raft.Message) error {
	*message = raft.Message{Kind: raft.MessageAppend, Group: source.Group(), Term: uint64(source.Term()), LogTerm: uint64(source.Term()),
		Index: source.Index(), Commit: source.Index(), Round: source.Round()}
	return nil
}

func decodeHeartbeatReply(source schema.Beat, message *raft.Message) error {
	*message = raft.Message{Kind: raft.MessageAppendReply, Group: source.Group(), Term: uint64(source.Term()), Index: source.Index(), Round: source.Round()}
	return nil
}

// encodeForm allocates the list of one form, unless count is 0, and encodes the messages of
// this form into it. The caller counts the messages rather than collecting them, so that
// encoding a batch allocates nothing but the lists.
func encodeForm[Struct ~capnp.StructKind](newList func(int32) (capnp.StructList[Struct], error), form batchForm, count int32, messages []raft.Message, encode func(Struct, *raft.Message) error) error {
	if count == 0 {
		return nil
	}
	list, err := newList(count)
	if err != nil {
		return err
	}
	next := 0
	for position := range messages {
		if formOf(&messages[position]) != form {
			continue
		}
		if err := encode(list.At(next), &messages[position]); err != nil {
			return err
		}
		next++
	}
	return nil
}

// encodeRaftBatch encodes the messages from one node to another. All have the same sender and
// receiver, which are encoded once for the batch.
func encodeRaftBatch(target schema.AgreementBatch, value *RaftBatch) error {
	messages := value.Messages
	if len(messages) == 0 {
		return nil
	}
	var counts [batchFormCount]int32
	for position := range messages {
		counts[formOf(&messages[position])]++
	}
	if err := errors.Join(target.SetFrom(messages[0].From), target.SetTo(messages[0].To)); err != nil {
		return err
	}
	if err := encodeForm(target.NewBeats, heartbeatForm, counts[heartbeatForm], messages, encodeHeartbeat); err != nil {
		return err
	}
	if err := encodeForm(target.NewAnswers, heartbeatReplyForm, counts[heartbeatReplyForm], messages, encodeHeartbeat); err != nil {
		return err
	}
	return encodeForm(target.NewMessages, fullForm, counts[fullForm], messages, encodeMessage)
}

// decodeRaftBatch decodes the messages of a batch: first those in full form, then heartbeats,
// then replies to heartbeats. The sender's order is lost, but Raft tolerates any order.
func decodeRaftBatch(source schema.AgreementBatch, value *RaftBatch) error {
	reader := &fieldReader{}
	from, to := readField(reader, source.From), readField(reader, source.To)
	full, heartbeats, replies := readField(reader, source.Messages), readField(reader, source.Beats), readField(reader, source.Answers)
	if reader.err != nil {
		return reader.err
	}
	value.Messages = make([]raft.Message, full.Len()+heartbeats.Len()+replies.Len())
	compact := value.Messages[full.Len():]
	if err := errors.Join(
		decodeInto(value.Messages[:full.Len()], full, decodeMessage),
		decodeInto(compact[:heartbeats.Len()], heartbeats, decodeHeartbeat),
		decodeInto(compact[heartbeats.Len():], replies, decodeHeartbeatReply),
	); err != nil {
		return err
	}
	for position := range value.Messages {
		value.Messages[position].From, value.Messages[position].To = from, to
	}
	return nil
}
