package wire

import (
	"time"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/wire/schema"
)

// queryCodec encodes and decodes the content of one kind of query.
type queryCodec struct {
	encode func(schema.Query, *Query) error
	decode func(schema.Query, *Query) error
}

// contentCodec returns the codec of a kind whose content is one struct: content returns the
// address of its field in a query, newStruct and getStruct are the generated accessors.
func contentCodec[Value any, Struct ~capnp.StructKind](content func(*Query) **Value, newStruct, getStruct func(schema.Query) (Struct, error), encode, decode func(Struct, *Value) error) queryCodec {
	return queryCodec{
		encode: func(target schema.Query, query *Query) error {
			nested, err := newStruct(target)
			if err != nil {
				return err
			}
			return encode(nested, *content(query))
		},
		decode: func(source schema.Query, query *Query) error {
			nested, err := getStruct(source)
			if err != nil {
				return err
			}
			*content(query) = new(Value)
			return decode(nested, *content(query))
		},
	}
}

// handCodedQueries has the codecs of the hot path; see the package comment.
var handCodedQueries = map[schema.Query_Which]queryCodec{
	schema.Query_Which_agreement: contentCodec(func(query *Query) **RaftBatch { return &query.Raft },
		schema.Query.NewAgreement, schema.Query.Agreement, encodeRaftBatch, decodeRaftBatch),
	schema.Query_Which_command: contentCodec(func(query *Query) **CommandQuery { return &query.Command },
		schema.Query.NewCommand, schema.Query.Command, encodeCommandQuery, decodeCommandQuery),
	schema.Query_Which_read: contentCodec(func(query *Query) **ReadQuery { return &query.Read },
		schema.Query.NewRead, schema.Query.Read, encodeReadQuery, decodeReadQuery),
	schema.Query_Which_putCold: contentCodec(func(query *Query) **ArchiveChunkBatch { return &query.PutArchive },
		schema.Query.NewPutCold, schema.Query.PutCold, encodeChunkBatch, decodeChunkBatch),
	schema.Query_Which_follow: contentCodec(func(query *Query) **FollowQuery { return &query.Follow },
		schema.Query.NewFollow, schema.Query.Follow, encodeFollowQuery, decodeFollowQuery),
	schema.Query_Which_hold: contentCodec(func(query *Query) **ReplicateViewQuery { return &query.ReplicateView },
		schema.Query.NewHold, schema.Query.Hold, encodeReplicateViewQuery, decodeReplicateViewQuery),
	schema.Query_Which_newest: contentCodec(func(query *Query) **NewestViewQuery { return &query.NewestView },
		schema.Query.NewNewest, schema.Query.Newest, encodeNewestViewQuery, decodeNewestViewQuery),
	schema.Query_Which_rateLimit: contentCodec(func(query *Query) **RateLimitQuery { return &query.RateLimit },
		schema.Query.NewRateLimit, schema.Query.RateLimit, encodeRateLimitQuery, decodeRateLimitQuery),
	schema.Query_Which_sessions: contentCodec(func(query *Query) **MemberSessionBatch { return &query.MemberSessions },
		schema.Query.NewSessions, schema.Query.Sessions, encodeMemberSessionBatch, decodeMemberSessionBatch),
}

// encodeQuery encodes a query of any kind.
func encodeQuery(target schema.Query, query *Query) error {
	codec, handCoded := handCodedQueries[query.Which]
	if !handCoded {
		return pogs.Insert(schema.Query_TypeID, capnp.Struct(target), query)
	}
	target.SetVersion(query.Version)
	target.SetForwarded(query.Forwarded)
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

// decodeQuery decodes a query of any kind.
func decodeQuery(source schema.Query) (*Query, error) {
	query := &Query{}
	codec, handCoded := handCodedQueries[source.Which()]
	if !handCoded {
		return query, pogs.Extract(query, schema.Query_TypeID, capnp.Struct(source))
	}
	reader := &fieldReader{}
	query.Version, query.Which, query.Forwarded = source.Version(), source.Which(), source.Forwarded()
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
