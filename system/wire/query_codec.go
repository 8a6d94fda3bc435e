package wire

import (
	"time"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/wire/schema"
)

// queryCodec writes and reads the content of one kind of query.
type queryCodec struct {
	encode func(schema.Query, *Query) error
	decode func(schema.Query, *Query) error
}

// handCodedQueries are the kinds of the ordinary path; see the package comment.
var handCodedQueries = map[schema.Query_Which]queryCodec{
	schema.Query_Which_agreement: {
		func(target schema.Query, query *Query) error {
			return encodeNested(target.NewAgreement, query.Raft, encodeRaftBatch)
		},
		func(source schema.Query, query *Query) error {
			query.Raft = &RaftBatch{}
			return decodeNested(source.Agreement, query.Raft, decodeRaftBatch)
		},
	},
	schema.Query_Which_command: {
		func(target schema.Query, query *Query) error {
			return encodeNested(target.NewCommand, query.Command, encodeCommandQuery)
		},
		func(source schema.Query, query *Query) error {
			query.Command = &CommandQuery{}
			return decodeNested(source.Command, query.Command, decodeCommandQuery)
		},
	},
	schema.Query_Which_read: {
		func(target schema.Query, query *Query) error {
			return encodeNested(target.NewRead, query.Read, encodeReadQuery)
		},
		func(source schema.Query, query *Query) error {
			query.Read = &ReadQuery{}
			return decodeNested(source.Read, query.Read, decodeReadQuery)
		},
	},
	schema.Query_Which_putCold: {
		func(target schema.Query, query *Query) error {
			return encodeNested(target.NewPutCold, query.PutArchive, encodeChunkBatch)
		},
		func(source schema.Query, query *Query) error {
			query.PutArchive = &ArchiveChunkBatch{}
			return decodeNested(source.PutCold, query.PutArchive, decodeChunkBatch)
		},
	},
}

func encodeQuery(target schema.Query, query *Query) error {
	codec, handCoded := handCodedQueries[query.Which]
	if !handCoded {
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
	return codec.encode(target, query)
}

func decodeQuery(source schema.Query) (*Query, error) {
	query := &Query{}
	codec, handCoded := handCodedQueries[source.Which()]
	if !handCoded {
		return query, pogs.Extract(query, schema.Query_TypeID, capnp.Struct(source))
	}
	reader := &fieldReader{}
	query.Version, query.Which = source.Version(), source.Which()
	query.Fleet, query.To = readField(reader, source.Fleet), readField(reader, source.To)
	if reader.err != nil {
		return nil, reader.err
	}
	return query, codec.decode(source, query)
}

func encodeCommandQuery(target schema.CommandQuery, value *CommandQuery) error {
	target.SetGroup(value.Group)
	return encodeList(target.NewCommands, value.Commands, encodeCommand)
}

func decodeCommandQuery(source schema.CommandQuery, value *CommandQuery) (err error) {
	value.Group = source.Group()
	value.Commands, err = decodeList(source.Commands, decodeCommand)
	return err
}

func encodeReadQuery(target schema.ReadQuery, value *ReadQuery) error {
	target.SetAfter(value.After)
	target.SetLimit(value.Limit)
	target.SetWait(int64(value.Wait))
	target.SetTally(value.QuotaUsage)
	return target.SetLine(value.Session)
}

func decodeReadQuery(source schema.ReadQuery, value *ReadQuery) (err error) {
	*value = ReadQuery{After: source.After(), Limit: source.Limit(), Wait: time.Duration(source.Wait()), QuotaUsage: source.Tally()}
	value.Session, err = source.Line()
	return err
}
