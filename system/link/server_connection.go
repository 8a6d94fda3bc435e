package link

import (
	"bufio"
	"context"
	"net"
	"sync"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
)

// serverConnection is the server's side of one connection.
type serverConnection struct {
	server  *Server
	writer  *frameWriter
	context context.Context
	mutex   sync.Mutex
	calls   map[uint64]context.CancelFunc
}

type connectionKey struct{}

// ConnectionContext gives, for the context of a query that is being answered, one that ends
// with the connection on which the query came.
//
//	context.AfterFunc(link.ConnectionContext(ctx), func() { ... })
func ConnectionContext(ctx context.Context) context.Context {
	if connection, found := ctx.Value(connectionKey{}).(context.Context); found {
		return connection
	}
	return ctx
}

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
	if hello, err := source.Peek(len(preamble)); err != nil || string(hello) != preamble {
		return
	}
	if _, err := source.Discard(len(preamble)); err != nil {
		return
	}
	conn := &serverConnection{server: server, writer: &frameWriter{stream: stream}, context: ctx, calls: map[uint64]context.CancelFunc{}}
	for {
		read, err := readFrame(source)
		if err != nil {
			return
		}
		switch read.kind {
		case frameQuery:
			ctx, cancel := context.WithCancel(ctx)
			conn.mutex.Lock()
			conn.calls[read.call] = cancel
			conn.mutex.Unlock()
			server.dispatch(task{conn: conn, context: ctx, frame: read})
		case frameNotification:
			conn.handleNotification(read.body)
		case frameCancel:
			conn.cancelCall(read.call)
		}
	}
}

func (conn *serverConnection) cancelCall(call uint64) {
	conn.mutex.Lock()
	cancel, found := conn.calls[call]
	delete(conn.calls, call)
	conn.mutex.Unlock()
	if found {
		cancel()
	}
}

func (conn *serverConnection) handleNotification(body []byte) {
	if query, err := wire.DecodeQuery(body); err == nil {
		countQueryReceived(query.Which, len(body))
		conn.server.handle(conn.context, query)
	}
}

func (conn *serverConnection) handleQuery(ctx context.Context, received frame) {
	query, err := wire.DecodeQuery(received.body)
	var reply *wire.Reply
	if err != nil {
		query = &wire.Query{}
		reply = wire.ErrorReply(apierror.New(apierror.Invalid, "the query can't be read: "+err.Error(), "run matching versions of the programs"))
	} else {
		countQueryReceived(query.Which, len(received.body))
		reply = conn.server.handle(ctx, query)
	}
	conn.cancelCall(received.call)
	flushes, size, err := conn.writer.enqueue(frameReply, received.call, maxQueuedBytes, func(target []byte) ([]byte, error) { return wire.AppendReply(target, reply) })
	if err == nil {
		countReplySent(query.Which, size)
	}
	if flushes {
		conn.writer.flush()
	}
}
