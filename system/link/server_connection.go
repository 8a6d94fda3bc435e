package link

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// serverConnection is the server side of one connection.
type serverConnection struct {
	server *Server
	writer *frameWriter
	ctx    context.Context // cancelled when the connection ends
	mutex  sync.Mutex
	calls  map[uint64]context.CancelFunc // by call ID, for queries being handled
}

// connectionKey is the context key under which a query's context holds the connection's context.
type connectionKey struct{}

// ConnectionContext returns, for a context passed to a Handler, the context that is cancelled
// when the query's connection ends. For any other context it returns that context itself.
//
//	context.AfterFunc(link.ConnectionContext(ctx), func() { ... })
func ConnectionContext(ctx context.Context) context.Context {
	if connection, found := ctx.Value(connectionKey{}).(context.Context); found {
		return connection
	}
	return ctx
}

// serveConnection reads and dispatches frames until the connection ends, or the client sends a
// wrong preamble or an oversized frame.
func (server *Server) serveConnection(stream net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	ctx = context.WithValue(ctx, connectionKey{}, ctx)
	defer func() {
		cancel()
		stream.Close()
		server.mutex.Lock()
		delete(server.connections, stream)
		server.mutex.Unlock()
	}()
	source := bufio.NewReaderSize(stream, readBufferSize)
	if start, err := source.Peek(len(preamble)); err != nil || string(start) != preamble {
		return
	}
	if _, err := source.Discard(len(preamble)); err != nil {
		return
	}
	conn := &serverConnection{server: server, writer: &frameWriter{stream: stream}, ctx: ctx, calls: map[uint64]context.CancelFunc{}}
	for {
		received, err := readFrame(source)
		if err != nil {
			return
		}
		switch received.kind {
		case frameQuery:
			server.dispatch(task{conn: conn, ctx: conn.beginCall(received.callID), frame: received})
		case frameNotification:
			conn.handleNotification(received.body)
		case frameCancel:
			conn.endCall(received.callID)
		}
	}
}

// beginCall returns the context of a call. It is cancelled by endCall or when the connection ends.
func (conn *serverConnection) beginCall(callID uint64) context.Context {
	ctx, cancel := context.WithCancel(conn.ctx)
	conn.mutex.Lock()
	conn.calls[callID] = cancel
	conn.mutex.Unlock()
	return ctx
}

// endCall cancels the context of a call, unless the call has ended already.
func (conn *serverConnection) endCall(callID uint64) {
	conn.mutex.Lock()
	cancel, found := conn.calls[callID]
	delete(conn.calls, callID)
	conn.mutex.Unlock()
	if found {
		cancel()
	}
}

// handleNotification handles a notification on the connection's read goroutine, which keeps
// notifications in order. One that cannot be decoded is dropped.
func (conn *serverConnection) handleNotification(body []byte) {
	if query, err := wire.DecodeQuery(body); err == nil {
		countQueryReceived(query.Which, len(body))
		conn.server.handle(conn.ctx, query)
	}
}

// handleQuery handles one query and sends the reply. It runs on a worker of the server.
func (conn *serverConnection) handleQuery(ctx context.Context, received frame) {
	kind, reply := conn.decodeAndHandle(ctx, received.body)
	conn.endCall(received.callID)
	conn.sendReply(kind, received.callID, reply)
}

// decodeAndHandle decodes a query and calls the handler. It returns the query's kind, by which
// traffic is counted, and the reply. A query that cannot be decoded has kind 0 and gets an error
// reply.
func (conn *serverConnection) decodeAndHandle(ctx context.Context, body []byte) (schema.Query_Which, *wire.Reply) {
	query, err := wire.DecodeQuery(body)
	if err != nil {
		return 0, wire.ErrorReply(apierror.Wrap(err, apierror.Invalid, "the query cannot be decoded: "+err.Error(), "run matching versions of the programs"))
	}
	countQueryReceived(query.Which, len(body))
	return query.Which, conn.server.handle(ctx, query)
}

// sendReply queues a reply, and flushes unless another goroutine does. A reply is dropped if the
// connection has failed, if its queue is full because the client does not read, or if the reply
// cannot be encoded, which is a bug. The call then ends only with the client's context.
func (conn *serverConnection) sendReply(kind schema.Query_Which, callID uint64, reply *wire.Reply) {
	var encodeErr error
	mustFlush, size, err := conn.writer.enqueue(frameReply, callID, maxQueuedBytes, func(target []byte) ([]byte, error) {
		target, encodeErr = wire.AppendReply(target, reply)
		return target, encodeErr
	})
	if encodeErr != nil {
		log.WithFields(log.Fields{"query": kind.String(), "error": encodeErr.Error()}).Error("a reply cannot be encoded and is dropped")
	}
	if err == nil {
		countReplySent(kind, size)
	}
	if mustFlush {
		conn.writer.flush()
	}
}
