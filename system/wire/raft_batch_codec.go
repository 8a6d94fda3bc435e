package wire

import (
	"errors"
	"math"

	"capnproto.org/go/capnp/v3"

	"yardrock.example/system/raft"
	"yardrock.example/system/wire/schema"
)

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
