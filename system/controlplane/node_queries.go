package controlplane

import (
	"context"
	"errors"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// queryHandlers are the handlers for queries from other processes, by kind of query.
var queryHandlers = map[schema.Query_Which]func(*Node, context.Context, *wire.Query) (*wire.Reply, error){
	schema.Query_Which_status:    (*Node).handleStatus,
	schema.Query_Which_agreement: (*Node).handleRaft,
	schema.Query_Which_follow:    (*Node).handleFollow,
	schema.Query_Which_sessions:  (*Node).handleGossip,
	schema.Query_Which_change:    (*Node).handleChange,
}

// anyFleetQueries are answered whatever fleet the sender names: replicas identify each other by
// the identities of their disks, and a recovered fleet reverts to its earlier name.
var anyFleetQueries = map[schema.Query_Which]bool{schema.Query_Which_status: true, schema.Query_Which_agreement: true, schema.Query_Which_sessions: true}

// handle answers a query from another process.
func (node *Node) handle(ctx context.Context, query *wire.Query) *wire.Reply {
	handler, known := queryHandlers[query.Which]
	if !known {
		return wire.ErrorReply(apierror.New(apierror.Invalid, "a control node does not answer this kind of query", "send it to a store node"))
	}
	if fleet := node.View().Fleet; !anyFleetQueries[query.Which] && query.Fleet != "" && fleet != "" && query.Fleet != fleet {
		node.recordForeignStore(query)
		if node.View().BoundFleet() == "" {
			// This control plane may have lost its disks and may yet recover the feed of the
			// sender's fleet.
			return wire.ErrorReply(noQuorumError())
		}
		return wire.ErrorReply(apierror.New(apierror.ForeignFleet, "the sender belongs to fleet "+query.Fleet+", this node to fleet "+fleet, "correct the sender's seeds, or empty its data directory so that it joins this fleet"))
	}
	if rejection := query.MisdirectedReply(node.Name()); rejection != nil {
		return rejection
	}
	reply, err := handler(node, ctx, query)
	if err != nil {
		return wire.ErrorReply(err)
	}
	return reply
}

// handleStatus answers with the applied state of this replica. It is not confirmed: bootstrapping
// and discovery of control nodes need an answer without a quorum.
func (node *Node) handleStatus(_ context.Context, _ *wire.Query) (*wire.Reply, error) {
	view := node.View()
	return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{
		Name: node.Name(), Role: feed.RoleControl, Address: node.settings.Address, Domain: node.settings.Domain, Uninitialized: node.isEmpty(),
		Fleet: view.Fleet, ViewNumber: view.Number, Leader: node.host.Statuses()[controlGroup].Leader, Controls: view.Controls, Founding: view.Founding,
	}}, nil
}

// handleRaft passes Raft messages from other replicas to the Raft host.
func (node *Node) handleRaft(ctx context.Context, query *wire.Query) (*wire.Reply, error) {
	node.host.Receive(link.ConnectionContext(ctx), query.Raft.Messages)
	return &wire.Reply{}, nil
}

// errNoStatus reports a malformed reply: no known version omits the status.
var errNoStatus = errors.New("the reply to a status query contains no status")

// queryStatus asks another node for its status.
func (node *Node) queryStatus(ctx context.Context, address string, timeout time.Duration, query wire.StatusQuery) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := node.client.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &query})
	if err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, errNoStatus
	}
	return reply.Status, nil
}
