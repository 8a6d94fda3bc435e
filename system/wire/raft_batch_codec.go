package wire

import (
	"errors"
	"math"

	"capnproto.org/go/capnp/v3"

	"yardrock.example/system/raft"
	"yardrock.example/system/wire/schema"
)

// Heartbeats of idle groups and the replies to them are most of what an idle fleet sends.
// In a batch they have a short form of four numbers, from which the message is rebuilt in
// full. Only messages that it rebuilds exactly may take it.

// batchForm is how a message travels in a batch, which has a list for each form.
type batchForm int

const (
	fullForm batchForm = iota
	heartbeatForm
	heartbeatReplyForm
	batchFormCount
)

// formOf gives the shortest form that a message may take.
func formOf(message *raft.Message) batchForm {
	switch {
	case isHeartbeat(message):
		return heartbeatForm
	case isHeartbeatReply(message):
		return heartbeatReplyForm
	}
	return fullForm
}

// isPlain tells whether a message has nothing that the short form could not carry: no
// entries, no flags, and a term that fits 32 bits.
func isPlain(message *raft.Message) bool {
	return len(message.Entries) == 0 && message.Hint == 0 && !message.Rejected && !message.Forced && message.Term <= math.MaxUint32
}

// isHeartbeat tells whether a message is an append without entries to a follower that has
// the leader's whole log, all of it committed and its last entry of the current term.
func isHeartbeat(message *raft.Message) bool {
	return message.Kind == raft.MessageAppend && isPlain(message) && message.LogTerm == message.Term && message.Index == message.Commit
}

// isHeartbeatReply tells whether a message accepts an append and says nothing else.
func isHeartbeatReply(message *raft.Message) bool {
	return message.Kind == raft.MessageAppendReply && isPlain(message) && message.LogTerm == 0 && message.Commit == 0
}

// encodeHeartbeat writes the short form of a heartbeat or of a reply to one.
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

// encodeForm allocates the list of one form, unless it would be empty, and encodes the
// messages that take this form into it. The messages are counted beforehand rather than
// collected, as this runs for every batch and should allocate nothing but the list.
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

// encodeRaftBatch writes the messages of one node to one other. All of them have the same
// sender and receiver, which the batch has once.
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

// decodeRaftBatch gives the messages of a batch: those in full first, then heartbeats, then
// replies. Their order on the sender's side is not kept; Raft allows any order.
func decodeRaftBatch(source schema.AgreementBatch, value *RaftBatch) error {
	reader := &fieldReader{}
	from, to := readField(reader, source.From), readField(reader, source.To)
	others, heartbeats, replies := readField(reader, source.Messages), readField(reader, source.Beats), readField(reader, source.Answers)
	if reader.err != nil {
		return reader.err
	}
	value.Messages = make([]raft.Message, others.Len()+heartbeats.Len()+replies.Len())
	short := value.Messages[others.Len():]
	if err := errors.Join(
		decodeInto(value.Messages[:others.Len()], others, decodeMessage),
		decodeInto(short[:heartbeats.Len()], heartbeats, decodeHeartbeat),
		decodeInto(short[heartbeats.Len():], replies, decodeHeartbeatReply),
	); err != nil {
		return err
	}
	for position := range value.Messages {
		value.Messages[position].From, value.Messages[position].To = from, to
	}
	return nil
}
