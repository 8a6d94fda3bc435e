package link

import (
	"context"
	"errors"
	"syscall"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Call sends a query to the process at an address and gives its reply. Errors are
// *apierror.Error: the one that the reply carries, or Unavailable. One marked NeverSent is sure
// to have left nothing at the other side. When ctx ends, the handler's context is cancelled.
// Call sets the query's Version.
//
//	reply, err := client.Call(ctx, "10.0.0.7:7000", &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
func (client *Client) Call(ctx context.Context, address string, query *wire.Query) (*wire.Reply, error) {
	conn, err := client.connect(ctx, address)
	if err != nil {
		return nil, &apierror.Error{Kind: apierror.Unavailable, Message: "cannot reach " + address + ": " + err.Error(), Remedy: "check that the process runs and that its address is right", NeverSent: true, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	query.Version = wire.Version
	call, waiting := conn.registerCall()
	if err := client.send(address, conn, frameQuery, call, maxQueuedBytes, query); err != nil {
		conn.unregisterCall(call)
		return nil, noReplyError(address, err)
	}
	select {
	case body := <-waiting:
		return decodeReply(address, query.Which, body)
	case <-conn.done:
		client.remove(address, conn)
		select { // the reply may have been the last that came
		case body := <-waiting:
			return decodeReply(address, query.Which, body)
		default:
			return nil, noReplyError(address, errors.New("the connection ended"))
		}
	case <-ctx.Done():
		if conn.unregisterCall(call) {
			_ = conn.enqueue(frameCancel, call, maxQueuedBytes, nil) // fails only if the connection ended or is about to
		}
		return nil, apierror.New(apierror.Unavailable, "no answer in time from "+address, "ask again; whether the query arrived is not known")
	}
}

// Notify sends a query that needs no reply. It is dropped if there is no connection, or if too
// much is queued on it, and nobody learns whether it arrived. Notifications on one connection
// are handled in order. Notify waits for a dial, but never for the other side. It sets the
// query's Version.
//
//	client.Notify(ctx, "10.0.0.7:7000", &wire.Query{Which: schema.Query_Which_agreement, Raft: &batch})
func (client *Client) Notify(ctx context.Context, address string, query *wire.Query) {
	conn, err := client.connect(ctx, address)
	if err != nil {
		return
	}
	query.Version = wire.Version
	_ = client.send(address, conn, frameNotification, 0, maxQueuedNotificationBytes, query) // may be dropped
}

// send enqueues a query on a connection, and removes the connection if it turns out to have
// ended.
func (client *Client) send(address string, conn *clientConnection, kind byte, call uint64, limit int, query *wire.Query) error {
	err := conn.enqueue(kind, call, limit, query)
	if err != nil && conn.isClosed() {
		client.remove(address, conn)
	}
	return err
}

// noReplyError is the error of a call that may have arrived.
func noReplyError(address string, err error) error {
	return apierror.Wrap(err, apierror.Unavailable, "no answer from "+address+": "+err.Error(), "ask again; whether the query arrived is not known")
}

// decodeReply gives a reply, or the error that it carries.
func decodeReply(address string, which schema.Query_Which, body []byte) (*wire.Reply, error) {
	countReplyReceived(which, len(body))
	reply, err := wire.DecodeReply(body)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Unavailable, "bad answer from "+address+": "+err.Error(), "run matching versions of the programs")
	}
	if err := reply.Err(); err != nil {
		return nil, err
	}
	return reply, nil
}
