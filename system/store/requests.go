package store

import (
	"context"

	"yardrock.example/system/apierror"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

var handlers = map[schema.Query_Which]func(*Node, context.Context, *wire.Query) (*wire.Reply, error){
	schema.Query_Which_status:    (*Node).handleStatus,
	schema.Query_Which_agreement: (*Node).handleRaft,
	schema.Query_Which_command:   (*Node).handleCommand,
	schema.Query_Which_read:      (*Node).handleRead,
	schema.Query_Which_hold:      (*Node).handleHold,
	schema.Query_Which_newest:    (*Node).handleNewest,
	schema.Query_Which_putCold:   (*Node).handlePutArchived,
	schema.Query_Which_getCold:   (*Node).handleGetArchived,
	schema.Query_Which_digests:   (*Node).handleDigests,
	schema.Query_Which_find:      (*Node).handleFind,
	schema.Query_Which_opening:   (*Node).handleSharedPrefix,
}

// Answer answers one query of another process.
//
//	reply := node.Answer(ctx, query)
func (node *Node) Answer(ctx context.Context, query *wire.Query) *wire.Reply {
	handle, known := handlers[query.Which]
	if !known {
		return wire.ErrorReply(apierror.New(apierror.Invalid, "a store node does not answer this query", "ask a control node"))
	}
	exempt := query.Which == schema.Query_Which_newest || query.Which == schema.Query_Which_status
	if fleet := node.view.Load().BoundFleet(); !exempt && query.Fleet != "" && fleet != "" && query.Fleet != fleet {
		return wire.ErrorReply(apierror.New(apierror.ForeignFleet, "the asking process belongs to fleet "+query.Fleet+", this one to "+fleet, "correct its seeds, or empty its data folder so that it joins this fleet"))
	}
	if refusal := query.MisdirectedReply(node.Name()); refusal != nil {
		return refusal
	}
	reply, err := handle(node, ctx, query)
	if err != nil {
		return wire.ErrorReply(err)
	}
	return reply
}

func (node *Node) handleRaft(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	node.host.Receive(link.ConnectionContext(ctx), query.Raft.Messages)
	return &wire.Reply{}, nil
}
