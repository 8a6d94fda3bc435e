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

// serverConnection is the server's side of one connection.
type serverConnection struct {
	server *Server
	writer *frameWriter
	ctx    context.Context // ends with the connection
	mutex  sync.Mutex
	calls  map[uint64]context.CancelFunc // of the queries being handled
}

// connectionKey is the key of a connection's context in the contexts of its queries.
type connectionKey struct{}

// ConnectionContext gives, for the context of a query that is being handled, the context that
// ends with the connection on which the query came; for another context that one itself.
//
//	context.AfterFunc(link.ConnectionContext(ctx), func() { ... })
func ConnectionContext(ctx context.Context) context.Context {
	if connection, found := ctx.Value(connectionKey{}).(context.Context); found {
		return connection
	}
	return ctx
}

// serveConnection reads frames until the connection ends or sends what is no frame.
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
			server.dispatch(task{conn: conn, ctx: conn.beginCall(received.call), frame: received})
		case frameNotification:
			conn.handleNotification(received.body)
		case frameCancel:
			conn.endCall(received.call)
		}
	}
}

// beginCall gives the context of a call, which endCall and the connection's end cancel.
func (conn *serverConnection) beginCall(call uint64) context.Context {
	ctx, cancel := context.WithCancel(conn.ctx)
	conn.mutex.Lock()
	conn.calls[call] = cancel
	conn.mutex.Unlock()
	return ctx
}

// endCall cancels a call's context, if the call has not ended yet.
func (conn *serverConnection) endCall(call uint64) {
	conn.mutex.Lock()
	cancel, found := conn.calls[call]
	delete(conn.calls, call)
	conn.mutex.Unlock()
	if found {
		cancel()
	}
}

// handleNotification runs on the goroutine that reads, which keeps notifications in order. One
// that cannot be read is dropped.
func (conn *serverConnection) handleNotification(body []byte) {
	if query, err := wire.DecodeQuery(body); err == nil {
		countQueryReceived(query.Which, len(body))
		conn.server.handle(conn.ctx, query)
	}
}

// handleQuery answers one query, on a worker of the server.
func (conn *serverConnection) handleQuery(ctx context.Context, received frame) {
	kind, reply := conn.answer(ctx, received.body)
	conn.endCall(received.call)
	conn.sendReply(kind, received.call, reply)
}

// answer decodes a query and has it handled. It gives the query's kind, by which traffic is
// counted, and the reply; a query that cannot be read has kind 0.
func (conn *serverConnection) answer(ctx context.Context, body []byte) (schema.Query_Which, *wire.Reply) {
	query, err := wire.DecodeQuery(body)
	if err != nil {
		return 0, wire.ErrorReply(apierror.Wrap(err, apierror.Invalid, "the query can't be read: "+err.Error(), "run matching versions of the programs"))
	}
	countQueryReceived(query.Which, len(body))
	return query.Which, conn.server.handle(ctx, query)
}

// sendReply queues a reply, and writes it if nobody else is about to. A reply is dropped if it
// cannot be queued, as the caller is gone or reads nothing, or if it cannot be encoded, which
// is a fault of this program. The caller then waits until its context ends.
func (conn *serverConnection) sendReply(kind schema.Query_Which, call uint64, reply *wire.Reply) {
	var encodeErr error
	mustFlush, size, err := conn.writer.enqueue(frameReply, call, maxQueuedBytes, func(target []byte) ([]byte, error) {
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
