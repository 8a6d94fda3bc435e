package wire

import (
	"errors"
	"time"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

// The types of the ordinary path are put and taken by hand through the generated
// accessors; the library's reflection reads the schema anew at each call, which
// cost more than all else together (docs/measurements.md). All other types go
// through the library.

// AppendQuery appends a query, as a packed Cap'n Proto message, to bytes.
//
//	data, err := wire.AppendQuery(nil, query)
func AppendQuery(target []byte, query *Query) ([]byte, error) {
	start := len(target)
	target, err := appendMessage(target, newRoot(schema.NewRootQuery), func(made capnp.Struct) error { return encodeQuery(schema.Query(made), query) })
	if err != nil {
		return nil, err
	}
	return packMessage(target, start), nil
}

// AppendReply appends a reply, as a packed Cap'n Proto message, to bytes.
//
//	data, err := wire.AppendReply(nil, reply)
func AppendReply(target []byte, reply *Reply) ([]byte, error) {
	start := len(target)
	target, err := appendMessage(target, newRoot(schema.NewRootReply), func(made capnp.Struct) error { return encodeReply(schema.Reply(made), reply) })
	if err != nil {
		return nil, err
	}
	return packMessage(target, start), nil
}

// DecodeQuery reads a query. Its byte fields may point into the data.
//
//	query, err := wire.DecodeQuery(data)
func DecodeQuery(data []byte) (*Query, error) {
	data, err := unpackMessage(data)
	if err != nil {
		return nil, err
	}
	root, err := readRoot(data)
	if err != nil {
		return nil, err
	}
	return decodeQuery(schema.Query(root))
}

// DecodeReply reads a reply. Its byte fields may point into the data.
//
//	reply, err := wire.DecodeReply(data)
func DecodeReply(data []byte) (*Reply, error) {
	data, err := unpackMessage(data)
	if err != nil {
		return nil, err
	}
	root, err := readRoot(data)
	if err != nil {
		return nil, err
	}
	return decodeReply(schema.Reply(root))
}

func encodeQuery(target schema.Query, query *Query) error {
	encode, isHot := queryEncoders[query.Which]
	if !isHot {
		return pogs.Insert(schema.Query_TypeID, capnp.Struct(target), query)
	}
	target.SetVersion(query.Version)
	if err := target.SetFleet(query.Fleet); err != nil {
		return err
	}
	if query.To != "" {
		if err := target.SetTo(query.To); err != nil {
			return err
		}
	}
	return encode(target, query)
}

var queryEncoders = map[schema.Query_Which]func(schema.Query, *Query) error{
	schema.Query_Which_agreement: func(target schema.Query, query *Query) error {
		batch, err := target.NewAgreement()
		if err != nil {
			return err
		}
		return encodeRaftBatch(batch, query.Raft)
	},
	schema.Query_Which_command: func(target schema.Query, query *Query) error {
		asked, err := target.NewCommand()
		if err != nil {
			return err
		}
		asked.SetGroup(query.Command.Group)
		commands, err := asked.NewCommands(int32(len(query.Command.Commands)))
		return encodeList(commands, err, query.Command.Commands, encodeCommand)
	},
	schema.Query_Which_read: func(target schema.Query, query *Query) error {
		asked, err := target.NewRead()
		if err != nil {
			return err
		}
		asked.SetAfter(query.Read.After)
		asked.SetLimit(query.Read.Limit)
		asked.SetWait(int64(query.Read.Wait))
		asked.SetTally(query.Read.QuotaUsage)
		return asked.SetLine(query.Read.Session)
	},
	schema.Query_Which_putCold: func(target schema.Query, query *Query) error {
		batch, err := target.NewPutCold()
		if err != nil {
			return err
		}
		return encodeChunkBatch(batch, query.PutArchive)
	},
}

func decodeQuery(source schema.Query) (query *Query, err error) {
	query = &Query{}
	decode, isHot := queryDecoders[source.Which()]
	if !isHot {
		return query, pogs.Extract(query, schema.Query_TypeID, capnp.Struct(source))
	}
	query.Version, query.Which = source.Version(), source.Which()
	if query.Fleet, err = source.Fleet(); err != nil {
		return nil, err
	}
	if query.To, err = source.To(); err != nil {
		return nil, err
	}
	return query, decode(source, query)
}

var queryDecoders = map[schema.Query_Which]func(schema.Query, *Query) error{
	schema.Query_Which_agreement: func(source schema.Query, query *Query) error {
		batch, err := source.Agreement()
		if err != nil {
			return err
		}
		query.Raft = &RaftBatch{}
		return decodeRaftBatch(batch, query.Raft)
	},
	schema.Query_Which_command: func(source schema.Query, query *Query) error {
		asked, err := source.Command()
		if err != nil {
			return err
		}
		list, err := asked.Commands()
		query.Command = &CommandQuery{Group: asked.Group()}
		query.Command.Commands, err = decodeList(list, err, decodeCommand)
		return err
	},
	schema.Query_Which_read: func(source schema.Query, query *Query) error {
		asked, err := source.Read()
		if err != nil {
			return err
		}
		query.Read = &ReadQuery{After: asked.After(), Limit: asked.Limit(), Wait: time.Duration(asked.Wait()), QuotaUsage: asked.Tally()}
		query.Read.Session, err = asked.Line()
		return err
	},
	schema.Query_Which_putCold: func(source schema.Query, query *Query) error {
		batch, err := source.PutCold()
		if err != nil {
			return err
		}
		query.PutArchive = &ArchiveChunkBatch{}
		return decodeChunkBatch(batch, query.PutArchive)
	},
}

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

// storedEncoders and storedDecoders are the stored types of the ordinary path.
var storedEncoders = map[uint64]func(capnp.Struct, any) error{
	schema.ColdChunkBatch_TypeID: func(target capnp.Struct, value any) error {
		return encodeChunkBatch(schema.ColdChunkBatch(target), value.(*ArchiveChunkBatch))
	},
	schema.ColdIndex_TypeID: func(target capnp.Struct, value any) error {
		index := value.(*ArchiveIndex)
		places, err := schema.ColdIndex(target).NewPlaces(int32(len(index.Locations)))
		return encodeList(places, err, index.Locations, encodeChunkLocation)
	},
	schema.Command_TypeID: func(target capnp.Struct, value any) error {
		return encodeCommand(schema.Command(target), value.(*sessionlog.Command))
	},
	schema.LineImage_TypeID: func(target capnp.Struct, value any) error {
		return encodeSessionSnapshot(schema.LineImage(target), value.(*sessionlog.Snapshot))
	},
	schema.StoredWrite_TypeID: func(target capnp.Struct, value any) error {
		return encodeStoredWrite(schema.StoredWrite(target), value.(*StoredWrite))
	},
}

var storedDecoders = map[uint64]func(capnp.Struct, any) error{
	schema.ColdChunkBatch_TypeID: func(source capnp.Struct, value any) error {
		return decodeChunkBatch(schema.ColdChunkBatch(source), value.(*ArchiveChunkBatch))
	},
	schema.ColdIndex_TypeID: func(source capnp.Struct, value any) (err error) {
		list, err := schema.ColdIndex(source).Places()
		value.(*ArchiveIndex).Locations, err = decodeList(list, err, decodeChunkLocation)
		return err
	},
	schema.Command_TypeID: func(source capnp.Struct, value any) error {
		return decodeCommand(schema.Command(source), value.(*sessionlog.Command))
	},
	schema.LineImage_TypeID: func(source capnp.Struct, value any) error {
		return decodeSessionSnapshot(schema.LineImage(source), value.(*sessionlog.Snapshot))
	},
	schema.StoredWrite_TypeID: func(source capnp.Struct, value any) error {
		return decodeStoredWrite(schema.StoredWrite(source), value.(*StoredWrite))
	},
}
