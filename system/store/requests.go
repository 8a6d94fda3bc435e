package store

import (
	"context"

	"yardrock.example/system/apierror"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// handlers maps each kind of query to the method that handles it. Some kinds have other names on
// the wire than in this package: agreement is a batch of Raft messages, hold replicates a view,
// putCold and getCold access the archive, and opening is a shared prefix.
var handlers = map[schema.Query_Which]func(*Node, context.Context, *wire.Query) (*wire.Reply, error){
	schema.Query_Which_status:    (*Node).handleStatus,
	schema.Query_Which_agreement: (*Node).handleRaft,
	schema.Query_Which_command:   (*Node).handleCommand,
	schema.Query_Which_read:      (*Node).handleRead,
	schema.Query_Which_hold:      (*Node).handleReplicateView,
	schema.Query_Which_newest:    (*Node).handleNewestView,
	schema.Query_Which_putCold:   (*Node).handlePutArchive,
	schema.Query_Which_getCold:   (*Node).handleReadArchive,
	schema.Query_Which_digests:   (*Node).handleDigests,
	schema.Query_Which_find:      (*Node).handleFindTurn,
	schema.Query_Which_opening:   (*Node).handleSharedPrefix,
	schema.Query_Which_rateLimit: (*Node).handleRateLimit,
}

// Handle handles one query from another process; failures are error replies. It rejects queries
// from another fleet, except the status and newest-view queries that discovery uses, and queries
// addressed to another process that had this address before.
//
//	reply := node.Handle(ctx, query)
func (node *Node) Handle(ctx context.Context, query *wire.Query) *wire.Reply {
	handle, known := handlers[query.Which]
	if !known {
		return wire.ErrorReply(apierror.New(apierror.Invalid, "a store node does not serve this query", "send it to a control node"))
	}
	anyFleet := query.Which == schema.Query_Which_newest || query.Which == schema.Query_Which_status
	if fleet := node.view.Load().BoundFleet(); !anyFleet && query.Fleet != "" && fleet != "" && query.Fleet != fleet {
		return wire.ErrorReply(apierror.New(apierror.ForeignFleet, "the sender belongs to fleet "+query.Fleet+", this node to "+fleet,
			"correct the sender's seeds, or empty its data directory so that it joins this fleet"))
	}
	if rejection := query.MisdirectedReply(node.Name()); rejection != nil {
		return rejection
	}
	reply, err := handle(node, ctx, query)
	if err != nil {
		return wire.ErrorReply(err)
	}
	return reply
}

// handleRaft passes a batch of Raft messages to the replicas. Responses are sent to the peer as
// queries of the same kind.
func (node *Node) handleRaft(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	node.host.Receive(link.ConnectionContext(ctx), query.Raft.Messages)
	return &wire.Reply{}, nil
}
