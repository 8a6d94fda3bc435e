package wire

import (
	"time"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"yardrock.example/system/wire/schema"
)

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
