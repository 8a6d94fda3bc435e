package link

import (
	"context"
	"errors"
	"syscall"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Call asks one process and gives its reply, or its typed failure. A failure
// marked NeverSent provably left nothing at the other side.
//
//	reply, err := caller.Call(ctx, "10.0.0.7:7000", &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
func (client *Client) Call(ctx context.Context, address string, query *wire.Query) (*wire.Reply, error) {
	conn, err := client.connect(ctx, address)
	if err != nil {
		return nil, &apierror.Error{Kind: apierror.Unavailable, Message: "cannot reach " + address + ": " + err.Error(), Remedy: "check that the process runs and that its address is right", NeverSent: true, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	query.Version = wire.Version
	call, waiting := conn.registerCall()
	if err := conn.enqueue(frameQuery, call, maxQueuedBytes, query); err != nil {
		conn.unregisterCall(call)
		if conn.isClosed() {
			client.remove(address, conn)
		}
		return nil, noReplyError(address, err)
	}
	select {
	case body := <-waiting:
		return decodeReply(address, query.Which, body)
	case <-conn.done:
		client.remove(address, conn)
		select {
		case body := <-waiting:
			return decodeReply(address, query.Which, body)
		default:
			return nil, noReplyError(address, errors.New("the connection ended"))
		}
	case <-ctx.Done():
		if conn.unregisterCall(call) {
			_ = conn.enqueue(frameCancel, call, maxQueuedBytes, nil) // else the connection is over
		}
		return nil, apierror.New(apierror.Unavailable, "no answer in time from "+address, "ask again; whether the query arrived is not known")
	}
}

// Notify sends a query that needs no answer, if it can: what can't be sent now is left
// out, and nobody learns whether it arrived. What is told on one connection is taken
// one after the other.
//
//	caller.Notify(ctx, "10.0.0.7:7000", &wire.Query{Which: schema.Query_Which_agreement, Agreement: &batch})
func (client *Client) Notify(ctx context.Context, address string, query *wire.Query) {
	conn, err := client.connect(ctx, address)
	if err != nil {
		return
	}
	query.Version = wire.Version
	if err := conn.enqueue(frameNotification, 0, maxQueuedNotificationBytes, query); err != nil && conn.isClosed() {
		client.remove(address, conn)
	}
}

func noReplyError(address string, err error) error {
	return apierror.New(apierror.Unavailable, "no answer from "+address+": "+err.Error(), "ask again; whether the query arrived is not known")
}

func decodeReply(address string, which schema.Query_Which, body []byte) (*wire.Reply, error) {
	countReplyReceived(which, len(body))
	reply, err := wire.DecodeReply(body)
	if err != nil {
		return nil, apierror.New(apierror.Unavailable, "bad answer from "+address+": "+err.Error(), "run matching versions of the programs")
	}
	if err := reply.Err(); err != nil {
		return nil, err
	}
	return reply, nil
}
