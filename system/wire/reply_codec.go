package wire

import (
	"errors"
	"time"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/wire/schema"
)

// encodeReply encodes a reply of any kind. Of a failed one it encodes only the failure.
func encodeReply(target schema.Reply, reply *Reply) error {
	switch {
	case reply.Failure.Kind != "":
		target.SetNothing()
		return encodeNested(target.NewFailure, &reply.Failure, encodeFailure)
	case reply.Which == schema.Reply_Which_nothing:
		target.SetNothing()
		return nil
	case reply.Which == schema.Reply_Which_outcomes:
		return encodeNested(target.NewOutcomes, reply.Command, encodeCommandReply)
	case reply.Which == schema.Reply_Which_read:
		return encodeNested(target.NewRead, reply.Read, encodeReadReply)
	case reply.Which == schema.Reply_Which_follow:
		return encodeNested(target.NewFollow, reply.Follow, encodeFollowReply)
	case reply.Which == schema.Reply_Which_newest:
		return encodeNested(target.NewNewest, reply.NewestView, encodeNewestViewReply)
	case reply.Which == schema.Reply_Which_rateLimit:
		return encodeNested(target.NewRateLimit, reply.RateLimit, encodeRateLimitReply)
	}
	return pogs.Insert(schema.Reply_TypeID, capnp.Struct(target), reply)
}

// decodeReply decodes a reply of any kind.
func decodeReply(source schema.Reply) (*Reply, error) {
	reply := &Reply{Which: source.Which()}
	if source.HasFailure() {
		// An empty kind means no failure: the library encodes the struct in every reply.
		if err := decodeNested(source.Failure, &reply.Failure, decodeFailure); err != nil || reply.Failure.Kind != "" {
			return reply, err
		}
	}
	switch reply.Which {
	case schema.Reply_Which_nothing:
		return reply, nil
	case schema.Reply_Which_outcomes:
		reply.Command = &CommandReply{}
		return reply, decodeNested(source.Outcomes, reply.Command, decodeCommandReply)
	case schema.Reply_Which_read:
		reply.Read = &ReadReply{}
		return reply, decodeNested(source.Read, reply.Read, decodeReadReply)
	case schema.Reply_Which_follow:
		reply.Follow = &FollowReply{}
		return reply, decodeNested(source.Follow, reply.Follow, decodeFollowReply)
	case schema.Reply_Which_newest:
		reply.NewestView = &NewestViewReply{}
		return reply, decodeNested(source.Newest, reply.NewestView, decodeNewestViewReply)
	case schema.Reply_Which_rateLimit:
		reply.RateLimit = &RateLimitReply{}
		return reply, decodeNested(source.RateLimit, reply.RateLimit, decodeRateLimitReply)
	}
	return reply, pogs.Extract(reply, schema.Reply_TypeID, capnp.Struct(source))
}

func encodeFailure(target schema.Failure, value *Failure) error {
	target.SetRetryAfter(int64(value.RetryAfter))
	return errors.Join(target.SetKind(value.Kind), target.SetMessage_(value.Message), target.SetRemedy(value.Remedy), target.SetLeader(value.Leader))
}

func decodeFailure(source schema.Failure, value *Failure) error {
	reader := &fieldReader{}
	*value = Failure{Kind: readField(reader, source.Kind), Message: readField(reader, source.Message_), Remedy: readField(reader, source.Remedy),
		Leader: readField(reader, source.Leader), RetryAfter: time.Duration(source.RetryAfter())}
	return reader.err
}

func encodeCommandReply(target schema.OutcomeList, value *CommandReply) error {
	if len(value.History) > 0 {
		if err := target.SetHistory(value.History); err != nil {
			return err
		}
	}
	return encodeList(target.NewOutcomes, value.Results, encodeResult)
}

func decodeCommandReply(source schema.OutcomeList, value *CommandReply) (err error) {
	if value.Results, err = decodeList(source.Outcomes, decodeResult); err != nil {
		return err
	}
	value.History, err = source.History()
	return err
}

// encodeReadReply omits the parts of the session that readers do not need: unarchived events,
// producers and open turns.
func encodeReadReply(target schema.ReadReply, value *ReadReply) error {
	target.SetSpent(value.Spent)
	target.SetReserved(value.Reserved)
	target.SetClock(value.Clock)
	if err := encodeNested(target.NewSession, &value.Session, encodeSessionHeader); err != nil {
		return err
	}
	return encodeList(target.NewEvents, value.Events, encodeEvent)
}

func decodeReadReply(source schema.ReadReply, value *ReadReply) (err error) {
	*value = ReadReply{Spent: source.Spent(), Reserved: source.Reserved(), Clock: source.Clock()}
	if err := decodeNested(source.Session, &value.Session, decodeSessionHeader); err != nil {
		return err
	}
	value.Events, err = decodeList(source.Events, decodeEvent)
	return err
}
