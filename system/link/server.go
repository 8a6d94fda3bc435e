package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"yardrock.example/system/apierror"
	"yardrock.example/system/wire"
)

// Handler answers one query. The context ends when the caller cancels or the connection ends; a
// notification's only with the connection, and its reply is dropped. The reply must not be nil.
type Handler func(ctx context.Context, query *wire.Query) *wire.Reply

// Server answers the queries that come over a listener. It owns the listener, a goroutine that
// accepts, one for each connection, and workers that handle queries. Workers are kept for the
// next query, as the stacks that handlers grow would else be grown anew for each.
type Server struct {
	listener net.Listener
	handler  Handler
	// idleWorkers hands a task to a worker that waits for one.
	idleWorkers chan task
	idleCount   atomic.Int32
	closing     chan struct{} // closed by Close

	mutex       sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	goroutines  sync.WaitGroup
}

// maxIdleWorkers bounds the workers that wait for another query.
const maxIdleWorkers = 16

// Serve starts to answer queries, until Close is called.
//
//	server := link.Serve(listener, node.Answer)
//	defer server.Close()
func Serve(listener net.Listener, handler Handler) *Server {
	server := &Server{listener: listener, handler: handler, connections: map[net.Conn]bool{}, idleWorkers: make(chan task), closing: make(chan struct{})}
	server.goroutines.Go(server.acceptLoop)
	return server
}

// acceptLoop accepts connections until the listener is closed.
func (server *Server) acceptLoop() {
	for {
		stream, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		if server.closed {
			server.mutex.Unlock()
			stream.Close()
			return
		}
		server.connections[stream] = true
		server.goroutines.Go(func() { server.serveConnection(stream) })
		server.mutex.Unlock()
	}
}

// task is one query to be answered.
type task struct {
	conn  *serverConnection
	ctx   context.Context
	frame frame
}

// dispatch gives a task to an idle worker, or to a new one. Nobody waits for workers, as a
// handler may take long: one ends when it is idle after Close, or when enough others are.
func (server *Server) dispatch(next task) {
	select {
	case server.idleWorkers <- next:
	default:
		go server.runWorker(next)
	}
}

// runWorker does a task, and further ones while few enough workers are idle.
func (server *Server) runWorker(next task) {
	for {
		next.conn.handleQuery(next.ctx, next.frame)
		if server.idleCount.Add(1) > maxIdleWorkers {
			server.idleCount.Add(-1)
			return
		}
		select {
		case next = <-server.idleWorkers:
			server.idleCount.Add(-1)
		case <-server.closing:
			return
		}
	}
}

// handle rejects queries of later versions, and adds what only this package knows to the reply of
// a status query.
func (server *Server) handle(ctx context.Context, query *wire.Query) *wire.Reply {
	if query.Version > wire.Version {
		return wire.ErrorReply(apierror.New(apierror.FormatTooNew, "the query is of a newer form", "update this process to the version of its peers"))
	}
	reply := server.handler(ctx, query)
	if query.Status != nil && query.Status.Traffic && reply.Status != nil {
		reply.Status.Traffic = Traffic()
	}
	return reply
}

// Close closes the listener and all connections, which cancels the contexts of handlers, and
// waits until the connections' goroutines have ended. It does not wait for handlers.
//
//	server.Close()
func (server *Server) Close() {
	server.listener.Close()
	server.mutex.Lock()
	if !server.closed {
		close(server.closing)
	}
	server.closed = true
	for stream := range server.connections {
		stream.Close()
	}
	server.mutex.Unlock()
	server.goroutines.Wait()
}
