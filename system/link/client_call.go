package link

import (
	"context"
	"errors"
	"syscall"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// Call sends a query to the process at an address and returns its reply. Errors are of type
// *apierror.Error: the error in the reply, or one of kind Unavailable. NeverSent on an error
// proves that the peer received nothing of the query. When ctx ends, Call returns and tells the
// peer to cancel the handler's context. Call sets the query's Version.
//
//	reply, err := client.Call(ctx, "10.0.0.7:7000", &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
func (client *Client) Call(ctx context.Context, address string, query *wire.Query) (*wire.Reply, error) {
	conn, err := client.connect(ctx, address)
	if err != nil {
		return nil, &apierror.Error{Kind: apierror.Unavailable, Message: "cannot reach " + address + ": " + err.Error(), Remedy: "check that the process is running and that its address is correct", NeverSent: true, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	query.Version = wire.Version
	callID, replyBody := conn.registerCall()
	if err := client.send(address, conn, frameQuery, callID, maxQueuedBytes, query); err != nil {
		conn.unregisterCall(callID)
		return nil, noReplyError(address, err)
	}
	select {
	case body := <-replyBody:
		return decodeReply(address, query.Which, body)
	case <-conn.done:
		client.remove(address, conn)
		select { // the reply may have arrived before the connection ended
		case body := <-replyBody:
			return decodeReply(address, query.Which, body)
		default:
			return nil, noReplyError(address, errors.New("the connection was closed"))
		}
	case <-ctx.Done():
		if conn.unregisterCall(callID) {
			_ = conn.enqueue(frameCancel, callID, maxQueuedBytes, nil) // best effort: fails only if the connection has ended or its queue is full
		}
		return nil, apierror.New(apierror.Unavailable, "no reply in time from "+address, "retry; the query may have been executed")
	}
}

// Notify sends a query without a reply. The query is dropped if the dial fails or the
// connection's queue is full, and delivery is not reported. Notifications on one connection are
// handled in order. Notify may wait for a dial, but never for the peer to read or handle the
// query. It sets the query's Version.
//
//	client.Notify(ctx, "10.0.0.7:7000", &wire.Query{Which: schema.Query_Which_agreement, Raft: &batch})
func (client *Client) Notify(ctx context.Context, address string, query *wire.Query) {
	conn, err := client.connect(ctx, address)
	if err != nil {
		return
	}
	query.Version = wire.Version
	_ = client.send(address, conn, frameNotification, 0, maxQueuedNotificationBytes, query) // best effort
}

// send enqueues a query on a connection. If that fails because the connection has ended, it
// removes the connection.
func (client *Client) send(address string, conn *clientConnection, kind byte, callID uint64, limit int, query *wire.Query) error {
	err := conn.enqueue(kind, callID, limit, query)
	if err != nil && conn.isClosed() {
		client.remove(address, conn)
	}
	return err
}

// noReplyError returns the error of a call whose query may have been executed.
func noReplyError(address string, err error) error {
	return apierror.Wrap(err, apierror.Unavailable, "no reply from "+address+": "+err.Error(), "retry; the query may have been executed")
}

// decodeReply decodes a reply. It returns an error that the reply carries as its own error.
func decodeReply(address string, which schema.Query_Which, body []byte) (*wire.Reply, error) {
	countReplyReceived(which, len(body))
	reply, err := wire.DecodeReply(body)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Unavailable, "invalid reply from "+address+": "+err.Error(), "run matching versions of the programs")
	}
	if err := reply.Err(); err != nil {
		return nil, err
	}
	return reply, nil
}
