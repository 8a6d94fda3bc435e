package wire

import (
	"errors"
	"time"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

func encodeReply(target schema.Reply, reply *Reply) error {
	switch {
	case reply.Failure.Kind != "":
		made, err := target.NewFailure()
		if err != nil {
			return err
		}
		target.SetNothing()
		made.SetRetryAfter(int64(reply.Failure.RetryAfter))
		return errors.Join(made.SetKind(reply.Failure.Kind), made.SetMessage_(reply.Failure.Message), made.SetRemedy(reply.Failure.Remedy), made.SetLeader(reply.Failure.Leader))
	case reply.Which == schema.Reply_Which_nothing:
		target.SetNothing()
		return nil
	case reply.Which == schema.Reply_Which_outcomes:
		made, err := target.NewOutcomes()
		if err != nil {
			return err
		}
		if len(reply.Outcomes.History) > 0 {
			if err := made.SetHistory(reply.Outcomes.History); err != nil {
				return err
			}
		}
		outcomes, err := made.NewOutcomes(int32(len(reply.Outcomes.Outcomes)))
		return encodeList(outcomes, err, reply.Outcomes.Outcomes, encodeOutcome)
	case reply.Which == schema.Reply_Which_read:
		made, err := target.NewRead()
		if err != nil {
			return err
		}
		return encodeReadReply(made, reply.Read)
	}
	return pogs.Insert(schema.Reply_TypeID, capnp.Struct(target), reply)
}

func decodeReply(source schema.Reply) (*Reply, error) {
	reply := &Reply{Which: source.Which()}
	switch {
	case source.HasFailure():
		told, err := source.Failure()
		if err != nil {
			return nil, err
		}
		reading := &fieldReader{}
		reply.Failure = Failure{Kind: field(reading, told.Kind), Message: field(reading, told.Message_), Remedy: field(reading, told.Remedy), Leader: field(reading, told.Leader), RetryAfter: time.Duration(told.RetryAfter())}
		if reading.err != nil || reply.Failure.Kind != "" {
			return reply, reading.err
		}
		return reply, pogs.Extract(reply, schema.Reply_TypeID, capnp.Struct(source))
	case reply.Which == schema.Reply_Which_nothing:
		return reply, nil
	case reply.Which == schema.Reply_Which_outcomes:
		made, err := source.Outcomes()
		if err != nil {
			return nil, err
		}
		list, err := made.Outcomes()
		reply.Outcomes = &CommandReply{}
		if reply.Outcomes.Outcomes, err = decodeList(list, err, decodeOutcome); err != nil {
			return nil, err
		}
		history, err := made.History()
		reply.Outcomes.History = history
		return reply, err
	case reply.Which == schema.Reply_Which_read:
		made, err := source.Read()
		if err != nil {
			return nil, err
		}
		reply.Read = &ReadReply{}
		return reply, decodeReadReply(made, reply.Read)
	}
	return reply, pogs.Extract(reply, schema.Reply_TypeID, capnp.Struct(source))
}

// encodeReadReply leaves out what a read never tells: hot events, producers, open turns.
func encodeReadReply(target schema.ReadReply, value *ReadReply) error {
	target.SetSpent(value.Spent)
	target.SetReserved(value.Reserved)
	target.SetClock(value.Clock)
	session, err := target.NewSession()
	if err != nil {
		return err
	}
	session.SetCreatedAt(value.Session.CreatedAt)
	session.SetKeepFor(int64(value.Session.Retention))
	session.SetTouchedAt(value.Session.UpdatedAt)
	session.SetHead(value.Session.Head)
	session.SetArchivedSeq(value.Session.ArchivedSeq)
	if err := errors.Join(session.SetLine(value.Session.Name), session.SetTeam(value.Session.Team), session.SetProgram(value.Session.Program), session.SetWorkKind(value.Session.WorkKind)); err != nil {
		return err
	}
	events, err := target.NewEvents(int32(len(value.Events)))
	return encodeList(events, err, value.Events, encodeEvent)
}

func decodeReadReply(source schema.ReadReply, value *ReadReply) error {
	session, err := source.Session()
	if err != nil {
		return err
	}
	reading := &fieldReader{}
	*value = ReadReply{Spent: source.Spent(), Reserved: source.Reserved(), Clock: source.Clock(), Session: sessionlog.Session{CreatedAt: session.CreatedAt(), Retention: time.Duration(session.KeepFor()),
		UpdatedAt: session.TouchedAt(), Head: session.Head(), ArchivedSeq: session.ArchivedSeq(), Name: field(reading, session.Line), Team: field(reading, session.Team),
		Program: field(reading, session.Program), WorkKind: field(reading, session.WorkKind)}}
	if reading.err != nil {
		return reading.err
	}
	events, err := source.Events()
	value.Events, err = decodeList(events, err, decodeEvent)
	return err
}
